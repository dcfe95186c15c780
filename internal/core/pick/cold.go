package pick

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
)

const (
	// minConnectFailures is how many routers must fail to connect to a server at the same time for
	// it to be marked as possibly cold when it returns. If more than maxUnreachableShare of a
	// service's servers are affected, the network is the more likely cause and none is marked.
	// Late responses do not count, since a server with a long queue is late too.
	minConnectFailures  = 2
	maxUnreachableShare = 2.0 / 3
	// unreachableWarmupExtra is added to the warm-up of such a server, which may have been back
	// for that long before its first request or entry shows it.
	unreachableWarmupExtra = time.Second
	// maxColdDrawn is how many cold servers with a free permit are considered for one request.
	maxColdDrawn = 2
)

// SetFleet sets the fleet of routers that share the permits for cold servers.
func (p *Picker) SetFleet(f *slowstart.Fleet) { p.fleet = f }

// SetRollouts sets the roll-outs that determine which servers receive requests. Changes to the
// list take effect with the next list of servers.
func (p *Picker) SetRollouts(l *rollout.List) { p.rollouts = l }

// SetColdRateBound sets by how much the request rate to cold servers may exceed their capacity.
func (p *Picker) SetColdRateBound(b slowstart.RateBound) {
	p.coldBound = b
	for _, s := range p.servers {
		p.describe(s)
	}
}

// SetRegions sets the region of each data centre.
func (p *Picker) SetRegions(regions map[string]string) { p.regions = regions }

// SetEvacuated sets the evacuated data centres. It takes effect with the next list of servers.
func (p *Picker) SetEvacuated(dataCentres []string) {
	clear(p.evacuated)
	for _, dc := range dataCentres {
		p.evacuated[dc] = true
	}
}

// EvacuationCancelled records that the data centre's evacuation was cancelled at cancelledAt. Its
// servers may have become cold without traffic.
func (p *Picker) EvacuationCancelled(dataCentre string, cancelledAt, now time.Time) {
	for _, s := range p.servers {
		if s.DataCentre == dataCentre && s.hasColdBound {
			p.markCold(s, slowstart.ByEvacuationCancelled, cancelledAt.Add(p.specs[s.Service].SlowStart.For), now)
		}
	}
}

// applyEntryWarmup applies the warm-up in the server's entry if the entry is new. An entry that was
// rewritten with the same warm-up also counts as new: the server may have become cold again.
func (p *Picker) applyEntryWarmup(s *server, previous routing.Server, now time.Time) {
	if previous.Identity() == s.Identity() && previous.Warmup == s.Warmup && previous.EntryVersion == s.EntryVersion {
		return
	}
	if s.Warmup <= 0 {
		s.cold.Clear(slowstart.ByEntry)
		return
	}
	p.markCold(s, slowstart.ByEntry, now.Add(s.Warmup), now)
}

// markCold marks the server as cold. Requests that this router sent to it within the last window,
// while it counted as warm, use up its permits.
func (p *Picker) markCold(s *server, source slowstart.Source, until, now time.Time) {
	isNew := s.cold.Mark(source, until, now)
	if s.cold.IsCold(now) {
		p.cold[s] = true
	}
	if !isNew {
		return
	}
	if now.Sub(s.lastSent) < slowstart.Window {
		s.cold.UseAll(s.permits, now)
	}
	p.warmups = append(p.warmups, Warmup{Server: s.Server, Source: source, Duration: until.Sub(now)})
}

// TakeWarmups returns the servers that have become cold since the last call.
func (p *Picker) TakeWarmups() []Warmup {
	list := p.warmups
	p.warmups = nil
	return list
}

// Cold returns how many servers are cold.
func (p *Picker) Cold(now time.Time) (n int) {
	for _, s := range p.servers {
		if s.cold.IsCold(now) {
			n++
		}
	}
	return n
}

// WarmingUp reports whether the server is cold and so slower than it will be.
func (p *Picker) WarmingUp(id routing.Identity, now time.Time) bool {
	return p.Known(id) && p.servers[id.ID].cold.IsCold(now)
}

// CountVersions returns how many requests run at the service's servers of versions other than the
// given one, and how many servers of that version may receive requests.
func (p *Picker) CountVersions(service, version string) (oldRunning, newServers int) {
	for _, s := range p.servers {
		switch {
		case s.Service != service:
		case s.Version != version:
			oldRunning += s.ownLoad.Running + s.peerLoad.Running
		case s.Server.AcceptsRequests() && !s.unlisted && !p.evacuated[s.DataCentre]:
			newServers++
		}
	}
	return oldRunning, newServers
}

// needsPermit reports whether a request to the server requires a permit.
func (s *server) needsPermit(now time.Time) bool { return s.hasColdBound && s.cold.IsCold(now) }

// outOfPermits reports whether the server is cold and this router has no free permit for it.
func (p *Picker) outOfPermits(s *server, now time.Time) bool {
	return s.needsPermit(now) && !s.cold.Free(p.permitShare(s), now)
}

