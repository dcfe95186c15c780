package burn

import (
	"maps"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// History folds rounds into one growing total per customer, of which it keeps
// the values at past moments: closely spaced for the last hour, further apart
// before. It is not safe for use by several goroutines at once.
type History struct {
	s Saved
}

// Saved is all that a History holds, for keeping it between runs.
type Saved struct {
	Last    map[msg.RouterID]*LastSeen `cbor:"1,keyasint"`
	Totals  map[msg.CustomerID]Totals  `cbor:"2,keyasint"`
	Routers map[msg.RouterID]Reading   `cbor:"3,keyasint"`
	Points  []Point                    `cbor:"4,keyasint"` // oldest first
	Begin   time.Time                  `cbor:"5,keyasint"` // of the first round of all
}

// LastSeen is a router's latest sample.
type LastSeen struct {
	Sample Sample    `cbor:"1,keyasint"`
	At     time.Time `cbor:"2,keyasint"`
	Gone   bool      `cbor:"3,keyasint"` // no later round named it
}

// Reading counts what became of the readings of one router.
type Reading struct {
	Seen     uint64        `cbor:"1,keyasint"`
	Missed   uint64        `cbor:"2,keyasint"`
	Restarts uint64        `cbor:"3,keyasint"` // new incarnations, and counters that went down
	Lost     time.Duration `cbor:"4,keyasint"` // served, and never read
	Read     time.Duration `cbor:"5,keyasint"` // served, and read
	Latest   time.Time     `cbor:"6,keyasint"` // round that named the router
}

func (r Reading) minus(o Reading) Reading {
	return Reading{
		Seen:     r.Seen - o.Seen,
		Missed:   r.Missed - o.Missed,
		Restarts: r.Restarts - o.Restarts,
		Lost:     r.Lost - o.Lost,
		Read:     r.Read - o.Read,
	}
}

// Point is the totals as they stood after one round.
type Point struct {
	At      time.Time                 `cbor:"1,keyasint"`
	Totals  map[msg.CustomerID]Totals `cbor:"2,keyasint"`
	Routers map[msg.RouterID]Reading  `cbor:"3,keyasint"`
	Missing []msg.RouterID            `cbor:"4,keyasint"`
}

// New returns an empty history.
func New() *History {
	return Restore(Saved{})
}

// Restore returns a history that goes on from s, which it takes over.
func Restore(s Saved) *History {
	if s.Last == nil {
		s.Last = map[msg.RouterID]*LastSeen{}
	}
	if s.Totals == nil {
		s.Totals = map[msg.CustomerID]Totals{}
	}
	if s.Routers == nil {
		s.Routers = map[msg.RouterID]Reading{}
	}
	return &History{s: s}
}

// Saved returns what the history holds. It shares memory with the history
// until the next Add.
func (h *History) Saved() Saved { return h.s }

// OutOfOrderError says that a round is not later than the one before it.
type OutOfOrderError struct{ At, Last time.Time }

// Error implements error.
func (e *OutOfOrderError) Error() string {
	return "round of " + e.At.String() + " is not after the one of " + e.Last.String()
}

// Add takes the next round.
func (h *History) Add(r Round) error {
	if n := len(h.s.Points); n > 0 && !r.At.After(h.s.Points[n-1].At) {
		return &OutOfOrderError{At: r.At, Last: h.s.Points[n-1].At}
	}
	if len(h.s.Points) == 0 {
		h.s.Begin = r.At
	}
	for _, s := range r.Samples {
		h.addSample(s, r.At)
	}
	for _, id := range r.Missing {
		h.count(id, Reading{Missed: 1, Latest: r.At})
	}
	h.leave(r.At)
	h.s.Points = append(h.s.Points, Point{
		At:      r.At,
		Totals:  maps.Clone(h.s.Totals),
		Routers: maps.Clone(h.s.Routers),
		Missing: r.Missing,
	})
	h.thin(r.At)
	h.forget(r.At)
	return nil
}

func (h *History) count(id msg.RouterID, d Reading) {
	r := h.s.Routers[id]
	r.Seen += d.Seen
	r.Missed += d.Missed
	r.Restarts += d.Restarts
	r.Lost += d.Lost
	r.Read += d.Read
	if d.Latest.After(r.Latest) {
		r.Latest = d.Latest
	}
	h.s.Routers[id] = r
}

// leave counts what was not read of routers that the round at did not name:
// they left since their last sample.
func (h *History) leave(at time.Time) {
	for id, l := range h.s.Last {
		if l.Gone || h.s.Routers[id].Latest.Equal(at) {
			continue
		}
		l.Gone = true
		h.count(id, Reading{Lost: at.Sub(l.At)})
	}
}

// addSample adds what the router counted since its last sample.
func (h *History) addSample(s Sample, at time.Time) {
	last := h.s.Last[s.Router]
	h.s.Last[s.Router] = &LastSeen{Sample: s, At: at}
	started := at.Add(-s.Uptime)
	d := Reading{Seen: 1, Latest: at}
	switch {
	case last == nil && started.Before(h.s.Begin):
		d.Lost = at.Sub(h.s.Begin)
	case last == nil:
		d.Read = s.Uptime
		h.increase(s, nil)
	case last.Sample.Incarnation != s.Incarnation:
		d.Restarts = 1
		d.Read = min(s.Uptime, at.Sub(last.At))
		d.Lost = at.Sub(last.At) - d.Read
		h.increase(s, nil)
	default:
		d.Read = at.Sub(last.At)
		if h.increase(s, last.Sample.Customers) {
			d.Restarts = 1
		}
	}
	h.count(s.Router, d)
}

// increase adds to the totals what s holds above base, and says whether a
// counter went down; such a counter started again from 0.
func (h *History) increase(s Sample, base map[msg.CustomerID]Totals) (down bool) {
	for id, now := range s.Customers {
		was := base[id]
		sum := h.s.Totals[id]
		for o := range now {
			d := now[o].minus(was[o])
			if now[o].below(was[o]) {
				down = true
				d = now[o]
			}
			sum[o] = sum[o].plus(d)
		}
		h.s.Totals[id] = sum
	}
	return down
}

// The spacing of kept points by age. It bounds how much longer than asked a
// window may be.
const (
	closeAge     = time.Hour + time.Minute
	middleAge    = 6*time.Hour + 10*time.Minute
	middleGap    = 5 * time.Minute
	farGap       = 30 * time.Minute
	forgetRouter = longest + farGap
)

func spacing(age time.Duration) time.Duration {
	switch {
	case age <= closeAge:
		return 0
	case age <= middleAge:
		return middleGap
	default:
		return farGap
	}
}

// thin drops points that are closer together than their age needs, and those
// that no window reaches.
func (h *History) thin(now time.Time) {
	p := h.s.Points
	first := 0
	for first+1 < len(p) && now.Sub(p[first+1].At) >= longest {
		first++
	}
	kept := make([]Point, 0, len(p)-first)
	for i := first; i < len(p); i++ {
		gap := spacing(now.Sub(p[i].At))
		if len(kept) > 0 && p[i].At.Sub(kept[len(kept)-1].At) < gap {
			continue
		}
		kept = append(kept, p[i])
	}
	h.s.Points = kept
}

// forget drops routers that no window can show any more.
func (h *History) forget(now time.Time) {
	for id, r := range h.s.Routers {
		if now.Sub(r.Latest) <= forgetRouter {
			continue
		}
		delete(h.s.Last, id)
		delete(h.s.Routers, id)
		for _, p := range h.s.Points {
			delete(p.Routers, id)
		}
	}
}
