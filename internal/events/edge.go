package events

// The events of windscale-edge: the requests.
var (
	EdgeRefused  = Event{340, "request refused"}
	EdgeSent     = Event{341, "request sent"}
	EdgeFailed   = Event{342, "attempt at server failed"}
	EdgeAnswered = Event{343, "request answered"}
	EdgeGivenUp  = Event{344, "request ended without a server's answer"}
	EdgeCut      = Event{345, "answer cut"}
	EdgeLeft     = Event{346, "caller left"}
	EdgeResumed  = Event{347, "stream goes on at another server"}

	ServerEnded     = Event{348, "servers ended under a request more than once"}
	ContentBlocked  = Event{349, "request blocked, servers end under it"}
	ContentCleared  = Event{350, "request cleared, a server answered it"}
	CustomerRefused = Event{351, "requests of a customer were refused"}
	CallerLost      = Event{352, "caller's connection could not be opened"}
	ContentDoubted  = Event{353, "request held back, servers end under it and others"}
	ContentTried    = Event{354, "held back request tried alone"}
	PartBlocked     = Event{355, "part of prompts blocked, servers crash under it"}
)

// The events of what windscale-edge believes.
var (
	ConfigInForce   = Event{230, "configuration in force"}
	ConfigRefused   = Event{231, "configuration can't be read"}
	ReloadDone      = Event{232, "settings file read again"}
	ReloadRefused   = Event{233, "settings file refused, the last settings stay"}
	ServerSuspected = Event{420, "backend server suspected"}
	ServerCleared   = Event{421, "backend server cleared"}
	ServersChanged  = Event{422, "list of backend servers changed"}
	ServerCold      = Event{423, "backend server is cold"}

	ServerBackoff   = Event{426, "backend server asks for no requests for a time"}
	ServerReturned  = Event{428, "leaving backend server takes requests again"}
	RolloutPhase    = Event{429, "roll-out of a version goes on"}
	ServerSpeed     = Event{436, "speed class of a backend server changed"}
	RolloutStore    = Event{727, "roll-out not kept in the platform's store"}
	ServerNoticeBad = Event{427, "what a backend server says of itself can't be read"}

	EvacuationSet       = Event{424, "data centre evacuated, nothing is sent to its servers"}
	EvacuationTakenBack = Event{425, "evacuation of a data centre taken back"}

	PeerFound         = Event{530, "router found"}
	PeerLost          = Event{531, "router silent"}
	PeerMalformed     = Event{532, "router's message malformed"}
	PeerPullFailed    = Event{533, "router gave no view"}
	ViewFound         = Event{534, "first view from another router"}
	HeartbeatCut      = Event{535, "entries left out of heartbeats"}
	StreamNotRecorded = Event{537, "stream not recorded, it can't be resumed at another router"}

	RelayStarted      = Event{540, "host relays its callers to others"}
	RelayEnded        = Event{541, "host relays its callers no more"}
	RelayTunnelOpened = Event{542, "relay tunnel open"}
	RelayTunnelClosed = Event{543, "relay tunnel closed"}
	RelayTunnelFailed = Event{544, "relay tunnel can't be opened"}

	RoutersFetched = Event{536, "list of routers fetched"}

	SchedulerLost    = Event{545, "scheduler doesn't answer, this router decides for a while"}
	SchedulerBack    = Event{546, "scheduler answers again"}
	SchedulerChanged = Event{547, "another router schedules this data centre"}
	SchedulerRole    = Event{548, "this router begins or ceases to schedule"}
	StoreLost        = Event{720, "platform's store lost"}
	StoreRegained    = Event{721, "platform's store back"}
	StoreRowBad      = Event{722, "row of the platform's store can't be read"}
	StoreHistory     = Event{723, "history of the platform's store dropped, read anew"}
	StoreRegister    = Event{724, "router not registered in the platform's store"}
	StoreReturned    = Event{726, "platform's store came back from an older copy"}
	StoreEnds        = Event{725, "blocked requests not kept in the platform's store"}
	ReadyChanged     = Event{107, "readiness changed"}
	LogDropped       = Event{108, "log lines dropped"}
	HostSuspended    = Event{109, "host was suspended"}
	ClockUnread      = Event{115, "clock that counts suspensions can't be read"}
)
