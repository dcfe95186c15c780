package state

import (
	"math"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/schedule"
)

const (
	// scheduleMargin is kept of the latency target for the ways of the decision, the request and the
	// first token, and for errors of the estimates.
	scheduleMargin = 30 * time.Millisecond
	// assignmentTTL is how long an assignment counts without a report of its router: two intervals of
	// reports in the largest fleets, 320 ms each, and their delay.
	assignmentTTL = 700 * time.Millisecond
	// overloadAfter is how long a queue that is never empty is a burst, in which a request may wait as
	// long as its answer can be in time. After that it is an overload: more waiting serves nobody else,
	// and a request waits overloadWait at most, which leaves its caller time for another try.
	overloadAfter = 500 * time.Millisecond
	overloadWait  = 100 * time.Millisecond
	// shortagePeriod is how long customers far above their share get nothing after one at or below its
	// share was rejected here. Its caller returns within that time, and then goes first.
	shortagePeriod = maxRetryAfter
	// maxTries bounds the queued asks that one call of DueDecisions tries to assign.
	maxTries = 32
	// minTryInterval and maxTryInterval bound when an ask is tried again whose best engine has no
	// room yet: after the expected time, in case the estimates change.
	minTryInterval = 5 * time.Millisecond
	maxTryInterval = 20 * time.Millisecond
)

// scheduler is what a router knows as the scheduler of its data centre.
type scheduler struct {
	queue    *schedule.Queue[Ask]
	assigned []assignment // not acknowledged yet, in the order of the decisions
	emptyAt  time.Time    // when the queue was last found empty
	// shortAt is when a customer at or below its share was last rejected here.
	shortAt time.Time
}

// assignment is a decision whose effect the reports may not contain yet.
type assignment struct {
	key  schedule.Key
	at   time.Time
	load *pick.Assigned
}

func newScheduler() scheduler { return scheduler{queue: schedule.NewQueue[Ask]()} }

// drop removes the assignments for which f returns true from the loads.
func (c *scheduler) drop(p *pick.Picker, f func(assignment) bool) {
	c.assigned = slices.DeleteFunc(c.assigned, func(a assignment) bool {
		if !f(a) {
			return false
		}
		p.Unassign(a.load)
		return true
	})
}

// acknowledge ends the separate count of one assignment.
func (c *scheduler) acknowledge(p *pick.Picker, k schedule.Key) {
	c.drop(p, func(a assignment) bool { return a.key == k })
}

// expire ends the separate count of assignments whose routers don't report.
func (c *scheduler) expire(p *pick.Picker, now time.Time) {
	if len(c.assigned) > 0 && now.Sub(c.assigned[0].at) > assignmentTTL {
		c.drop(p, func(a assignment) bool { return now.Sub(a.at) > assignmentTTL })
	}
}

// request returns the request for which the ask was sent. Its route has the target only.
func (a Ask) request() Request {
	return Request{
		Service:        a.Service,
		Route:          &routing.Route{Target: a.Target},
		Customer:       a.Customer,
		Meta:           &routing.RequestMeta{Prompt: a.Prompt, TokensOut: a.TokensOut},
		AllowedRegions: a.AllowedRegions,
		BodyBytes:      a.BodyBytes,
		Tried:          a.Tried,
		Admitted:       a.Admitted,
	}
}

// tooLong reports whether the request misses its target at an idle engine too. It is served late then,
// as it would be by load reports: a refusal would not help its caller.
func (a Ask) tooLong(processing time.Duration) bool { return a.Target-processing-scheduleMargin <= 0 }

// slack returns how long the request may wait for an engine.
func (a Ask) slack(processing time.Duration) time.Duration {
	if a.tooLong(processing) {
		return max(overloadWait-a.Age, 0)
	}
	return a.Target - a.Age - processing - scheduleMargin
}

func (a Ask) key() schedule.Key { return schedule.Key{From: a.From, ID: a.ID} }

// Schedule decides on a router's ask, or queues it.
func (s *State) Schedule(a Ask) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.table == nil || !s.schedules(a.Service) {
		return Decision{From: a.From, ID: a.ID}
	}
	s.scheduler.expire(s.picker, now)
	c, ok := s.picker.Schedule(s.pickAsk(a), now)
	switch {
	case !ok:
		return Decision{From: a.From, ID: a.ID}
	case a.Admitted:
		return s.assign(a, c, now)
	case s.mustWaitForOthers(a.Customer, now):
		return s.reject(a, c, ReasonOverShare, 0, now)
	}
	return s.assignOrQueue(a, c, now)
}

