package pick

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Load is what one router has at one server, or several have together.
type Load struct {
	Waiting   int64 // tokens of prompts that are still to be read
	Memory    int64 // tokens that its running requests take
	Running   int   // requests
	Suspects  int   // routers that suspect it by what they saw themselves
	Unreached int   // routers that could not connect to it a moment ago
}

// Plus returns the sum of both.
func (l Load) Plus(o Load) Load {
	return Load{
		Waiting:  l.Waiting + o.Waiting,
		Memory:   l.Memory + o.Memory,
		Running:  l.Running + o.Running,
		Suspects: l.Suspects + o.Suspects,

		Unreached: l.Unreached + o.Unreached,
	}
}

// Less returns what remains of the load without o, nothing below zero.
func (l Load) Less(o Load) Load {
	return Load{
		Waiting:  max(0, l.Waiting-o.Waiting),
		Memory:   max(0, l.Memory-o.Memory),
		Running:  max(0, l.Running-o.Running),
		Suspects: max(0, l.Suspects-o.Suspects),

		Unreached: max(0, l.Unreached-o.Unreached),
	}
}

// lightPart is the part of an engine's slots and memory, one in so many, below which its load
// changes no choice: a request that goes there finds no queue.
const lightPart = 8

// Light reports whether the load, of a whole data centre or more, changes no choice of the server,
// and of which service that is.
func (p *Picker) Light(key routing.ServerKey, l Load) (service string, light bool) {
	s := p.keyed[key]
	if s == nil || s.engine == nil || l.Waiting > 0 || l.Suspects+l.Unreached > 0 || !s.takes {
		return "", false // of one that takes nothing it is waited for what runs there
	}
	return s.Service, l.Running < max(s.engine.Slots/lightPart, 1) && l.Memory < s.engine.CacheTokens/lightPart
}

// peerLoad is the last report of another router.
type peerLoad struct {
	at    time.Time
	loads map[routing.ServerKey]Load
	light map[string]int // requests at servers whose loads are not among these, by service
}

// PeerLoad takes another router's report of its load. It is added up when the next
// server is chosen: a reporter takes in 1,000 reports a second and chooses 20 times.
func (p *Picker) PeerLoad(peer string, loads map[routing.ServerKey]Load, now time.Time) {
	p.PeerLoads(peer, loads, nil, now)
}

// PeerLoads takes the same of several routers, which leaves out servers with light loads and tells
// how many requests these have together, by service.
func (p *Picker) PeerLoads(peer string, loads map[routing.ServerKey]Load, light map[string]int, now time.Time) {
	p.peers[peer] = peerLoad{at: now, loads: loads, light: light}
	p.stale = true
}

// sumPeers adds up what the other routers said, leaving out old reports.
func (p *Picker) sumPeers(now time.Time) {
	p.stale = false
	for s := range p.loaded {
		s.peers = Load{}
	}
	clear(p.loaded)
	for peer, report := range p.peers {
		if now.Sub(report.at) > peerStale {
			delete(p.peers, peer)
			continue
		}
		for key, l := range report.loads {
			if s := p.keyed[key]; s != nil {
				s.peers = s.peers.Plus(l)
				p.loaded[s] = true
			}
		}
	}
	p.judgeReports()
	p.noteUnreached(now)
}

// Loads returns this router's load at each server where it has any, and those that it
// suspects.
func (p *Picker) Loads(now time.Time) map[routing.ServerKey]Load {
	loads := make(map[routing.ServerKey]Load, len(p.busy))
	for key, s := range p.busy {
		l := s.own
		if now.Before(s.health.until) {
			l.Suspects = 1
		}
		l.Unreached = s.unreachedBy(now)
		if l.Running == 0 && l.Suspects == 0 {
			delete(p.busy, key)
			continue
		}
		loads[key] = l
	}
	return loads
}
