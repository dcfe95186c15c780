package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Report is the burn of every customer and group at one moment.
type Report struct {
	At      time.Time     `json:"at"`
	Since   time.Time     `json:"since"` // the oldest reading kept
	Windows []WindowState `json:"windows"`
	Rows    []Row         `json:"rows"`
}

// WindowState says how well the readings cover one window.
type WindowState struct {
	Length  time.Duration   `json:"lengthNs"`
	From    time.Time       `json:"from"` // the reading that the window starts from
	Span    time.Duration   `json:"spanNs"`
	Partial bool            `json:"partial"` // shorter than Length, or with outcomes not read
	Short   bool            `json:"short"`   // the readings do not reach back so far
	Seen    uint64          `json:"seen"`    // readings of routers in the window
	Read    float64         `json:"read"`    // share of the routers' time that was read
	Routers []RouterReading `json:"routers"` // with a gap or restart in the window
}

// gaps says that outcomes of the window may not have been read.
func (s WindowState) gaps() bool {
	for _, r := range s.Routers {
		if r.Lost > 0 || r.MissingNow {
			return true
		}
	}
	return false
}

// RouterReading says what is not known of one router within a window.
type RouterReading struct {
	Router     msg.RouterID  `json:"router"`
	Missed     uint64        `json:"missed"` // readings that failed
	Restarts   uint64        `json:"restarts"`
	Lost       time.Duration `json:"lostNs"`
	MissingNow bool          `json:"missingNow"`
}

// State says what a Burn's rate is worth.
type State string

// The states of a Burn.
const (
	Measured    State = "measured"
	NoData      State = "no-data"      // none known, and not every router was read
	NoRequests  State = "no-requests"  // every router was read, and there were none
	NoObjective State = "no-objective" // the settings promise nothing
)

// Burn is the burn rate in one window. Rate counts only in state Measured.
type Burn struct {
	State  State   `json:"state"`
	Rate   float64 `json:"rate"`
	Counts Counts  `json:"counts"`
}

// Row is one customer's or group's burn of one objective, by window in the
// order of Report.Windows.
type Row struct {
	ID        msg.CustomerID `json:"id"`
	Group     bool           `json:"group"`
	Objective Objective      `json:"objective"`
	Burns     []Burn         `json:"burns"`
	Alarms    []bool         `json:"alarms"` // by Pairs: both windows at the threshold
}

// Report computes the burn as of the last round. Customers are those that were
// counted and those in promises.
func (h *History) Report(promises map[msg.CustomerID]Promise) Report {
	if len(h.s.Points) == 0 {
		return Report{}
	}
	now := h.s.Points[len(h.s.Points)-1]
	r := Report{At: now.At, Since: h.s.Points[0].At}
	var bases []Point // by window
	for _, w := range Windows() {
		base, short := h.base(now.At.Add(-w))
		bases = append(bases, base)
		r.Windows = append(r.Windows, windowState(w, base, now, short))
	}
	r.Rows = computation{now, bases, r.Windows, promises}.rows()
	return r
}

// base returns the last point at or before start; short says there is none,
// and the oldest was taken.
func (h *History) base(start time.Time) (base Point, short bool) {
	i, found := slices.BinarySearchFunc(h.s.Points, start, func(p Point, t time.Time) int {
		return p.At.Compare(t)
	})
	switch {
	case found:
		return h.s.Points[i], false
	case i == 0:
		return h.s.Points[0], true
	default:
		return h.s.Points[i-1], false
	}
}

// windowState says what the readings from base to now know of a window of
// length w.
func windowState(w time.Duration, base, now Point, short bool) WindowState {
	s := WindowState{
		Length: w,
		From:   base.At,
		Span:   now.At.Sub(base.At),
		Short:  short,
	}
	var read, lost time.Duration
	for _, id := range slices.Sorted(maps.Keys(now.Routers)) {
		d := now.Routers[id].minus(base.Routers[id])
		missing := slices.Contains(now.Missing, id)
		if missing {
			d.Lost += unread(s.Span, d)
		}
		s.Seen += d.Seen
		read += d.Read
		lost += d.Lost
		r := RouterReading{Router: id, Missed: d.Missed, Restarts: d.Restarts, Lost: d.Lost, MissingNow: missing}
		if r != (RouterReading{Router: id}) {
			s.Routers = append(s.Routers, r)
		}
	}
	if read+lost > 0 {
		s.Read = read.Seconds() / (read + lost).Seconds()
	}
	s.Partial = short || s.gaps()
	return s
}

