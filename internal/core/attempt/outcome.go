// Package attempt decides what may be reported and done after an attempt to run a request at a
// backend server has ended. It performs no I/O.
package attempt

// Outcome is the known result of an attempt that is over.
type Outcome int

// The outcomes of an attempt.
const (
	NotSent   Outcome = iota + 1 // no byte of the request left this process
	Refused                      // the server refused the request before running it
	Completed                    // the server gave a complete answer
	Unknown                      // the request may have run, wholly or in part
)

var outcomeNames = map[Outcome]string{
	NotSent:   "not-sent",
	Refused:   "refused",
	Completed: "ended",
	Unknown:   "unknown",
}

// String returns the outcome's name in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// MayHaveRun reports whether the request may have run, wholly or in part.
func (o Outcome) MayHaveRun() bool { return o != NotSent && o != Refused }

// RunHeader returns the value of the Windscale-Run header of a refusal: "no" only if the request has
// certainly not run.
func (o Outcome) RunHeader() string {
	if o.MayHaveRun() {
		return "unknown"
	}
	return "no"
}
