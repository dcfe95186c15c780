package load

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/engine"
	"github.com/windscale/windscale/internal/standin/service"
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func startEngine(t *testing.T) string {
	t.Helper()
	e := engine.New(engine.Options{ID: "e", Models: []string{"m"}, Slots: 8, Rate: 5000, ResumeWindow: time.Second})
	go e.Run(t.Context())
	return serve(t, e)
}

func setFault(t *testing.T, server, body string) {
	t.Helper()
	resp, err := http.Post(server+"/_fault", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// play runs a plan whose sections end by their counts.
func play(t *testing.T, plan string, records ...string) *Report {
	t.Helper()
	sections, err := ParsePlan([]byte(plan))
	assert.NilError(t, err)
	report, err := Run(t.Context(), sections, Options{
		Duration: time.Minute, Grace: time.Minute, Seed: 1, MaxOutstanding: 100, Records: records,
	})
	assert.NilError(t, err)
	return report
}

const modelPlan = "targets = %s\nkind = model:m\ncount = 10\ntokens = 5-20\ntimeout = 0s\n"

// TestModels plays open and closed loops, streamed and not, against an engine
// without and with each fault that callers see.
func TestModels(t *testing.T) {
	url := startEngine(t)
	plan := strings.Replace(modelPlan, "%s", url, 1) +
		"[open]\nmode = open 1000\n[closed]\nmode = closed 2\nstream = false\n"
	total := func(pick func(SectionReport) int) (n int) {
		for _, s := range play(t, plan).Sections {
			assert.Equal(t, s.Sent, 10)
			n += pick(s)
		}
		return n
	}
	assert.Equal(t, total(func(s SectionReport) int { return s.Answered }), 20)
	setFault(t, url, `{"mode":"echo-wrong-id"}`)
	assert.Equal(t, total(func(s SectionReport) int { return s.Wrong }), 20)
	setFault(t, url, `{"mode":"cut-after","after":2}`)
	assert.Equal(t, total(func(s SectionReport) int { return s.Unknown }), 20)
	setFault(t, url, `{"mode":"close-without-done","after":2}`)
	assert.Equal(t, total(func(s SectionReport) int { return s.Unknown }), 20)
	setFault(t, url, `{"mode":"refuse"}`)
	assert.Equal(t, total(func(s SectionReport) int { return s.RefusedByType["status 503"] }), 20)
}

// TestRecords checks that promises are compared with what ran: a refusal that
// says "not run" of what ran, and a booking that ran twice.
func TestRecords(t *testing.T) {
	svc := service.New(service.Options{ID: "d", Name: "d", Slots: 4})
	record := serve(t, svc)
	var calls atomic.Int64
	liar := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := []string{"r0", "r1", "r2"}[calls.Add(1)-1]
		r.Header.Set("Windscale-Request", id)
		inner := httptest.NewRecorder()
		if id != "r1" {
			svc.ServeHTTP(inner, r)
		}
		w.Header().Set("Windscale-Request", id)
		if id == "r2" {
			_, _ = w.Write(inner.Body.Bytes())
			return
		}
		w.Header().Set("Windscale-Run", "no")
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"type":"urn:t"}`))
	}))
	report := play(t, "[b]\nkind = booking:d\nidempotency = true\ncount = 1\nretries = 2\ndirect = true\ntargets = "+liar, record)
	s := report.Sections[0]
	assert.Equal(t, s.Sent, 3)
	assert.Equal(t, s.Answered, 1)
	assert.DeepEqual(t, s.RefusedByType, map[string]int{"urn:t": 2})
	assert.DeepEqual(t, s.RefusedByRun, map[string]int{"no": 2})
	assert.Equal(t, report.Records.NotRunChecked, 2)
	assert.DeepEqual(t, report.Records.FalseNotRun, []string{"r0"})
	assert.Equal(t, len(report.Records.RunTwice), 1)
	assert.Equal(t, report.Wrong, 2)
}

// TestBrokenBookingIsSentOnce checks that no library below sends a request
// with an Idempotency-Key again by itself when a kept connection breaks.
func TestBrokenBookingIsSentOnce(t *testing.T) {
	var calls atomic.Int64
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if calls.Add(1) == 2 || err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(answer.Body(r.URL.Path, body))
	}))
	s := play(t, "[b]\nkind = booking:d\nidempotency = true\ncount = 2\ndirect = true\ntargets = "+url).Sections[0]
	assert.Equal(t, s.Answered, 1)
	assert.Equal(t, s.Unknown, 1)
	assert.Equal(t, calls.Load(), int64(2))
}

// TestSameSeed checks that a seed draws the same requests again.
func TestSameSeed(t *testing.T) {
	sections, err := ParsePlan([]byte("targets = http://x\n[a]\nkind = model:m\n[b]\nkind = booking:s\nidempotency = true"))
	assert.NilError(t, err)
	for i := range sections {
		bodies := func(seed uint64) (out string) {
			gen := newGenerator(&sections[i], seed, 1)
			for range 5 {
				r, err := gen.next()
				assert.NilError(t, err)
				out += r.path + r.key + string(r.body)
			}
			return out
		}
		assert.Equal(t, bodies(7), bodies(7))
		assert.Assert(t, bodies(7) != bodies(8))
	}
}

// TestPlanFaults checks that every fault of a plan is reported at once.
func TestPlanFaults(t *testing.T) {
	_, err := ParsePlan([]byte("colour = red\n[a]\nkind = model\nmode = open x\ntokens = 9-3\ntimeout = soon\nprompt = 0\nweight = -1"))
	var plan *PlanError
	assert.Assert(t, errors.As(err, &plan))
	found := map[string]bool{}
	for _, f := range plan.Faults {
		found[f.Key] = true
	}
	want := []string{"colour", "kind", "mode", "prompt", "targets", "timeout", "tokens", "weight"}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(found)), want)
}
