package state

// VerdictCount is the number of verdicts.
const VerdictCount = int(Rejected) + 1

// verdictNames are the names of the verdicts. Their numbers are sent between routers.
var verdictNames = [VerdictCount]string{"declined", "queued", "assigned", "rejected"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Known reports whether this release knows the verdict.
func (v Verdict) Known() bool { return v >= 0 && int(v) < VerdictCount }

// Known reports whether this release knows the reason. Reasons are sent between routers.
func (r RefusalReason) Known() bool { return r >= 0 && int(r) < len(reasonNames) }
