package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// leastLife and mostLife bound how long an engine is thought to keep what was
	// read there.
	leastLife = 2 * time.Second
	mostLife  = 60 * time.Second
	// lifeOver is the time over which the rate is averaged at which engines are
	// filled.
	lifeOver = 3 * time.Second
	// advertiseAgain is in which part of that life the routers are told once more that a
	// server keeps a part, so that they know that it is still in use.
	advertiseAgain = 4
	// holdersMost is how many servers that keep a part are remembered for fetches.
	holdersMost = 3
	// pendingMost bounds what is waiting to be told: some 20 KB.
	pendingMost = 4096
)

// Sent says which parts of prompts were sent to which servers; a part by the hash of
// its name.
type Sent map[routing.ServerKey][]uint32

// partKey is the hash of a part's name. With some thousand parts in use one in a
// million is taken for another: a fetch in vain.
func partKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// keys appends the keys of the prompt's parts.
func keys(to []uint32, prompt []routing.PromptPart) []uint32 {
	for _, part := range prompt {
		to = append(to, partKey(part.ID))
	}
	return to
}

// cache is what a server is thought to keep of prompts: when each part was last
// sent there, by any router as far as it was heard.
type cache map[uint32]time.Time

// kept returns how many tokens of the prompt, from its start, are kept if the
// server keeps a part for life after its last use, and how many the prompt has.
func (c cache) kept(prompt []routing.PromptPart, keys []uint32, life time.Duration, now time.Time) (tokens, all int) {
	whole := true
	for i, part := range prompt {
		all += part.Tokens
		if at, ok := c[keys[i]]; !whole || !ok || now.Sub(at) > life {
			whole = false
			continue
		}
		tokens += part.Tokens
	}
	return tokens, all
}

// holder is a server that keeps a part.
type holder struct {
	s  *server
	at time.Time // when it was sent there last
}

// holders are the servers that keep a part, that with the latest use first.
type holders [holdersMost]holder

// note puts the server first.
func (h *holders) note(s *server, now time.Time) {
	last := len(h) - 1
	for i := range h {
		if h[i].s == s {
			last = i
			break
		}
	}
	copy(h[1:last+1], h[:last])
	h[0] = holder{s, now}
}

// holder returns a server other than s that keeps the part, one in the same data
// centre first; nil if none is known.
func (p *Picker) holder(key uint32, s *server, homes routing.Regions, life time.Duration, now time.Time) *server {
	var found *server
	for _, h := range p.holders[key] {
		if h.s == nil || h.s == s || !h.s.takes || now.Sub(h.at) > life || p.rankOf(h.s, now) != rankGood ||
			!homes.Allows(h.s.region) || h.s.onPermits(now) {
			continue
		}
		if h.s.DataCentre == s.DataCentre {
			return h.s
		}
		if found == nil {
			found = h.s
		}
	}
	return found
}

// noteSent notes that parts were sent to the server.
func (p *Picker) noteSent(s *server, keys []uint32, now time.Time) {
	if s.cache == nil {
		s.cache = cache{}
	}
	p.caching[s] = true
	for _, key := range keys {
		s.cache[key] = now
		h := p.holders[key]
		h.note(s, now)
		p.holders[key] = h
	}
}

// advertise notes what other routers do not know yet of the shared parts that are
// sent to the server; it is called before noteSent.
func (p *Picker) advertise(s *server, prompt []routing.PromptPart, keys []uint32, learnt *speed, now time.Time) {
	if len(prompt) < 2 {
		return
	}
	rate, _ := learnt.first.fit()
	if float64(routing.PromptSize(prompt[:len(prompt)-1])) < leastFetch(s.engine, rate) {
		return
	}
	for _, key := range keys[:len(prompt)-1] {
		if now.Sub(s.advertised[key]) < learnt.life/advertiseAgain || p.pendingCount >= pendingMost {
			continue
		}
		s.advertise(key, now)
		p.pending[s.key] = append(p.pending[s.key], key)
		p.pendingCount++
	}
}

// advertise notes that the routers were told that the server keeps a part.
func (s *server) advertise(key uint32, now time.Time) {
	if s.advertised == nil {
		s.advertised = map[uint32]time.Time{}
	}
	s.advertised[key] = now
}

// TakePending returns what the other routers are to be told of parts sent to servers,
// once.
func (p *Picker) TakePending() Sent {
	pending := p.pending
	p.pending = Sent{}
	p.pendingCount = 0
	return pending
}

// Merge takes another router's updates.
func (p *Picker) Merge(pending Sent, now time.Time) {
	for server, keys := range pending {
		s := p.keyed[server]
		if s == nil || s.engine == nil {
			continue
		}
		p.noteSent(s, keys, now)
		for _, key := range keys {
			s.advertise(key, now)
		}
	}
}

// forgetParts drops what no server keeps any more.
func (p *Picker) forgetParts(now time.Time) {
	for s := range p.caching {
		life := p.rate(s.Service).life
		for key, at := range s.cache {
			if now.Sub(at) > life {
				delete(s.cache, key)
			}
		}
		for key, at := range s.advertised {
			if now.Sub(at) > life {
				delete(s.advertised, key)
			}
		}
		if len(s.cache)+len(s.advertised) == 0 {
			delete(p.caching, s)
		}
	}
	for key, h := range p.holders {
		if h[0].s == nil || now.Sub(h[0].at) > mostLife {
			delete(p.holders, key)
		}
	}
}

// learnLife works out how long the service's engines keep what they read: as
// long as it takes all routers to fill their memory. Others' part of the filling
// is known by what they run.
func (p *Picker) learnLife(r *speed, list []*server, now time.Time) {
	if len(list) == 0 || list[0].engine == nil {
		return
	}
	dt := now.Sub(r.filledAt)
	r.filledAt = now
	if dt <= 0 || dt > mostLife {
		return
	}
	w := min(float64(dt)/float64(lifeOver), 1)
	r.fill += w * (r.filled/dt.Seconds() - r.fill)
	r.filled = 0
	own, all := p.running(list[0].Service)
	r.ownRunning += w * (float64(own) - r.ownRunning)
	r.allRunning += w * (float64(all) - r.allRunning)
	fill := r.fill * max(r.allRunning, 1) / max(r.ownRunning, 0.1)
	if fill <= 0 {
		r.life = mostLife
		return
	}
	seconds := float64(list[0].engine.CacheTokens) * float64(len(list)) / fill
	r.life = min(max(time.Duration(min(seconds, mostLife.Seconds())*float64(time.Second)), leastLife), mostLife)
}

// running returns how many requests of this router, and of all, run at the service's servers.
func (p *Picker) running(service string) (own, all int) {
	for _, s := range p.busy {
		if s.takes && s.Service == service {
			own += s.own.Running
		}
	}
	all = own
	for s := range p.loaded {
		if s.takes && s.Service == service {
			all += s.peers.Running
		}
	}
	for _, report := range p.peers {
		all += report.light[service]
	}
	return own, all
}
