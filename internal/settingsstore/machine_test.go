package settingsstore

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/platform"
)

// fate is what an operator was told of an edit.
type fate int

const (
	accepted fate = iota + 1
	refused       // not in force, ever
	unsettled
)

// router is a follower with what the oracle saw it hold.
type router struct {
	follower *Follower
	seen     uint64          // the highest version it held since its start
	slow     *settings.Offer // of a read that has not ended
}

// machine is a fleet and its operators. Its oracle is the list of heads that
// the platform took.
type machine struct {
	platform *fake
	routers  []*router
	edits    map[string]Edit
	fates    map[string]fate
	count    int
}

func (m *machine) Highest(context.Context) (version uint64, digest [32]byte, source []byte, err error) {
	for _, r := range m.routers {
		if s := r.follower.Current(); s != nil && s.Version > version {
			version, digest, source = s.Version, s.Digest, s.Source
		}
	}
	if version == 0 {
		return 0, digest, nil, &NoVersionError{}
	}
	return version, digest, source, nil
}

func (m *machine) start() *router {
	return &router{follower: NewFollower(Config{Table: m.platform, Objects: m.platform, Peers: m})}
}

func (m *machine) router(t *rapid.T) *router {
	return rapid.SampledFrom(m.routers).Draw(t, "router")
}

func (m *machine) failures(t *rapid.T) []failure {
	one := rapid.SampledFrom([]failure{fine, fine, down, lostReply, lostCall})
	out := rapid.SliceOfN(one, 0, 8).Draw(t, "failures")
	if rapid.Bool().Draw(t, "then down") {
		out = append(out, slices.Repeat([]failure{down}, 3*attempts)...)
	}
	return out
}

func (m *machine) newEdit(base uint64, weight int) Edit {
	m.count++
	e := Edit{
		ID:     fmt.Sprint("edit-", m.count),
		Base:   base,
		Source: fmt.Appendf(nil, "[tree]\nweight = %d\n", weight),
		Editor: "operator",
	}
	m.edits[e.ID] = e
	return e
}

// accept tries an edit and notes what its operator is told.
func (m *machine) accept(t *rapid.T, e Edit) {
	got, err := m.platform.store().Accept(context.Background(), e)
	var doubt *UnsettledError
	var conflict *ConflictError
	switch {
	case err == nil && got.Unchanged:
		m.fates[e.ID] = refused // no version of its own
	case err == nil:
		m.fates[e.ID] = accepted
	case errors.As(err, &doubt):
		m.fates[e.ID] = unsettled
	case errors.As(err, &conflict):
		if conflict.Won.EditID == e.ID {
			t.Fatalf("%s lost against itself", e.ID)
		}
		m.fates[e.ID] = refused
	case m.fates[e.ID] != unsettled:
		m.fates[e.ID] = refused
	}
}

func (m *machine) Edit(t *rapid.T) {
	back := rapid.IntRange(0, 1).Draw(t, "behind")
	base := uint64(max(0, len(m.platform.heads)-back))
	e := m.newEdit(base, rapid.IntRange(1, 5).Draw(t, "weight"))
	m.platform.next = m.failures(t)
	if rapid.Bool().Draw(t, "race") {
		rival := m.newEdit(base, rapid.IntRange(6, 9).Draw(t, "rival"))
		m.platform.race = func() { m.accept(t, rival) }
	}
	wasOut := m.platform.outage.Load()
	m.platform.breaks = rapid.Bool().Draw(t, "breaks")
	m.accept(t, e)
	m.platform.outage.Store(wasOut)
	m.platform.breaks = false
	m.platform.race = nil
	m.platform.next = nil
}

// TryAgain tries an unsettled edit again, with its ID.
func (m *machine) TryAgain(t *rapid.T) {
	for i := 1; i <= m.count; i++ {
		id := fmt.Sprint("edit-", i)
		if m.fates[id] == unsettled {
			m.platform.next = m.failures(t)
			m.accept(t, m.edits[id])
			m.platform.next = nil
			return
		}
	}
	t.Skip("nothing is unsettled")
}

func (m *machine) Poll(t *rapid.T) {
	r := m.router(t)
	m.platform.next = m.failures(t)
	calm := len(m.platform.next) == 0 && !m.platform.outage.Load()
	r.follower.poll(context.Background())
	m.platform.next = nil
	if head := uint64(len(m.platform.heads)); calm && r.follower.version() != head {
		t.Fatalf("version %d after a good read of head %d", r.follower.version(), head)
	}
}

func (m *machine) BeginSlowRead(t *rapid.T) {
	r := m.router(t)
	r.slow, _ = r.follower.fetch(context.Background())
}

func (m *machine) EndSlowRead(t *rapid.T) {
	r := m.router(t)
	if r.slow != nil {
		r.follower.offer("table", *r.slow)
		r.slow = nil
	}
}

// StalePeer offers any version that was ever in force, with its text or
// another one.
func (m *machine) StalePeer(t *rapid.T) {
	if len(m.platform.heads) == 0 {
		t.Skip("no version yet")
	}
	r := m.router(t)
	head := rapid.SampledFrom(m.platform.heads).Draw(t, "version")
	source := m.platform.objects[head.Object]
	if rapid.Bool().Draw(t, "damaged") {
		source = []byte("[tree]\nweight = 77\n")
	}
	r.follower.OfferPeer(head.Version, head.Digest, source)
}

func (m *machine) Restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.routers)-1).Draw(t, "index")
	m.routers[i] = m.start()
	peers, _, _, _ := m.Highest(context.Background())
	m.routers[i].follower.poll(context.Background())
	if got := m.routers[i].follower.version(); got < peers {
		t.Fatalf("started with version %d, a peer has %d", got, peers)
	}
}

func (m *machine) Outage(*rapid.T) { m.platform.outage.Store(!m.platform.outage.Load()) }

func (m *machine) Check(t *rapid.T) {
	m.checkHistory(t)
	for _, r := range m.routers {
		m.checkRouter(t, r)
	}
}

// checkHistory: versions follow one another, each edit stands once at most,
// and what operators were told is so.
func (m *machine) checkHistory(t *rapid.T) {
	times := map[string]int{}
	for i, h := range m.platform.heads {
		if h.Version != uint64(i+1) {
			t.Fatalf("head %d has version %d", i+1, h.Version)
		}
		times[h.EditID]++
	}
	for id, fate := range m.fates {
		n := times[id]
		if n > 1 || fate == accepted && n != 1 || fate == refused && n != 0 {
			t.Fatalf("%s is in force %d times, told %d", id, n, fate)
		}
	}
}

func (m *machine) checkRouter(t *rapid.T, r *router) {
	s := r.follower.Current()
	if s == nil {
		if r.seen > 0 {
			t.Fatalf("lost version %d", r.seen)
		}
		return
	}
	if s.Version < r.seen {
		t.Fatalf("reverted from %d to %d", r.seen, s.Version)
	}
	r.seen = s.Version
	want := m.platform.heads[s.Version-1].Digest
	if sha256.Sum256(s.Source) != want || s.Digest != want {
		t.Fatalf("version %d has another text", s.Version)
	}
}

// The settings under faults: racing operators, lost replies, slow reads,
// stale and damaged peers, outages and restarts, against the list of heads.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{platform: newFake(), edits: map[string]Edit{}, fates: map[string]fate{}}
		for range 3 {
			m.routers = append(m.routers, m.start())
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

var _ platform.Table = (*fake)(nil)