// pickAsk returns the picker's request for the ask.
func (s *State) pickAsk(a Ask) pick.Request {
	req := a.request()
	return req.pickRequest()
}

// assignOrQueue assigns the ask if the server has room and no other ask goes first, queues it if it
// can still be in time, or else rejects it.
func (s *State) assignOrQueue(a Ask, c pick.Choice, now time.Time) Decision {
	status := s.meter.ShareStatus(a.Customer, now)
	slack := a.slack(c.Processing)
	item := &schedule.Item[Ask]{
		Key: a.key(), Service: a.Service, Customer: a.Customer, Priority: a.Priority,
		Arrived: now, Latest: now.Add(min(slack, s.maxQueueTime(now))), Work: c.Processing, Value: a,
	}
	ahead, ready := s.scheduler.queue.Ahead(item, status, now)
	limit := s.shortWait(a.Customer, status, now)
	if !a.tooLong(c.Processing) {
		limit = min(limit, max(slack, maxWaitAboveShare))
	}
	if !ready && c.Wait <= limit {
		return s.assign(a, c, now)
	}
	expected := max(c.Wait-limit, 0) + ahead/time.Duration(max(1, s.picker.LocalEngines(a.Service)))
	if slack <= 0 || expected > item.Latest.Sub(now) {
		return s.reject(a, c, refusalFor(status), expected, now)
	}
	item.NextTry = nextTry(c, limit, now)
	if dropped := s.scheduler.queue.Push(item, status, now); dropped == item {
		return s.reject(a, c, refusalFor(status), expected, now)
	}
	return Decision{From: a.From, ID: a.ID, Verdict: Queued, Shortage: s.hasShortage(now)}
}

// maxQueueTime returns the longest time that an ask may wait here now.
func (s *State) maxQueueTime(now time.Time) time.Duration {
	if s.scheduler.queue.Len() == 0 {
		s.scheduler.emptyAt = now
	}
	if now.Sub(s.scheduler.emptyAt) > overloadAfter {
		return overloadWait
	}
	return math.MaxInt64
}

// refusalFor returns the reason for a rejection of a customer with the standing.
func refusalFor(status fair.ShareStatus) RefusalReason {
	if status == fair.AboveShare {
		return ReasonOverShare
	}
	return ReasonBusy
}

// nextTry returns when an ask whose best engine has no room is tried again.
func nextTry(c pick.Choice, limit time.Duration, now time.Time) time.Time {
	return now.Add(min(max(c.Wait-limit, minTryInterval), maxTryInterval))
}

// shortWait returns the longest wait at an engine at which a customer's request is assigned.
func (s *State) shortWait(customer string, status fair.ShareStatus, now time.Time) time.Duration {
	if status != fair.AboveShare {
		return maxWait
	}
	return scaled(maxWaitAboveShare, max(0, 2-s.meter.ServedRatio(customer, now)))
}

// mustWaitForOthers reports whether the customer is far above its share and gets nothing, because
// others at or below theirs wait, were rejected here lately, or get far less anywhere.
func (s *State) mustWaitForOthers(customer string, now time.Time) bool {
	return s.meter.FarAboveShare(customer, now) && (s.hasShortage(now) || s.meter.Unfair(now))
}

// hasShortage reports whether customers at or below their shares wait or were rejected here lately.
func (s *State) hasShortage(now time.Time) bool {
	return now.Sub(s.scheduler.shortAt) < shortagePeriod || s.scheduler.queue.HasWaiting()
}

// assign decides that the ask's request is sent to the chosen server.
func (s *State) assign(a Ask, c pick.Choice, now time.Time) Decision {
	s.scheduler.assigned = append(s.scheduler.assigned, assignment{key: a.key(), at: now, load: s.picker.Assign(s.pickAsk(a), c, now)})
	s.scheduler.queue.RecordServed(a.Customer)
	return Decision{
		From: a.From, ID: a.ID, Verdict: Assigned, Shortage: s.hasShortage(now),
		Server: c.Server.Identity().Key(), Wait: c.Wait, Processing: c.Processing,
		UncachedTokens: c.UncachedTokens, TokensAhead: c.TokensAhead(), FetchFrom: c.FetchFrom,
	}
}

