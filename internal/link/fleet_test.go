package link

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/test/loopback"
)

const (
	kindPlain uint8 = 7
	kindBad   uint8 = 8 // the test's FetchHandler refuses it
	kindHang  uint8 = 9 // the test's FetchHandler does not answer it
)

// fleet is a few links on loopback with one CA.
type fleet struct {
	t         *testing.T
	authority *fleetcert.Authority

	mu    sync.Mutex
	addrs map[msg.RouterID]string
	got   map[string]int // "TO<FROM:BODY" to how often
	lost  map[*Link]bool // links whose socket the test has closed
}

// loseSocket closes a link's socket under it: nothing leaves any more, no goodbye either.
func (f *fleet) loseSocket(l *Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[l] = true
	assert.NilError(f.t, l.transport.Conn.Close())
}

// checkEnd checks how a link ended: without an error, or, if it noticed before its stop that its
// socket is gone, by saying that it can't listen.
func (f *fleet) checkEnd(l *Link, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost[l] && KindOf(err) == KindListen {
		return
	}
	assert.Check(f.t, err)
}

func newFleet(t *testing.T) *fleet {
	authority, err := fleetcert.NewAuthority(time.Now())
	assert.NilError(t, err)
	return &fleet{t: t, authority: authority, addrs: map[msg.RouterID]string{}, got: map[string]int{}, lost: map[*Link]bool{}}
}

func (f *fleet) credentials(id msg.RouterID) fleetcert.Credentials {
	pair, err := f.authority.Router(id, nil, time.Now())
	assert.NilError(f.t, err)
	c, err := fleetcert.NewCredentials(pair, f.authority.Pool())
	assert.NilError(f.t, err)
	return c
}

func (f *fleet) resolve(id msg.RouterID) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr, ok := f.addrs[id]
	return addr, ok
}

func (f *fleet) setAddr(id msg.RouterID, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs[id] = addr
}

func (f *fleet) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.got[key]
}

// start runs a link; it and its Run end with the test or by stop.
func (f *fleet) start(id msg.RouterID, c fleetcert.Credentials, listen string) (l *Link, stop func()) {
	return f.startSource(id, c, listen)
}

func (f *fleet) startSource(id msg.RouterID, c fleetcert.Source, listen string) (l *Link, stop func()) {
	l, err := New(Config{
		ID: id, Listen: listen, TLS: c, Resolve: f.resolve,
		Handler: func(from msg.RouterID, kind uint8, body []byte) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.got[fmt.Sprintf("%s<%s:%s", id, from, body[:min(len(body), 20)])]++
		},
		FetchHandler: func(ctx context.Context, from msg.RouterID, kind uint8, req []byte) ([]byte, error) {
			switch kind {
			case kindBad:
				return nil, &Error{Kind: KindRefused, Peer: from}
			case kindHang:
				<-ctx.Done()
				return nil, &Error{Kind: KindTimeout, Peer: from}
			}
			return append([]byte(from+":"), req...), nil
		},
	})
	assert.NilError(f.t, err)
	f.setAddr(id, l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		f.checkEnd(l, <-ended)
	})
	f.t.Cleanup(stop)
	return l, stop
}

func (f *fleet) link(id msg.RouterID) *Link {
	l, _ := f.start(id, f.credentials(id), "127.0.0.1:0")
	return l
}

// reserveAddr reserves an address that a link can listen on again after a restart.
func reserveAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopback.ReserveAddr()
	assert.NilError(t, err)
	return addr
}

// until waits for a condition; how long it takes is not judged.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(5*time.Millisecond))
}

// deliver sends until the message arrives, since any one may be lost.
func (f *fleet) deliver(from *Link, to msg.RouterID, body string) {
	f.t.Helper()
	key := fmt.Sprintf("%s<%s:%s", to, from.config.ID, body)
	until(f.t, key, func() bool {
		from.Send(to, kindPlain, []byte(body))
		return f.count(key) > 0
	})
}

func fetchContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	return ctx
}
