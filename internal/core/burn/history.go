package burn

import (
	"maps"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// History accumulates scrapes into cumulative totals per customer and keeps
// checkpoints of them. Checkpoints older than about an hour are thinned out. A
// History is not safe for concurrent use.
type History struct {
	state HistoryState
}

// HistoryState is the persistent state of a History.
type HistoryState struct {
	Last        map[msg.RouterID]*LastSeen      `cbor:"1,keyasint"`
	Totals      map[msg.CustomerID]Totals       `cbor:"2,keyasint"`
	Routers     map[msg.RouterID]RouterCoverage `cbor:"3,keyasint"`
	Checkpoints []Checkpoint                    `cbor:"4,keyasint"` // oldest first
	Start       time.Time                       `cbor:"5,keyasint"` // time of the first scrape
}

// LastSeen is a router's latest sample.
type LastSeen struct {
	Sample Sample    `cbor:"1,keyasint"`
	At     time.Time `cbor:"2,keyasint"`
	Gone   bool      `cbor:"3,keyasint"` // not named by a later scrape
}

// RouterCoverage holds cumulative counts of how well one router was scraped.
type RouterCoverage struct {
	Seen     uint64        `cbor:"1,keyasint"` // successful scrapes
	Missed   uint64        `cbor:"2,keyasint"` // failed scrapes
	Restarts uint64        `cbor:"3,keyasint"` // new incarnations and decreased counters
	Lost     time.Duration `cbor:"4,keyasint"` // uptime whose outcomes were never scraped
	Read     time.Duration `cbor:"5,keyasint"` // uptime whose outcomes were scraped
	Latest   time.Time     `cbor:"6,keyasint"` // latest scrape that named the router
}

func (r RouterCoverage) minus(o RouterCoverage) RouterCoverage {
	return RouterCoverage{
		Seen:     r.Seen - o.Seen,
		Missed:   r.Missed - o.Missed,
		Restarts: r.Restarts - o.Restarts,
		Lost:     r.Lost - o.Lost,
		Read:     r.Read - o.Read,
	}
}

// Checkpoint holds the totals after a scrape.
type Checkpoint struct {
	At      time.Time                       `cbor:"1,keyasint"`
	Totals  map[msg.CustomerID]Totals       `cbor:"2,keyasint"`
	Routers map[msg.RouterID]RouterCoverage `cbor:"3,keyasint"`
	Missing []msg.RouterID                  `cbor:"4,keyasint"`
}

// New returns an empty history.
func New() *History {
	return Restore(HistoryState{})
}

// Restore returns a history that continues from s. The caller must not use s
// afterwards.
func Restore(s HistoryState) *History {
	if s.Last == nil {
		s.Last = map[msg.RouterID]*LastSeen{}
	}
	if s.Totals == nil {
		s.Totals = map[msg.CustomerID]Totals{}
	}
	if s.Routers == nil {
		s.Routers = map[msg.RouterID]RouterCoverage{}
	}
	return &History{state: s}
}

// State returns the state of the history. The result shares memory with the
// history and is valid until the next call of Add.
func (h *History) State() HistoryState { return h.state }

// OutOfOrderError is returned for a scrape that is not later than the previous one.
type OutOfOrderError struct{ At, Last time.Time }

// Error implements error.
func (e *OutOfOrderError) Error() string {
	return "scrape at " + e.At.String() + " is not later than the previous one at " + e.Last.String()
}

// Add adds the next scrape.
func (h *History) Add(scrape Scrape) error {
	if n := len(h.state.Checkpoints); n > 0 && !scrape.At.After(h.state.Checkpoints[n-1].At) {
		return &OutOfOrderError{At: scrape.At, Last: h.state.Checkpoints[n-1].At}
	}
	if len(h.state.Checkpoints) == 0 {
		h.state.Start = scrape.At
	}
	for _, s := range scrape.Samples {
		h.addSample(s, scrape.At)
	}
	for _, id := range scrape.Missing {
		h.addCoverage(id, RouterCoverage{Missed: 1, Latest: scrape.At})
	}
	h.markGone(scrape.At)
	h.state.Checkpoints = append(h.state.Checkpoints, Checkpoint{
		At:      scrape.At,
		Totals:  maps.Clone(h.state.Totals),
		Routers: maps.Clone(h.state.Routers),
		Missing: scrape.Missing,
	})
	h.thinCheckpoints(scrape.At)
	h.dropOldRouters(scrape.At)
	return nil
}

func (h *History) addCoverage(id msg.RouterID, d RouterCoverage) {
	r := h.state.Routers[id]
	r.Seen += d.Seen
	r.Missed += d.Missed
	r.Restarts += d.Restarts
	r.Lost += d.Lost
	r.Read += d.Read
	if d.Latest.After(r.Latest) {
		r.Latest = d.Latest
	}
	h.state.Routers[id] = r
}

// markGone marks routers as gone that the scrape at the given time did not name,
// and counts the time since their last sample as lost.
func (h *History) markGone(at time.Time) {
	for id, l := range h.state.Last {
		if l.Gone || h.state.Routers[id].Latest.Equal(at) {
			continue
		}
		l.Gone = true
		h.addCoverage(id, RouterCoverage{Lost: at.Sub(l.At)})
	}
}

// addSample adds the increase of the router's counters since its last sample.
func (h *History) addSample(s Sample, at time.Time) {
	last := h.state.Last[s.Router]
	h.state.Last[s.Router] = &LastSeen{Sample: s, At: at}
	started := at.Add(-s.Uptime)
	d := RouterCoverage{Seen: 1, Latest: at}
	switch {
	case last == nil && started.Before(h.state.Start):
		d.Lost = at.Sub(h.state.Start)
	case last == nil:
		d.Read = s.Uptime
		h.addIncreases(s, nil)
	case last.Sample.Incarnation != s.Incarnation:
		d.Restarts = 1
		d.Read = min(s.Uptime, at.Sub(last.At))
		d.Lost = at.Sub(last.At) - d.Read
		h.addIncreases(s, nil)
	default:
		d.Read = at.Sub(last.At)
		if h.addIncreases(s, last.Sample.Customers) {
			d.Restarts = 1
		}
	}
	h.addCoverage(s.Router, d)
}

// addIncreases adds the increase of the counters from last to s to the totals. It
// reports whether a counter decreased; such a counter is taken to have restarted
// from 0.
func (h *History) addIncreases(s Sample, last map[msg.CustomerID]Totals) (decreased bool) {
	for id, now := range s.Customers {
		previous := last[id]
		total := h.state.Totals[id]
		for o := range now {
			d := now[o].minus(previous[o])
			if now[o].decreasedFrom(previous[o]) {
				decreased = true
				d = now[o]
			}
			total[o] = total[o].plus(d)
		}
		h.state.Totals[id] = total
	}
	return decreased
}

// The spacing of checkpoints by age. It limits how much a window can exceed its
// nominal length.
const (
	recentAge       = time.Hour + time.Minute
	mediumAge       = 6*time.Hour + 10*time.Minute
	mediumSpacing   = 5 * time.Minute
	oldSpacing      = 30 * time.Minute
	routerRetention = longestWindow + oldSpacing
)

func spacing(age time.Duration) time.Duration {
	switch {
	case age <= recentAge:
		return 0
	case age <= mediumAge:
		return mediumSpacing
	default:
		return oldSpacing
	}
}

// thinCheckpoints drops checkpoints that are closer together than the spacing for
// their age, and those older than the longest window needs.
func (h *History) thinCheckpoints(now time.Time) {
	checkpoints := h.state.Checkpoints
	first := 0
	for first+1 < len(checkpoints) && now.Sub(checkpoints[first+1].At) >= longestWindow {
		first++
	}
	kept := make([]Checkpoint, 0, len(checkpoints)-first)
	for i := first; i < len(checkpoints); i++ {
		minSpacing := spacing(now.Sub(checkpoints[i].At))
		if len(kept) > 0 && checkpoints[i].At.Sub(kept[len(kept)-1].At) < minSpacing {
			continue
		}
		kept = append(kept, checkpoints[i])
	}
	h.state.Checkpoints = kept
}

// dropOldRouters drops routers that no window can include any more.
func (h *History) dropOldRouters(now time.Time) {
	for id, r := range h.state.Routers {
		if now.Sub(r.Latest) <= routerRetention {
			continue
		}
		delete(h.state.Last, id)
		delete(h.state.Routers, id)
		for _, checkpoint := range h.state.Checkpoints {
			delete(checkpoint.Routers, id)
		}
	}
}
