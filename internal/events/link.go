package events

// The events of the links between routers.
var (
	LinkUp            = Event{501, "link up"}
	LinkDown          = Event{502, "link down"}
	LinkDialFailed    = Event{503, "link dial failed"}
	LinkPeerRefused   = Event{504, "link peer refused"}
	LinkMalformed     = Event{505, "link message malformed"}
	LinkPeerSilent    = Event{506, "link peer silent"}
	LinkBlocked       = Event{507, "link blocked"}
	LinkUnblocked     = Event{508, "link unblocked"}
	LinkStreamRefused = Event{509, "link stream refused"}
)
