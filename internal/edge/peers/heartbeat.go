package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
)

// kind tells whose load a report contains.
type kind int

const (
	kindOwn      kind = iota // the sender's
	kindSum                  // that of the sender's data centre
	kindTotal                // that of the fleet
	kindUpdate               // none; the report contains changes of the sender's view
	kindStreams              // none; the heartbeat contains a streamMessage
	kindSchedule             // none; the heartbeat contains a scheduleMessage
	kindCount
)

// String returns the name of the kind for metrics.
func (k kind) String() string {
	return [...]string{"own", "sum", "total", "update", "streams", "schedule"}[k]
}

// Loads are sent in multiples of these units (tokens), rates in multiples of rateUnit (tokens per
// second). A value takes three bytes instead of five.
const (
	waitingUnit = 16
	memoryUnit  = 64
	rateUnit    = 16
)

// Limits of the parts of a heartbeat, so that it fits into a datagram at any size of the fleet.
// Entries that are left out are counted.
const (
	maxLoads     = 1024 // servers, 14 bytes each; those with the longest queues are kept
	maxRates     = 512  // customers, 16 bytes each; those with the highest demand are kept
	maxSentParts = 1024 // parts of prompts, 5 bytes each plus the key of a server
	maxTopRanked = 64   // routers, 40 bytes each
)

// protocolVersion is sent by releases that support updates and digests. Earlier releases send none.
const protocolVersion = 1

// heartbeat is the content of a datagram. Servers are identified by their keys: an entry with its
// load takes 14 bytes, compared to 24 with the ID and exact token counts.
type heartbeat struct {
	ControlAddr   string                         `cbor:"1,keyasint"` // of the sender
	DataCentre    string                         `cbor:"2,keyasint"`
	Kind          kind                           `cbor:"3,keyasint,omitempty"`
	ConfigVersion int64                          `cbor:"4,keyasint"` // of the sender's configuration
	ListVersion   uint64                         `cbor:"5,keyasint"` // store version of the sender's server list
	ListEdits     uint32                         `cbor:"6,keyasint,omitempty"`
	ViewAgeMs     int64                          `cbor:"7,keyasint"`            // age of the sender's last store answer
	Loads         map[routing.ServerKey][3]int64 `cbor:"8,keyasint,omitempty"`  // waiting, memory, running; in units
	Rates         map[string][2]int64            `cbor:"9,keyasint,omitempty"`  // customer: demand, served; in units
	Known         []knownRouter                  `cbor:"10,keyasint,omitempty"` // live routers
	Cores         float64                        `cbor:"11,keyasint,omitempty"` // processor capacity of the sender's host
	FollowedMs    int64                          `cbor:"12,keyasint,omitempty"` // how long the sender has followed the store
	Sent          pick.SentParts                 `cbor:"13,keyasint,omitempty"` // parts of prompts sent to servers
	Suspects      map[routing.ServerKey]int      `cbor:"14,keyasint,omitempty"` // number of routers that suspect a server
	FirstTokens   map[string][5]float32          `cbor:"15,keyasint,omitempty"` // by service: sums over first tokens
	Crashes       []contentCrashes               `cbor:"16,keyasint,omitempty"` // contents under which servers crashed
	ListEra       uint64                         `cbor:"17,keyasint,omitempty"` // store era of the sender's server list
	// EvacVersion and EvacEra are the store version and era of the sender's evacuations.
	EvacVersion uint64                    `cbor:"18,keyasint,omitempty"`
	EvacEra     uint64                    `cbor:"19,keyasint,omitempty"`
	Evacuated   []string                  `cbor:"20,keyasint,omitempty"` // data centres
	EvacKept    map[string]int64          `cbor:"21,keyasint,omitempty"` // other data centres that still count as evacuated, and for how long, in ms
	EvacEnded   map[string]int64          `cbor:"22,keyasint,omitempty"` // how long ago each evacuation was taken back, in ms
	Unreached   map[routing.ServerKey]int `cbor:"23,keyasint,omitempty"` // number of routers that cannot connect to a server

	Protocol  int                      `cbor:"24,keyasint,omitempty"`
	FleetSize int                      `cbor:"25,keyasint,omitempty"` // number of routers that the sender knows
	Digests   map[string]spread.Digest `cbor:"26,keyasint,omitempty"` // of the live routers, by data centre
	Joined    []knownRouter            `cbor:"27,keyasint,omitempty"` // live routers that are new
	Left      []knownRouter            `cbor:"28,keyasint,omitempty"`
	Changes   cbor.RawMessage          `cbor:"29,keyasint,omitempty"` // of the server list: a listChange
	Joining   bool                     `cbor:"30,keyasint,omitempty"` // the sender is looking for its first view
	Answer    bool                     `cbor:"31,keyasint,omitempty"` // the heartbeat answers another one
	Sources   []string                 `cbor:"32,keyasint,omitempty"` // routers that serve their view to the receiver
	Light     map[string]int           `cbor:"33,keyasint,omitempty"` // requests at servers that are left out of Loads, by service

	Rollouts []wireRollout `cbor:"34,keyasint,omitempty"`
	// Evidence is the evidence on new versions from the sender or its data centre. RemoteEvidence is
	// that of other data centres, which a reporter sends to the other reporter.
	Evidence       []wireSample `cbor:"35,keyasint,omitempty"`
	RemoteEvidence []wireSample `cbor:"36,keyasint,omitempty"`

	Streams *streamMessage `cbor:"37,keyasint,omitempty"`

	PartCrashes []partCrashes `cbor:"38,keyasint,omitempty"` // parts of prompts under which servers crashed

	Schedule *scheduleMessage `cbor:"45,keyasint,omitempty"`
	// EndedAsks is the ID up to which all asks of the sender but OpenAsks have ended: its loads contain
	// the effects of the decisions on them.
	EndedAsks uint64   `cbor:"46,keyasint,omitempty"`
	OpenAsks  []uint64 `cbor:"47,keyasint,omitempty"`

	ServerTimes  serverTimes  `cbor:"48,keyasint,omitempty"` // observed first events of servers
	SpeedClasses speedClasses `cbor:"49,keyasint,omitempty"` // of engines
}

