package events

// The events of what the router does with its peers' messages.
var (
	MessageMalformed = Event{510, "message malformed"}
	MessageUnknown   = Event{511, "message of unknown kind"}
)
