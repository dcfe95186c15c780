package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Report holds the burn rates of all customers and groups at one time.
type Report struct {
	At      time.Time        `json:"at"`
	Since   time.Time        `json:"since"` // time of the oldest checkpoint
	Windows []WindowCoverage `json:"windows"`
	Rows    []Row            `json:"rows"`
}

// WindowCoverage describes how well the scrapes cover a window.
type WindowCoverage struct {
	Length  time.Duration `json:"lengthNs"`
	From    time.Time     `json:"from"` // time of the checkpoint at which the window starts
	Span    time.Duration `json:"spanNs"`
	Partial bool          `json:"partial"` // Short is set, or outcomes may not have been scraped
	Short   bool          `json:"short"`   // no checkpoint is old enough
	Seen    uint64        `json:"seen"`    // successful scrapes of routers in the window
	Read    float64       `json:"read"`    // fraction of the routers' uptime that was scraped
	Routers []RouterGaps  `json:"routers"` // routers with a gap or restart in the window
}

// hasGaps reports whether outcomes in the window may not have been scraped.
func (s WindowCoverage) hasGaps() bool {
	for _, r := range s.Routers {
		if r.Lost > 0 || r.MissingNow {
			return true
		}
	}
	return false
}

// RouterGaps describes the gaps in the data of one router in a window.
type RouterGaps struct {
	Router     msg.RouterID  `json:"router"`
	Missed     uint64        `json:"missed"` // failed scrapes
	Restarts   uint64        `json:"restarts"`
	Lost       time.Duration `json:"lostNs"`
	MissingNow bool          `json:"missingNow"`
}

// State tells whether a burn rate could be measured.
type State string

// The states of a Burn.
const (
	Measured    State = "measured"
	NoData      State = "no-data"      // no known requests, and not all routers were scraped
	NoRequests  State = "no-requests"  // no requests, and all routers were scraped
	NoObjective State = "no-objective" // the settings define no objective
)

// Burn is the burn rate in one window. Rate is valid only in state Measured.
type Burn struct {
	State  State   `json:"state"`
	Rate   float64 `json:"rate"`
	Counts Counts  `json:"counts"`
}

// Row holds the burn rates of a customer or group for one objective, by window in
// the order of Report.Windows.
type Row struct {
	ID        msg.CustomerID `json:"id"`
	Group     bool           `json:"group"`
	Objective Objective      `json:"objective"`
	Burns     []Burn         `json:"burns"`
	Alarms    []bool         `json:"alarms"` // in the order of WindowPairs: both windows reach the threshold
}

// Report computes the burn rates as of the last scrape. It includes the customers
// with counts and those in slos.
func (h *History) Report(slos map[msg.CustomerID]SLO) Report {
	if len(h.state.Checkpoints) == 0 {
		return Report{}
	}
	now := h.state.Checkpoints[len(h.state.Checkpoints)-1]
	r := Report{At: now.At, Since: h.state.Checkpoints[0].At}
	var baselines []Checkpoint // by window
	for _, w := range Windows() {
		baseline, short := h.baseline(now.At.Add(-w))
		baselines = append(baselines, baseline)
		r.Windows = append(r.Windows, windowCoverage(w, baseline, now, short))
	}
	r.Rows = reportBuilder{now, baselines, r.Windows, slos}.rows()
	return r
}

// baseline returns the last checkpoint at or before start. If there is none, it
// returns the oldest checkpoint and sets short.
func (h *History) baseline(start time.Time) (baseline Checkpoint, short bool) {
	i, found := slices.BinarySearchFunc(h.state.Checkpoints, start, func(p Checkpoint, t time.Time) int {
		return p.At.Compare(t)
	})
	switch {
	case found:
		return h.state.Checkpoints[i], false
	case i == 0:
		return h.state.Checkpoints[0], true
	default:
		return h.state.Checkpoints[i-1], false
	}
}

// windowCoverage returns the coverage from baseline to now of a window of length w.
func windowCoverage(w time.Duration, baseline, now Checkpoint, short bool) WindowCoverage {
	s := WindowCoverage{
		Length: w,
		From:   baseline.At,
		Span:   now.At.Sub(baseline.At),
		Short:  short,
	}
	var read, lost time.Duration
	for _, id := range slices.Sorted(maps.Keys(now.Routers)) {
		d := now.Routers[id].minus(baseline.Routers[id])
		missing := slices.Contains(now.Missing, id)
		if missing {
			d.Lost += unreadTime(s.Span, d)
		}
		s.Seen += d.Seen
		read += d.Read
		lost += d.Lost
		r := RouterGaps{Router: id, Missed: d.Missed, Restarts: d.Restarts, Lost: d.Lost, MissingNow: missing}
		if r != (RouterGaps{Router: id}) {
			s.Routers = append(s.Routers, r)
		}
	}
	if read+lost > 0 {
		s.Read = read.Seconds() / (read + lost).Seconds()
	}
	s.Partial = short || s.hasGaps()
	return s
}

