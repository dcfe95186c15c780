package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// minLifetime and maxLifetime bound the estimated time for which an engine keeps prompt parts
	// in its prefix cache.
	minLifetime = 2 * time.Second
	maxLifetime = 60 * time.Second
	// fillRateWindow is the time constant of the averaged rate at which engine caches are filled.
	fillRateWindow = 3 * time.Second
	// advertisementsPerLifetime is how often within the cache lifetime the other routers are told
	// that a server still uses a part.
	advertisementsPerLifetime = 4
	// maxHolders is how many servers that cache a part are remembered as sources for fetches.
	maxHolders = 3
	// maxPendingParts bounds the updates that wait to be sent to other routers, to about 20 KB.
	maxPendingParts = 4096
)

// SentParts holds the parts of prompts that were sent to each server, as hashes of the part IDs.
type SentParts map[routing.ServerKey][]uint32

// partKey hashes the ID of a part. With several thousand parts in use, about one in a million
// collides with another, which costs one useless fetch.
func partKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// appendPartKeys appends the keys of the parts of the prompt.
func appendPartKeys(keys []uint32, prompt []routing.PromptPart) []uint32 {
	for _, part := range prompt {
		keys = append(keys, partKey(part.ID))
	}
	return keys
}

// cache estimates which prompt parts a server has cached: it holds when each part was last sent
// there by any router, as far as this router knows.
type cache map[uint32]time.Time

// cachedTokens returns how many leading tokens of the prompt are cached if the server keeps a part
// for lifetime after its last use, and the total number of tokens in the prompt.
func (c cache) cachedTokens(prompt []routing.PromptPart, keys []uint32, lifetime time.Duration, now time.Time) (tokens, total int) {
	contiguous := true
	for i, part := range prompt {
		total += part.Tokens
		if sentAt, ok := c[keys[i]]; !contiguous || !ok || now.Sub(sentAt) > lifetime {
			contiguous = false
			continue
		}
		tokens += part.Tokens
	}
	return tokens, total
}

// holder is a server that has a part in its cache.
type holder struct {
	server *server
	sentAt time.Time // when the part was last sent to it
}

// holders lists the servers that have a part in their caches, most recently used first.
type holders [maxHolders]holder

// moveToFront puts the server first and drops the last entry if the list is full.
func (h *holders) moveToFront(s *server, now time.Time) {
	last := len(h) - 1
	for i := range h {
		if h[i].server == s {
			last = i
			break
		}
	}
	copy(h[1:last+1], h[:last])
	h[0] = holder{s, now}
}

// findHolder returns a server other than s that caches the part, preferring the data centre of s;
// nil if none is known.
func (p *Picker) findHolder(key uint32, s *server, regions routing.Regions, lifetime time.Duration, now time.Time) *server {
	var found *server
	for _, h := range p.holders[key] {
		if h.server == nil || h.server == s || !h.server.accepts || now.Sub(h.sentAt) > lifetime || p.rankOf(h.server, now) != rankGood ||
			!regions.Allows(h.server.region) || h.server.needsPermit(now) {
			continue
		}
		if h.server.DataCentre == s.DataCentre {
			return h.server
		}
		if found == nil {
			found = h.server
		}
	}
	return found
}

// recordSentParts records that parts were sent to the server.
func (p *Picker) recordSentParts(s *server, keys []uint32, now time.Time) {
	if s.cache == nil {
		s.cache = cache{}
	}
	p.withCache[s] = true
	for _, key := range keys {
		s.cache[key] = now
		h := p.holders[key]
		h.moveToFront(s, now)
		p.holders[key] = h
	}
}

// queueAdvertisements queues updates for other routers about the shared parts that are sent to the
// server, unless they were advertised recently. It must be called before recordSentParts.
func (p *Picker) queueAdvertisements(s *server, prompt []routing.PromptPart, keys []uint32, estimates *speed, now time.Time) {
	if len(prompt) < 2 {
		return
	}
	rate, _ := estimates.firstToken.fit()
	if float64(routing.PromptSize(prompt[:len(prompt)-1])) < minFetchTokens(s.engine, rate) {
		return
	}
	for _, key := range keys[:len(prompt)-1] {
		if now.Sub(s.advertisedAt[key]) < estimates.lifetime/advertisementsPerLifetime || p.pendingCount >= maxPendingParts {
			continue
		}
		s.markAdvertised(key, now)
		p.pendingParts[s.key] = append(p.pendingParts[s.key], key)
		p.pendingCount++
	}
}

