package settingsstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// peer has one version.
type peer struct{ *Follower }

func (p peer) Highest(context.Context) (uint64, [32]byte, []byte, error) {
	s := p.Current()
	return s.Version, s.Digest, s.Source, nil
}

// A router that runs takes a newer version from its peers while the store is
// down.
func TestNewerVersionComesFromPeersInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFake()
		p.accept(t, "[tree]")
		ahead := NewFollower(Config{Table: p, Objects: p})
		f := NewFollower(Config{Table: p, Objects: p, Peers: peer{ahead}, Rand: half})
		ahead.poll(t.Context())
		f.poll(t.Context())
		p.accept(t, "[fleet]")
		ahead.poll(t.Context())
		p.outage.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		f.Hint(2)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, f.version(), uint64(2))
		cancel()
	})
}
