package state

import (
	"time"

	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// maxWait is the longest queueing time at which a request is still sent while the customers'
	// demand exceeds the capacity of the servers; maxWaitAboveShare is that of a customer above its
	// share. A queue of a few prompts keeps an engine busy between two reports; a longer one only
	// delays all requests in it (docs/design/admission.md).
	maxWait           = 100 * time.Millisecond
	maxWaitAboveShare = 15 * time.Millisecond
	// maxWaitBelowShare is the limit of a customer far below its share, and the upper bound for
	// all customers while the capacity meets the demand.
	maxWaitBelowShare = 500 * time.Millisecond
	// maxWaitPinned is the limit of a request that resumes a stream: it may use only the servers of one
	// version, and its caller already has a part of the answer.
	maxWaitPinned = 500 * time.Millisecond
	// contentionPeriod is how long customers far above their share get nothing after this router
	// has refused one at or below its share, even if no customer in the fleet falls far short.
	contentionPeriod = time.Second
	// lessUrgentFraction is the fraction of the limits of waiting that applies to a request while a
	// more urgent one of its service was refused here lately.
	lessUrgentFraction = 0.5
	// plainWaitFraction is the fraction of the response time target for which a request to a plain
	// service may wait for a slot.
	plainWaitFraction = 1.0
	// minRetryAfter and maxRetryAfter bound the retry delay sent to a refused caller: the minimum
	// covers the round trip and the time in which other routers' reports arrive, the maximum is
	// short for someone who waits for an answer.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
	// startSlack is how long after its expected first token a request without one stops counting
	// as served. On an overloaded host placed requests may wait for seconds, and the customer
	// would be refused everywhere because of service that it does not get.
	startSlack = 100 * time.Millisecond
	// revertInterval is how often overdue requests are reverted; shares are computed every 50 ms.
	revertInterval = 20 * time.Millisecond
	// outputTokenWeight is the cost of an output token relative to an input token when shares are
	// computed.
	outputTokenWeight = 2.0
)

// Request is a request that needs a server.
type Request struct {
	Service        string
	Route          *routing.Route
	Customer       string
	Meta           *routing.RequestMeta
	AllowedRegions routing.Regions // of route and customer
	BodyBytes      int
	Tried          []string
	Admitted       bool // it was placed before; admission is not decided again
	Retry          bool // it has reached a server; another attempt uses the retry budget
	Isolated       bool // see pick.Request
	Pinned         bool // see pick.Request
	Version        string
}

// RefusalReason states why a request got no server.
type RefusalReason int

// The reasons.
const (
	ReasonNone           RefusalReason = iota
	ReasonNoServer                     // no server of the service is listed, or all were tried
	ReasonOverShare                    // the customer is above its share and servers are busy
	ReasonBusy                         // the queueing time is too long at all servers
	ReasonBudgetSpent                  // the retry budget is exhausted
	ReasonUnknownService               // the service is not in the configuration
	ReasonEvacuated                    // all its servers are in evacuated data centres
	ReasonCold                         // its servers are warming up and at their rate limit
	ReasonNoneInRegion                 // no server is in a region in which the request may be served
	ReasonBackoff                      // its servers are in backoff or warming up, and a backoff ends first
	ReasonNoneOfVersion                // no server runs the version that began its stream
)

var reasonNames = [...]string{
	"none", "no server", "over share", "busy", "budget spent", "unknown service", "data centres evacuated", "servers warm up", "no server in its regions", "servers in backoff",
	"no server of the stream's version",
}

// unavailableReasons maps the picker's reasons to those of this package.
var unavailableReasons = map[pick.UnavailableReason]RefusalReason{
	pick.NoServers: ReasonNoServer, pick.AllEvacuated: ReasonEvacuated, pick.AllCold: ReasonCold, pick.NoneInRegion: ReasonNoneInRegion, pick.AllInBackoff: ReasonBackoff,
	pick.NoneOfVersion: ReasonNoneOfVersion,
}

const (
	// evacuatedRetryAfter is the retry delay while all servers are evacuated: an operator needs at
	// least some seconds to cancel an evacuation.
	evacuatedRetryAfter = time.Second
	// maxColdRetryAfter limits the delay while servers warm up, because permits become available
	// all the time, and while servers are in backoff, because another router may have servers
	// that are not.
	maxColdRetryAfter = maxRetryAfter
)

