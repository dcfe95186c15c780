package events

// The events of the claims of Idempotency-Keys.
var (
	ClaimTableFailed = Event{601, "claim table failed"}
	ClaimResultLost  = Event{602, "claim result not written"}
	ClaimLapsed      = Event{603, "claim lapsed before the request was sent"}
	ClaimFenced      = Event{604, "backend server refused an old fencing number"}
)

// The events of the deletion of claims that are over.
var (
	ClaimsSwept        = Event{610, "claims of an hour deleted"}
	ClaimSweepFailed   = Event{611, "claims not swept"}
	ClaimRowUnreadable = Event{612, "claim row can't be read"}
)