// markAdvertised records that the other routers know that the server caches the part.
func (s *server) markAdvertised(key uint32, now time.Time) {
	if s.advertisedAt == nil {
		s.advertisedAt = map[uint32]time.Time{}
	}
	s.advertisedAt[key] = now
}

// TakePendingParts returns the parts sent to servers that the other routers have yet to be told
// of, and clears the queue.
func (p *Picker) TakePendingParts() SentParts {
	pending := p.pendingParts
	p.pendingParts = SentParts{}
	p.pendingCount = 0
	return pending
}

// MergeParts merges the updates of another router.
func (p *Picker) MergeParts(pending SentParts, now time.Time) {
	for server, keys := range pending {
		s := p.serversByKey[server]
		if s == nil || s.engine == nil {
			continue
		}
		p.recordSentParts(s, keys, now)
		for _, key := range keys {
			s.markAdvertised(key, now)
		}
	}
}

// expireParts removes parts that no server is expected to cache any more.
func (p *Picker) expireParts(now time.Time) {
	for s := range p.withCache {
		lifetime := p.speedOf(s.Service).lifetime
		for key, usedAt := range s.cache {
			if now.Sub(usedAt) > lifetime {
				delete(s.cache, key)
			}
		}
		for key, usedAt := range s.advertisedAt {
			if now.Sub(usedAt) > lifetime {
				delete(s.advertisedAt, key)
			}
		}
		if len(s.cache)+len(s.advertisedAt) == 0 {
			delete(p.withCache, s)
		}
	}
	for key, h := range p.holders {
		if h[0].server == nil || now.Sub(h[0].sentAt) > maxLifetime {
			delete(p.holders, key)
		}
	}
}

// updateLifetime estimates how long the service's engines keep a part: the time that all routers
// together need to fill their caches. The fill rate of the other routers is extrapolated from this
// router's rate by the number of running requests.
func (p *Picker) updateLifetime(estimates *speed, list []*server, now time.Time) {
	if len(list) == 0 || list[0].engine == nil {
		return
	}
	dt := now.Sub(estimates.fillUpdated)
	estimates.fillUpdated = now
	if dt <= 0 || dt > maxLifetime {
		return
	}
	weight := min(float64(dt)/float64(fillRateWindow), 1)
	estimates.fillRate += weight * (estimates.filledTokens/dt.Seconds() - estimates.fillRate)
	estimates.filledTokens = 0
	own, all := p.runningRequests(list[0].Service)
	estimates.ownRunning += weight * (float64(own) - estimates.ownRunning)
	estimates.allRunning += weight * (float64(all) - estimates.allRunning)
	fleetFillRate := estimates.fillRate * max(estimates.allRunning, 1) / max(estimates.ownRunning, 0.1)
	if fleetFillRate <= 0 {
		estimates.lifetime = maxLifetime
		return
	}
	seconds := float64(list[0].engine.CacheTokens) * float64(len(list)) / fleetFillRate
	estimates.lifetime = min(max(time.Duration(min(seconds, maxLifetime.Seconds())*float64(time.Second)), minLifetime), maxLifetime)
}

// runningRequests returns how many requests of this router, and of all routers, run at the
// service's servers.
func (p *Picker) runningRequests(service string) (own, all int) {
	for _, s := range p.busy {
		if s.accepts && s.Service == service {
			own += s.ownLoad.Running
		}
	}
	all = own
	for s := range p.loaded {
		if s.accepts && s.Service == service {
			all += s.peerLoad.Running
		}
	}
	for _, report := range p.peerLoads {
		all += report.lightRequests[service]
	}
	return own, all
}