// String returns the reason's name.
func (r RefusalReason) String() string { return reasonNames[r] }

// Placement is the server chosen for a request, or the reason why there is none.
type Placement struct {
	Job        *pick.Job
	Choice     pick.Choice
	served     *servedEntry
	MaxConns   int // connections that this router may open to the server
	placedAt   time.Time
	service    string
	route      string
	firstAt    time.Time // time of the server's first event or answer; zero: none yet
	releasedAt time.Time // when the server ended its answer; zero: it has not, or End came first
	pinned     bool
	Status     int // status of the server's answer; 0: no answer
	Events     int // number of events in the server's answer
	Reason     RefusalReason
	RetryAfter time.Duration // when a refused caller may retry
	Rates      fair.Rates    // of the customer, at all routers; refusals only
	Level      float64       // the max-min share, tokens a second; refusals only
}

// tokens returns the cost of the request, in the unit in which shares are computed.
func (r *Request) tokens() float64 {
	return float64(r.Meta.PromptTokens()) + outputTokenWeight*float64(r.Meta.TokensOut)
}

// servedEntry is what a placed request added to its customer's served tokens.
type servedEntry struct {
	customer string
	tokens   float64
	due      time.Time // when the request must have started
	started  bool      // a server has started it, or it has ended
	reverted bool      // it no longer counts as served
}

// recordServed counts a placed request as served until it is overdue.
func (s *State) recordServed(customer string, tokens float64, c pick.Choice, now time.Time) *servedEntry {
	entry := &servedEntry{customer: customer, tokens: tokens, due: now.Add(c.Wait + c.Processing + startSlack)}
	s.meter.RecordServed(customer, tokens, now)
	s.accounts.For(customer).Placed += tokens
	s.notStarted = append(s.notStarted, entry)
	return entry
}

// revert takes the entry out of the served tokens, once.
func (s *State) revert(entry *servedEntry, now time.Time) {
	if entry.reverted {
		return
	}
	entry.reverted = true
	s.meter.UndoServed(entry.customer, entry.tokens, now)
	s.accounts.For(entry.customer).Reverted += entry.tokens
}

// revertOverdue reverts the requests that have not started when they were due.
func (s *State) revertOverdue(now time.Time) {
	if now.Sub(s.revertedAt) < revertInterval {
		return
	}
	s.revertedAt = now
	kept := s.notStarted[:0]
	for _, entry := range s.notStarted {
		switch {
		case entry.started:
		case now.Before(entry.due):
			kept = append(kept, entry)
		default:
			s.revert(entry, now)
		}
	}
	clear(s.notStarted[len(kept):])
	s.notStarted = kept
}

// RefuseEarly refuses a request that would be refused whatever the load of the servers: its
// customer is far above its share while others are below theirs. It is called before the body is
// read, so that a flood by one customer costs its router little. A request that it does not refuse
// is counted by Place.
func (s *State) RefuseEarly(req Request) (_ Placement, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.table == nil || !s.table.HasEngines(req.Service) || !s.yieldsEarly(req, now) {
		return Placement{}, false
	}
	s.recordRequest(req, now)
	s.recordRefusal(req, ReasonOverShare)
	rates, level := s.meter.FleetRates(req.Customer, now)
	return Placement{Reason: ReasonOverShare, RetryAfter: s.retryAfter(req, pick.Choice{}, ReasonOverShare), Rates: rates, Level: level}, true
}

// RecordHostOverload counts a request that was refused because its router is overloaded. It is part
// of the customer's demand nevertheless, for which other customers must yield.
func (s *State) RecordHostOverload(req Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRequest(req, s.now())
	s.accounts.For(req.Customer).HostOverload += req.tokens()
}

// recordRequest counts a request in the retry budget, the demand and the account.
func (s *State) recordRequest(req Request, now time.Time) {
	s.bucket(req.Service).RecordRequest()
	s.meter.RecordDemand(req.Customer, req.tokens(), now)
	s.accounts.For(req.Customer).Requested += req.tokens()
}

// mustYield reports whether the customer gets nothing now so that others get their shares: it has
// used up its quota at this router, or is far above its share while others are below theirs.
func (s *State) mustYield(req Request, now time.Time) bool {
	if s.meter.QuotaExceeded(req.Customer, req.tokens(), s.rng.Float64(), now) {
		return true
	}
	if !s.meter.FarAboveShare(req.Customer, now) {
		return false
	}
	return now.Sub(s.busyAt) < contentionPeriod || s.meter.Contended(now)
}