// permitShare returns how many of the server's permits belong to this router.
func (p *Picker) permitShare(s *server) int {
	if changes := p.fleet.Changes(); s.ownPermitsVersion != changes {
		s.ownPermitsVersion = changes
		s.ownPermits = p.fleet.PermitShare(s.hash, s.permits)
	}
	return s.ownPermits
}

// recordSend records that a request is sent to the server, and uses a permit if the server is
// cold.
func (p *Picker) recordSend(s *server, now time.Time) {
	s.lastSent = now
	if s.needsPermit(now) {
		s.cold.Use(now)
	}
}

// MaySend reports whether a request that was placed at placedAt may still be sent to the server.
// The server must accept requests and not be in backoff; if it is cold, the request needs a permit
// that is still valid.
func (p *Picker) MaySend(id routing.Identity, hasPermit bool, placedAt, now time.Time) bool {
	if !p.Accepts(id) {
		return false
	}
	s := p.servers[id.ID]
	if s.inBackoff(now) {
		return false
	}
	if !s.needsPermit(now) {
		return true
	}
	return hasPermit && now.Sub(placedAt) < slowstart.Window/2
}

// connectFailed returns 1 if this router recently failed to connect to the server, else 0.
func (s *server) connectFailed(now time.Time) int {
	if now.Before(s.unreachableUntil) {
		return 1
	}
	return 0
}

// markUnreachableCold marks the servers that routers cannot connect to as cold: they may have
// restarted when they answer again, before their entries say so.
func (p *Picker) markUnreachableCold(now time.Time) {
	unreachable := map[string][]*server{}
	addIfUnreachable := func(s *server) {
		if s.accepts && s.hasColdBound && s.peerLoad.ConnectFailures+s.connectFailed(now) >= minConnectFailures {
			unreachable[s.Service] = append(unreachable[s.Service], s)
		}
	}
	for s := range p.loaded {
		addIfUnreachable(s)
	}
	for _, s := range p.busy {
		if !p.loaded[s] {
			addIfUnreachable(s)
		}
	}
	for service, list := range unreachable {
		if float64(len(list)) > maxUnreachableShare*float64(len(p.services[service])) {
			continue
		}
		for _, s := range list {
			p.markCold(s, slowstart.ByConnectFailures, now.Add(p.specs[s.Service].SlowStart.For+unreachableWarmupExtra), now)
		}
	}
}

// UnavailableReason is the reason why no server of a service can receive a request.
type UnavailableReason int

const (
	NoServers     UnavailableReason = iota // none is listed, or all were tried
	AllEvacuated                           // all are in evacuated data centres
	AllCold                                // all candidates are cold and at their rate limit
	NoneInRegion                           // none is in a region in which the request may be served
	NoneOfVersion                          // no server of the version that the request is pinned to, or all were tried
	AllInBackoff                           // all candidates are in backoff or cold, and a backoff ends first
)

// WhyUnavailable returns why there is no server for a request, and how long until there may be
// one; 0 if unknown.
func (p *Picker) WhyUnavailable(req Request, now time.Time) (reason UnavailableReason, wait time.Duration) {
	none := NoServers
	if req.Pinned {
		none = NoneOfVersion
	}
	listed, evacuated, inRegion := 0, 0, 0
	var soonest time.Time
	reason = NoServers
	for _, s := range p.servers {
		if s.Service != req.Service || !s.Server.AcceptsRequests() || p.isLeaving(s.Identity()) {
			continue
		}
		if req.Pinned && s.Version != req.Version {
			continue
		}
		listed++
		if !req.AllowedRegions.Allows(s.region) {
			continue
		}
		inRegion++
		if p.evacuated[s.DataCentre] {
			evacuated++
			continue
		}
		until, why := s.blockedUntil(now)
		if !until.IsZero() && (soonest.IsZero() || until.Before(soonest)) {
			soonest, reason = until, why
		}
	}
	switch {
	case listed == 0:
		return none, 0
	case inRegion == 0:
		return NoneInRegion, 0
	case evacuated == inRegion:
		return AllEvacuated, 0
	case !soonest.IsZero():
		return reason, soonest.Sub(now)
	}
	return none, 0
}

// blockedUntil returns when a listed server accepts requests without limit, and what blocks it
// until then; a zero time if nothing does.
func (s *server) blockedUntil(now time.Time) (until time.Time, why UnavailableReason) {
	if s.needsPermit(now) {
		until, why = s.cold.Until(), AllCold
	}
	if s.inBackoff(now) && s.notice.backoffUntil.After(until) {
		until, why = s.notice.backoffUntil, AllInBackoff
	}
	return until, why
}

// addColdWithPermits adds cold servers for which this router has a free permit. No other router
// can use these permits, so the servers' allowed rate would otherwise stay unused.
func (p *Picker) addColdWithPermits(drawn []*server, service string, now time.Time) []*server {
	var free []*server
	for s := range p.cold {
		if s.accepts && s.Service == service && s.needsPermit(now) && !p.outOfPermits(s, now) && !s.inBackoff(now) && !slices.Contains(drawn, s) {
			free = append(free, s)
		}
	}
	slices.SortFunc(free, byHash)
	return append(drawn, free[:min(maxColdDrawn, len(free))]...)
}
