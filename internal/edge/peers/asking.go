package peers

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/ask"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

const (
	// firstAnswerTimeout is how long a scheduler may take for its first answer. It answers at once, in
	// less than a millisecond within a data centre; a request must not wait long for one that is gone.
	firstAnswerTimeout = 25 * time.Millisecond
	// queuedTimeout is the time without a sign of life after which a queued ask is given up. One sign of
	// two may be lost.
	queuedTimeout = 60 * time.Millisecond
	// maxOpenAsks limits the open asks that a report names, 9 bytes each.
	maxOpenAsks = 64
)

// asking is a router's side of the exchange with its scheduler.
type asking struct {
	mu        sync.Mutex
	window    *ask.Window
	pending   map[uint64]*pendingAsk
	scheduler string // which was asked last
	breaker   ask.Breaker
}

// newAsking returns the state of a router that has asked nothing. Its IDs begin at a number of the
// clock, so that they exceed those of an earlier process under the same address.
func newAsking(now time.Time) *asking {
	return &asking{window: ask.NewWindow(uint64(now.UnixMicro())), pending: map[uint64]*pendingAsk{}}
}

// pendingAsk is an ask that waits for a decision.
type pendingAsk struct {
	id        uint64
	scheduler string
	decided   chan state.Decision
	queued    chan struct{} // gets the first answer and the signs of life of a queued ask
	began     time.Time
	answered  bool // used by the waiting request only
}

// Decide asks the scheduler of this data centre, and calls apply with its decision unless there is
// none. The next report says that the decision counts in this router's load from when apply returned.
func (p *Peers) Decide(ctx context.Context, a state.Ask, apply func(state.Decision)) ask.Outcome {
	q, o := p.beginAsk()
	if q == nil {
		return o
	}
	defer p.endAsk(q)
	a.ID = q.id
	p.sendSchedule(q.scheduler, scheduleMessage{Asks: []wireAsk{askToWire(a)}})
	d, reason := q.await(ctx, a.Target-a.Age)
	o = ask.Outcome{Scheduler: q.scheduler, Reason: reason, Waited: p.Now().Sub(q.began)}
	p.recordOutcome(q, reason)
	switch reason {
	case ask.Decided:
		apply(d)
	case ask.Declined, ask.NoServer:
	default:
		p.sendSchedule(q.scheduler, scheduleMessage{Withdrawn: []uint64{q.id}})
	}
	return o
}

// beginAsk opens an ask to the scheduler. It returns nil and the reason if there is none to ask.
func (p *Peers) beginAsk() (*pendingAsk, ask.Outcome) {
	now := p.Now()
	addr := p.Scheduler(now)
	if addr == "" {
		return nil, ask.Outcome{Reason: ask.NoScheduler}
	}
	d := p.asking
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr != d.scheduler {
		events.SchedulerChanged.Log(context.Background(), p.Log, slog.LevelInfo, "from", d.scheduler, "to", addr)
		d.scheduler, d.breaker = addr, ask.Breaker{}
	}
	if !d.breaker.Allow(now) {
		return nil, ask.Outcome{Scheduler: addr, Reason: ask.Paused}
	}
	q := &pendingAsk{id: d.window.Begin(), scheduler: addr, decided: make(chan state.Decision, 1), queued: make(chan struct{}, 1), began: now}
	d.pending[q.id] = q
	return q, ask.Outcome{}
}

// endAsk ends an ask: its decision has been applied, or won't be.
func (p *Peers) endAsk(q *pendingAsk) {
	d := p.asking
	d.mu.Lock()
	delete(d.pending, q.id)
	d.window.End(q.id)
	d.mu.Unlock()
	if q.scheduler == p.Self.Addr { // its load counts without a report
		upTo, open := d.ended()
		p.queue.Acknowledge(p.Self.Addr, upTo, open...)
	}
}

// ended returns an ID up to which all asks but the open ones have ended. It must be called before the
// report is taken that says so, so that the report contains their effects.
func (d *asking) ended() (upTo uint64, open []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.window.Ended(maxOpenAsks)
}

