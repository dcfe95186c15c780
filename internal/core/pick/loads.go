package pick

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Load is the load that one or more routers put on a server.
type Load struct {
	PendingTokens   int64 // prompt tokens still to be processed
	MemoryTokens    int64 // tokens of cache memory reserved by running requests
	Running         int   // requests
	Suspicions      int   // routers that suspect the server from their own requests
	ConnectFailures int   // routers that recently failed to connect to it
}

// Plus returns the sum of the loads.
func (l Load) Plus(o Load) Load {
	return Load{
		PendingTokens: l.PendingTokens + o.PendingTokens,
		MemoryTokens:  l.MemoryTokens + o.MemoryTokens,
		Running:       l.Running + o.Running,
		Suspicions:    l.Suspicions + o.Suspicions,

		ConnectFailures: l.ConnectFailures + o.ConnectFailures,
	}
}

// Minus returns the load without o; no value becomes negative.
func (l Load) Minus(o Load) Load {
	return Load{
		PendingTokens: max(0, l.PendingTokens-o.PendingTokens),
		MemoryTokens:  max(0, l.MemoryTokens-o.MemoryTokens),
		Running:       max(0, l.Running-o.Running),
		Suspicions:    max(0, l.Suspicions-o.Suspicions),

		ConnectFailures: max(0, l.ConnectFailures-o.ConnectFailures),
	}
}

// lightLoadDivisor determines which loads are light: those below one part in lightLoadDivisor of
// an engine's slots and memory. A request to such an engine does not queue, so the load does not
// influence the choice.
const lightLoadDivisor = 8

// IsLight reports whether the total load of a data centre or more on the server is too light to
// influence the choice, and returns the service of the server.
func (p *Picker) IsLight(key routing.ServerKey, l Load) (service string, light bool) {
	s := p.serversByKey[key]
	if s == nil || s.engine == nil || l.PendingTokens > 0 || l.Suspicions+l.ConnectFailures > 0 || !s.accepts {
		return "", false // other routers wait for the requests on a server that accepts no more to end
	}
	return s.Service, l.Running < max(s.engine.Slots/lightLoadDivisor, 1) && l.MemoryTokens < s.engine.CacheTokens/lightLoadDivisor
}

// peerLoad is the last load report of another router.
type peerLoad struct {
	reportedAt    time.Time
	loads         map[routing.ServerKey]Load
	lightRequests map[string]int // requests at servers that loads leaves out, by service
}

// SetPeerLoad stores another router's load report. The sums are computed only when the next server
// is chosen, because a reporter receives 1,000 reports a second and chooses 20 times.
func (p *Picker) SetPeerLoad(peer string, loads map[routing.ServerKey]Load, now time.Time) {
	p.SetPeerLoads(peer, loads, nil, now)
}

// SetPeerLoads stores the combined report of several routers. It leaves out servers with light
// loads and has their total number of requests in light, by service.
func (p *Picker) SetPeerLoads(peer string, loads map[routing.ServerKey]Load, light map[string]int, now time.Time) {
	previous := p.peerLoads[peer]
	p.peerLoads[peer] = peerLoad{reportedAt: now, loads: loads, lightRequests: light}
	if p.peerSumsStale || !now.Before(p.schedulesUntil) {
		p.peerSumsStale = true
		return
	}
	p.replaceLoads(previous, p.peerLoads[peer])
}

// sumPeerLoads sums the load reports of the other routers and drops expired ones.
func (p *Picker) sumPeerLoads(now time.Time) {
	p.peerSumsStale = false
	for s := range p.loaded {
		s.peerLoad = Load{}
		s.peerPendingAt = weightedTime{}
	}
	clear(p.loaded)
	for peer, report := range p.peerLoads {
		if now.Sub(report.reportedAt) > peerLoadTTL {
			delete(p.peerLoads, peer)
			continue
		}
		for key, l := range report.loads {
			if s := p.serversByKey[key]; s != nil {
				s.addPeerLoad(l, report.reportedAt)
				p.loaded[s] = true
			}
		}
	}
	p.updatePeerSuspicions()
	p.markUnreachableCold(now)
}

// Loads returns this router's load at each server where it has any, and the servers that it
// suspects.
func (p *Picker) Loads(now time.Time) map[routing.ServerKey]Load {
	loads := make(map[routing.ServerKey]Load, len(p.busy))
	for key, s := range p.busy {
		l := s.ownLoad
		if now.Before(s.health.suspectedUntil) {
			l.Suspicions = 1
		}
		l.ConnectFailures = s.connectFailed(now)
		if l.Running == 0 && l.Suspicions == 0 {
			delete(p.busy, key)
			continue
		}
		loads[key] = l
	}
	return loads
}
