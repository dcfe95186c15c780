package events

// The events of the stand-ins and of the load generator.
var (
	StandinReady = Event{191, "stand-in ready"}
	LoadEnded    = Event{192, "load ended"}
)