// reject decides that the ask's request gets no server. expected is the time in the queue that it
// would have had.
func (s *State) reject(a Ask, c pick.Choice, reason RefusalReason, expected time.Duration, now time.Time) Decision {
	if reason != ReasonOverShare {
		s.scheduler.shortAt = now
	}
	shown := c
	shown.Wait += expected
	return Decision{
		From: a.From, ID: a.ID, Verdict: Rejected, Shortage: s.hasShortage(now), Reason: reason,
		Wait: shown.Wait, Processing: c.Processing, RetryAfter: s.retryAfter(a.request(), shown, reason),
	}
}

// DueDecisions returns the decisions on queued asks that can be made now: assignments where engines
// have room, and rejections of those that can't be in time any more.
func (s *State) DueDecisions() (due []Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler.queue.Len() == 0 {
		return nil
	}
	now := s.now()
	s.scheduler.expire(s.picker, now)
	for _, item := range s.scheduler.queue.TakeExpired(now) {
		due = append(due, s.reject(item.Value, pick.Choice{Processing: item.Work}, refusalFor(s.meter.ShareStatus(item.Customer, now)), 0, now))
	}
	least, room := s.leastWaits(now)
	if !room {
		return due
	}
	for _, item := range s.scheduler.queue.Due(s.standing(now), now, maxTries) {
		if _, known := least[item.Service]; !known {
			least[item.Service] = s.picker.LeastWait(item.Service, now)
		}
		if d, decided := s.tryAssign(item, least[item.Service], now); decided {
			due = append(due, d)
			delete(least, item.Service)
		}
	}
	return due
}

// leastWaits returns the shortest wait at an engine for each service of a queued ask, and whether it
// is short enough to assign anything.
func (s *State) leastWaits(now time.Time) (least map[string]time.Duration, room bool) {
	least = map[string]time.Duration{}
	s.scheduler.queue.Each(func(i *schedule.Item[Ask]) {
		if _, known := least[i.Service]; !known {
			least[i.Service] = s.picker.LeastWait(i.Service, now)
			room = room || least[i.Service] <= maxWait
		}
	})
	return least, room
}

// standing returns the function that compares customers with their shares.
func (s *State) standing(now time.Time) func(string) fair.ShareStatus {
	return func(customer string) fair.ShareStatus { return s.meter.ShareStatus(customer, now) }
}

// tryAssign assigns a queued ask if its best server has room. least is the shortest wait at an engine.
func (s *State) tryAssign(item *schedule.Item[Ask], least time.Duration, now time.Time) (Decision, bool) {
	limit := s.shortWait(item.Customer, s.meter.ShareStatus(item.Customer, now), now)
	if !item.Value.tooLong(item.Work) {
		limit = min(limit, item.Latest.Sub(now))
	}
	if least > limit || s.mustWaitForOthers(item.Customer, now) {
		return Decision{}, false
	}
	c, ok := s.picker.Schedule(s.pickAsk(item.Value), now)
	if !ok {
		s.scheduler.queue.Remove(item.Key)
		return Decision{From: item.Key.From, ID: item.Key.ID}, true
	}
	if c.Wait > limit {
		item.NextTry = nextTry(c, limit, now)
		return Decision{}, false
	}
	s.scheduler.queue.Remove(item.Key)
	return s.assign(item.Value, c, now), true
}

// Waiting returns how many asks are queued.
func (s *State) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.queue.Len()
}

// QueuedAsks returns the IDs of the queued asks by asking router.
func (s *State) QueuedAsks() map[string][]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	asks := map[string][]uint64{}
	s.scheduler.queue.Each(func(i *schedule.Item[Ask]) { asks[i.Key.From] = append(asks[i.Key.From], i.Key.ID) })
	return asks
}

// Withdraw removes an ask from the queue: its caller has left, or its router no longer waits for a
// decision.
func (s *State) Withdraw(from string, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.queue.Remove(schedule.Key{From: from, ID: id})
}

// Acknowledge records that the load report just applied from the router contains the effect of the
// decisions on all its asks up to an ID but the open ones, so that they stop counting separately.
func (s *State) Acknowledge(from string, upTo uint64, open ...uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.drop(s.picker, func(a assignment) bool {
		return a.key.From == from && a.key.ID <= upTo && !slices.Contains(open, a.key.ID)
	})
}
