package load

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/problem"
	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
	"github.com/windscale/windscale/test/loopback"
)

// A caller goes past routers that are gone or not ready, as the platform's
// balancer would, and loses nothing by it.
func TestRequestsMoveOnFromUnreadyAndGoneRouters(t *testing.T) {
	gone, err := loopback.ReserveAddr()
	assert.NilError(t, err)
	unready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.Header().Set("Windscale-Run", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"type":"` + problem.NotReady.URN() + `"}`))
	}))
	defer unready.Close()
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.Path[len("/services/dispatch"):]
		backend.WriteWhole(w, "application/json", answer.Body(path, nil))
	}))
	defer live.Close()
	sections := []Section{{
		Name: "s", Kind: Status, Subject: "dispatch", Workers: 1, Count: 3, Weight: 1,
		Targets: []string{"http://" + gone, unready.URL, live.URL},
	}}
	report, err := Run(t.Context(), sections, Options{Duration: time.Minute, Grace: time.Minute, Seed: 1, MaxOutstanding: 1})
	assert.NilError(t, err)
	s := report.Sections[0]
	assert.Equal(t, s.Answered, 3)
	assert.Equal(t, s.Moved, 3) // two by the first request, one by the second
	assert.Equal(t, s.NotSent+s.Refused, 0)
}
