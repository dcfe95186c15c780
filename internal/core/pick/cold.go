package pick

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
)

const (
	// unreachedMost is how many routers have to fail to connect to a server at a time for it to
	// count as one that may come back cold, and unreachedPart the part of a service's servers
	// above which that says more of the network than of servers. That it is late says nothing:
	// a server with a long queue is.
	unreachedMost = 2
	unreachedPart = 2.0 / 3
	// unreachedMore is what is added to the warm-up of such a server: it may be back for so
	// long before its first request or entry shows it.
	unreachedMore = time.Second
	// coldDrawn is how many cold servers with a free permit a choice looks at.
	coldDrawn = 2
)

// SetFleet takes what is known of the routers among which permits are shared out.
func (p *Picker) SetFleet(f *slowstart.Fleet) { p.fleet = f }

// SetRollouts takes the roll-outs by which servers get requests or none. What changes there is in
// force with the next list of servers.
func (p *Picker) SetRollouts(l *rollout.List) { p.groups = l }

// SetBound takes by how much what cold servers bear may be exceeded.
func (p *Picker) SetBound(b slowstart.Bound) {
	p.bound = b
	for _, s := range p.servers {
		p.describe(s)
	}
}

// SetRegions takes the region of each data centre.
func (p *Picker) SetRegions(regions map[string]string) { p.regions = regions }

// SetEvacuated takes the evacuated data centres, in force with the next list of servers.
func (p *Picker) SetEvacuated(dataCentres []string) {
	clear(p.evacuated)
	for _, dc := range dataCentres {
		p.evacuated[dc] = true
	}
}

// TakenBack notes that the data centre's evacuation was taken back then: its servers may have
// become cold meanwhile.
func (p *Picker) TakenBack(dataCentre string, at, now time.Time) {
	for _, s := range p.servers {
		if s.DataCentre == dataCentre && s.bounded {
			p.mark(s, slowstart.ByTakeBack, at.Add(p.specs[s.Service].SlowStart.For), now)
		}
	}
}

// readWarmup applies the warm-up in the server's entry if the entry is new. An entry that was
// rewritten with the same warm-up also counts as new: the server may have become cold again.
func (p *Picker) readWarmup(s *server, before routing.Server, now time.Time) {
	if before.Identity() == s.Identity() && before.Warmup == s.Warmup && before.EntryVersion == s.EntryVersion {
		return
	}
	if s.Warmup <= 0 {
		s.cold.Clear(slowstart.ByEntry)
		return
	}
	p.mark(s, slowstart.ByEntry, now.Add(s.Warmup), now)
}

// mark notes that the server is cold. What was sent to it a moment ago, when it was taken for
// warm, counts against its bound.
func (p *Picker) mark(s *server, by slowstart.Source, until, now time.Time) {
	fresh := s.cold.Mark(by, until, now)
	if s.cold.Is(now) {
		p.cold[s] = true
	}
	if !fresh {
		return
	}
	if now.Sub(s.sent) < slowstart.Window {
		s.cold.Rest(s.permits, now)
	}
	p.warmups = append(p.warmups, Warmup{Server: s.Server, By: by, For: until.Sub(now)})
}

// TakeWarmups returns the servers that have become cold since it was called last, once.
func (p *Picker) TakeWarmups() []Warmup {
	list := p.warmups
	p.warmups = nil
	return list
}

// Cold returns how many servers are cold.
func (p *Picker) Cold(now time.Time) (n int) {
	for _, s := range p.servers {
		if s.cold.Is(now) {
			n++
		}
	}
	return n
}

// WarmingUp reports whether the server is slower than it will be: it has just started.
func (p *Picker) WarmingUp(id routing.Identity, now time.Time) bool {
	return p.Known(id) && p.servers[id.ID].cold.Is(now)
}

// Versions returns how many requests run at the service's servers of other versions than to, and
// how many servers of that one take requests or could.
func (p *Picker) Versions(service, to string) (old, servers int) {
	for _, s := range p.servers {
		switch {
		case s.Service != service:
		case s.Version != to:
			old += s.own.Running + s.peers.Running
		case s.Server.AcceptsRequests() && !s.unlisted && !p.evacuated[s.DataCentre]:
			servers++
		}
	}
	return old, servers
}

// onPermits reports whether requests go to the server on permits only.
func (s *server) onPermits(now time.Time) bool { return s.bounded && s.cold.Is(now) }

// bearsNone reports whether nothing may be sent to the server by this router now, since it is
// cold.
func (p *Picker) bearsNone(s *server, now time.Time) bool {
	return s.onPermits(now) && !s.cold.Free(p.slotsOf(s), now)
}

