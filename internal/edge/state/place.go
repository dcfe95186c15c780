package state

import (
	"time"

	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// waitLimit is the longest wait before a request's own work at which it is still sent while
	// customers ask for more than the servers make, and overLimit that of a customer above its
	// share. A queue of some prompts keeps an engine busy between two reports; a longer one only
	// makes all who wait in it late (docs/design/admission.md).
	waitLimit = 100 * time.Millisecond
	overLimit = 15 * time.Millisecond
	// belowLimit is that of a customer that has much less than its share, and of all
	// while the servers make what is asked.
	belowLimit = 500 * time.Millisecond
	// contended is for how long after this router has refused a customer with its share or
	// less those far above theirs get nothing, also if nobody lacks much in the whole fleet.
	contended = time.Second
	// plainPart is the part of the time that a plain service's answer is due in
	// that a request may wait for a slot.
	plainPart = 1.0
	// retryLeast and retryMost bound what a caller is told to wait: the way there and
	// back and the time in which pending of other routers come, and what is short to
	// whoever waits for an answer.
	retryLeast = 40 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// beginSlack is how long after its first token was expected a request that has none counts as
	// served no more: at a flooded host what is placed may wait for seconds, and its customer would
	// be refused everywhere for what it does not get.
	beginSlack = 100 * time.Millisecond
	// undoEvery is how often what is overdue is taken back; shares are worked out each 50 ms.
	undoEvery = 20 * time.Millisecond
	// outWeight is what a made token costs against a read one, by the count in
	// which shares are owed.
	outWeight = 2.0
)

// Need is a request that looks for a server.
type Need struct {
	Service  string
	Route    *routing.Route
	Customer string
	Ask      *routing.RequestMeta
	Homes    routing.Regions // of route and customer
	Bytes    int             // of its body
	Tried    []string
	Again    bool // it was placed before; admission is not asked again
	Repeat   bool // it has reached a server: once more takes from the retry budget
	Apart    bool // see pick.Request
}

// Why says why no server was given.
type Why int

// The reasons.
const (
	WhyNone      Why = iota
	WhyNoOne         // no server of the service is listed, or all were tried
	WhyOver          // the customer has more than its share and servers are busy
	WhyBusy          // the wait is too long everywhere
	WhySpent         // the retry budget is used up
	WhyUnknown       // the service is not in the configuration
	WhyEvacuated     // all its servers stand in evacuated data centres
	WhyCold          // its servers are warming up and get what they bear
	WhyHome          // none of its servers stands in a region in which the request may be served
	WhyBackoff       // its servers are in backoff, or warming up and a backoff ends first
)

var whyNames = [...]string{
	"none", "no server", "over share", "busy", "budget spent", "unknown service", "data centres evacuated", "servers warm up", "no server in its regions", "servers in backoff",
}

// lacks are the reasons by those of the picker.
var lacks = map[pick.UnavailableReason]Why{
	pick.NoServers: WhyNoOne, pick.AllEvacuated: WhyEvacuated, pick.AllCold: WhyCold, pick.NoneInRegion: WhyHome, pick.AllInBackoff: WhyBackoff,
}

const (
	// evacuatedBack is when a caller is told to come back while all is evacuated: an operator
	// takes that back in seconds at the soonest.
	evacuatedBack = time.Second
	// coldBack caps the same while servers warm up, since permits become free all the time, and
	// while servers are in backoff, since another router may have some that are not.
	coldBack = retryMost
)

// String returns the reason's name.
func (w Why) String() string { return whyNames[w] }

// Placed is a server given to a request, or why there is none.
type Placed struct {
	Job     *pick.Job
	Choice  pick.Choice
	counted *counted
	Conns   int       // connections that this router may open to the server
	at      time.Time // when it was placed
	service string
	route   string
	first   time.Time // when the server's first event or answer came; zero: it has not
	Status  int       // of the server's answer; 0: there was none
	Events  int       // of the server's answer
	Why     Why
	Back    time.Duration // when a refused caller may come back
	Rates   fair.Rates    // of the customer, at all routers; refusals only
	Level   float64       // the max-min share, tokens a second; refusals only
}

// tokens is what the request costs by the count in which shares are owed.
func (n *Need) tokens() float64 {
	return float64(n.Ask.PromptTokens()) + outWeight*float64(n.Ask.TokensOut)
}

// counted is what a placed request was counted as.
type counted struct {
	customer string
	tokens   float64
	due      time.Time // when it is to have begun
	began    bool      // a server has begun it, or it has ended
	undone   bool      // it does not count as served any more
}

