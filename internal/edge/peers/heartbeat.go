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

// kind is whose load a report tells.
type kind int

const (
	kindOwn    kind = iota // the sender's
	kindSum                // of the sender's data centre
	kindTotal              // of the fleet
	kindUpdate             // none: it tells what has changed of the sender's view
	kinds
)

// String returns the kind's name, for metrics.
func (k kind) String() string { return [...]string{"own", "sum", "total", "update"}[k] }

// What loads and rates are rounded to on their way, tokens and tokens a second: three
// bytes for each in place of five.
const (
	waitingUnit = 16
	memoryUnit  = 64
	rateUnit    = 16
)

// Bounds of a heartbeat's parts, so that it fits into a datagram at any size of the fleet. What is
// left out is counted.
const (
	loadsMost = 1024 // servers, 14 bytes each: those with the longest queues
	ratesMost = 512  // customers, 16 bytes each: those that ask for most
	sentParts = 1024 // parts of prompts, 5 bytes each and a server's key
	headsMost = 64   // routers, 40 bytes each
)

// protocol is told by each release that knows updates and digests; releases before it tell none.
const protocol = 1

// heartbeat is a datagram. Servers go by their keys: 14 bytes for each with its load,
// 24 by their IDs and to the token.
type heartbeat struct {
	Control    string                         `cbor:"1,keyasint"` // the sender's control address
	DataCentre string                         `cbor:"2,keyasint"`
	Kind       kind                           `cbor:"3,keyasint,omitempty"`
	Version    int64                          `cbor:"4,keyasint"` // of its configuration
	List       uint64                         `cbor:"5,keyasint"` // the store's version of its list of servers
	Edits      uint32                         `cbor:"6,keyasint,omitempty"`
	AgeMs      int64                          `cbor:"7,keyasint"`            // of its last answer of the store
	Loads      map[routing.ServerKey][3]int64 `cbor:"8,keyasint,omitempty"`  // waiting, memory, running; in units
	Rates      map[string][2]int64            `cbor:"9,keyasint,omitempty"`  // customer: asked, served; in units
	Known      []knownRouter                  `cbor:"10,keyasint,omitempty"` // live routers
	Cores      float64                        `cbor:"11,keyasint,omitempty"` // processor time of the sender's host
	FollowedMs int64                          `cbor:"12,keyasint,omitempty"` // for how long it has followed the store
	Sent       pick.SentParts                 `cbor:"13,keyasint,omitempty"` // parts of prompts sent to servers
	Suspects   map[routing.ServerKey]int      `cbor:"14,keyasint,omitempty"` // routers that suspect a server
	Firsts     map[string][5]float32          `cbor:"15,keyasint,omitempty"` // service: sums over first tokens
	Ends       []contentCrashes               `cbor:"16,keyasint,omitempty"` // contents under which servers ended
	Era        uint64                         `cbor:"17,keyasint,omitempty"` // the store's era of its list of servers
	// Evac and EvacEra are the store's version and era of the sender's evacuations.
	Evac      uint64                    `cbor:"18,keyasint,omitempty"`
	EvacEra   uint64                    `cbor:"19,keyasint,omitempty"`
	Evacuated []string                  `cbor:"20,keyasint,omitempty"` // data centres
	EvacKept  map[string]int64          `cbor:"21,keyasint,omitempty"` // others that count as such for so long, ms
	EvacEnded map[string]int64          `cbor:"22,keyasint,omitempty"` // how long ago each was taken back, ms
	Unreached map[routing.ServerKey]int `cbor:"23,keyasint,omitempty"` // routers that can't connect to a server

	Protocol int                      `cbor:"24,keyasint,omitempty"`
	Fleet    int                      `cbor:"25,keyasint,omitempty"` // how many routers the sender knows of
	Digests  map[string]spread.Digest `cbor:"26,keyasint,omitempty"` // of the live routers of data centres
	Joined   []knownRouter            `cbor:"27,keyasint,omitempty"` // of these, those that are new
	Left     []knownRouter            `cbor:"28,keyasint,omitempty"`
	Changes  cbor.RawMessage          `cbor:"29,keyasint,omitempty"` // of the list of servers: listChange
	Joining  bool                     `cbor:"30,keyasint,omitempty"` // the sender looks for its first view
	Answer   bool                     `cbor:"31,keyasint,omitempty"` // to a heartbeat
	Sources  []string                 `cbor:"32,keyasint,omitempty"` // routers that give their view to the receiver
	Light    map[string]int           `cbor:"33,keyasint,omitempty"` // requests at servers that are left out, by service

	Rollouts []wireRollout `cbor:"34,keyasint,omitempty"`
	// Evidence on new versions is of the sender, or of its data centre; EvidenceFar, that a reporter
	// tells the other one, of other data centres.
	Evidence    []wireSample `cbor:"35,keyasint,omitempty"`
	EvidenceFar []wireSample `cbor:"36,keyasint,omitempty"`
}

