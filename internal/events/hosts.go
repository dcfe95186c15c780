package events

// The events of the host list and of backend servers.
var (
	HostListDown  = Event{701, "host list cannot be read"}
	HostListBack  = Event{702, "host list can be read again"}
	ServerSilent  = Event{401, "backend server gives no load report"}
	ServerBack    = Event{402, "backend server gives load reports again"}
	ServerLeaving = Event{403, "backend server is leaving"}
)
