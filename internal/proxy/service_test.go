package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	pathpkg "path"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/standin/service"
)

// What may run at each fault, and what the caller is told.
func TestServiceUnderFaults(t *testing.T) {
	const job, booking, other = "GET /jobs/7", "POST /bookings", "POST /notes"
	for _, c := range []struct {
		mode    service.Mode
		call    string
		status  int
		problem string
		run     string // Windscale-Run
		runs    int    // executions at both servers
	}{
		{service.OK, job, 200, "", "", 1},
		{service.OK, booking, 200, "", "", 1},
		{service.CutBefore, job, 200, "", "", 2},
		{service.CutWithin, job, 200, "", "", 2},
		{service.CutBefore, booking, 502, "server-lost", "unknown", 1},
		{service.CutWithin, booking, 502, "answer-cut", "unknown", 1},
		{service.CutBefore, other, 502, "server-lost", "unknown", 1},
		{service.Refuse, booking, 200, "", "", 1},
		{service.Busy, booking, 200, "", "", 1},
		{service.Leaving, booking, 200, "", "", 1},
		{service.Die, job, 200, "", "", 1},
		{service.Die, booking, 502, "server-lost", "unknown", 0},
	} {
		t.Run(fmt.Sprint(c.mode, " ", c.call), func(t *testing.T) {
			bad, good := newService(), newService()
			rig := newRig(t, bad, good)
			fault(t, bad, service.Fault{Mode: c.mode})
			method, path, _ := strings.Cut(c.call, " ")
			got := send(t, method, rig.URL+"/services/dispatch"+path, "two trucks", nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.problem(), c.problem)
			assert.Equal(t, got.header.Get("Windscale-Run"), c.run)
			assert.Equal(t, runs(t, bad)+runs(t, good), c.runs)
			rig.picker.results(t)
		})
	}
}

// Good answers are those of a plain forward, whatever the caller sends.
func TestServiceAgainstPlainForward(t *testing.T) {
	rig := newRig(t, newService())
	direct := newRig(t, newService()).picker.servers[0].Addr
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/jobs/7", ""}, {"GET", "/jobs/a%2Fb?x=1&y=%20", ""}, {"POST", "/bookings", "b"},
		{"PUT", "/stock/rice%20and%20beans", strings.Repeat("x", 100_000)}, {"DELETE", "/jobs/7", ""},
		{"HEAD", "/jobs/7", ""}, {"POST", "/", ""}, {"GET", "/jobs/;v=1", ""},
	} {
		got := send(t, c.method, rig.URL+"/services/dispatch"+c.path, c.body, nil)
		want := send(t, c.method, "http://"+direct+c.path, c.body, nil)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, want.status, c.path)
		assert.Equal(t, got.body, want.body, c.path)
		assert.Equal(t, got.header.Get("Content-Type"), want.header.Get("Content-Type"))
		assert.Equal(t, got.header.Get("Content-Length"), want.header.Get("Content-Length"), c.method)
	}
	for _, path := range []string{"/a/../bookings", "//bookings", "/./bookings", "/%2e%2e/bookings", `/a%5Cb`, "/a%0d%0ab", "/..;x/bookings"} {
		got := send(t, "POST", rig.URL+"/services/dispatch"+path, "b", nil)
		assert.Equal(t, got.problem(), "bad-request", path)
	}
}

// An answer too long to be held goes out as it comes; if it is cut, the
// caller's connection is broken.
func TestLongAnswers(t *testing.T) {
	for _, cut := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			const size = maxBuffered + 100_000
			rig := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !chunked {
					w.Header().Set("Content-Length", fmt.Sprint(size))
				}
				_, _ = io.WriteString(w, strings.Repeat("x", size-1))
				if cut {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "y")
			}))
			seen := &recorder{}
			rig.proxy.Observer = seen
			got := send(t, "GET", rig.URL+"/services/dispatch/long", "", nil)
			assert.Equal(t, got.err != nil, cut)
			if !cut {
				assert.Equal(t, len(got.body), size)
			}
			rig.Close()
			want := attempt.Completed
			if cut {
				want = attempt.Unknown
			}
			assert.DeepEqual(t, rig.picker.results(t), []attempt.Outcome{want})
			assert.Assert(t, rig.picker.slots[0].results[0].Cost > 0) // a cut answer is not free
			assert.DeepEqual(t, seen.attempts, []Attempt{{Pool: "s/dispatch", Server: "s0", Outcome: want}})
			assert.Assert(t, seen.finish.Cost > 0)
		}
	}
}

