package peers

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

const (
	// queueInterval is how often a scheduler looks for room for its queued asks. Doing so at each report
	// would cost a multiple, and find room a few milliseconds earlier.
	queueInterval = 5 * time.Millisecond
	// signTicks is the number of queueIntervals between two signs of life of queued asks.
	signTicks = 5
	// maxScheduleEntries limits the decisions and IDs in one message.
	maxScheduleEntries = 64
)

// scheduling is a scheduler's side of the exchange with the routers of its data centre.
type scheduling struct {
	wake chan struct{} // gets a value when an ask was queued

	mu       sync.Mutex
	queuedAt map[askKey]time.Time // asks in the queue
	active   bool                 // this router schedules, as last logged
}

// scheduleQueue decides on asks. It is implemented by state.State.
type scheduleQueue interface {
	// Schedule decides on an ask or queues it.
	Schedule(a state.Ask) state.Decision
	// DueDecisions returns the decisions on queued asks that can be made now.
	DueDecisions() []state.Decision
	// Waiting returns how many asks are queued, QueuedAsks their IDs by asking router.
	Waiting() int
	QueuedAsks() map[string][]uint64
	// Withdraw removes an ask from the queue. One that isn't queued is ignored.
	Withdraw(from string, id uint64)
	// Acknowledge says that the loads of a router contain the decisions on its asks up to an ID but
	// the open ones.
	Acknowledge(from string, upTo uint64, open ...uint64)
}

// askKey identifies an ask at its scheduler.
type askKey struct {
	from string
	id   uint64
}

func newScheduling() *scheduling {
	return &scheduling{wake: make(chan struct{}, 1), queuedAt: map[askKey]time.Time{}}
}

// SchedulerStats counts a scheduler's work.
type SchedulerStats struct {
	verdicts [state.VerdictCount]atomic.Int64
	waits    atomic.Int64 // number of queued asks that were decided
	waited   atomic.Int64 // their total time in the queue, in ns
}

// EachVerdict calls f for each verdict, with the number of decisions so far.
func (s *SchedulerStats) EachVerdict(f func(verdict string, count func() int64)) {
	for v := range s.verdicts {
		f(state.Verdict(v).String(), s.verdicts[v].Load)
	}
}

// Waited returns how many queued asks were decided and their total time in the queue.
func (s *SchedulerStats) Waited() (asks int64, total time.Duration) {
	return s.waits.Load(), time.Duration(s.waited.Load())
}

// Scheduler returns the address of the router that schedules the requests of this data centre, or an
// empty address if there is none. A router that has just become the scheduler does not ask itself.
func (p *Peers) Scheduler(now time.Time) string {
	if p.WithoutScheduler {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.spread.Scheduler(now)
	if addr == p.Self.Addr && !p.spread.IsScheduler(now) {
		return ""
	}
	return addr
}

// IsScheduler reports whether this router schedules the requests of its data centre.
func (p *Peers) IsScheduler(now time.Time) bool { return p.Scheduler(now) == p.Self.Addr }

// logSchedulerRole logs when this router begins or ceases to be the scheduler.
func (p *Peers) logSchedulerRole(now time.Time) {
	active := p.IsScheduler(now)
	d := p.scheduling
	d.mu.Lock()
	changed := active != d.active
	d.active = active
	d.mu.Unlock()
	if changed {
		events.SchedulerRole.Log(context.Background(), p.Log, slog.LevelInfo, "active", active, "routers", p.Live(), "waiting", p.queue.Waiting())
	}
}

// sendSchedule sends a message on scheduling to a router, which may be this one.
func (p *Peers) sendSchedule(to string, m scheduleMessage) {
	m.From = p.Self.Addr
	if to == p.Self.Addr {
		p.handleSchedule(m)
		return
	}
	p.send([]string{to}, heartbeat{Kind: kindSchedule, Schedule: &m})
}

// handleSchedule handles a message on scheduling.
func (p *Peers) handleSchedule(m scheduleMessage) {
	if m.From == "" {
		return
	}
	p.applyDecisions(m.From, m.Decisions)
	p.applyQueued(m.From, m.Queued)
	for _, id := range m.Withdrawn {
		p.queue.Withdraw(m.From, id)
		p.scheduling.remove(askKey{m.From, id}, p.Now())
	}
	p.decide(m.From, m.Asks)
}

// decide decides on asks of a router, or queues them.
func (p *Peers) decide(from string, asks []wireAsk) {
	if len(asks) == 0 {
		return
	}
	now := p.Now()
	isScheduler := p.IsScheduler(now)
	waited := time.Duration(0)
	if from != p.Self.Addr {
		waited = p.ProcessorWait()
	}
	var decisions []wireDecision
	for _, w := range asks {
		d := state.Decision{From: from, ID: w.ID}
		if isScheduler {
			d = withReason(p.queue.Schedule(w.ask(from, waited)))
		}
		p.Stats.Scheduler.verdicts[d.Verdict].Add(1)
		if d.Verdict == state.Queued {
			p.scheduling.add(askKey{from, w.ID}, now)
		}
		decisions = append(decisions, decisionToWire(d))
	}
	p.sendSchedule(from, scheduleMessage{Decisions: decisions})
}

// withReason distinguishes a scheduler that knows no server for a request from a router that doesn't
// schedule, which is better not asked again.
func withReason(d state.Decision) state.Decision {
	if d.Verdict == state.Declined {
		d.Reason = state.ReasonNoServer
	}
	return d
}

// add records that an ask was queued, and wakes the loop that decides on it.
func (d *scheduling) add(key askKey, now time.Time) {
	d.mu.Lock()
	d.queuedAt[key] = now
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default: // it is awake
	}
}