// knownRouter is a router that the sender reports as live.
type knownRouter struct {
	_          struct{} `cbor:",toarray"`
	Addr       string
	DataCentre string
	AgeMs      int64 // of the last report of the router
	Cores      float32
}

func (k knownRouter) member() spread.Member {
	return spread.Member{Addr: k.Addr, DataCentre: k.DataCentre, Cores: k.Cores}
}

// age returns the time since the last report of the router.
func (k knownRouter) age() time.Duration { return time.Duration(k.AgeMs) * time.Millisecond }

func toMembers(list []knownRouter) (members []spread.Member) {
	for _, k := range list {
		members = append(members, k.member())
	}
	return members
}

func toKnownRouters(members []spread.Member) (list []knownRouter) {
	for _, m := range members {
		list = append(list, knownRouter{Addr: m.Addr, DataCentre: m.DataCentre, Cores: m.Cores})
	}
	return list
}

// receivedReport is the load report in a heartbeat.
type receivedReport struct {
	receivedAt time.Time
	kind       kind
	report     state.Report
}

// reportKey returns the key under which the report is stored. The sum of a data centre and the
// total have the same key from every reporter, since they replace each other.
func (w heartbeat) reportKey() string {
	switch w.Kind {
	case kindSum:
		return "sum of " + w.DataCentre
	case kindTotal:
		return "total"
	}
	return w.ControlAddr
}

// stamp returns the stamp of the sender's server list.
func (w heartbeat) stamp() roster.Stamp {
	return roster.Stamp{Era: w.ListEra, Version: w.ListVersion, Edits: w.ListEdits}
}

func (w heartbeat) sender() spread.Member {
	return spread.Member{Addr: w.ControlAddr, DataCentre: w.DataCentre, Cores: float32(w.Cores)}
}

