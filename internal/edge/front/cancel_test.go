package front_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// Guards against a request that outlives its deadline by the length of a suspension of the host. It
// must end when the host resumes, with the status that says that it may have run. Its timeout is
// longer than the test's, so nothing else ends it.
func TestResumeCancelsExpiredRequests(t *testing.T) {
	const requestTimeout = 10 * time.Minute
	var ahead atomic.Int64
	r := newRig(t)
	r.handler.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	route := platformtest.Route{Prefix: "/u/", Kind: "unsafe", Service: "app", MaxAttempts: 2, Timeout: requestTimeout}
	text := platformtest.Config(1, []platformtest.Route{route}, nil, []string{"app"}, map[string]string{"k": "ana"})
	c, err := platform.DecodeConfig(text)
	assert.NilError(t, err)
	r.state.ApplyConfig(c, text)
	_, plain := r.servers(2)
	for _, s := range plain {
		s.SetFault(func(string) platformtest.Fault { return platformtest.NoResponse })
	}
	req, err := http.NewRequest(http.MethodPost, r.server.URL+"/u/x", nil)
	assert.NilError(t, err)
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, "attempt", "k", requestTimeout, "")
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- 0
			return
		}
		_ = resp.Body.Close()
		answered <- resp.StatusCode
	}()
	for len(runs(plain)) == 0 {
		time.Sleep(time.Millisecond) // limited by the test timeout
	}
	r.handler.CancelExpired()
	assert.Equal(t, r.handler.InFlight(), int64(1), "no deadline has passed")
	ahead.Store(int64(requestTimeout))
	r.handler.CancelExpired()
	select {
	case status := <-answered:
		assert.Equal(t, status, http.StatusGatewayTimeout)
	case <-time.After(20 * time.Second):
		t.Fatal("the request was not cancelled")
	}
	assert.Equal(t, len(runs(plain)), 1)
}