// slotsOf is how many of the server's permits are this router's.
func (p *Picker) slotsOf(s *server) int {
	if changes := p.fleet.Changes(); s.slotsAt != changes {
		s.slotsAt = changes
		s.slots = p.fleet.Slots(s.hash, s.permits)
	}
	return s.slots
}

// usePermit notes that a request is sent to the server, on a permit if that is cold.
func (p *Picker) usePermit(s *server, now time.Time) {
	s.sent = now
	if s.onPermits(now) {
		s.cold.Use(now)
	}
}

// May reports whether a request that was placed then may still be sent to the server: that it
// is listed and not in backoff, and warm or the request has a permit that counts.
func (p *Picker) May(id routing.Identity, permit bool, placed, now time.Time) bool {
	if !p.Takes(id) {
		return false
	}
	s := p.servers[id.ID]
	if s.inBackoff(now) {
		return false
	}
	if !s.onPermits(now) {
		return true
	}
	return permit && now.Sub(placed) < slowstart.Window/2
}

// unreachedBy is 1 if this router could not connect to the server a moment ago.
func (s *server) unreachedBy(now time.Time) int {
	if now.Before(s.unreached) {
		return 1
	}
	return 0
}

// noteUnreached marks the servers that routers can't reach: when they answer again they may
// be cold, and no entry has said so yet.
func (p *Picker) noteUnreached(now time.Time) {
	unreached := map[string][]*server{}
	note := func(s *server) {
		if s.takes && s.bounded && s.peers.Unreached+s.unreachedBy(now) >= unreachedMost {
			unreached[s.Service] = append(unreached[s.Service], s)
		}
	}
	for s := range p.loaded {
		note(s)
	}
	for _, s := range p.busy {
		if !p.loaded[s] {
			note(s)
		}
	}
	for service, list := range unreached {
		if float64(len(list)) > unreachedPart*float64(len(p.services[service])) {
			continue
		}
		for _, s := range list {
			p.mark(s, slowstart.BySuspicion, now.Add(p.specs[s.Service].SlowStart.For+unreachedMore), now)
		}
	}
}

// Lack is why no server of a service takes requests.
type Lack int

// The reasons.
const (
	LackServers   Lack = iota // none is listed, or all were tried
	LackEvacuated             // all stand in evacuated data centres
	LackCold                  // all that may be asked are cold and get what they bear
	LackHome                  // none stands in a region in which the request may be served
	LackBackoff               // all that may be asked are in backoff or cold, and a backoff ends first
)

// Lacks says why there is no server for a request, and when there may be one, if that is known.
func (p *Picker) Lacks(req Request, now time.Time) (lack Lack, back time.Duration) {
	listed, evacuated, home := 0, 0, 0
	var soonest time.Time
	lack = LackServers
	for _, s := range p.servers {
		if s.Service != req.Service || !s.Server.AcceptsRequests() || p.isLeaving(s.Identity()) {
			continue
		}
		listed++
		if !req.Homes.Allows(s.region) {
			continue
		}
		home++
		if p.evacuated[s.DataCentre] {
			evacuated++
			continue
		}
		until, why := s.blockedUntil(now)
		if !until.IsZero() && (soonest.IsZero() || until.Before(soonest)) {
			soonest, lack = until, why
		}
	}
	switch {
	case listed == 0:
		return LackServers, 0
	case home == 0:
		return LackHome, 0
	case evacuated == home:
		return LackEvacuated, 0
	case !soonest.IsZero():
		return lack, soonest.Sub(now)
	}
	return LackServers, 0
}

// blockedUntil returns when a listed server takes requests without bound, and what blocks it until
// then; a zero time if nothing does.
func (s *server) blockedUntil(now time.Time) (until time.Time, why Lack) {
	if s.onPermits(now) {
		until, why = s.cold.Until(), LackCold
	}
	if s.inBackoff(now) && s.notice.backoffUntil.After(until) {
		until, why = s.notice.backoffUntil, LackBackoff
	}
	return until, why
}

// drawCold adds cold servers that this router has a free permit for: no other router may use
// it, so that they would idle.
func (p *Picker) drawCold(few []*server, service string, now time.Time) []*server {
	var free []*server
	for s := range p.cold {
		if s.takes && s.Service == service && s.onPermits(now) && !p.bearsNone(s, now) && !s.inBackoff(now) && !slices.Contains(few, s) {
			free = append(free, s)
		}
	}
	slices.SortFunc(free, byHash)
	return append(few, free[:min(coldDrawn, len(free))]...)
}
