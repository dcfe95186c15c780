package pick

import (
	"math"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// homeWait is the wait at a home of a prompt up to which a scheduler looks no further.
	homeWait = 60 * time.Millisecond
	// maxLocalScan is the number of engines of its data centre above which a scheduler considers a
	// random sample of localSample of them. remoteSample is how many of the whole fleet it considers
	// besides, whose loads are known by reports only.
	maxLocalScan = 64
	localSample  = 16
	remoteSample = 2
	// schedulesFor is how long after its last choice a router keeps the sums of loads current with
	// each report, as only a scheduler needs.
	schedulesFor = time.Second
	// scheduledFor is how long after a scheduler's last decision a router keeps to the bounded fit:
	// longer than a scheduler is replaced or comes back.
	scheduledFor = time.Minute
	// maxWaitMs bounds a computed wait, in milliseconds.
	maxWaitMs = 1e6
)

// Assignment is the choice of a scheduler, as it is sent to the router that asked.
type Assignment struct {
	Server         routing.ServerKey
	Wait           time.Duration
	Processing     time.Duration
	UncachedTokens int
	TokensAhead    float64 // negative: unknown
	FetchFrom      string
}

// ChoiceAt returns the choice of the assigned server. It returns false if this router does not know
// the server or can't use it now.
func (p *Picker) ChoiceAt(req Request, a Assignment, now time.Time) (Choice, bool) {
	s := p.serversByKey[a.Server]
	if s == nil || !s.accepts || s.Service != req.Service || !p.mayUse(s, req, now) || p.rankOf(s, now) == rankBad {
		return Choice{}, false
	}
	p.scheduledUntil = now.Add(scheduledFor)
	return Choice{
		Server:         s.Server,
		Cold:           s.needsPermit(now),
		Wait:           a.Wait,
		Processing:     a.Processing,
		UncachedTokens: a.UncachedTokens,
		FetchFrom:      a.FetchFrom,
		tokensAhead:    a.TokensAhead,
	}, true
}

// mayUse reports whether the request may be sent to the server: it was not sent there before, is
// allowed in its region, and the server is neither in backoff nor cold without a permit left. A
// scheduler assigns nothing to cold servers, since permits belong to the router that sends.
func (p *Picker) mayUse(s *server, req Request, now time.Time) bool {
	if p.exact && s.needsPermit(now) {
		return false
	}
	return !slices.Contains(req.Tried, s.ID) && req.AllowedRegions.Allows(s.region) && !p.outOfPermits(s, now) && !s.inBackoff(now)
}

// HasLocalHomes reports whether this data centre has its own homes for the service's prompts.
func (p *Picker) HasLocalHomes(service string) bool { return p.hasLocalHomes(service) }

// TokensAhead returns how many tokens are to be processed before the first token of the request;
// negative: its time includes more than processing.
func (c Choice) TokensAhead() float64 { return c.tokensAhead }

// Schedule returns the server with the lowest expected cost as Choose does, but with a wider look at
// the engines of the data centre, whose loads a scheduler knows as of now. ok is false if none of
// those considered may receive the request.
func (p *Picker) Schedule(req Request, now time.Time) (best Choice, ok bool) {
	if p.peerSumsStale {
		p.sumPeerLoads(now)
	}
	p.schedulesUntil = now.Add(schedulesFor)
	p.exact = true
	defer func() { p.exact = false }()
	list := p.services[req.Service]
	if len(list) == 0 {
		return Choice{}, false
	}
	p.promptKeys = appendPartKeys(p.promptKeys[:0], req.Prompt)
	promptHomes := p.homes(req, list, now)
	candidates := promptHomes.list()
	best, ok = p.cheapest(candidates, req, promptHomes, now)
	if ok && best.rank == rankGood && best.Wait <= homeWait {
		return best, true
	}
	candidates = p.addLocal(candidates, req.Service)
	return p.cheapest(p.addRandom(candidates, list, remoteSample), req, promptHomes, now)
}

// addLocal adds the engines of this data centre, or a sample if there are many.
func (p *Picker) addLocal(candidates []*server, service string) []*server {
	near := p.nearby[service]
	if len(near) > maxLocalScan {
		return p.addRandom(candidates, near, localSample)
	}
	for _, s := range near {
		if !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// endScheduled restarts the fits when no scheduler has decided for this router for some time: the
// queues that one has kept even have left them nothing to tell speed and fixed delay apart by.
func (p *Picker) endScheduled(now time.Time) {
	if p.scheduledUntil.IsZero() || now.Before(p.scheduledUntil) {
		return
	}
	p.scheduledUntil = time.Time{}
	for _, estimates := range p.speeds {
		estimates.firstToken.restart()
	}
}

// LeastWait returns the shortest expected wait at an engine of this data centre, or of a sample if
// there are many.
func (p *Picker) LeastWait(service string, now time.Time) time.Duration {
	near := p.nearby[service]
	first, n := 0, len(near)
	if n > maxLocalScan {
		first, n = p.rng.IntN(n), localSample
	}
	estimates := p.speedOf(service)
	rate, _ := estimates.firstToken.boundedFit()
	least := math.Inf(1)
	for i := range n {
		s := near[(first+i)%len(near)]
		speed := rate / p.relativeSlowness(s, now)
		least = min(least, (s.ownBacklog(now, speed)+s.assignedBacklog(now, speed))/speed)
	}
	return millis(min(least, maxWaitMs))
}

// PrefersCold reports whether this router has a permit for a cold server and would choose it for the
// request.
func (p *Picker) PrefersCold(req Request, now time.Time) bool {
	if len(p.addColdWithPermits(nil, req.Service, now)) == 0 {
		return false
	}
	c, ok := p.Choose(req, now)
	return ok && c.Cold
}

// LocalEngines returns how many engines of the service this data centre has.
func (p *Picker) LocalEngines(service string) int { return len(p.nearby[service]) }