// remove records that an ask has left the queue, and returns how long it was there.
func (d *scheduling) remove(key askKey, now time.Time) (waited time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.queuedAt[key]
	if !known {
		return 0, false
	}
	delete(d.queuedAt, key)
	return now.Sub(at), true
}

// RunScheduler decides on queued asks until ctx ends. It sleeps while there are none, since each
// wake-up costs processor time on a small host.
func (p *Peers) RunScheduler(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.scheduling.wake:
			p.serveQueue(ctx)
		}
	}
}

// serveQueue decides on queued asks until there are none.
func (p *Peers) serveQueue(ctx context.Context) {
	t := time.NewTicker(queueInterval)
	defer t.Stop()
	for ticks := 1; p.queue.Waiting() > 0; ticks++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.sendDueDecisions()
		if ticks%signTicks == 0 {
			p.sendSigns()
		}
	}
}

// sendDueDecisions sends the decisions that can be made now, those of one router together.
func (p *Peers) sendDueDecisions() {
	now := p.Now()
	decisions := map[string][]wireDecision{}
	for _, d := range p.queue.DueDecisions() {
		p.Stats.Scheduler.verdicts[d.Verdict].Add(1)
		if waited, known := p.scheduling.remove(askKey{d.From, d.ID}, now); known {
			p.Stats.Scheduler.waits.Add(1)
			p.Stats.Scheduler.waited.Add(int64(waited))
		}
		decisions[d.From] = append(decisions[d.From], decisionToWire(withReason(d)))
	}
	for _, to := range slices.Sorted(maps.Keys(decisions)) {
		for list := range slices.Chunk(decisions[to], maxScheduleEntries) {
			p.sendSchedule(to, scheduleMessage{Decisions: list})
		}
	}
}

// sendSigns tells each router which of its asks are queued here.
func (p *Peers) sendSigns() {
	queued := p.queue.QueuedAsks()
	for _, to := range slices.Sorted(maps.Keys(queued)) {
		for ids := range slices.Chunk(queued[to], maxScheduleEntries) {
			p.sendSchedule(to, scheduleMessage{Queued: ids})
		}
	}
}

// applyEndedAsks applies what a router's own report, which has just been applied, says of its asks.
func (p *Peers) applyEndedAsks(w heartbeat) {
	if w.Kind == kindOwn && w.EndedAsks > 0 {
		p.queue.Acknowledge(w.ControlAddr, w.EndedAsks, w.OpenAsks...)
	}
}
