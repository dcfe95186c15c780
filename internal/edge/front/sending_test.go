package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// afterPlacement calls hook between the placement of a request and its sending.
type afterPlacement struct {
	front.Headers
	hook func(server string)
}

func (a afterPlacement) SetForwardHeaders(h http.Header, o routing.ForwardMeta) {
	a.hook(o.ServerID)
	a.Headers.SetForwardHeaders(h, o)
}

// Guards against sending a request to a server that began to drain after the placement. An
// overloaded host sent a request 0.9 s after it received it.
func TestServerDrainingAfterPlacementGetsNoRequest(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	list, _ := r.state.Servers()
	left := ""
	r.handler.Headers = afterPlacement{platform.Headers{}, func(id string) {
		if left != "" {
			return
		}
		left = id
		for i := range list {
			if list[i].ID == id {
				list[i].State = routing.ServerDraining
			}
		}
		r.state.ReplaceServers(list, roster.Stamp{Version: 2}, true)
	}}
	a := r.call(context.Background(), "POST", "/u/x", "k", "body")
	assert.Equal(t, a.status, 200, "the other server must serve it")
	for _, s := range plain {
		if s.ID == left {
			assert.Equal(t, len(s.Runs()), 0)
		}
	}
	assert.Assert(t, !strings.Contains(r.log.String(), "suspected"), "a draining server must not be suspected")
}

// Guards against holding an event back until the next one is complete.
func TestEventIsForwardedBeforeNextIsComplete(t *testing.T) {
	r := newRig(t)
	r.configure()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	rest := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		attempt := req.Header.Get(platformtest.AttemptHeader)
		first, second := platformtest.Event(attempt, 1), platformtest.Event(attempt, 2)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s%s",
			platformtest.AttemptHeader, attempt, len(first)+len(second), first, second[:len(second)-1])
		<-rest
		_, _ = io.WriteString(c, second[len(second)-1:])
	}()
	r.state.ReplaceServers([]routing.Server{{ID: "i", Service: "llm", Addr: ln.Addr().String(), Slots: 8, State: routing.ServerReady}}, roster.Stamp{Version: 1}, true)
	req, err := http.NewRequest("POST", r.server.URL+"/s/x", strings.NewReader("body"))
	assert.NilError(t, err)
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, "one", "k", 2*time.Second, "aa:600,bb:100")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	got := make([]byte, len(platformtest.Event("one", 1)))
	_, err = io.ReadFull(resp.Body, got) // limited by the route's timeout
	assert.NilError(t, err)
	assert.Equal(t, string(got), platformtest.Event("one", 1))
	close(rest)
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), platformtest.Event("one", 2))
}
