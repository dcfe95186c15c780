package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
)

func book(s *Service, key, fence string) (w *httptest.ResponseRecorder, broke bool) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/bookings?x=1", strings.NewReader("{}"))
	r.Header.Set(backend.HeaderRequest, "r1")
	r.Header.Set(backend.HeaderKey, key)
	r.Header.Set(backend.HeaderFence, fence)
	defer func() { broke = recover() != nil }()
	s.ServeHTTP(w, r)
	return w, false
}

func newService() *Service {
	return New(Options{ID: "d1", Name: "dispatch", Slots: 2, Delay: time.Second, ReportLag: time.Second, ChecksFence: true})
}

func fault(t *testing.T, s *Service, f Fault) {
	t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/_fault", strings.NewReader(string(body))))
	assert.Equal(t, w.Code, http.StatusNoContent)
}

// TestFaultsAndExecutions checks what each fault shows the caller and whether
// the booking ran.
func TestFaultsAndExecutions(t *testing.T) {
	for _, c := range []struct {
		mode   Mode
		status int
		broke  bool
		ran    int
	}{
		{OK, http.StatusOK, false, 1},
		{CutBefore, 0, true, 1},
		{CutWithin, 0, true, 1},
		{Refuse, http.StatusServiceUnavailable, false, 0},
		{Busy, http.StatusTooManyRequests, false, 0},
		{Leaving, http.StatusServiceUnavailable, false, 0},
		{Die, 0, true, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newService()
			fault(t, s, Fault{Mode: c.mode})
			w, broke := book(s, "k", "")
			assert.Equal(t, broke, c.broke, string(c.mode))
			if !broke {
				assert.Equal(t, w.Code, c.status, string(c.mode))
			}
			if c.mode == OK {
				assert.Equal(t, w.Body.String(), string(answer.Body("/bookings?x=1", []byte("{}"))))
			}
			assert.Equal(t, len(s.record.Log("").Runs), c.ran, string(c.mode))
		})
	}
}

// TestFence checks that an older fencing number of the same key does not run.
func TestFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		for _, step := range []struct {
			key, fence string
			status     int
		}{
			{"k", "5", http.StatusOK}, {"k", "4", http.StatusConflict}, {"other", "1", http.StatusOK}, {"k", "6", http.StatusOK},
		} {
			w, _ := book(s, step.key, step.fence)
			assert.Equal(t, w.Code, step.status)
			assert.Equal(t, w.Header().Get(backend.HeaderFenceRefused) == "true", step.status == http.StatusConflict)
		}
		assert.Equal(t, len(s.record.Log("").Runs), 3)
	})
}

// TestSlots checks that two run together and the third waits.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		for range 3 {
			go book(s, "", "")
		}
		synctest.Wait()
		assert.Equal(t, len(s.record.Log("").Runs), 2)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, len(s.record.Log("").Runs), 3)
		assert.Assert(t, !s.Idle())
		time.Sleep(time.Second)
		assert.Assert(t, s.Idle())
	})
}
