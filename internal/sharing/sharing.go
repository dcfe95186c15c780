// Package sharing is the shell around the decision core of package share: it
// gives the core the time, callers' requests, peers' messages and load
// reports, and carries out what the core decides. It implements
// dispatch.Picker.
package sharing

import (
	"context"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/dispatch"
)

// tickInterval is how often the core is told the time when nothing happens.
const tickInterval = 5 * time.Millisecond

// Effects are what the core's decisions need of the process. All are called
// with the Sharer's lock held, so none may block or call back.
type Effects struct {
	Send  func(to msg.RouterID, m *share.Message)
	Probe func(msg.ServerID)
	// Newer says that a peer has a newer version of the settings.
	Newer func(version uint64)
	// Addr finds a server's address, IP:port, where a grant has none.
	Addr func(msg.ServerID) (string, bool)
}

// Sharer owns a share.Node. Any goroutine may call its methods.
type Sharer struct {
	effects Effects
	start   time.Time

	mu      sync.Mutex // guards what follows
	node    *share.Node
	split   int // divides each server's slots: above 1 only in the baseline, see SetSplit
	waiting map[msg.RequestID]*waiter
	addrs   map[msg.ServerID]string // of the last SetServers
}

// waiter is a request in Acquire. verdict has room for the one answer.
type waiter struct {
	verdict chan verdict
}

// verdict is a server or a refusal.
type verdict struct {
	server  dispatch.Server
	refusal *dispatch.Refusal
}

// incarnationEpoch is the start of 2026 in nanoseconds.
const incarnationEpoch = 1767225600 * uint64(time.Second)

// incarnation shortens a router's start in nanoseconds to tenths of a second
// since 2026, for which messages need 5 bytes in place of 9 until 2039. No
// router starts twice in so short a time.
func incarnation(ns uint64) uint64 {
	if ns <= incarnationEpoch {
		return ns
	}
	return (ns - incarnationEpoch) / uint64(100*time.Millisecond)
}

// New returns a Sharer. The incarnation is the router's start in nanoseconds.
// Run must be running for time to pass in it.
func New(cfg share.Config, effects Effects) *Sharer {
	cfg.Incarnation = incarnation(cfg.Incarnation)
	return &Sharer{
		effects: effects,
		start:   time.Now(),
		node:    share.New(cfg),
		split:   1,
		waiting: map[msg.RequestID]*waiter{},
	}
}

// Run lets time pass in the core until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.do(func(n *share.Node, now time.Duration) { n.Tick(now) })
		}
	}
}

// do gives the core one input and carries out what it decides.
func (s *Sharer) do(input func(n *share.Node, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.locked(input)
}

// locked is do for a caller that holds the mutex.
func (s *Sharer) locked(input func(n *share.Node, now time.Duration)) {
	input(s.node, time.Since(s.start))
	rd := s.node.Ready()
	for _, st := range rd.Start {
		s.started(st)
	}
	for _, r := range rd.Refuse {
		s.refused(r)
	}
	for _, o := range rd.Send {
		s.effects.Send(o.To, o.Message)
	}
	for _, id := range rd.Probe {
		s.effects.Probe(id)
	}
	if rd.SettingsVersion > 0 {
		s.effects.Newer(rd.SettingsVersion)
	}
}

// started gives a waiting request its server. One that was withdrawn meanwhile
// has told the core so.
func (s *Sharer) started(st share.Start) {
	w, ok := s.waiting[st.Request]
	if !ok {
		return
	}
	delete(s.waiting, st.Request)
	addr, ok := unpack(st.Addr)
	if !ok {
		addr, _ = s.effects.Addr(st.Server) // "" cannot be dialled: not sent
	}
	w.verdict <- verdict{server: dispatch.Server{ID: st.Server, Addr: addr}}
}

// refused tells a waiting request that it gets no slot.
func (s *Sharer) refused(r share.Refusal) {
	w, ok := s.waiting[r.Request]
	if !ok {
		return
	}
	delete(s.waiting, r.Request)
	w.verdict <- verdict{refusal: &dispatch.Refusal{Reason: reasons[r.Reason], RetryAfter: r.RetryAfter}}
}

// reasons are the core's reasons as the entry knows them.
var reasons = map[share.Reason]dispatch.Reason{
	share.QueueFull:    dispatch.QueueFull,
	share.RouterFull:   dispatch.RouterFull,
	share.QueueTimeout: dispatch.QueueTimeout,
	share.NoServer:     dispatch.NoServer,
}

// Acquire implements dispatch.Picker.
func (s *Sharer) Acquire(ctx context.Context, r dispatch.Request) (dispatch.Slot, error) {
	w := &waiter{verdict: make(chan verdict, 1)}
	s.arrive(r, w)
	select {
	case v := <-w.verdict:
		return s.slot(r.ID, v)
	case <-ctx.Done():
	}
	if s.cancel(r.ID) {
		return nil, &dispatch.Refusal{Reason: dispatch.CallerGone}
	}
	v := <-w.verdict // decided meanwhile
	if v.refusal != nil {
		return nil, v.refusal
	}
	s.end(r.ID, share.Result{Unused: true})
	return nil, &dispatch.Refusal{Reason: dispatch.CallerGone}
}

// arrive lets the request wait.
func (s *Sharer) arrive(r dispatch.Request, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[r.ID] = w
	s.locked(func(n *share.Node, now time.Duration) { n.Arrive(now, request(r)) })
}

// cancel withdraws a waiting request; false says that it was decided before.
func (s *Sharer) cancel(id msg.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.waiting[id]; !ok {
		return false
	}
	delete(s.waiting, id)
	s.locked(func(n *share.Node, now time.Duration) { n.Cancel(now, id) })
	return true
}

// slot is what Acquire returns for a verdict.
func (s *Sharer) slot(id msg.RequestID, v verdict) (dispatch.Slot, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return &slot{s: s, id: id, server: v.server}, nil
}

// end frees the slot of a request.
func (s *Sharer) end(id msg.RequestID, r share.Result) {
	s.do(func(n *share.Node, now time.Duration) { n.End(now, id, r) })
}

// request is the core's form of r.
func request(r dispatch.Request) share.Request {
	return share.Request{
		ID:       r.ID,
		Pool:     r.Pool,
		Customer: r.Customer,
		Weight:   r.Weight,
		Bytes:    r.Bytes,
		Avoid:    r.Avoid,
		Limits:   share.Limits(r.Limits),
	}
}

// slot implements dispatch.Slot.
type slot struct {
	s      *Sharer
	id     msg.RequestID
	server dispatch.Server
	once   sync.Once
}

// Server implements dispatch.Slot.
func (l *slot) Server() dispatch.Server { return l.server }

// Progress implements dispatch.Slot.
func (l *slot) Progress(cost msg.Cost) {
	l.s.do(func(n *share.Node, now time.Duration) { n.Progress(now, l.id, cost) })
}

// End implements dispatch.Slot.
func (l *slot) End(r dispatch.Result) {
	l.once.Do(func() {
		l.s.end(l.id, share.Result{
			Cost:    r.Cost,
			First:   r.First,
			Total:   r.Total,
			Leaving: r.Leaving,
			Busy:    r.Busy,
			Unused:  r.Outcome == attempt.NotSent,
		})
	})
}