// serve counts a placed request as served, until it is overdue.
func (s *State) serve(customer string, tokens float64, c pick.Choice, now time.Time) *counted {
	placed := &counted{customer: customer, tokens: tokens, due: now.Add(c.Wait + c.Processing + beginSlack)}
	s.meter.RecordServed(customer, tokens, now)
	s.accounts.For(customer).Placed += tokens
	s.unbegun = append(s.unbegun, placed)
	return placed
}

// undo takes back what was counted as served.
func (s *State) undo(c *counted, now time.Time) {
	if c.undone {
		return
	}
	c.undone = true
	s.meter.UndoServed(c.customer, c.tokens, now)
	s.accounts.For(c.customer).Reverted += c.tokens
}

// undoOverdue takes back what has not begun in its time.
func (s *State) undoOverdue(now time.Time) {
	if now.Sub(s.undoneAt) < undoEvery {
		return
	}
	s.undoneAt = now
	kept := s.unbegun[:0]
	for _, c := range s.unbegun {
		switch {
		case c.began:
		case now.Before(c.due):
			kept = append(kept, c)
		default:
			s.undo(c, now)
		}
	}
	clear(s.unbegun[len(kept):])
	s.unbegun = kept
}

// Early refuses a request that no server's load could make up for: its customer
// is far above its share while others lack theirs. It is asked before a body is
// read, so that a flood by one customer costs its router little. A request that
// it does not refuse is counted by Place.
func (s *State) Early(n Need) (_ Placed, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.table == nil || !s.table.HasEngines(n.Service) || !s.givesWay(n, now) {
		return Placed{}, false
	}
	s.ask(n, now)
	s.accountRefusal(n, WhyOver)
	rates, level := s.meter.FleetRates(n.Customer, now)
	return Placed{Why: WhyOver, Back: s.back(n, pick.Choice{}, WhyOver), Rates: rates, Level: level}, true
}

// TurnedAway counts a request that its router has no time for: its customer
// asked for it all the same, and others are to give way.
func (s *State) TurnedAway(n Need) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ask(n, s.now())
	s.accounts.For(n.Customer).HostOverload += n.tokens()
}

// ask counts a request.
func (s *State) ask(n Need, now time.Time) {
	s.bucket(n.Service).RecordRequest()
	s.meter.RecordDemand(n.Customer, n.tokens(), now)
	s.accounts.For(n.Customer).Requested += n.tokens()
}

// givesWay reports whether the customer gets nothing now, so that others get their shares:
// it has used up its quota at this router, or is far above its share while others are below theirs.
func (s *State) givesWay(n Need, now time.Time) bool {
	if s.meter.QuotaExceeded(n.Customer, n.tokens(), s.rng.Float64(), now) {
		return true
	}
	if !s.meter.FarAboveShare(n.Customer, now) {
		return false
	}
	return now.Sub(s.refusedAt) < contended || s.meter.Contended(now)
}

// Place gives the request a server or refuses it.
func (s *State) Place(n Need) Placed {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.table == nil || s.table.Service(n.Service) == nil {
		return Placed{Why: WhyUnknown, Back: retryLeast}
	}
	s.undoOverdue(now)
	tokens := n.tokens()
	bucket := s.bucket(n.Service)
	if !n.Again {
		s.ask(n, now)
	}
	req := pick.Request{Service: n.Service, Prompt: n.Ask.Prompt, MaxOutput: n.Ask.TokensOut, Tried: n.Tried, AllowedRegions: n.Homes, BodyBytes: n.Bytes, FirstTokenTarget: n.Route.Target, Isolated: n.Apart}
	req.NewVersionShare = s.newPart(n, now)
	c, ok := s.picker.Choose(req, now)
	if !ok && req.NewVersionShare > 0 {
		req.NewVersionShare = 0
		c, ok = s.picker.Choose(req, now)
	}
	if !ok {
		return s.lacking(req, now)
	}
	if why := s.admit(n, c, now); why != WhyNone {
		s.accountRefusal(n, why)
		rates, level := s.meter.FleetRates(n.Customer, now)
		return Placed{Why: why, Choice: c, Back: s.back(n, c, why), Rates: rates, Level: level}
	}
	if n.Repeat && !bucket.Take() {
		return Placed{Why: WhySpent, Choice: c, Back: retryLeast}
	}
	return Placed{
		Job:     s.picker.Begin(req, c, now),
		counted: s.serve(n.Customer, tokens, c, now),
		Choice:  c,
		at:      now,
		service: n.Service,
		route:   n.Route.Name,
		Conns:   max(1, s.picker.ConnLimit(c.Server.ID)/s.routers),
	}
}