// knownRouter is a live router that the sender vouches for.
type knownRouter struct {
	_          struct{} `cbor:",toarray"`
	Addr       string
	DataCentre string
	AgeMs      int64 // of the last report of it
	Cores      float32
}

// member returns the router.
func (k knownRouter) member() spread.Member {
	return spread.Member{Addr: k.Addr, DataCentre: k.DataCentre, Cores: k.Cores}
}

// age is how long ago the last report of it was.
func (k knownRouter) age() time.Duration { return time.Duration(k.AgeMs) * time.Millisecond }

// membersOf returns the routers.
func membersOf(list []knownRouter) (members []spread.Member) {
	for _, k := range list {
		members = append(members, k.member())
	}
	return members
}

// knownOf is the other way.
func knownOf(members []spread.Member) (list []knownRouter) {
	for _, m := range members {
		list = append(list, knownRouter{Addr: m.Addr, DataCentre: m.DataCentre, Cores: m.Cores})
	}
	return list
}

// heardReport is what a report said of loads.
type heardReport struct {
	at     time.Time
	kind   kind
	report state.Report
}

// key is under whose name a report's load counts: the sum of a data centre and
// the total are the same from each reporter.
func (w heartbeat) key() string {
	switch w.Kind {
	case kindSum:
		return "sum of " + w.DataCentre
	case kindTotal:
		return "total"
	}
	return w.Control
}

// stamp is that of the sender's list of servers.
func (w heartbeat) stamp() roster.Stamp {
	return roster.Stamp{Era: w.Era, Version: w.List, Edits: w.Edits}
}

// sender returns the router that sent it.
func (w heartbeat) sender() spread.Member {
	return spread.Member{Addr: w.Control, DataCentre: w.DataCentre, Cores: float32(w.Cores)}
}

// evacuations are the sender's, as they were when the heartbeat came.
func (w heartbeat) evacuations(waited time.Duration) (evacuation.Snapshot, roster.Stamp) {
	t := evacuation.Snapshot{Rows: w.Evacuated, Kept: ofMillis(w.EvacKept, 0), Ended: ofMillis(w.EvacEnded, waited)}
	return t, roster.Stamp{Era: w.EvacEra, Version: w.Evac}
}

// setEvacuations has the heartbeat tell this router's evacuations.
func (w *heartbeat) setEvacuations(t evacuation.Snapshot, as roster.Stamp) {
	w.Evac = as.Version
	w.EvacEra = as.Era
	w.Evacuated = t.Rows
	w.EvacKept = inMillis(t.Kept)
	w.EvacEnded = inMillis(t.Ended)
}

// ofMillis is the other way of inMillis, with what has passed on the way.
func ofMillis(m map[string]int64, passed time.Duration) map[string]time.Duration {
	if len(m) == 0 {
		return nil
	}
	all := make(map[string]time.Duration, len(m))
	for key, ms := range m {
		all[key] = time.Duration(ms)*time.Millisecond + passed
	}
	return all
}

func inMillis(m map[string]time.Duration) map[string]int64 {
	if len(m) == 0 {
		return nil
	}
	ms := make(map[string]int64, len(m))
	for key, d := range m {
		ms[key] = d.Milliseconds()
	}
	return ms
}

// report returns what a heartbeat tells that has waited here for so long.
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
	r.Crashes = readCrashes(w.Ends, waited)
	r.Evidence = evidenceOf(w.Evidence)
	if len(w.Firsts) > 0 {
		r.FirstTokens = make(map[string]pick.FirstTokenSums, len(w.Firsts))
	}
	for service, f := range w.Firsts {
		r.FirstTokens[service] = pick.FirstTokenSums{N: float64(f[0]), X: float64(f[1]), Y: float64(f[2]), XX: float64(f[3]), XY: float64(f[4])}
	}
	return r
}

// units is how many units an amount is, rounded to the nearest.
func units(amount, unit int64) int64 { return (amount + unit/2) / unit }