// unread is how much of the window is not known of a router that cannot be
// read now, when the window holds d of it.
func unread(span time.Duration, d Reading) time.Duration {
	return max(span-d.Read-d.Lost, 0)
}

// key names a row.
type key struct {
	id    msg.CustomerID
	group bool
}

// spent is what a row used and was allowed in each window.
type spent struct {
	counts  []Counts
	allowed []float64
	promise bool
}

// computation is what the rows are computed from.
type computation struct {
	now      Point
	bases    []Point // by window: the point that it starts from
	windows  []WindowState
	promises map[msg.CustomerID]Promise
}

// rows returns the rows by ID, then by objective.
func (c computation) rows() []Row {
	ids := map[msg.CustomerID]bool{}
	for id := range c.now.Totals {
		ids[id] = true
	}
	for id := range c.promises {
		ids[id] = true
	}
	var out []Row
	for _, o := range Objectives() {
		out = append(out, c.objective(o, ids)...)
	}
	slices.SortStableFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// objective returns the rows of one objective, for each customer that was
// counted or promised it and for the groups above.
func (c computation) objective(o Objective, ids map[msg.CustomerID]bool) []Row {
	sums := map[key]*spent{}
	for id := range ids {
		if !c.promises[id].covers(o) && c.now.Totals[id][o].Total == 0 {
			continue
		}
		c.add(sums, key{id: id}, id, o)
		for _, g := range Groups(id) {
			c.add(sums, key{id: g, group: true}, id, o)
		}
	}
	out := make([]Row, 0, len(sums))
	for k, s := range sums {
		out = append(out, c.row(k, o, s))
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// add adds the customer's counts to the row k.
func (c computation) add(sums map[key]*spent, k key, id msg.CustomerID, o Objective) {
	s, ok := sums[k]
	if !ok {
		s = &spent{counts: make([]Counts, len(c.bases)), allowed: make([]float64, len(c.bases))}
		sums[k] = s
	}
	p := c.promises[id]
	s.promise = s.promise || p.allowed(o, 1) > 0
	if k.group && p.allowed(o, 1) == 0 {
		return
	}
	for w, base := range c.bases {
		d := c.now.Totals[id][o].minus(base.Totals[id][o])
		s.counts[w] = s.counts[w].plus(d)
		s.allowed[w] += p.allowed(o, d.Total)
	}
}

// row returns the row of what was spent, with its alarms.
func (c computation) row(k key, o Objective, s *spent) Row {
	r := Row{ID: k.id, Group: k.group, Objective: o}
	for w, state := range c.windows {
		r.Burns = append(r.Burns, s.burn(w, state))
	}
	for _, p := range Pairs() {
		r.Alarms = append(r.Alarms, r.at(p.Short) >= p.Threshold && r.at(p.Long) >= p.Threshold)
	}
	return r
}

// burn returns the burn in the window w, whose state is given.
func (s *spent) burn(w int, state WindowState) Burn {
	b := Burn{State: Measured, Counts: s.counts[w]}
	switch {
	case !s.promise:
		b.State = NoObjective
	case s.counts[w].Total > 0:
		b.Rate = float64(s.counts[w].Bad) / s.allowed[w]
	case state.Seen == 0 || state.gaps():
		b.State = NoData
	default:
		b.State = NoRequests
	}
	return b
}

// at returns the rate in the window of length w, or 0 when it is not measured.
func (r Row) at(w time.Duration) float64 {
	b := r.Burns[slices.Index(Windows(), w)]
	if b.State != Measured {
		return 0
	}
	return b.Rate
}
