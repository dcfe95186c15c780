package router

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/probe"
)

// willing is a service that says that it is leaving and yet serves what comes.
type willing struct {
	leaving atomic.Bool
	reports atomic.Int64 // since it is leaving
	calls   atomic.Int64
}

func (s *willing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/load" {
		s.calls.Add(1)
		_, _ = io.WriteString(w, "done")
		return
	}
	report := probe.Report{Service: "dispatch", Slots: 4, Leaving: s.leaving.Load()}
	_ = json.NewEncoder(w).Encode(report)
	if report.Leaving {
		s.reports.Add(1)
	}
}

// A server's own word that it leaves is enough, without the host list and
// without its refusing: it gets no call more until it says otherwise.
func TestOwnWordOfAServerIsEnough(t *testing.T) {
	f := newFleet(t)
	f.accept(0, "10s")
	s := &willing{}
	f.addServer("d1", s)
	r1 := f.start("r1", "")
	r1.untilReady(t, 1)
	call := func() int {
		code, _ := r1.call(t, "GET", "/services/dispatch/jobs/1", "", nil)
		return code
	}
	until(t, "served", func() bool { return call() == 200 })
	s.leaving.Store(true)
	until(t, "two reports", func() bool { return s.reports.Load() >= 2 })
	before := s.calls.Load()
	assert.Equal(t, call(), 503)
	assert.Equal(t, s.calls.Load(), before)
	s.leaving.Store(false)
	until(t, "back", func() bool { return call() == 200 })
}