// unreadTime returns the part of a window for which there is no data about a router
// that cannot be scraped now, given its coverage d in the window.
func unreadTime(span time.Duration, d RouterCoverage) time.Duration {
	return max(span-d.Read-d.Lost, 0)
}

// rowKey identifies a row.
type rowKey struct {
	id    msg.CustomerID
	group bool
}

// rowSums holds the counts of a row and the allowed bad outcomes, by window.
type rowSums struct {
	counts  []Counts
	allowed []float64
	hasSLO  bool
}

// reportBuilder holds the data from which the rows are computed.
type reportBuilder struct {
	now       Checkpoint
	baselines []Checkpoint // by window: the checkpoint at which it starts
	windows   []WindowCoverage
	slos      map[msg.CustomerID]SLO
}

// rows returns the rows sorted by ID, then by objective.
func (c reportBuilder) rows() []Row {
	ids := map[msg.CustomerID]bool{}
	for id := range c.now.Totals {
		ids[id] = true
	}
	for id := range c.slos {
		ids[id] = true
	}
	var out []Row
	for _, o := range Objectives() {
		out = append(out, c.objectiveRows(o, ids)...)
	}
	slices.SortStableFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// objectiveRows returns the rows of one objective, for each customer that has counts
// for it or to which it applies, and for the groups of these customers.
func (c reportBuilder) objectiveRows(o Objective, ids map[msg.CustomerID]bool) []Row {
	sums := map[rowKey]*rowSums{}
	for id := range ids {
		if !c.slos[id].covers(o) && c.now.Totals[id][o].Total == 0 {
			continue
		}
		c.addCustomer(sums, rowKey{id: id}, id, o)
		for _, g := range Groups(id) {
			c.addCustomer(sums, rowKey{id: g, group: true}, id, o)
		}
	}
	out := make([]Row, 0, len(sums))
	for k, s := range sums {
		out = append(out, c.row(k, o, s))
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// addCustomer adds the customer's counts to the row k. Customers without an
// objective are not included in groups.
func (c reportBuilder) addCustomer(sums map[rowKey]*rowSums, k rowKey, id msg.CustomerID, o Objective) {
	s, ok := sums[k]
	if !ok {
		s = &rowSums{counts: make([]Counts, len(c.baselines)), allowed: make([]float64, len(c.baselines))}
		sums[k] = s
	}
	p := c.slos[id]
	s.hasSLO = s.hasSLO || p.allowedBad(o, 1) > 0
	if k.group && p.allowedBad(o, 1) == 0 {
		return
	}
	for w, baseline := range c.baselines {
		d := c.now.Totals[id][o].minus(baseline.Totals[id][o])
		s.counts[w] = s.counts[w].plus(d)
		s.allowed[w] += p.allowedBad(o, d.Total)
	}
}

// row returns the row for the sums s, with its alarms.
func (c reportBuilder) row(k rowKey, o Objective, s *rowSums) Row {
	r := Row{ID: k.id, Group: k.group, Objective: o}
	for w, state := range c.windows {
		r.Burns = append(r.Burns, s.burn(w, state))
	}
	for _, p := range WindowPairs() {
		r.Alarms = append(r.Alarms, r.rateIn(p.Short) >= p.Threshold && r.rateIn(p.Long) >= p.Threshold)
	}
	return r
}

// burn returns the burn rate in the window with index w and the given coverage.
func (s *rowSums) burn(w int, state WindowCoverage) Burn {
	b := Burn{State: Measured, Counts: s.counts[w]}
	switch {
	case !s.hasSLO:
		b.State = NoObjective
	case s.counts[w].Total > 0:
		b.Rate = float64(s.counts[w].Bad) / s.allowed[w]
	case state.Seen == 0 || state.hasGaps():
		b.State = NoData
	default:
		b.State = NoRequests
	}
	return b
}

// rateIn returns the rate in the window of length w, or 0 if it was not measured.
func (r Row) rateIn(w time.Duration) float64 {
	b := r.Burns[slices.Index(Windows(), w)]
	if b.State != Measured {
		return 0
	}
	return b.Rate
}