// heartbeat makes a heartbeat of this router.
func (p *Peers) heartbeat(k kind, r state.Report, known []knownRouter) heartbeat {
	_, age := p.State.Table()
	stamp := p.State.Stamp()
	w := heartbeat{
		Control:    p.Self.Addr,
		DataCentre: p.Self.DataCentre,
		Cores:      float64(p.Self.Cores),
		FollowedMs: p.State.FollowedFor().Milliseconds(),
		Kind:       k,
		Version:    p.State.Version(),
		List:       stamp.Version,
		Edits:      stamp.Edits,
		Era:        stamp.Era,
		AgeMs:      min(age, time.Hour).Milliseconds(),
		Known:      known[:min(len(known), max(headsMost, p.knownMost()))],
		Ends:       wireCrashes(r.Crashes),
		Light:      r.LightRequests,
		Protocol:   protocol,
	}
	w.setEvacuations(p.State.EvacuationSnapshot())
	w.Rollouts = wireRollouts(p.State.Rollouts())
	w.Evidence = wireEvidence(r.Evidence)
	w.setSent(r.SentParts, &p.Stats)
	w.setLoads(r.Loads, &p.Stats)
	w.setRates(r.Rates, &p.Stats)
	if len(r.FirstTokens) > 0 {
		w.Firsts = make(map[string][5]float32, len(r.FirstTokens))
	}
	for service, f := range r.FirstTokens {
		w.Firsts[service] = [5]float32{float32(f.N), float32(f.X), float32(f.Y), float32(f.XX), float32(f.XY)}
	}
	return w
}

// setSent tells parts sent to servers, as many as there is room for.
func (w *heartbeat) setSent(sent pick.SentParts, stats *Stats) {
	parts := 0
	for _, keys := range sent {
		parts += len(keys)
	}
	if parts <= sentParts {
		w.Sent = sent
		return
	}
	w.Sent = pick.SentParts{}
	told := 0
	for _, server := range slices.Sorted(maps.Keys(sent)) {
		keys := sent[server]
		if told+len(keys) <= sentParts {
			w.Sent[server] = keys
			told += len(keys)
		}
	}
	stats.leaveOut(partParts, parts-told)
}

// setLoads tells servers' loads, those with the longest queues if there are more than there is
// room for; that routers suspect a server or can't reach it is told first.
func (w *heartbeat) setLoads(loads map[routing.ServerKey]pick.Load, stats *Stats) {
	keys := slices.Collect(maps.Keys(loads))
	if len(keys) > loadsMost {
		slices.SortFunc(keys, func(a, b routing.ServerKey) int {
			x, y := loads[a], loads[b]
			return cmp.Or(
				cmp.Compare(y.Suspicions+y.ConnectFailures, x.Suspicions+x.ConnectFailures),
				cmp.Compare(y.PendingTokens, x.PendingTokens),
				cmp.Compare(y.Running, x.Running),
				cmp.Compare(a, b),
			)
		})
		stats.leaveOut(partLoads, len(keys)-loadsMost)
		keys = keys[:loadsMost]
	}
	w.Loads = make(map[routing.ServerKey][3]int64, len(keys))
	for _, key := range keys {
		l := loads[key]
		if l.PendingTokens != 0 || l.MemoryTokens != 0 || l.Running != 0 {
			w.Loads[key] = [3]int64{units(l.PendingTokens, waitingUnit), units(l.MemoryTokens, memoryUnit), int64(l.Running)}
		}
		w.Suspects = with(w.Suspects, key, l.Suspicions)
		w.Unreached = with(w.Unreached, key, l.ConnectFailures)
	}
}

// with returns the counts with one more, if it is not 0.
func with(counts map[routing.ServerKey]int, key routing.ServerKey, n int) map[routing.ServerKey]int {
	if n == 0 {
		return counts
	}
	if counts == nil {
		counts = map[routing.ServerKey]int{}
	}
	counts[key] = n
	return counts
}

// setRates tells customers' rates, those that ask for most if there are more than there is room
// for.
func (w *heartbeat) setRates(rates map[string]fair.Rates, stats *Stats) {
	names := slices.Collect(maps.Keys(rates))
	if len(names) > ratesMost {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(rates[b].Demand, rates[a].Demand), cmp.Compare(a, b))
		})
		stats.leaveOut(partRates, len(names)-ratesMost)
		names = names[:ratesMost]
	}
	w.Rates = make(map[string][2]int64, len(names))
	for _, name := range names {
		v := rates[name]
		w.Rates[name] = [2]int64{units(int64(v.Demand), rateUnit), units(int64(v.Served), rateUnit)}
	}
}
