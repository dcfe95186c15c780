package spread

import (
	"maps"
	"slices"
	"time"
)

const (
	// probeInterval is how often a silent router is sent a report, in case it is back. maxProbes
	// limits how many are probed at a time.
	probeInterval = 2 * time.Second
	maxProbes     = 8
)

// Targets lists the routers to send reports to.
type Targets struct {
	Own   []string // recipients of this router's own load
	Sum   []string // recipients of the sum of this data centre
	Total []string // recipients of the sum of the fleet
}

// Targets returns the current recipients. Silent routers are probed at intervals with this
// router's own load. turn counts the reports of this data centre's sum. The sum goes to one
// reporter of each other data centre and alternates between them with turn; this centre's two
// reporters address different ones.
func (v *View) Targets(now time.Time, turn int) Targets {
	var t Targets
	switch {
	case v.IsMesh():
		for _, m := range v.Live() {
			t.Own = append(t.Own, m.Addr)
		}
	case v.IsReporter():
		t = v.reporterTargets(turn)
	default:
		t.Own = v.Reporters(v.self.DataCentre)
	}
	if !v.IsMesh() {
		v.expectAnswers(t.Own, now)
		v.expectAnswers(t.Sum, now)
	}
	t.Own = append(t.Own, v.dueProbes(now)...)
	return t
}

// expectAnswers records that routers get reports that they must answer.
func (v *View) expectAnswers(addrs []string, now time.Time) {
	for _, addr := range addrs {
		if e := v.known[addr]; e != nil && e.unansweredSince.IsZero() && now.Sub(e.lastDirect) >= unresponsiveAfter {
			e.unansweredSince = now
		}
	}
}

// reporterTargets returns the recipients of a reporter's reports.
func (v *View) reporterTargets(turn int) Targets {
	var t Targets
	local := v.Reporters(v.self.DataCentre)
	index := slices.Index(local, v.self.Addr)
	for _, name := range slices.Sorted(maps.Keys(v.centres)) {
		if remote := v.Reporters(name); name != v.self.DataCentre && len(remote) > 0 {
			t.Sum = append(t.Sum, remote[(turn+index)%len(remote)])
		}
	}
	for addr := range v.centre(v.self.DataCentre).members {
		if slices.Contains(local, addr) {
			t.Own = append(t.Own, addr) // the other reporter computes the sum too
		} else {
			t.Total = append(t.Total, addr)
		}
	}
	slices.Sort(t.Total)
	return t
}

// dueProbes returns the silent and unresponsive routers that are due for a probe.
func (v *View) dueProbes(now time.Time) []string {
	var due []string
	for addr, e := range v.known {
		if (!e.live || e.unresponsive) && now.Sub(e.lastProbe) >= probeInterval {
			due = append(due, addr)
		}
	}
	slices.Sort(due)
	if len(due) > maxProbes {
		// Continue in round-robin order.
		from, _ := slices.BinarySearch(due, v.probeCursor)
		due = append(due[from:], due[:from]...)[:maxProbes]
		v.probeCursor = due[maxProbes-1] + "\x00"
		slices.Sort(due)
	}
	for _, addr := range due {
		v.known[addr].lastProbe = now
	}
	return due
}