// evacuations returns the sender's evacuations and their stamp, for a heartbeat that has waited on
// this host for the given time.
func (w heartbeat) evacuations(waited time.Duration) (evacuation.Snapshot, roster.Stamp) {
	t := evacuation.Snapshot{Rows: w.Evacuated, Kept: fromMillis(w.EvacKept, 0), Ended: fromMillis(w.EvacEnded, waited)}
	return t, roster.Stamp{Era: w.EvacEra, Version: w.EvacVersion}
}

// setEvacuations sets this router's evacuations.
func (w *heartbeat) setEvacuations(t evacuation.Snapshot, stamp roster.Stamp) {
	w.EvacVersion = stamp.Version
	w.EvacEra = stamp.Era
	w.Evacuated = t.Rows
	w.EvacKept = toMillis(t.Kept)
	w.EvacEnded = toMillis(t.Ended)
}

// fromMillis is the inverse of toMillis and adds the elapsed time.
func fromMillis(m map[string]int64, elapsed time.Duration) map[string]time.Duration {
	if len(m) == 0 {
		return nil
	}
	all := make(map[string]time.Duration, len(m))
	for key, ms := range m {
		all[key] = time.Duration(ms)*time.Millisecond + elapsed
	}
	return all
}

func toMillis(m map[string]time.Duration) map[string]int64 {
	if len(m) == 0 {
		return nil
	}
	ms := make(map[string]int64, len(m))
	for key, d := range m {
		ms[key] = d.Milliseconds()
	}
	return ms
}

// report decodes the report of a heartbeat that has waited on this host for the given time.
func (w heartbeat) report(waited time.Duration) state.Report {
	r := state.NewReport()
	for key, l := range w.Loads {
		r.Loads[key] = pick.Load{PendingTokens: l[0] * waitingUnit, MemoryTokens: l[1] * memoryUnit, Running: int(l[2])}
	}
	for key, n := range w.Suspects {
		l := r.Loads[key]
		l.Suspicions = n
		r.Loads[key] = l
	}
	for key, n := range w.Unreached {
		l := r.Loads[key]
		l.ConnectFailures = n
		r.Loads[key] = l
	}
	for name, v := range w.Rates {
		r.Rates[name] = fair.Rates{Demand: float64(v[0] * rateUnit), Served: float64(v[1] * rateUnit)}
	}
	r.SentParts = w.Sent
	if w.Light != nil {
		r.LightRequests = w.Light
	}
	r.Crashes = crashesFromWire(w.Crashes, waited)
	r.PartCrashes = partCrashesFromWire(w.PartCrashes, waited)
	r.Evidence = evidenceFromWire(w.Evidence)
	r.ServerTimes = w.ServerTimes.decode()
	r.SpeedClasses = w.SpeedClasses.decode()
	if len(w.FirstTokens) > 0 {
		r.FirstTokens = make(map[string]pick.FirstTokenSums, len(w.FirstTokens))
	}
	for service, f := range w.FirstTokens {
		r.FirstTokens[service] = pick.FirstTokenSums{N: float64(f[0]), X: float64(f[1]), Y: float64(f[2]), XX: float64(f[3]), XY: float64(f[4])}
	}
	return r
}

// units converts an amount to units, rounded to the nearest one.
func units(amount, unit int64) int64 { return (amount + unit/2) / unit }

