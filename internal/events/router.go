package events

// The events of what the router does with its peers' messages.
var (
	MessageMalformed   = Event{510, "message malformed"}
	MessageUnknown     = Event{511, "message of unknown kind"}
	Superseded         = Event{512, "superseded by a later incarnation"}
	PeerGaveNoSettings = Event{513, "peer gave no settings"}
)
