package pick

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Choose returns the server with the least expected time: of a plain service any,
// of engines one of the prompt's homes or of a few drawn at random, any if none of
// these is good. ok is false if there is none that may be asked.
func (p *Picker) Choose(req Request, now time.Time) (best Choice, ok bool) {
	if p.stale {
		p.sumPeers(now)
	}
	list := p.services[req.list()]
	if req.NewPart > 0 {
		// As many of them as have the load of the others.
		few := list[:int(math.Ceil(min(req.NewPart, 1)*float64(len(list))))]
		p.keys = keys(p.keys[:0], req.Prompt)
		return p.least(few, req, homes{}, now)
	}
	if req.Apart && len(list) > 0 {
		best, ok = p.least(p.drawMore(nil, list, 1), req, homes{}, now)
		if ok && best.rank == rankGood && !best.Full {
			return best, true
		}
	}
	if len(list) > 0 && list[0].engine == nil {
		return p.choosePlain(list, req, now)
	}
	p.keys = keys(p.keys[:0], req.Prompt)
	at := p.homes(req, list, now)
	if few := p.draw(list, at, now); len(few) > 0 {
		best, ok = p.least(few, req, at, now)
		if late(best, req) {
			few = p.drawMore(few, list, lateDrawn)
			best, ok = p.least(few, req, at, now)
		}
		if ok && best.rank == rankGood {
			return best, true
		}
	}
	if len(list) > scanMost {
		best, ok = p.least(p.drawMore(nil, list, sampled), req, at, now)
		if ok && best.rank == rankGood {
			return best, true
		}
	}
	return p.least(list, req, at, now)
}

// choosePlain returns the least loaded of the plain servers that this router prefers. If none
// of them is good and has a free slot it looks at those of its data centre, and then at all.
func (p *Picker) choosePlain(list []*server, req Request, now time.Time) (best Choice, ok bool) {
	if len(list) <= apertureSize {
		return p.least(list, req, homes{}, now)
	}
	for _, few := range [][]*server{p.aperture(list, req.Service), p.nearby[req.Service]} {
		if len(few) == 0 {
			continue
		}
		best, ok = p.least(few, req, homes{}, now)
		if ok && best.rank == rankGood && best.Wait == 0 {
			return best, true
		}
	}
	return p.least(list, req, homes{}, now)
}

// aperture returns the plain servers that this router prefers, drawn by rendezvous hashing.
func (p *Picker) aperture(list []*server, service string) []*server {
	if few := p.apertures[service]; few != nil {
		return few
	}
	from := p.nearby[service]
	if len(from) == 0 {
		from = list
	}
	few := slices.Clone(from)
	slices.SortFunc(few, func(a, b *server) int { return cmp.Compare(mix(p.place, a.hash), mix(p.place, b.hash)) })
	few = few[:min(apertureSize, len(few))]
	p.apertures[service] = few
	return few
}

// draw returns the homes and a few others, none if the list is too short for it.
func (p *Picker) draw(list []*server, at homes, now time.Time) []*server {
	if len(list) <= othersDrawn {
		return nil
	}
	few := at.each()
	return p.drawCold(p.drawMore(few, list, othersDrawn), list[0].Service, now)
}

// drawMore adds up to n servers drawn at random.
func (p *Picker) drawMore(few, list []*server, n int) []*server {
	for range n {
		if s := list[p.rng.IntN(len(list))]; !slices.Contains(few, s) {
			few = append(few, s)
		}
	}
	return few
}

// late reports whether the request is a long one whose first token would come so late that
// more servers are worth a look: it needs much of its time for itself and fits before few
// queues. Short ones would only be spread away from their homes.
func late(c Choice, req Request) bool {
	target := float64(req.Target)
	return target > 0 && float64(c.Own) > longPart*target && float64(c.Wait+c.Own) > inTimePart*target
}

// least returns the server of the list with the least expected time among those
// of the best rank.
func (p *Picker) least(list []*server, req Request, at homes, now time.Time) (best Choice, ok bool) {
	least := math.Inf(1)
	best.rank = math.MaxInt
	candidates := 0
	for _, s := range list {
		if slices.Contains(req.Tried, s.ID) || !req.Homes.Allows(s.region) || p.bearsNone(s, now) || s.inBackoff(now) {
			continue
		}
		r := p.rankOf(s, now)
		if r > best.rank {
			continue
		}
		candidates++
		c := p.expect(s, req, at, now)
		cost := float64(c.Wait)/float64(time.Millisecond) + c.work + p.distance(s, req)
		if r < best.rank || cost < least || cost == least && s.ID < best.Server.ID {
			least = cost
			best = c
			best.rank = r
			ok = true
		}
	}
	best.Candidates = candidates
	return best, ok
}