// await waits for the decision while the scheduler shows that it is alive, for at most timeLeft. A
// request that has missed its target, such as one that a server has failed, is decided at once or not.
func (q *pendingAsk) await(ctx context.Context, timeLeft time.Duration) (state.Decision, ask.Reason) {
	target := time.NewTimer(max(timeLeft, firstAnswerTimeout))
	defer target.Stop()
	silence := time.NewTimer(firstAnswerTimeout)
	defer silence.Stop()
	for {
		select {
		case d := <-q.decided:
			return q.result(d)
		case <-q.queued:
			q.answered = true
			silence.Reset(queuedTimeout)
			continue
		case <-silence.C:
			return q.resultOr(ask.NoAnswer, ask.Silent)
		case <-target.C:
			return q.resultOr(ask.TargetPassed, ask.TargetPassed)
		case <-ctx.Done():
			return state.Decision{}, ask.CallerLeft
		}
	}
}

// result returns a decision that has arrived.
func (q *pendingAsk) result(d state.Decision) (state.Decision, ask.Reason) {
	q.answered = true
	switch {
	case d.Verdict == state.Declined && d.Reason != state.ReasonNone:
		return d, ask.NoServer
	case d.Verdict == state.Declined:
		return d, ask.Declined
	}
	return d, ask.Decided
}

// resultOr returns the decision if it has arrived in the meantime, as on an overloaded host, or else
// the reason, which depends on whether the scheduler has answered.
func (q *pendingAsk) resultOr(unanswered, answered ask.Reason) (state.Decision, ask.Reason) {
	select {
	case d := <-q.decided:
		return q.result(d)
	default:
	}
	if q.answered {
		return state.Decision{}, answered
	}
	return state.Decision{}, unanswered
}

// recordOutcome records whether the scheduler that was asked works.
func (p *Peers) recordOutcome(q *pendingAsk, r ask.Reason) {
	if !q.answered && (r == ask.CallerLeft || r == ask.TargetPassed) {
		return // it says nothing about the scheduler
	}
	d := p.asking
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.scheduler != d.scheduler {
		return
	}
	lost, back := d.breaker.Record(r, p.Now())
	if lost {
		events.SchedulerLost.Log(context.Background(), p.Log, slog.LevelWarn, "scheduler", q.scheduler, "why", r.String(), "pauseMs", d.breaker.Pause().Milliseconds())
	}
	if back {
		events.SchedulerBack.Log(context.Background(), p.Log, slog.LevelInfo, "scheduler", q.scheduler)
	}
}

// applyDecisions hands decisions to the requests that wait for them. Late and repeated ones are
// dropped: the asks have ended, which the next report says.
func (p *Peers) applyDecisions(from string, list []wireDecision) {
	for _, w := range list {
		q := p.asking.find(from, w.ID)
		if q == nil {
			continue
		}
		d := w.decision(p.Self.Addr)
		if d.Verdict == state.Queued {
			q.noteQueued()
			continue
		}
		select {
		case q.decided <- d:
		default: // repeated
		}
	}
}

// applyQueued applies a sign of life of queued asks. Those that have ended here are withdrawn once
// more: the first withdrawal was lost, or this router has restarted.
func (p *Peers) applyQueued(from string, ids []uint64) {
	var ended []uint64
	for _, id := range ids {
		if q := p.asking.find(from, id); q != nil {
			q.noteQueued()
			continue
		}
		ended = append(ended, id)
	}
	if len(ended) > 0 {
		p.sendSchedule(from, scheduleMessage{Withdrawn: ended})
	}
}

// find returns the pending ask to the scheduler, or nil.
func (d *asking) find(scheduler string, id uint64) *pendingAsk {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.pending[id]; q != nil && q.scheduler == scheduler {
		return q
	}
	return nil
}

// noteQueued records a sign that the ask is queued at a live scheduler.
func (q *pendingAsk) noteQueued() {
	select {
	case q.queued <- struct{}{}:
	default: // the previous one has not been read yet
	}
}
