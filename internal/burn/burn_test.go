package burn

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/metrics"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const token = "operators' token"

func clientOf(srv *httptest.Server) func(msg.RouterID) *http.Client {
	return func(msg.RouterID) *http.Client { return srv.Client() }
}

// fakeRouter serves the metrics of a registry as a router does.
func fakeRouter(t *testing.T, id msg.RouterID) (*metrics.Registry, *httptest.Server) {
	r := metrics.New()
	r.Process.Mirror(func() metrics.ProcessState {
		return metrics.ProcessState{Router: id, Incarnation: 3, Uptime: 10}
	})
	r.Entry.SetCustomers([]msg.CustomerID{"g/<a>"})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("Authorization") != "Bearer "+token {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_, _ = io.WriteString(w, `{"cmdline":[],"windscale":`+r.Var().String()+`}`)
	}))
	t.Cleanup(srv.Close)
	return r, srv
}

func TestScrapeReadsWhatTheRegistryCounts(t *testing.T) {
	r, srv := fakeRouter(t, "r1")
	c := r.Entry.Customer("g/<a>")
	c.Request()
	c.Answered(time.Second)
	c.Refused("queue-full")
	c.Refused("caller-gone")
	c.Refused("rate-limited")
	c.Unknown()
	c.Failed()
	c.FirstToken(2*time.Second, time.Second)
	c.BetweenTokens(time.Millisecond, time.Second)
	s := &Scraper{For: clientOf(srv), Token: token, Timeout: time.Minute}
	gone := httptest.NewServer(nil)
	gone.Close()
	targets := []Target{{URL: srv.URL}, {ID: "r2", URL: gone.URL}}
	round, failed := s.Scrape(context.Background(), targets, epoch)
	assert.DeepEqual(t, round.Missing, []msg.RouterID{"r2"})
	assert.Equal(t, failed[0].Router, msg.RouterID("r2"))
	want := burn.Sample{
		Router: "r1", Incarnation: 3, Uptime: 10 * time.Second,
		Customers: map[msg.CustomerID]burn.Totals{"g/<a>": {
			burn.FirstToken:    {Total: 1, Bad: 1},
			burn.BetweenTokens: {Total: 1},
			burn.Refused:       {Total: 4, Bad: 1},
			burn.Failed:        {Total: 4, Bad: 2},
		}},
	}
	assert.DeepEqual(t, round.Samples, []burn.Sample{want})

	// Once a router said its name, it is missing under that name.
	srv.Close()
	round, _ = s.Scrape(context.Background(), targets, epoch)
	assert.DeepEqual(t, round.Missing, []msg.RouterID{"r1", "r2"})
}

func TestScrapeFailures(t *testing.T) {
	_, srv := fakeRouter(t, "r1")
	s := &Scraper{For: clientOf(srv), Token: "another", Timeout: time.Minute}
	_, failed := s.Scrape(context.Background(), []Target{{URL: srv.URL}}, epoch)
	var status *StatusError
	assert.Assert(t, errors.As(failed[0].Err, &status))
	assert.Equal(t, status.Status, http.StatusUnauthorized)

	var none *NoMetricsError
	for _, text := range []string{`{}`, `{"windscale":{}}`} {
		_, err := parse(strings.NewReader(text))
		assert.Assert(t, errors.As(err, &none), text)
	}
	_, err := parse(strings.NewReader(`{"windscale":`))
	assert.Assert(t, err != nil)
}

// history returns three rounds of one customer whose requests are refused.
func history(t *testing.T) (*burn.History, map[msg.CustomerID]burn.SLO) {
	h := burn.New()
	for i := range uint64(3) {
		s := burn.Sample{Router: "r1", Incarnation: 1, Uptime: time.Hour, Customers: map[msg.CustomerID]burn.Totals{
			"g/<a>": {burn.Refused: {Total: 100 * i, Bad: 10 * i}},
		}}
		assert.NilError(t, h.Add(burn.Scrape{
			At:      epoch.Add(time.Duration(i) * time.Minute),
			Samples: []burn.Sample{s},
			Missing: []msg.RouterID{"r2"},
		}))
	}
	return h, map[msg.CustomerID]burn.SLO{"g/<a>": {Fraction: 0.95, FirstToken: true}, "b": {}}
}

func TestSamplesFile(t *testing.T) {
	h, promises := history(t)
	file := filepath.Join(t.TempDir(), "samples")
	empty, err := Load(file)
	assert.NilError(t, err)
	assert.Equal(t, len(empty.State().Checkpoints), 0)
	assert.NilError(t, Save(file, h))
	again, err := Load(file)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Report(promises), h.Report(promises))
	left, err := filepath.Glob(file + "*")
	assert.NilError(t, err)
	assert.Equal(t, len(left), 1)

	assert.NilError(t, os.WriteFile(file, []byte("no samples"), 0o600))
	_, err = Load(file)
	assert.Assert(t, err != nil)
}

func TestOutputs(t *testing.T) {
	h, promises := history(t)
	var table, jsonOut, page bytes.Buffer
	assert.NilError(t, Table(&table, h.Report(promises)))
	for _, want := range []string{"g/<a>", "2.00 (20/200)", "no-objective", "no-data", "5m*",
		"(all customers)", "g/ (group)", "router r2: 2 readings failed", "MISSING NOW"} {
		assert.Assert(t, strings.Contains(table.String(), want), "%q in\n%s", want, table.String())
	}
	assert.NilError(t, JSON(&jsonOut, h.Report(promises)))
	var back map[string]any
	assert.NilError(t, json.Unmarshal(jsonOut.Bytes(), &back))

	assert.NilError(t, HTML(&page, h, promises))
	text := page.String()
	assert.Assert(t, strings.Contains(text, "<svg") && strings.Contains(text, "g/&lt;a&gt;"))
	assert.Assert(t, !strings.Contains(text, "<a>") && !strings.Contains(text, "<script"))
	for _, outside := range []string{"src=", "@import", "<link"} {
		assert.Assert(t, !strings.Contains(text, outside), outside)
	}
	var svg struct{}
	svgText := text[strings.Index(text, "<svg") : strings.Index(text, "</svg>")+len("</svg>")]
	assert.NilError(t, xml.Unmarshal([]byte(svgText), &svg))
}

func TestLatestKeepsTheLastList(t *testing.T) {
	fail := errors.ErrUnsupported
	calls := 0
	f := Latest(func(context.Context) ([]Target, error) {
		calls++
		if calls != 2 {
			return nil, fail
		}
		return []Target{{ID: "r1"}}, nil
	}, func(error) {})
	_, err := f(context.Background())
	assert.Equal(t, err, fail)
	for range 2 {
		list, err := f(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(list), 1)
	}
}
