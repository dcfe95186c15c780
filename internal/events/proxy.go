package events

// The events of exchanges with backend servers.
var (
	AttemptFailed  = Event{320, "attempt failed"}
	ForeignAnswer  = Event{321, "answer of another request dropped"}
	StreamResumed  = Event{322, "stream resumed"}
	AnswerBroken   = Event{323, "caller's connection broken"}
	RetryDenied    = Event{324, "retry denied"}
	CancelFailed   = Event{325, "cancelling at backend server failed"}
	RequestRefused = Event{326, "request given up"}
)
