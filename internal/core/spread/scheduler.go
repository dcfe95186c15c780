package spread

import "time"

// schedulerSettleTime is how long a router must have been a reporter before it schedules: two reports
// of each router at the longest report period, from which it knows the loads.
const schedulerSettleTime = 700 * time.Millisecond

// Scheduler returns the address of the router that schedules the requests of this data centre: its
// first reporter, which receives the reports of all its routers. It returns an empty address in a
// mesh and for a router that has not heard any other lately.
func (v *View) Scheduler(now time.Time) string {
	if v.IsMesh() || v.Isolated(now) {
		return ""
	}
	return v.topMembers(v.self.DataCentre, 1)[0].Addr
}

// IsScheduler reports whether this router schedules the requests of its data centre.
func (v *View) IsScheduler(now time.Time) bool {
	return v.Scheduler(now) == v.self.Addr && !v.reporterSince.IsZero() && now.Sub(v.reporterSince) >= schedulerSettleTime
}
