package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/load"
	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
)

// router plays a router with a backend server behind it. It keeps the server's
// record, which doctor may change for a request.
type router struct {
	refuse bool // refuses as not run, in place of answering
	body   func([]byte) []byte
	doctor func(*backend.Record, backend.Run)

	record backend.Record
	ids    atomic.Int64
}

func (f *router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_record" {
		_ = json.NewEncoder(w).Encode(f.record.Log("d1"))
		return
	}
	id := "r" + time.Duration(f.ids.Add(1)).String()
	run := backend.Run{ID: id, Key: r.Header.Get(backend.HeaderKey), Path: "POST /bookings"}
	w.Header().Set(backend.HeaderRequest, id)
	f.doctor(&f.record, run)
	if f.refuse {
		w.Header().Set("Windscale-Run", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	backend.WriteWhole(w, "application/json", f.body(answer.Body("/bookings", body)))
}

func same(b []byte) []byte { return b }

func once(r *backend.Record, run backend.Run) { r.Begin(run) }

func twice(r *backend.Record, run backend.Run) {
	r.Begin(run)
	r.Begin(run)
}

func never(*backend.Record, backend.Run) {}

// judge sends 5 bookings through the router and judges the report.
func judge(t *testing.T, f *router) Verdict {
	t.Helper()
	server := httptest.NewServer(f)
	defer server.Close()
	sections := []load.Section{{
		Name: "b", Customer: "c", Targets: []string{server.URL}, Kind: load.Booking, Subject: "dispatch",
		Workers: 1, Count: 5, Idempotency: true, Weight: 1,
	}}
	report, err := load.Run(t.Context(), sections, load.Options{
		Duration: time.Minute, Grace: time.Minute, Seed: 1, MaxOutstanding: 1, Records: []string{server.URL},
	})
	assert.NilError(t, err)
	return Judge(report)
}

func TestTheCheckFailsOnADoctoredRecord(t *testing.T) {
	cut := func(b []byte) []byte { return b[:len(b)-1] }
	tests := []struct {
		name   string
		router *router
		want   Verdict
	}{
		{"all in order", &router{body: same, doctor: once}, Verdict{Requests: 5, Whole: 5}},
		{"refused and not run", &router{refuse: true, doctor: never}, Verdict{Requests: 5, Refused: 5}},
		{"each key executed twice", &router{body: same, doctor: twice}, Verdict{Requests: 5, Whole: 5, Doubled: 5}},
		{"refused as not run, but run", &router{refuse: true, doctor: once}, Verdict{Requests: 5, Refused: 5, FalseNotRun: 5}},
		{"answered without running", &router{body: same, doctor: never}, Verdict{Requests: 5, Whole: 5, Wrong: 5}},
		{"cut, but passed as whole", &router{body: cut, doctor: once}, Verdict{Requests: 5, Wrong: 5}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			v := judge(t, tc.router)
			assert.Equal(t, v.Breaches() > 0, len(v.Examples) > 0)
			v.Examples = nil
			assert.DeepEqual(t, v, tc.want)
		})
	}
}

func TestAReportWithoutRecordsIsABreach(t *testing.T) {
	assert.Equal(t, Judge(&load.Report{}).Breaches(), 1)
}

func TestDoubled(t *testing.T) {
	ran := []backend.Run{
		{ID: "a", Key: "k", Path: "POST /bookings"},
		{ID: "b", Key: "k", Path: "POST /bookings"},
		{ID: "c", Path: "POST /bookings"},
		{ID: "c", Path: "POST /bookings"},
		{ID: "d", Path: "POST /bookings"},
		{ID: "e", Path: "GET /jobs/1"},
		{ID: "e", Path: "GET /jobs/1"},
	}
	assert.DeepEqual(t, Doubled(ran), []string{"key k", "request c"})
}
