package share

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/msg"
)

// Message carries all that the Node of one router has to tell another's at one
// time; empty parts are not encoded. Messages may be lost, duplicated or
// reordered, and each part tolerates that.
type Message struct {
	Incarnation         uint64         `cbor:"1,keyasint"`           // of the sender
	Seq                 uint64         `cbor:"2,keyasint,omitempty"` // increases with each message that has Registrations
	ReceiverIncarnation uint64         `cbor:"3,keyasint,omitempty"` // the receiver's incarnation that HighestGrantSeen, Releases, KeepAlive and Grants refer to
	HighestGrantSeen    uint64         `cbor:"4,keyasint,omitempty"` // highest sequence number of a grant received; lower ones that are not held are void
	Registrations       []Registration `cbor:"5,keyasint,omitempty"`
	Grants              []Grant        `cbor:"6,keyasint,omitempty"`
	Releases            []Release      `cbor:"7,keyasint,omitempty"`
	KeepAlive           *KeepAlive     `cbor:"8,keyasint,omitempty"`
	Demands             []Demand       `cbor:"9,keyasint,omitempty"`
	Capacities          []Capacity     `cbor:"10,keyasint,omitempty"`
	AdmitterLists       []AdmitterList `cbor:"11,keyasint,omitempty"`
	Offers              []Offer        `cbor:"12,keyasint,omitempty"`
	ServiceReport       *ServiceReport `cbor:"13,keyasint,omitempty"`
	FleetTotals         *FleetTotals   `cbor:"14,keyasint,omitempty"`
	UnknownQueues       []uint64       `cbor:"15,keyasint,omitempty"` // queues for which the sender has no registration
}

// addressTo prepares the message for parts that refer to the given incarnation
// of the receiver, and reports whether they may be added. Only the receiver's
// latest incarnation counts: parts for an earlier one are dropped or rejected.
func (m *Message) addressTo(incarnation uint64) bool {
	if m.ReceiverIncarnation < incarnation {
		m.ReceiverIncarnation, m.HighestGrantSeen, m.Releases, m.KeepAlive, m.Grants = incarnation, 0, nil, nil, nil
	}
	return m.ReceiverIncarnation == incarnation
}

// Registration registers a customer's waiting requests with an admitter. It
// replaces earlier registrations of the same queue. To an admitter that is
// known to have the registration, only changes are sent, without the pool.
type Registration struct {
	QueueID       uint64         `cbor:"1,keyasint"` // assigned by the entry
	Pool          msg.PoolID     `cbor:"2,keyasint,omitempty"`
	Customer      msg.CustomerID `cbor:"3,keyasint,omitempty"`
	Weight        float64        `cbor:"4,keyasint,omitempty"`
	Count         int            `cbor:"5,keyasint,omitempty"`
	AdmitterSlots int            `cbor:"6,keyasint,omitempty"` // total slots of all admitters that have the registration
	Avoid         []msg.ServerID `cbor:"7,keyasint,omitempty"`
}

// Grant allocates one slot of a server to a queue.
type Grant struct {
	Seq     uint64       `cbor:"1,keyasint"`
	QueueID uint64       `cbor:"2,keyasint"`
	Server  msg.ServerID `cbor:"3,keyasint"`
	Addr    Addr         `cbor:"5,keyasint,omitempty"`
}

// Bits of Release.Flags.
const (
	releaseUnused     uint8 = 1 << iota // the slot was not used
	releaseOverloaded                   // the server refused the request because of overload
	releaseLeaving                      // the server is leaving or unreachable
)

// Release returns a granted slot, with the outcome of the request.
type Release struct {
	Seq          uint64   `cbor:"1,keyasint"`
	Cost         msg.Cost `cbor:"2,keyasint,omitempty"`
	Flags        uint8    `cbor:"3,keyasint,omitempty"`
	FirstTokenMs uint32   `cbor:"4,keyasint,omitempty"` // milliseconds until the first token
	TotalMs      uint32   `cbor:"5,keyasint,omitempty"` // milliseconds in total
}

