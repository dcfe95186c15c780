// Package members is the shell around the membership core of package member:
// it gives the core the time, peers' messages and the host list, sends what it
// asks for and tells the router of each change.
package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/member"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/wire"
)

const (
	// syncTimeout bounds one exchange of views.
	syncTimeout = 2 * time.Second
	// maxMessage bounds what is decoded, in bytes.
	maxMessage = 1 << 20
)

// Effects are what the membership needs of the process. All but Sync are called
// with the lock of Members held, so that none of them may call back.
type Effects struct {
	// Send gives a message to a peer, best effort. It must not block.
	Send func(to msg.RouterID, body []byte)
	// Sync asks a peer for its view and returns the answer, from a goroutine of
	// its own.
	Sync func(ctx context.Context, to msg.RouterID, req []byte) ([]byte, error)
	// Changed takes the new view. Calls follow each other in order.
	Changed func([]member.Member)
	// Newer says that a peer has a newer version of the settings.
	Newer func(version uint64)
	// Superseded says that the fleet knows a later incarnation of this router.
	Superseded func(incarnation uint64)
}

// Members owns a member.Node. Any goroutine may call its methods.
type Members struct {
	effects Effects
	start   time.Time
	ctx     context.Context // bounds the exchanges of views

	mu       sync.Mutex
	node     *member.Node
	changes  uint64 // of the view
	departed bool   // nothing more is given to the core

	wg sync.WaitGroup // exchanges under way
}

// New returns a view that holds this router only. ctx bounds the exchanges
// that Run does not wait for.
func New(ctx context.Context, id msg.RouterID, incarnation uint64, dataCentre string, effects Effects) *Members {
	cfg := member.Config{
		ID:          id,
		Incarnation: incarnation,
		DataCentre:  dataCentre,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	return &Members{effects: effects, start: time.Now(), node: member.New(cfg), ctx: ctx}
}

// Run lets time pass in the core until ctx ends, and then announces the end of
// this process.
func (m *Members) Run(ctx context.Context) error {
	t := time.NewTicker(member.TickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			m.depart()
			return nil
		case <-t.C:
			m.do(func(n *member.Node, now time.Duration) { n.Tick(now) })
		}
	}
}

// do gives the core one input and carries out what it asks for. It returns false
// after the departure: the core takes nothing more.
func (m *Members) do(input func(n *member.Node, now time.Duration)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.departed {
		return false
	}
	input(m.node, time.Since(m.start))
	m.carryOut(m.node.Ready())
	return true
}

// depart announces the end of this process and waits for the exchanges under
// way.
func (m *Members) depart() {
	m.do(func(n *member.Node, now time.Duration) {
		n.AnnounceLeft(now)
		m.departed = true
	})
	m.wg.Wait()
}

// carryOut does what the core asks for. The mutex is held.
func (m *Members) carryOut(rd member.Ready) {
	for _, o := range rd.Send {
		if body, err := wire.Marshal(o.Message); err == nil {
			m.effects.Send(o.To, body)
		}
	}
	for _, to := range rd.Sync {
		req := m.node.SyncRequest()
		m.wg.Go(func() { m.sync(to, req) })
	}
	if rd.Changed {
		m.changes++
		m.effects.Changed(m.node.Members())
	}
	if rd.Newer.Version > 0 {
		m.effects.Newer(rd.Newer.Version)
	}
	if rd.Superseded > 0 {
		m.effects.Superseded(rd.Superseded)
	}
}

// sync exchanges views with a peer. A failure is tried again by the core.
func (m *Members) sync(to msg.RouterID, req member.SyncMessage) {
	body, err := wire.Marshal(req)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, syncTimeout)
	defer cancel()
	answer, err := m.effects.Sync(ctx, to, body)
	if err != nil {
		return
	}
	var full member.SyncMessage
	if err := wire.Unmarshal(answer, maxMessage, &full); err != nil {
		return
	}
	m.do(func(n *member.Node, now time.Duration) { n.SyncDone(now, full) })
}

// Step takes a peer's message. Its error is *wire.Error.
func (m *Members) Step(from msg.RouterID, body []byte) error {
	var x member.Message
	if err := wire.Unmarshal(body, maxMessage, &x); err != nil {
		return err
	}
	m.do(func(n *member.Node, now time.Duration) { n.Step(now, from, x) })
	return nil
}

// Departed is the error of a router that has announced its end.
type Departed struct{}

// Error implements error.
func (Departed) Error() string { return "the router has departed" }

// Answer answers a peer that asks for this router's view. Its error is
// *wire.Error or Departed.
func (m *Members) Answer(req []byte) ([]byte, error) {
	var full member.SyncMessage
	if err := wire.Unmarshal(req, maxMessage, &full); err != nil {
		return nil, err
	}
	var reply member.SyncMessage
	if !m.do(func(n *member.Node, now time.Duration) { reply = n.SyncReply(now, full) }) {
		return nil, Departed{}
	}
	return wire.Marshal(reply)
}

// SetCandidates replaces the routers that may exist.
func (m *Members) SetCandidates(list []member.Candidate) {
	m.do(func(n *member.Node, now time.Duration) { n.SetCandidates(now, list) })
}

// SetSettings tells the version in force here, which is passed on.
func (m *Members) SetSettings(version uint64) {
	m.do(func(n *member.Node, now time.Duration) { n.SetSettingsVersion(now, version) })
}

// Leave announces that this router finishes its work and takes no more.
func (m *Members) Leave() {
	m.do(func(n *member.Node, now time.Duration) { n.StartLeaving(now) })
}

// View returns the members, this router included, and how often they changed.
func (m *Members) View() (list []member.Member, changes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members(), m.changes
}
