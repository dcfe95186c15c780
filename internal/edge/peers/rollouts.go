package peers

import (
	"time"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/edge/state"
)

// wireRollout is a roll-out in a heartbeat.
type wireRollout struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	To         string
	DurationMs int64
	Era        uint64 // of the store when the order was written
	Version    uint64
	Phase      rollout.Phase
	BeganMs    int64 // by the store's clock
	Why        string
	AgeMs      int64 // since it was last confirmed
}

// maxWhyLength is the maximum length of a reason in a heartbeat, in bytes.
const maxWhyLength = 120

func rolloutsToWire(rollouts []rollout.AgedRecord) (list []wireRollout) {
	for _, t := range rollouts {
		o := t.Order
		list = append(list, wireRollout{
			Service: o.Service, To: o.To, DurationMs: o.Duration.Milliseconds(), Era: o.Stamp.Era, Version: o.Stamp.Version,
			Phase: t.Phase, BeganMs: t.StartedAt.Milliseconds(), Why: t.Reason[:min(len(t.Reason), maxWhyLength)], AgeMs: t.Age.Milliseconds(),
		})
	}
	return list
}

// record decodes the roll-out.
func (w wireRollout) record() rollout.Record {
	return rollout.Record{
		Order: rollout.Order{
			Service: w.Service, To: w.To, Duration: time.Duration(w.DurationMs) * time.Millisecond,
			Stamp: roster.Stamp{Era: w.Era, Version: w.Version},
		},
		Phase:     max(rollout.Ordered, min(w.Phase, rollout.Completed)),
		StartedAt: time.Duration(w.BeganMs) * time.Millisecond,
		Reason:    w.Why,
	}
}

// applyRollouts applies another router's roll-outs, which have waited on this host for the given
// time.
func (p *Peers) applyRollouts(from string, list []wireRollout, waited time.Duration) {
	for _, w := range list {
		r := w.record()
		if r.Order.Check() != nil {
			continue
		}
		if p.State.MergeRollout(r, time.Duration(w.AgeMs)*time.Millisecond+waited) {
			state.LogRollout(p.Log, r, from)
		}
	}
}

// wireSample is the encoded evidence on a route. It contains only the latency classes that have
// answers, with their counts.
type wireSample struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	To       string
	Route    string
	New      bool
	Answers  uint32
	Failures uint32
	First    map[uint8]uint32
	Pace     map[uint8]uint32
}

func evidenceToWire(e rollout.Evidence) (list []wireSample) {
	for key, s := range e {
		list = append(list, wireSample{
			Service: key.Service, To: key.To, Route: key.Route, New: key.New,
			Answers: s.Answers, Failures: s.Failures, First: sparse(s.First), Pace: sparse(s.Pace),
		})
	}
	return list
}

func evidenceFromWire(list []wireSample) rollout.Evidence {
	e := rollout.Evidence{}
	for _, w := range list {
		key := rollout.Key{Service: w.Service, To: w.To, Route: w.Route, New: w.New}
		e.Add(rollout.Evidence{key: {Answers: w.Answers, Failures: w.Failures, First: dense(w.First), Pace: dense(w.Pace)}})
	}
	return e
}

func sparse(c rollout.Histogram) map[uint8]uint32 {
	var m map[uint8]uint32
	for i, n := range c {
		if n > 0 {
			if m == nil {
				m = map[uint8]uint32{}
			}
			m[uint8(i)] = n
		}
	}
	return m
}

func dense(m map[uint8]uint32) (c rollout.Histogram) {
	for i, n := range m {
		if int(i) < len(c) {
			c[i] = n
		}
	}
	return c
}
