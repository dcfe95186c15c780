package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// initialStage is the duration of the first stage, in which the new version gets only
	// initialFraction of its share.
	initialStage    = 2 * time.Second
	initialFraction = 0.4
	// maxSwitchLead is how long before its deadline a roll-out switches at the latest: every router
	// has to learn of it, and requests at the old servers have to finish. maxSwitchFraction limits
	// that lead to a fraction of the order's duration, because after the switch all requests are
	// exposed to a version that turns bad.
	maxSwitchLead     = 5 * time.Second
	maxSwitchFraction = 0.25
	// propagationTime is how long after the switch every connected router has stopped sending
	// requests to the old servers.
	propagationTime = confirmationTTL + time.Second
	// requiredIdleTime is how long the old servers must have been idle before they may stop.
	requiredIdleTime = 500 * time.Millisecond
	// windowLength is the length of the windows over which answers are compared, in addition to the
	// whole roll-out: a version that turns bad late shows among fewer answers.
	windowLength = 4 * time.Second
	// maxDeciders is the number of routers that may compare windows of their own.
	maxDeciders = 8
)

// Bounds limit the exposure to a bad version.
type Bounds struct {
	Share float64 // share of the service's requests between the order and its deadline
	Slack float64 // number of requests allowed beyond that share
}

// shareSafetyFactor scales the share that a new version gets below the share that a bad one may get,
// because the random assignment and the request rate vary while the order lasts.
const shareSafetyFactor = 0.8

// CanaryShare returns the share of requests that go to the new version at the given time since the
// order.
func (b Bounds) CanaryShare(since time.Duration) float64 {
	share := b.Share * shareSafetyFactor
	if since < initialStage {
		return share * initialFraction
	}
	return share
}

// Input is the input of a decision.
type Input struct {
	Now time.Duration // current time by the store's clock
	// Total is the evidence of the whole roll-out.
	Total Evidence
	// OldRequests is the number of requests running at servers of other versions, NewServers the
	// number of servers of the new version that take requests.
	OldRequests, NewServers int
}

// Decider decides on the progress of one roll-out at one router. Apart from times it has no state
// that other routers lack, so another router takes over without a handover.
type Decider struct {
	Bounds      Bounds
	windowStart Evidence // evidence at the start of the window
	windowAt    time.Duration
	switchedAt  time.Duration // when the switch was first seen; zero if not yet
	idleSince   time.Duration // since when the old servers have been idle; zero if they are busy
}

// Next returns the next record and whether there is one.
func (d *Decider) Next(r Record, in Input) (Record, bool) {
	next := func(p Phase, reason string) (Record, bool) {
		r.Phase = p
		r.Reason = reason
		return r, true
	}
	deadline := r.StartedAt + r.Order.Duration
	switch r.Phase {
	case Ordered:
		if r.StartedAt == 0 {
			r.StartedAt = in.Now
		}
		return next(Canary, "ordered")
	case Canary:
		if f := d.evaluate(r, in); f.Verdict == Bad {
			return next(Halted, f.String())
		}
		if in.Now < deadline-switchBefore(r.Order) {
			return r, false
		}
		f := Evaluate(in.Total, d.Bounds.CanaryShare(initialStage), overallProbability)
		switch {
		case in.NewServers == 0:
			return next(Halted, "no server runs the version")
		case f.Verdict == Good:
			return next(Switching, f.String())
		case in.Now >= deadline:
			return next(Halted, f.String())
		}
	case Halted:
		return next(RolledBack, r.Reason)
	case Switching:
		return d.finish(r, in, next)
	case RolledBack, Completed:
	}
	return r, false
}

// finish decides on the next record while all requests go to the new version.
func (d *Decider) finish(r Record, in Input, next func(Phase, string) (Record, bool)) (Record, bool) {
	if d.switchedAt == 0 {
		d.switchedAt = in.Now
	}
	if f := d.evaluate(r, in); f.Verdict == Bad {
		return next(Halted, f.String())
	}
	switch {
	case in.OldRequests > 0:
		d.idleSince = 0
	case d.idleSince == 0:
		d.idleSince = in.Now
	}
	if in.Now-d.switchedAt < propagationTime || d.idleSince == 0 || in.Now-d.idleSince < requiredIdleTime {
		return r, false
	}
	return next(Completed, r.Reason)
}

// switchBefore returns how long before its deadline a roll-out switches.
func switchBefore(o Order) time.Duration {
	return min(maxSwitchLead, time.Duration(float64(o.Duration)*maxSwitchFraction))
}

// evaluate compares the versions over the whole roll-out and over the current window. After the
// switch, the new version's window is compared with all answers of the old version before the
// switch, and only by failures, since a higher request rate slows any version down.
func (d *Decider) evaluate(r Record, in Input) Finding {
	share := d.Bounds.CanaryShare(initialStage)
	if f := Evaluate(in.Total, share, overallProbability); f.Verdict == Bad {
		return f
	}
	windowStart := d.windowStart
	if windowStart == nil || in.Now-d.windowAt >= windowLength {
		d.windowStart, d.windowAt = clone(in.Total), in.Now
	}
	if windowStart == nil {
		return Finding{}
	}
	return Evaluate(in.Total.sinceSnapshot(windowStart, d.switchedAt > 0), share, windowProbability(in.Now-r.StartedAt))
}

// overallProbability is the part of falseAlarmProbability for comparisons over the whole roll-out.
const overallProbability = falseAlarmProbability / 2

// windowProbability returns the part for one window, at the given time since the start of the
// roll-out. It decreases with the square of the window's number, so that the sum over any number of
// windows is bounded.
func windowProbability(since time.Duration) float64 {
	number := 1 + math.Floor(max(since, 0).Seconds()/windowLength.Seconds())
	return (falseAlarmProbability - overallProbability) / maxDeciders * 6 / (math.Pi * math.Pi * number * number)
}

func clone(e Evidence) Evidence {
	c := make(Evidence, len(e))
	for key, s := range e {
		c[key] = s
	}
	return c
}

// sinceSnapshot returns the evidence added after the snapshot. Once the old version gets no more
// requests, its sample on a route consists of all its answers, without their latencies.
func (e Evidence) sinceSnapshot(before Evidence, switched bool) Evidence {
	since := Evidence{}
	for key, all := range e {
		b, s := before[key], all
		s.Answers -= min(b.Answers, s.Answers)
		s.Failures -= min(b.Failures, s.Failures)
		for i := range s.First {
			s.First[i] -= min(b.First[i], s.First[i])
			s.Pace[i] -= min(b.Pace[i], s.Pace[i])
		}
		if !key.New && switched {
			s = Sample{Answers: all.Answers, Failures: all.Failures}
		}
		since[key] = s
	}
	return since
}

// String describes the finding for operators.
func (f Finding) String() string {
	if f.Metric == "" {
		return f.Verdict.String()
	}
	return fmt.Sprintf("%s: %s on route %q, new %.0f of %.0f, old %.0f of %.0f", f.Verdict, f.Metric, f.Route, f.New, f.NewTotal, f.Old, f.OldTotal)
}
