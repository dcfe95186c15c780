package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/sharing"
)

type fakeRouter struct {
	status  Status
	drained bool
	cut     map[msg.RouterID]bool // nil: no faults allowed
}

func (f *fakeRouter) Status() Status      { return f.status }
func (f *fakeRouter) Backends() []Backend { return []Backend{{ID: "e1"}} }
func (f *fakeRouter) Explain(c msg.CustomerID) sharing.Explanation {
	return sharing.Explanation{Customer: c}
}
func (f *fakeRouter) Drain() { f.drained = true }
func (f *fakeRouter) SetLink(peer msg.RouterID, cut bool) bool {
	if f.cut != nil {
		f.cut[peer] = cut
	}
	return f.cut != nil
}

func call(h http.Handler, method, target, token, body string) (int, string) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func TestAllButHealthWantsTheToken(t *testing.T) {
	f := &fakeRouter{status: Status{Ready: true}, cut: map[msg.RouterID]bool{}}
	h := Handler(f, Auth{Token: "token"})
	for _, c := range []struct{ method, target, body string }{
		{"GET", "/debug/vars", ""}, {"GET", "/v1/status", ""}, {"GET", "/v1/backends", ""},
		{"GET", "/v1/explain?customer=a", ""}, {"POST", "/v1/drain", ""}, {"POST", "/v1/link", `{"peer":"r2","cut":true}`},
	} {
		for _, token := range []string{"", "token", "Basic token", "Bearer ", "Bearer tokens", "Bearer toke"} {
			code, body := call(h, c.method, c.target, token, c.body)
			assert.Equal(t, code, 401, "%v with %q: %s", c, token, body)
		}
		assert.Assert(t, !f.drained && len(f.cut) == 0, "%v acted without the token", c)
		code, _ := call(h, c.method, c.target, "Bearer token", c.body)
		assert.Assert(t, code < 300, "%v: %d", c, code)
		f.drained, f.cut = false, map[msg.RouterID]bool{}
	}
	code, _ := call(h, "GET", "/healthz", "", "")
	assert.Equal(t, code, 200)
}

func TestReadyOnlyWithSettingsAndBeforeTheDrain(t *testing.T) {
	for _, c := range []struct {
		status Status
		want   int
	}{{Status{Ready: true}, 200}, {Status{}, 503}, {Status{Ready: true, Draining: true}, 503}} {
		code, _ := call(Handler(&fakeRouter{status: c.status}, Auth{Token: "token"}), "GET", "/readyz", "", "")
		assert.Equal(t, code, c.want, "%+v", c.status)
	}
}

func TestLinkOrder(t *testing.T) {
	f := &fakeRouter{cut: map[msg.RouterID]bool{}}
	for _, c := range []struct {
		router *fakeRouter
		body   string
		want   int
	}{
		{f, `{"peer":"r2","cut":true}`, 204}, {f, `{"peer":"r3","cut":false}`, 204}, {f, `{"peer":`, 400},
		{f, `{"peer":"` + strings.Repeat("x", maxOrder) + `"}`, 400}, {&fakeRouter{}, `{"peer":"r2","cut":true}`, 403},
	} {
		code, _ := call(Handler(c.router, Auth{Token: "token"}), "POST", "/v1/link", "Bearer token", c.body)
		assert.Equal(t, code, c.want, c.body[:8])
	}
	assert.DeepEqual(t, f.cut, map[msg.RouterID]bool{"r2": true, "r3": false})
}
