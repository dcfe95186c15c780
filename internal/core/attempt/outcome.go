// Package attempt decides what may be said and done after an attempt to run a
// request at a backend server has ended. It has no input or output.
package attempt

// Outcome is what is known of one attempt once it is over.
type Outcome int

// The outcomes of an attempt.
const (
	NotSent Outcome = iota + 1 // no byte of the request left this process
	Refused                    // the server refused it before running it
	Ended                      // the server answered, wholly
	Unknown                    // it may have run, wholly or in part
)

var outcomeNames = map[Outcome]string{
	NotSent: "not-sent",
	Refused: "refused",
	Ended:   "ended",
	Unknown: "unknown",
}

// String returns the outcome's name as metrics and logs show it.
func (o Outcome) String() string { return outcomeNames[o] }

// MayHaveRun says whether the request may have run, wholly or in part.
func (o Outcome) MayHaveRun() bool { return o != NotSent && o != Refused }

// Ran says what a refusal may tell the caller in Windscale-Run: "no" only if
// the request has certainly not run.
func (o Outcome) Ran() string {
	if o.MayHaveRun() {
		return "unknown"
	}
	return "no"
}