// newHeartbeat returns a heartbeat of this router.
func (p *Peers) newHeartbeat(k kind, r state.Report, known []knownRouter) heartbeat {
	_, age := p.State.Table()
	stamp := p.State.Stamp()
	w := heartbeat{
		ControlAddr:   p.Self.Addr,
		DataCentre:    p.Self.DataCentre,
		Cores:         float64(p.Self.Cores),
		FollowedMs:    p.State.FollowedFor().Milliseconds(),
		Kind:          k,
		ConfigVersion: p.State.Version(),
		ListVersion:   stamp.Version,
		ListEdits:     stamp.Edits,
		ListEra:       stamp.Era,
		ViewAgeMs:     min(age, time.Hour).Milliseconds(),
		Known:         known[:min(len(known), max(maxTopRanked, p.maxKnownRouters()))],
		Crashes:       crashesToWire(r.Crashes),
		PartCrashes:   partCrashesToWire(r.PartCrashes),
		Light:         r.LightRequests,
		Protocol:      protocolVersion,
	}
	w.setEvacuations(p.State.EvacuationSnapshot())
	w.Rollouts = rolloutsToWire(p.State.Rollouts())
	w.Evidence = evidenceToWire(r.Evidence)
	w.setSent(r.SentParts, &p.Stats)
	w.setLoads(r.Loads, &p.Stats)
	w.setRates(r.Rates, &p.Stats)
	w.setServerTimes(r.ServerTimes, &p.Stats)
	w.SpeedClasses = speedClassesToWire(r.SpeedClasses)
	if len(r.FirstTokens) > 0 {
		w.FirstTokens = make(map[string][5]float32, len(r.FirstTokens))
	}
	for service, f := range r.FirstTokens {
		w.FirstTokens[service] = [5]float32{float32(f.N), float32(f.X), float32(f.Y), float32(f.XX), float32(f.XY)}
	}
	return w
}

// setSent sets the parts sent to servers, up to maxSentParts.
func (w *heartbeat) setSent(sent pick.SentParts, stats *Stats) {
	parts := 0
	for _, keys := range sent {
		parts += len(keys)
	}
	if parts <= maxSentParts {
		w.Sent = sent
		return
	}
	w.Sent = pick.SentParts{}
	kept := 0
	for _, server := range slices.Sorted(maps.Keys(sent)) {
		keys := sent[server]
		if kept+len(keys) <= maxSentParts {
			w.Sent[server] = keys
			kept += len(keys)
		}
	}
	stats.countTruncated(partSentParts, parts-kept)
}

// setLoads sets the loads of up to maxLoads servers: first those that routers suspect or cannot
// reach, then those with the longest queues.
func (w *heartbeat) setLoads(loads map[routing.ServerKey]pick.Load, stats *Stats) {
	keys := slices.Collect(maps.Keys(loads))
	if len(keys) > maxLoads {
		slices.SortFunc(keys, func(a, b routing.ServerKey) int {
			x, y := loads[a], loads[b]
			return cmp.Or(
				cmp.Compare(y.Suspicions+y.ConnectFailures, x.Suspicions+x.ConnectFailures),
				cmp.Compare(y.PendingTokens, x.PendingTokens),
				cmp.Compare(y.Running, x.Running),
				cmp.Compare(a, b),
			)
		})
		stats.countTruncated(partLoads, len(keys)-maxLoads)
		keys = keys[:maxLoads]
	}
	w.Loads = make(map[routing.ServerKey][3]int64, len(keys))
	for _, key := range keys {
		l := loads[key]
		if l.PendingTokens != 0 || l.MemoryTokens != 0 || l.Running != 0 {
			w.Loads[key] = [3]int64{units(l.PendingTokens, waitingUnit), units(l.MemoryTokens, memoryUnit), int64(l.Running)}
		}
		w.Suspects = withCount(w.Suspects, key, l.Suspicions)
		w.Unreached = withCount(w.Unreached, key, l.ConnectFailures)
	}
}

// withCount adds a count to the map unless it is 0. It creates the map if needed.
func withCount(counts map[routing.ServerKey]int, key routing.ServerKey, n int) map[routing.ServerKey]int {
	if n == 0 {
		return counts
	}
	if counts == nil {
		counts = map[routing.ServerKey]int{}
	}
	counts[key] = n
	return counts
}

// setRates sets the rates of up to maxRates customers, those with the highest demand.
func (w *heartbeat) setRates(rates map[string]fair.Rates, stats *Stats) {
	names := slices.Collect(maps.Keys(rates))
	if len(names) > maxRates {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(rates[b].Demand, rates[a].Demand), cmp.Compare(a, b))
		})
		stats.countTruncated(partRates, len(names)-maxRates)
		names = names[:maxRates]
	}
	w.Rates = make(map[string][2]int64, len(names))
	for _, name := range names {
		v := rates[name]
		w.Rates[name] = [2]int64{units(int64(v.Demand), rateUnit), units(int64(v.Served), rateUnit)}
	}
}
