package controlplane

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// lookEvery is how often it is looked whether something has reached all.
const lookEvery = 20 * time.Millisecond

// settleFor is how long after the start the fleet's steady load is measured from.
const settleFor = 3 * time.Second

// watch is what is measured of the steady state.
type watch struct {
	from  time.Duration
	spent []spent
	total Cost
}

// until looks again and again whether something is so, and calls done when it is.
func (s *sim) until(ok func() bool, done func()) {
	if ok() {
		done()
		return
	}
	s.after(lookEvery, func() { s.until(ok, done) })
}

// watchStart notes when all routers are ready and know each other.
func (s *sim) watchStart() {
	s.until(func() bool { return s.all(func(h *host) bool { return h.ready >= 0 }) }, func() { s.result.Ready = s.now })
	s.until(func() bool {
		return s.result.Ready >= 0 && s.all(func(h *host) bool {
			return h.peers.Live() == len(s.hosts)-1 && h.state.ServerCount() == len(s.store.rows)
		})
	}, func() {
		s.result.Known = s.now
		s.result.Start = s.total
		s.after(settleFor, func() { s.watch = &watch{from: s.now, spent: s.snapshot(), total: s.total} })
	})
}

// all reports whether something is so for all hosts.
func (s *sim) all(ok func(*host) bool) bool {
	return !slices.ContainsFunc(s.hosts, func(h *host) bool { return !ok(h) })
}

func (s *sim) snapshot() (all []spent) {
	for _, h := range s.hosts {
		all = append(all, h.spent)
	}
	return all
}

// role is what the host's router does for others.
func (h *host) role() Role {
	switch {
	case h.peers.IsReader():
		return Reader
	case h.peers.ShouldRegister():
		return Reporter
	}
	return Plain
}

// finish works out the steady load.
func (s *sim) finish() {
	for _, h := range s.hosts {
		h.peers.Stats.EachTruncated(func(part string, left func() int64) { s.result.Left[part] += left() })
	}
	if s.watch == nil || s.now <= s.watch.from {
		return
	}
	seconds := (s.now - s.watch.from).Seconds()
	var sums [roles]Load
	var processor []float64
	for i, h := range s.hosts {
		now, was := h.spent, s.watch.spent[i]
		l := &sums[h.role()]
		l.Routers++
		l.In += float64(now.in-was.in) / seconds
		l.Out += float64(now.out-was.out) / seconds
		l.InB += float64(now.inB-was.inB) / seconds
		l.OutB += float64(now.outB-was.outB) / seconds
		l.Processor += (now.processor - was.processor).Seconds() / seconds
		l.StoreCalls += float64(now.storeCalls-was.storeCalls) / seconds
		processor = append(processor, (now.processor-was.processor).Seconds()/h.cores)
	}
	for role, l := range sums {
		if n := float64(l.Routers); n > 0 {
			s.result.Steady[Role(role).String()] = Load{l.Routers, l.In / n, l.Out / n, l.InB / n, l.OutB / n, l.Processor / n, l.StoreCalls / n}
		}
	}
	slices.Sort(processor)
	if middle := processor[len(processor)/2]; middle > 0 {
		s.result.BusiestTo = processor[len(processor)-1] / middle
	}
	s.result.Between = float64(s.total.Between-s.watch.total.Between) / seconds
}

// planChange plans a change of servers, and notes how it spreads.
func (s *sim) planChange(c Change) {
	s.after(c.At, func() {
		before, at := s.total.Between, s.now
		for i := range c.Servers {
			entry := s.server(i, 0)
			entry.State = routing.ServerDraining
			s.store.put(entry)
		}
		want := s.store.ver
		var sp Spread
		s.until(func() bool { return slices.ContainsFunc(s.hosts, func(h *host) bool { return h.knows(want) }) }, func() { sp.First = s.now - at })
		s.until(func() bool { return s.all(func(h *host) bool { return !h.up || h.knows(want) }) }, func() {
			sp.Last = s.now - at
			sp.Between = s.total.Between - before
			s.result.Changes = append(s.result.Changes, sp)
		})
	})
}

// knows reports whether the router's list is as of the store's version.
func (h *host) knows(version uint64) bool {
	return h.state != nil && h.state.Stamp().Version >= version
}

// planFault plans a fault and its end.
func (s *sim) planFault(f Fault) {
	s.after(f.At, func() {
		hit := s.victims(f)
		switch f.Kind {
		case Kill:
			s.kill(f, hit)
		case CutStore:
			for _, h := range hit {
				s.store.cut[h] = true
			}
			s.after(f.Until-f.At, func() { clear(s.store.cut) })
		}
	})
}

// victims are the hosts that a fault meets: the readers, or the first in the ranking of the first
// data centre; all if none are asked for.
func (s *sim) victims(f Fault) []*host {
	if f.Kind == CutStore {
		return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return !h.peers.IsReader() })
	}
	if f.Routers == 0 {
		return s.hosts
	}
	list := slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.centre != s.hosts[0].centre })
	slices.SortStableFunc(list, func(a, b *host) int {
		switch {
		case a.cores != b.cores:
			return int(b.cores*1000) - int(a.cores*1000)
		case a.addr < b.addr:
			return -1
		}
		return 1
	})
	return list[:min(f.Routers, len(list))]
}

// kill ends routers, and starts them again at the end of the fault.
func (s *sim) kill(f Fault, hit []*host) {
	at := s.now
	for _, h := range hit {
		h.end()
	}
	if len(hit) < len(s.hosts) {
		centre := hit[0].centre
		s.until(func() bool {
			return s.all(func(h *host) bool { return !h.up || h.centre != centre || h.heard > at+muteTime })
		}, func() { s.result.Heard = append(s.result.Heard, s.now-at) })
	}
	s.after(f.Until-f.At, func() {
		for _, h := range hit {
			s.after(time.Duration(s.rng.Int64N(int64(300*time.Millisecond))), func() { h.boot(false) })
		}
		from := s.now
		s.after(400*time.Millisecond, func() {
			s.until(func() bool { return s.all(func(h *host) bool { return h.ready >= 0 }) }, func() { s.result.Back = append(s.result.Back, s.now-from) })
		})
	})
}

// muteTime is how long after the end of its reporters a router may still take in what they sent.
const muteTime = 50 * time.Millisecond