// KeepAlive lists all grants of the receiver that the sending entry holds, and
// what each has cost so far.
type KeepAlive struct {
	Seqs  []uint64   `cbor:"1,keyasint,omitempty"`
	Costs []msg.Cost `cbor:"2,keyasint,omitempty"`
}

// Demand tells a pool's directory how many requests wait at the sender, and
// which version of the list of admitters the sender has.
type Demand struct {
	Pool        msg.PoolID `cbor:"1,keyasint"`
	Count       int        `cbor:"2,keyasint,omitempty"`
	ListVersion uint64     `cbor:"3,keyasint,omitempty"`
}

// Capacity tells a pool's directory how many slots the sender admits to, and
// how many of them are free while no registered request waits for them.
type Capacity struct {
	Pool        msg.PoolID `cbor:"1,keyasint"`
	Slots       int        `cbor:"2,keyasint,omitempty"`
	Idle        int        `cbor:"3,keyasint,omitempty"`
	ListVersion uint64     `cbor:"4,keyasint,omitempty"` // of the list of admitters that the sender has
}

// AdmitterList is a directory's list of the routers that admit to a pool.
type AdmitterList struct {
	Pool    msg.PoolID     `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
	Routers []msg.RouterID `cbor:"3,keyasint"`
	Slots   []int          `cbor:"4,keyasint"`
}

// Offer tells an entry that an admitter has free slots or has restarted.
type Offer struct {
	Pool           msg.PoolID   `cbor:"1,keyasint"`
	Admitter       msg.RouterID `cbor:"2,keyasint"`
	Idle           int          `cbor:"3,keyasint,omitempty"`
	NewIncarnation uint64       `cbor:"4,keyasint,omitempty"` // of a restarted admitter, which has lost all registrations
}

// ServiceReport tells a router's parent in the tree how much service the router
// and its descendants have given.
type ServiceReport struct {
	EdgeID          uint64         `cbor:"1,keyasint"` // identifies this parent-child relation; assigned by the child
	Seq             uint64         `cbor:"2,keyasint"`
	BaseSeq         uint64         `cbor:"3,keyasint"` // the acknowledged report that the counters in Pools are relative to
	Pools           []PoolCounters `cbor:"4,keyasint,omitempty"`
	KnownTotals     []PoolCounters `cbor:"5,keyasint,omitempty"` // totals that the child knows; only while BaseSeq is 0
	SettingsVersion uint64         `cbor:"6,keyasint,omitempty"`
}

// FleetTotals tells a router's child in the tree the totals of the whole fleet.
type FleetTotals struct {
	EdgeID          uint64         `cbor:"1,keyasint,omitempty"` // the child's number for this relation, once known
	Seq             uint64         `cbor:"2,keyasint"`           // of the merge, assigned by the sender
	AckSeq          uint64         `cbor:"3,keyasint,omitempty"` // the last report of the child that was applied
	IncludedSeq     uint64         `cbor:"4,keyasint,omitempty"` // the last report of the child that is included in the totals
	Pools           []PoolCounters `cbor:"5,keyasint,omitempty"` // all backlogged customers
	SettingsVersion uint64         `cbor:"6,keyasint,omitempty"`
}

// PoolCounters holds the packed counters of a pool's customers.
type PoolCounters struct {
	Pool           msg.PoolID `cbor:"1,keyasint"`
	Floor          int64      `cbor:"2,keyasint,omitempty"` // totals in PackedCounters are relative to it
	PackedCounters []byte     `cbor:"3,keyasint"`
	CounterUnit    int64      `cbor:"4,keyasint,omitempty"` // of the counters in PackedCounters, if not 1
	SlotUnit       int        `cbor:"5,keyasint,omitempty"` // of the slots in PackedCounters, if not 1
}

// DecodeError reports that a message could not be decoded.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return "sharing message: " + e.Cause.Error() }

// Unwrap returns the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode returns the message's wire form. It is safe for concurrent use.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode decodes a message. Its errors are of type *DecodeError. It is safe for
// concurrent use.
func Decode(b []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return m, nil
}