// Place chooses a server for the request or refuses it.
func (s *State) Place(req Request) Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.table == nil || s.table.Service(req.Service) == nil {
		return Placement{Reason: ReasonUnknownService, RetryAfter: minRetryAfter}
	}
	s.revertOverdue(now)
	if s.schedules(req.Service) && !req.Pinned && !req.Isolated {
		s.byReportsAt = now
	}
	if !req.Admitted {
		s.recordRequest(req, now)
	}
	pickReq := req.pickRequest()
	if req.Pinned && s.rollouts.Group(req.Service, req.Version) == rollout.GroupCanary && !s.rollouts.CanaryAllowed(req.Service, now) {
		return Placement{Reason: ReasonNoneOfVersion, RetryAfter: maxRetryAfter}
	}
	pickReq.NewVersionShare = s.newVersionShare(req, now)
	c, ok := s.picker.Choose(pickReq, now)
	if !ok && pickReq.NewVersionShare > 0 {
		pickReq.NewVersionShare = 0
		c, ok = s.picker.Choose(pickReq, now)
	}
	if !ok {
		return s.unavailable(pickReq, now)
	}
	if reason := s.admit(req, c, now); reason != ReasonNone {
		s.recordRefusal(req, reason)
		rates, level := s.meter.FleetRates(req.Customer, now)
		return Placement{Reason: reason, Choice: c, RetryAfter: s.retryAfter(req, c, reason), Rates: rates, Level: level}
	}
	return s.placeAt(req, pickReq, c, now)
}

// pickRequest returns the request to the picker.
func (r *Request) pickRequest() pick.Request {
	return pick.Request{
		Service:          r.Service,
		Prompt:           r.Meta.Prompt,
		MaxOutput:        r.Meta.TokensOut,
		Tried:            r.Tried,
		AllowedRegions:   r.AllowedRegions,
		BodyBytes:        r.BodyBytes,
		FirstTokenTarget: r.Route.Target,
		Isolated:         r.Isolated,
		Pinned:           r.Pinned,
		Version:          r.Version,
	}
}

// placeAt places the request at the chosen server, unless it is a retry and the budget is spent.
func (s *State) placeAt(req Request, pickReq pick.Request, c pick.Choice, now time.Time) Placement {
	if req.Retry && !s.bucket(req.Service).Take() {
		return Placement{Reason: ReasonBudgetSpent, Choice: c, RetryAfter: minRetryAfter}
	}
	return Placement{
		Job:      s.picker.Begin(pickReq, c, now),
		served:   s.recordServed(req.Customer, req.tokens(), c, now),
		Choice:   c,
		placedAt: now,
		service:  req.Service,
		route:    req.Route.Name,
		pinned:   req.Pinned,
		MaxConns: max(1, s.picker.ConnLimit(c.Server.ID)/s.routers),
	}
}

// unavailable returns the refusal of a request for which there is no server.
func (s *State) unavailable(req pick.Request, now time.Time) Placement {
	reason, wait := s.picker.WhyUnavailable(req, now)
	p := Placement{Reason: unavailableReasons[reason], RetryAfter: maxRetryAfter}
	switch p.Reason {
	case ReasonEvacuated:
		p.RetryAfter = evacuatedRetryAfter
	case ReasonCold, ReasonBackoff:
		p.RetryAfter = min(max(wait, minRetryAfter), maxColdRetryAfter)
	}
	return p
}

// recordRefusal adds a refused request to the customer's account.
func (s *State) recordRefusal(req Request, reason RefusalReason) {
	account := s.accounts.For(req.Customer)
	if reason == ReasonOverShare {
		account.OverShare += req.tokens()
		return
	}
	account.NoCapacity += req.tokens()
}

