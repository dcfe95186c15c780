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

// The host is suspended for longer than a request's time while its server is silent: the
// request is given up at the return, not that much later, and the answer says that it may have run.
// The request's time is longer than the test's: nothing else ends it.
func TestASuspensionEndsRequestsWhoseTimeIsOver(t *testing.T) {
	const time10 = 10 * time.Minute
	var ahead atomic.Int64
	r := newRig(t)
	r.handler.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	route := platformtest.Route{Prefix: "/u/", Kind: "unsafe", Service: "app", MaxAttempts: 2, Timeout: time10}
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
	platformtest.SetRequestHeaders(req.Header, "attempt", "k", time10, "")
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
		time.Sleep(time.Millisecond) // the test's own time limit bounds it
	}
	r.handler.Resumed()
	assert.Equal(t, r.handler.Running(), int64(1), "nothing was suspended")
	ahead.Store(int64(time10))
	r.handler.Resumed()
	select {
	case status := <-answered:
		assert.Equal(t, status, http.StatusGatewayTimeout)
	case <-time.After(20 * time.Second):
		t.Fatal("the request goes on")
	}
	assert.Equal(t, len(runs(plain)), 1)
}
