package state

import "time"

// urgentRefusal is the most urgent request that was refused lately.
type urgentRefusal struct {
	priority int
	at       time.Time
}

// urgentRefusals holds, by service, the most urgent request at or below its customer's share that
// this router refused within contentionPeriod.
type urgentRefusals map[string]urgentRefusal

// record records the refusal of a request of the priority.
func (u urgentRefusals) record(service string, priority int, now time.Time) {
	if last, ok := u[service]; ok && last.priority < priority && now.Sub(last.at) < contentionPeriod {
		return
	}
	u[service] = urgentRefusal{priority: priority, at: now}
}

// fraction returns the fraction of the limits of waiting that applies to a request of the priority.
func (u urgentRefusals) fraction(service string, priority int, now time.Time) float64 {
	if last, ok := u[service]; ok && last.priority < priority && now.Sub(last.at) < contentionPeriod {
		return lessUrgentFraction
	}
	return 1
}