// admit decides whether the request is worth sending: the queueing time must leave enough time for
// the request, and customers above their share yield first.
func (s *State) admit(req Request, c pick.Choice, now time.Time) RefusalReason {
	if c.Full {
		return ReasonBusy
	}
	if req.Admitted {
		return ReasonNone
	}
	if req.Pinned {
		if c.Wait <= maxWaitPinned {
			return ReasonNone
		}
		return ReasonBusy
	}
	if !s.table.HasEngines(req.Service) {
		if c.Wait > time.Duration(float64(req.Route.Target)*plainWaitFraction) {
			return ReasonBusy
		}
		return ReasonNone
	}
	priority := s.table.Priority(req.Customer, req.Route)
	urgency := s.urgentRefusals.fraction(req.Service, priority, now)
	status := s.meter.ShareStatus(req.Customer, now)
	switch status {
	case fair.AboveShare:
		return s.admitAboveShare(req, c, urgency, now)
	case fair.BelowShare:
		if c.Wait <= scaled(maxWaitBelowShare, urgency) {
			return ReasonNone
		}
	case fair.AtShare:
		if c.Wait <= scaled(s.maxWaitAtShare(req, c, now), urgency) {
			return ReasonNone
		}
	}
	s.busyAt = now
	s.urgentRefusals.record(req.Service, priority, now)
	return ReasonBusy
}

// scaled returns the fraction of the duration.
func scaled(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// maxWaitAtShare returns how long a request of a customer at its share may wait. While the capacity
// meets the demand of all customers, a queue is a temporary burst: a request may wait as long as it
// can still be answered in time, instead of being refused by a fleet that has capacity for it.
func (s *State) maxWaitAtShare(req Request, c pick.Choice, now time.Time) time.Duration {
	if s.meter.ServedRatio(req.Customer, now) > 0 {
		return maxWait
	}
	return max(maxWait, min(maxWaitBelowShare, req.Route.Target-c.Processing))
}

// admitAboveShare decides for a customer above its share: the further above, the shorter the
// accepted wait; far above its share it gets nothing while others are refused.
func (s *State) admitAboveShare(req Request, c pick.Choice, urgency float64, now time.Time) RefusalReason {
	if s.mustYield(req, now) {
		return ReasonOverShare
	}
	ratio := s.meter.ServedRatio(req.Customer, now)
	if c.Wait > scaled(maxWaitAboveShare, urgency*max(0, 2-ratio)) {
		return ReasonOverShare
	}
	return ReasonNone
}

// retryAfter returns when a refused caller may retry: when the queueing time is expected to have
// dropped far enough for its request to be sent. For a customer above its share the time is random,
// so that callers refused together do not return together. It is at most half of the time in which
// the answer would still be in time: a later retry would displace a request that can be in time.
func (s *State) retryAfter(req Request, c pick.Choice, reason RefusalReason) time.Duration {
	inTime := min(max((req.Route.Target-c.Processing)/2, minRetryAfter), maxRetryAfter)
	if reason == ReasonOverShare {
		return minRetryAfter + time.Duration(s.rng.Int64N(int64(inTime-minRetryAfter)+1))
	}
	return min(max(c.Wait-maxWait, minRetryAfter), inTime)
}

// NoteFirstEvent records that the server's first event or answer has arrived. If the request has
// been reverted, it counts as served again from now on.
func (s *State) NoteFirstEvent(p *Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := p.answeredAt(s.now())
	if !p.served.started {
		s.accounts.For(p.served.customer).Started += p.served.tokens
	}
	if p.served.reverted && !p.served.started {
		s.meter.RecordServed(p.served.customer, p.served.tokens, now)
	}
	p.served.started = true
	p.firstAt = now
	s.picker.NoteFirstEvent(p.Job, now)
}

// Release records that the server has ended its response, before it is known whether the response is
// complete. The server can run another request meanwhile.
func (s *State) Release(p *Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.releasedAt = s.now()
	s.picker.Release(p.Job)
}

// answeredAt returns when the server ended its answer: now, unless it has been released before.
func (p *Placement) answeredAt(now time.Time) time.Time {
	if p.releasedAt.IsZero() {
		return now
	}
	return p.releasedAt
}

// End records the outcome of a request at its server. A request that no server has started is not
// counted as served.
func (s *State) End(p *Placement, o pick.Outcome) pick.HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !p.Job.Started() {
		s.revert(p.served, now)
	}
	p.served.started = true
	s.observeAnswer(p, o, p.answeredAt(now))
	return s.picker.End(p.Job, o, now)
}

// NoteOverdue records that a server has not answered in the expected time.
func (s *State) NoteOverdue(j *pick.Job) pick.HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.NoteOverdue(j, s.now())
}

// TakeRetry takes one retry from the service's retry budget and reports whether one was available.
func (s *State) TakeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket(service).Take()
}
