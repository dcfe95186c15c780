package pick

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Choose returns the server with the lowest expected cost. For a plain service it prefers the
// servers of the router's aperture; for engines, the homes of the prompt and a few random others.
// It considers all servers if none of these is healthy. ok is false if no server may receive the
// request.
func (p *Picker) Choose(req Request, now time.Time) (best Choice, ok bool) {
	if p.peerSumsStale {
		p.sumPeerLoads(now)
	}
	if req.Pinned {
		return p.choosePinned(req, now)
	}
	list := p.services[req.listName()]
	if req.NewVersionShare > 0 {
		// Limit the number of servers so that each gets as much load as one of the other version.
		candidates := list[:int(math.Ceil(min(req.NewVersionShare, 1)*float64(len(list))))]
		p.promptKeys = appendPartKeys(p.promptKeys[:0], req.Prompt)
		return p.cheapest(candidates, req, homes{}, now)
	}
	if req.Isolated && len(list) > 0 {
		best, ok = p.cheapest(p.addRandom(nil, list, 1), req, homes{}, now)
		if ok && best.rank == rankGood && !best.Full {
			return best, true
		}
	}
	if len(list) > 0 && list[0].engine == nil {
		return p.choosePlain(list, req, now)
	}
	p.promptKeys = appendPartKeys(p.promptKeys[:0], req.Prompt)
	promptHomes := p.homes(req, list, now)
	if candidates := p.drawCandidates(list, promptHomes, now); len(candidates) > 0 {
		best, ok = p.cheapest(candidates, req, promptHomes, now)
		if missesTarget(best, req) {
			candidates = p.addRandom(candidates, list, extraDrawn)
			best, ok = p.cheapest(candidates, req, promptHomes, now)
		}
		if ok && best.rank == rankGood {
			return best, true
		}
	}
	if len(list) > maxFullScan {
		best, ok = p.cheapest(p.addRandom(nil, list, sampleSize), req, promptHomes, now)
		if ok && best.rank == rankGood {
			return best, true
		}
	}
	return p.cheapest(list, req, promptHomes, now)
}

// choosePinned returns the server with the lowest expected cost among those of the request's version.
func (p *Picker) choosePinned(req Request, now time.Time) (best Choice, ok bool) {
	list := p.versions[serviceVersion{req.Service, req.Version}]
	p.promptKeys = appendPartKeys(p.promptKeys[:0], req.Prompt)
	promptHomes := p.homes(req, p.services[req.Service], now)
	if len(list) > maxFullScan {
		best, ok = p.cheapest(p.addRandom(nil, list, sampleSize), req, promptHomes, now)
		if ok && best.rank == rankGood {
			return best, true
		}
	}
	return p.cheapest(list, req, promptHomes, now)
}

// choosePlain returns the least loaded plain server of this router's aperture. If none of them is
// healthy with a free slot, it considers the servers of its data centre, and then all.
func (p *Picker) choosePlain(list []*server, req Request, now time.Time) (best Choice, ok bool) {
	if len(list) <= apertureSize {
		return p.cheapest(list, req, homes{}, now)
	}
	for _, candidates := range [][]*server{p.aperture(list, req.Service), p.nearby[req.Service]} {
		if len(candidates) == 0 {
			continue
		}
		best, ok = p.cheapest(candidates, req, homes{}, now)
		if ok && best.rank == rankGood && best.Wait == 0 {
			return best, true
		}
	}
	return p.cheapest(list, req, homes{}, now)
}

// aperture returns the plain servers that this router prefers, selected by rendezvous hashing.
func (p *Picker) aperture(list []*server, service string) []*server {
	if preferred := p.apertures[service]; preferred != nil {
		return preferred
	}
	candidates := p.nearby[service]
	if len(candidates) == 0 {
		candidates = list
	}
	preferred := slices.Clone(candidates)
	slices.SortFunc(preferred, func(a, b *server) int { return cmp.Compare(hashPair(p.seed, a.hash), hashPair(p.seed, b.hash)) })
	preferred = preferred[:min(apertureSize, len(preferred))]
	p.apertures[service] = preferred
	return preferred
}

// drawCandidates returns the homes and a few other servers, or none if the list is too short.
func (p *Picker) drawCandidates(list []*server, promptHomes homes, now time.Time) []*server {
	if len(list) <= randomDrawn {
		return nil
	}
	drawn := promptHomes.list()
	return p.addColdWithPermits(p.addRandom(drawn, list, randomDrawn), list[0].Service, now)
}

// addRandom adds up to n random servers.
func (p *Picker) addRandom(drawn, list []*server, n int) []*server {
	for range n {
		if s := list[p.rng.IntN(len(list))]; !slices.Contains(drawn, s) {
			drawn = append(drawn, s)
		}
	}
	return drawn
}

// missesTarget reports whether more servers should be considered because the first token of a long
// request would be late: the request's own processing takes much of the target time, so it meets
// the target only where the queue is short. Doing the same for short requests would only move them
// away from their homes.
func missesTarget(c Choice, req Request) bool {
	target := float64(req.FirstTokenTarget)
	return target > 0 && float64(c.Processing) > longRequestShare*target && float64(c.Wait+c.Processing) > targetShare*target
}

// cheapest returns the server with the lowest expected cost among those of the best rank.
func (p *Picker) cheapest(list []*server, req Request, promptHomes homes, now time.Time) (best Choice, ok bool) {
	lowest := math.Inf(1)
	best.rank = math.MaxInt
	candidates := 0
	for _, s := range list {
		if !p.mayUse(s, req, now) {
			continue
		}
		rank := p.rankOf(s, now)
		if rank > best.rank {
			continue
		}
		candidates++
		c := p.estimate(s, req, promptHomes, now)
		cost := float64(c.Wait)/float64(time.Millisecond) + c.costMs + p.distanceCost(s, req)
		if rank < best.rank || cost < lowest || cost == lowest && s.ID < best.Server.ID {
			lowest = cost
			best = c
			best.rank = rank
			ok = true
		}
	}
	best.Candidates = candidates
	return best, ok
}