// recorder keeps what the observer is told of attempts and of the last end.
type recorder struct {
	NopObserver
	attempts []Attempt
	finish   Finish
}

func (o *recorder) Attempt(a Attempt) { o.attempts = append(o.attempts, a) }
func (o *recorder) Finish(f Finish)   { o.finish = f }

// A server that refused is not taken for the one that the next attempt runs at.
func TestFailureIsOfItsOwnAttempt(t *testing.T) {
	rig := newRig(t)
	r := httptest.NewRequest("GET", jobURL, nil)
	u := rig.proxy.newRun(httptest.NewRecorder(), r, rig.customer, arrival{at: time.Now(), limit: time.Minute}, "s/dispatch", serviceRule("GET", false))
	defer u.close()
	refused := &backend.Error{Outcome: attempt.Refused, Leaving: true}
	for i, try := range []func(*slot) attempt.Action{
		func(*slot) attempt.Action { return u.failed(refused) },
		func(*slot) attempt.Action { // the caller goes within the answer
			u.x.Step(u.event(attempt.Header))
			return u.x.Step(u.event(attempt.Expired))
		},
	} {
		granted := &fakeSlot{p: rig.picker}
		u.x.BeginAttempt()
		u.attemptOnce(&slot{Slot: granted, now: time.Now, began: time.Now()}, try)
		assert.Equal(t, granted.results[0].Leaving, i == 0)
	}
}

// Calls that servers may take for one another are not to be repeated either.
func TestOnceMatchesEveryForm(t *testing.T) {
	list := []string{"POST /bookings", "POST /stock/*", "put /Hold/"}
	for call, want := range map[string]bool{
		"POST /bookings": true, "POST /bookings/": true, "post /Bookings": true, "POST /bookings;v=1": true,
		"POST /bookings2": false, "GET /bookings": false, "POST /bookings/7": false,
		"POST /stock": true, "POST /stock/": true, "POST /stock/beans": true, "POST /STOCK;x/beans/2": true,
		"POST /stocks": false, "PUT /hold": true, "PUT /hold/": true,
	} {
		method, path, _ := strings.Cut(call, " ")
		assert.Equal(t, isOnce(list, method, path), want, call)
	}
}

// A body that does not come holds nothing beyond the request's time.
func TestBodyThatDoesNotComeIsRefused(t *testing.T) {
	rig := newRig(t, newService())
	c, err := net.Dial("tcp", rig.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /services/dispatch/x HTTP/1.1\r\nHost: h\r\nWindscale-Timeout: 50ms\r\nContent-Length: 9\r\n\r\nx")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, resp.Header.Get("Windscale-Run"), "no")
}

// With one attempt in twenty failing, the retry allowance hides the failures
// and adds no more than its percentage to the load.
func TestAllowanceHidesSparseFailures(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var attempts int
	flaky := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		attempts++
		fails := rng.Float64() < 0.05
		mu.Unlock()
		if fails {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	rig := newRig(t, flaky, flaky)
	const requests = 1000
	answered := 0
	for range requests {
		if got := send(t, "GET", rig.URL+"/services/dispatch/jobs/7", "", nil); got.status == 200 {
			answered++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d of %d answered with %d attempts", answered, requests, attempts)
	assert.Assert(t, answered >= requests*99/100, "%d answered", answered)
	assert.Assert(t, attempts <= requests*11/10+3, "%d attempts", attempts)
}

// FuzzCanonical: what the settings are asked about is what a server reads.
func FuzzCanonical(f *testing.F) {
	for _, seed := range []string{"/", "/a/b", "/a%2Fb", "/%62ookings", "/..%2f", "/a;x/..;y", "/%", "/%00", "//", "/a%3Fb%23c", "/%E4", "/a\\b", "/%5c"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, escaped string) {
		path, ok := canonical(escaped)
		if !ok {
			return
		}
		sent := (&url.URL{Scheme: "http", Host: "h", Path: path, RawPath: escaped}).RequestURI()
		read, err := url.ParseRequestURI(sent)
		assert.NilError(t, err)
		assert.Equal(t, read.Path, path)
		assert.Equal(t, read.RawQuery, "")
		assert.Equal(t, pathpkg.Clean(path), pathpkg.Clean("/"+strings.Trim(path, "/")))
		assert.Assert(t, !strings.Contains(path, "//") && !strings.Contains(path+"/", "/../"))
	})
}
