package follow_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// newConfirmer returns a confirmer of a list that was read once and is not followed, and its store.
func newConfirmer(t *testing.T) (*platformtest.Store, *follow.Confirmer) {
	t.Helper()
	store := platformtest.NewStore()
	store.SetEra(1)
	store.Put("servers", "a", platformtest.ServerEntry("x", "1.2.3.4:5", "ready"))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	c := &follow.Confirmer{State: state.New("dc", 0.2, 80, time.Now), Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"))}
	assert.Assert(t, !c.Current(context.Background()), "no list is known")
	list, err := c.Store.ReadServers(context.Background())
	assert.NilError(t, err)
	c.State.ObserveEra(list.Stamp.Era)
	assert.Assert(t, c.State.ReplaceServers(list.Servers, list.Stamp, true))
	return store, c
}

func TestListIsCurrentOnlyIfTheStoreSaysSo(t *testing.T) {
	store, c := newConfirmer(t)
	assert.Assert(t, c.Current(context.Background()))

	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreSilent })
	assert.Assert(t, !c.Current(cancelled))
	began := time.Now()
	assert.Assert(t, !c.Current(context.Background()))
	assert.Assert(t, time.Since(began) < 2*time.Second, "waits for a silent store")
	store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreUnavailable })
	assert.Assert(t, !c.Current(context.Background()))
}

// A change that this router has not received yet is noticed, whatever it is.
func TestListThatIsBehindIsNotCurrent(t *testing.T) {
	for name, change := range map[string]func(s *platformtest.Store){
		"a server joins": func(s *platformtest.Store) {
			s.Put("servers", "b", platformtest.ServerEntry("x", "1.2.3.4:6", "ready"))
		},
		"a server leaves": func(s *platformtest.Store) { s.Remove("servers", "a") },
		"an entry is bad": func(s *platformtest.Store) { s.Put("servers", "a", []byte("{")) },
		"history is dropped": func(s *platformtest.Store) {
			s.Put("servers", "b", platformtest.ServerEntry("x", "1.2.3.4:6", "ready"))
			s.DropHistory()
		},
		"another era": func(s *platformtest.Store) { s.Restore(s.Snapshot()) },
	} {
		t.Run(name, func(t *testing.T) {
			store, c := newConfirmer(t)
			assert.Assert(t, c.Current(context.Background()))
			change(store)
			assert.Assert(t, !c.Current(context.Background()))
		})
	}
}

// Many requests at once cost few calls.
func TestConfirmationsShareACall(t *testing.T) {
	store, c := newConfirmer(t)
	store.SetDelay(20 * time.Millisecond)
	before := store.Calls("/v1/rows-feed")
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() { assert.Check(t, c.Current(context.Background())) })
	}
	wg.Wait()
	calls := store.Calls("/v1/rows-feed") - before
	assert.Assert(t, calls <= 10, "%d calls", calls)
}
