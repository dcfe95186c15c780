package events

// The events of windscale-burn.
var (
	BurnRouterMissing = Event{193, "router cannot be read"}
	BurnHostList      = Event{194, "host list cannot be read, the last one is used"}
	BurnSettings      = Event{195, "settings cannot be read, the last ones are used"}
)
