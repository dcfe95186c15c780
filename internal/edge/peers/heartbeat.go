package peers

import (
	"time"

	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/edge/state"
)

// kind is whose load a report tells.
type kind int

const (
	kindOwn   kind = iota // the sender's
	kindSum               // of the sender's data centre
	kindTotal             // of the fleet
)

// heartbeat is a datagram.
type heartbeat struct {
	Control    string              `cbor:"1,keyasint"` // the sender's control address
	DataCentre string              `cbor:"2,keyasint"`
	Kind       kind                `cbor:"3,keyasint,omitempty"`
	Version    int64               `cbor:"4,keyasint"` // of its configuration
	List       uint64              `cbor:"5,keyasint"` // the store's version of its list of servers
	Edits      uint32              `cbor:"6,keyasint,omitempty"`
	AgeMs      int64               `cbor:"7,keyasint"`           // of its last answer of the store
	Loads      map[string][3]int64 `cbor:"8,keyasint,omitempty"` // server: waiting, memory, running
	Rates      map[string][2]int64 `cbor:"9,keyasint,omitempty"` // customer: asked, served, tokens/s
	Known      []knownRouter       `cbor:"10,keyasint,omitempty"`
	Cores      float64             `cbor:"11,keyasint,omitempty"` // processor time of the sender's host
	FollowedMs int64               `cbor:"12,keyasint,omitempty"` // for how long it has followed the store
	Sent       pick.Sent           `cbor:"13,keyasint,omitempty"` // server: parts of prompts sent there
}

// knownRouter is a live router that the sender vouches for.
type knownRouter struct {
	_          struct{} `cbor:",toarray"`
	Addr       string
	DataCentre string
	AgeMs      int64 // of the last report of it
	Cores      float64
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
	case kindOwn:
	}
	return w.Control
}

// stamp is that of the sender's list of servers.
func (w heartbeat) stamp() roster.Stamp { return roster.Stamp{Version: w.List, Edits: w.Edits} }

// report returns the loads and rates that a report tells.
func (w heartbeat) report() state.Report {
	r := newReport()
	for id, l := range w.Loads {
		r.Loads[id] = pick.Load{Waiting: l[0], Memory: l[1], Running: int(l[2])}
	}
	for name, v := range w.Rates {
		r.Rates[name] = fair.Rates{Asked: float64(v[0]), Served: float64(v[1])}
	}
	return r
}

// heartbeat makes a heartbeat of this router.
func (p *Peers) heartbeat(k kind, r state.Report, known []knownRouter) heartbeat {
	_, age := p.State.Table()
	stamp := p.State.Stamp()
	w := heartbeat{
		Control:    p.Self.Addr,
		DataCentre: p.Self.DataCentre,
		Cores:      p.Self.Cores,
		FollowedMs: p.State.Followed().Milliseconds(),
		Kind:       k,
		Version:    p.State.Version(),
		List:       stamp.Version,
		Edits:      stamp.Edits,
		AgeMs:      min(age, time.Hour).Milliseconds(),
		Loads:      make(map[string][3]int64, len(r.Loads)),
		Rates:      make(map[string][2]int64, len(r.Rates)),
		Known:      known,
		Sent:       r.Sent,
	}
	for id, l := range r.Loads {
		w.Loads[id] = [3]int64{l.Waiting, l.Memory, int64(l.Running)}
	}
	for name, v := range r.Rates {
		w.Rates[name] = [2]int64{int64(v.Asked), int64(v.Served)}
	}
	return w
}

func newReport() state.Report {
	return state.Report{Loads: map[string]pick.Load{}, Rates: map[string]fair.Rates{}}
}

// add adds from to the sums in to.
func add(to, from state.Report) {
	for id, l := range from.Loads {
		sum := to.Loads[id]
		sum.Waiting += l.Waiting
		sum.Memory += l.Memory
		sum.Running += l.Running
		to.Loads[id] = sum
	}
	for name, r := range from.Rates {
		sum := to.Rates[name]
		sum.Asked += r.Asked
		sum.Served += r.Served
		to.Rates[name] = sum
	}
}
