package pick

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// maxReadAhead bounds the time since a report for which its pending tokens are assumed to be read:
// reports come several times as often, and the one of a router that is paused says nothing.
const maxReadAhead = 250 * time.Millisecond

// Assigned is a request that the scheduler has assigned to a server, and that the reports of its
// router don't contain yet.
type Assigned struct {
	s    *server
	at   time.Time
	load Load
}

// Assign adds the request to the load of the chosen server until Unassign.
func (p *Picker) Assign(req Request, c Choice, now time.Time) *Assigned {
	a := &Assigned{s: p.servers[c.Server.ID], at: now, load: Load{
		PendingTokens: int64(c.UncachedTokens),
		MemoryTokens:  int64(routing.PromptSize(req.Prompt) + req.MaxOutput),
		Running:       1,
	}}
	if a.s == nil {
		return a
	}
	a.s.assigned = append(a.s.assigned, a)
	a.s.assignedLoad = a.s.assignedLoad.Plus(a.load)
	p.promptKeys = appendPartKeys(p.promptKeys[:0], req.Prompt)
	p.recordSentParts(a.s, p.promptKeys, now)
	return a
}

// Unassign takes the request out of the load of its server.
func (p *Picker) Unassign(a *Assigned) {
	if a.s == nil {
		return
	}
	if i := slices.Index(a.s.assigned, a); i >= 0 {
		a.s.assigned = slices.Delete(a.s.assigned, i, i+1)
		a.s.assignedLoad = a.s.assignedLoad.Minus(a.load)
	}
}

// assignedBacklog returns how many tokens of the other routers the server has still to process. They
// are known as of their reports; since then the server has processed as many as its speed allows,
// and the scheduler has assigned others.
func (s *server) assignedBacklog(now time.Time, rate float64) float64 {
	remaining := float64(s.peerLoad.PendingTokens)
	at := now
	if s.peerPendingAt.weight > 0 {
		at = s.peerPendingAt.mean()
		if oldest := now.Add(-maxReadAhead); at.Before(oldest) {
			at = oldest
		}
	}
	for _, a := range s.assigned {
		if a.at.After(at) || remaining <= 0 {
			remaining = max(0, remaining-processed(rate, a.at.Sub(at)))
			at = a.at
		}
		remaining += float64(a.load.PendingTokens)
	}
	return max(0, remaining-processed(rate, now.Sub(at)))
}

// processed returns how many tokens are processed in the time at the rate in tokens per millisecond.
func processed(rate float64, d time.Duration) float64 {
	return max(0, rate*float64(d)/float64(time.Millisecond))
}

// weightedTime is a mean of times, each with a weight.
type weightedTime struct {
	weight int64
	sum    int64 // of the weighted times since epoch, in milliseconds
	epoch  time.Time
}

// add adds a time with a weight, which is negative to take one out again.
func (w *weightedTime) add(t time.Time, weight int64) {
	if w.epoch.IsZero() {
		w.epoch = t
	}
	w.weight += weight
	w.sum += weight * t.Sub(w.epoch).Milliseconds()
}

// mean returns the weighted mean; only valid if the weight is positive.
func (w *weightedTime) mean() time.Time {
	return w.epoch.Add(time.Duration(w.sum/w.weight) * time.Millisecond)
}

// addPeerLoad adds what another router reported at a time.
func (s *server) addPeerLoad(l Load, at time.Time) {
	s.peerLoad = s.peerLoad.Plus(l)
	if l.PendingTokens > 0 {
		s.peerPendingAt.add(at, l.PendingTokens)
	}
}

// replaceLoads replaces the loads of a router's previous report in the sums by those of its next
// one. Suspicions take effect with the next Tick, which computes the sums anew.
func (p *Picker) replaceLoads(previous, next peerLoad) {
	for key, l := range previous.loads {
		s := p.serversByKey[key]
		if s == nil {
			continue
		}
		s.peerLoad = s.peerLoad.Minus(l)
		if l.PendingTokens > 0 {
			s.peerPendingAt.add(previous.reportedAt, -l.PendingTokens)
		}
		if s.peerLoad.PendingTokens == 0 {
			s.peerPendingAt = weightedTime{}
		}
	}
	for key, l := range next.loads {
		if s := p.serversByKey[key]; s != nil {
			s.addPeerLoad(l, next.reportedAt)
			p.loaded[s] = true
		}
	}
}