// lacking is the answer to a request that no server may be asked for.
func (s *State) lacking(req pick.Request, now time.Time) Placed {
	lack, back := s.picker.WhyUnavailable(req, now)
	p := Placed{Why: lacks[lack], Back: retryMost}
	switch p.Why {
	case WhyEvacuated:
		p.Back = evacuatedBack
	case WhyCold, WhyBackoff:
		p.Back = min(max(back, retryLeast), coldBack)
	}
	return p
}

// accountRefusal notes what was refused, and why.
func (s *State) accountRefusal(n Need, why Why) {
	account := s.accounts.For(n.Customer)
	if why == WhyOver {
		account.OverShare += n.tokens()
		return
	}
	account.NoCapacity += n.tokens()
}

// admit decides whether the request is worth sending: its wait must leave it
// time, and a customer above its share gives way first.
func (s *State) admit(n Need, c pick.Choice, now time.Time) Why {
	if c.Full {
		return WhyBusy
	}
	if n.Again {
		return WhyNone
	}
	if !s.table.HasEngines(n.Service) {
		if c.Wait > time.Duration(float64(n.Route.Target)*plainPart) {
			return WhyBusy
		}
		return WhyNone
	}
	standing := s.meter.ShareStatus(n.Customer, now)
	switch standing {
	case fair.AboveShare:
		return s.admitOver(n, c, now)
	case fair.BelowShare:
		if c.Wait <= belowLimit {
			return WhyNone
		}
	case fair.AtShare:
		if c.Wait <= s.evenLimit(n, c, now) {
			return WhyNone
		}
	}
	s.refusedAt = now
	return WhyBusy
}

// evenLimit is how long a request of a customer with about its share may wait. While the servers
// make what all customers ask, a queue is a wave that passes: a request waits as long as it can
// still be answered in time, rather than be refused by a fleet that has room for it.
func (s *State) evenLimit(n Need, c pick.Choice, now time.Time) time.Duration {
	if s.meter.ServedRatio(n.Customer, now) > 0 {
		return waitLimit
	}
	return max(waitLimit, min(belowLimit, n.Route.Target-c.Processing))
}

// admitOver decides for a customer above its share: the further it is above,
// the less it may wait, and far above it gets nothing while others are refused.
func (s *State) admitOver(n Need, c pick.Choice, now time.Time) Why {
	if s.givesWay(n, now) {
		return WhyOver
	}
	ratio := s.meter.ServedRatio(n.Customer, now)
	if c.Wait > time.Duration(float64(overLimit)*max(0, 2-ratio)) {
		return WhyOver
	}
	return WhyNone
}

// back is when a refused caller may come back: when the wait will have fallen so far that its
// request may be sent; one of a customer above its share at a moment drawn at random, so that
// those who are refused together don't return together. It is at most half of the time in which
// the answer would still be in time: a later one takes the place of one that would be.
func (s *State) back(n Need, c pick.Choice, why Why) time.Duration {
	inTime := min(max((n.Route.Target-c.Processing)/2, retryLeast), retryMost)
	if why == WhyOver {
		return retryLeast + time.Duration(s.rng.Int64N(int64(inTime-retryLeast)+1))
	}
	return min(max(c.Wait-waitLimit, retryLeast), inTime)
}

// First notes that the server's first event or answer has come.
func (s *State) First(p *Placed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !p.counted.began {
		s.accounts.For(p.counted.customer).Started += p.counted.tokens
	}
	if p.counted.undone && !p.counted.began {
		s.meter.RecordServed(p.counted.customer, p.counted.tokens, now)
	}
	p.counted.began = true
	p.first = now
	s.picker.NoteFirstEvent(p.Job, now)
}

// End notes what became of a request at its server. What no server began is
// not counted as served.
func (s *State) End(p *Placed, o pick.Outcome) pick.HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !p.Job.Started() {
		s.undo(p.counted, now)
	}
	p.counted.began = true
	s.noteAnswer(p, o, now)
	return s.picker.End(p.Job, o, now)
}

// Late notes that a server has not answered in the time in which it should.
func (s *State) Late(j *pick.Job) pick.HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.NoteOverdue(j, s.now())
}

// TakeRetry takes one repeat from the service's retry budget, and reports whether
// there was one.
func (s *State) TakeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket(service).Take()
}
