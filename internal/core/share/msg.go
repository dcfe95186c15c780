package share

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/msg"
)

// Message is all that one router's Node tells another's at a time; parts that
// are empty are not sent. Each part may be lost, repeated or overtaken.
type Message struct {
	Incarnation uint64      `cbor:"1,keyasint"`           // the sender's
	Seq         uint64      `cbor:"2,keyasint,omitempty"` // grows with each message with Waits
	Of          uint64      `cbor:"3,keyasint,omitempty"` // the receiver's incarnation that Seen, Ends, Held and Grants are for
	Seen        uint64      `cbor:"4,keyasint,omitempty"` // highest grant received; lower ones not held are void
	Waits       []Wait      `cbor:"5,keyasint,omitempty"`
	Grants      []Grant     `cbor:"6,keyasint,omitempty"`
	Ends        []End       `cbor:"7,keyasint,omitempty"`
	Held        *Held       `cbor:"8,keyasint,omitempty"`
	Asks        []Ask       `cbor:"9,keyasint,omitempty"`
	Haves       []Have      `cbor:"10,keyasint,omitempty"`
	Admitters   []Admitters `cbor:"11,keyasint,omitempty"`
	Offers      []Offer     `cbor:"12,keyasint,omitempty"`
	Up          *Up         `cbor:"13,keyasint,omitempty"`
	Down        *Down       `cbor:"14,keyasint,omitempty"`
	Forgot      []uint64    `cbor:"15,keyasint,omitempty"` // queues of which the sender has no registration
}

// about tells whether what is for the receiver's given incarnation may be added
// to the message. Of two incarnations the later is the receiver's.
func (m *Message) about(incarnation uint64) bool {
	if m.Of < incarnation {
		m.Of, m.Seen, m.Ends, m.Held, m.Grants = incarnation, 0, nil, nil, nil
	}
	return m.Of == incarnation
}

// Wait registers a customer's waiting requests with an admitter. It replaces
// what an earlier message said of the same queue. An admitter that is known to
// have the registration is sent only what changes, without the pool.
type Wait struct {
	Queue    uint64         `cbor:"1,keyasint"` // the entry's number for it
	Pool     msg.PoolID     `cbor:"2,keyasint,omitempty"`
	Customer msg.CustomerID `cbor:"3,keyasint,omitempty"`
	Weight   float64        `cbor:"4,keyasint,omitempty"`
	Count    int            `cbor:"5,keyasint,omitempty"`
	Slots    int            `cbor:"6,keyasint,omitempty"` // of all the admitters told
	Avoid    []msg.ServerID `cbor:"7,keyasint,omitempty"`
}

// Grant gives a queue one slot of a server.
type Grant struct {
	Seq    uint64       `cbor:"1,keyasint"`
	Queue  uint64       `cbor:"2,keyasint"`
	Server msg.ServerID `cbor:"3,keyasint"`
	Addr   Addr         `cbor:"5,keyasint,omitempty"`
}

// How a grant ended, as bits of End.Flags.
const (
	endReturned uint8 = 1 << iota // unused
	endBusy                       // the server refused for overload
	endLeaving                    // the server is leaving or away
)

// End gives a granted slot back.
type End struct {
	Seq   uint64   `cbor:"1,keyasint"`
	Cost  msg.Cost `cbor:"2,keyasint,omitempty"`
	Flags uint8    `cbor:"3,keyasint,omitempty"`
	First uint32   `cbor:"4,keyasint,omitempty"` // milliseconds to the first token
	Total uint32   `cbor:"5,keyasint,omitempty"` // milliseconds in all
}

// Held is the keep-alive of an entry: all its grants from the receiver, and
// what each has cost so far.
type Held struct {
	Seqs  []uint64   `cbor:"1,keyasint,omitempty"`
	Costs []msg.Cost `cbor:"2,keyasint,omitempty"`
}

// Ask tells a pool's directory how many requests wait at the sender, and which
// version of the list of admitters it knows.
type Ask struct {
	Pool    msg.PoolID `cbor:"1,keyasint"`
	Count   int        `cbor:"2,keyasint,omitempty"`
	Version uint64     `cbor:"3,keyasint,omitempty"`
}

// Have tells a pool's directory how many slots the sender admits to, and how
// many of them are free with nothing registered for them.
type Have struct {
	Pool    msg.PoolID `cbor:"1,keyasint"`
	Slots   int        `cbor:"2,keyasint,omitempty"`
	Idle    int        `cbor:"3,keyasint,omitempty"`
	Version uint64     `cbor:"4,keyasint,omitempty"` // of the list of admitters it knows
}

// Admitters is a directory's list of the routers that admit to a pool.
type Admitters struct {
	Pool    msg.PoolID     `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
	Routers []msg.RouterID `cbor:"3,keyasint"`
	Slots   []int          `cbor:"4,keyasint"`
}

// Offer tells an entry of an admitter with free slots, or that has restarted.
type Offer struct {
	Pool     msg.PoolID   `cbor:"1,keyasint"`
	Admitter msg.RouterID `cbor:"2,keyasint"`
	Idle     int          `cbor:"3,keyasint,omitempty"`
	Restart  uint64       `cbor:"4,keyasint,omitempty"` // its new incarnation, which has no registrations
}

// Up carries what a router and the routers below it have served, to its parent
// in the tree.
type Up struct {
	Edge     uint64      `cbor:"1,keyasint"` // the child's number for this pair of routers
	Seq      uint64      `cbor:"2,keyasint"`
	Base     uint64      `cbor:"3,keyasint"` // the acknowledged Up since which Pools counts
	Pools    []PoolCount `cbor:"4,keyasint,omitempty"`
	Floors   []PoolCount `cbor:"5,keyasint,omitempty"` // totals known to the child, while Base is 0
	Settings uint64      `cbor:"6,keyasint,omitempty"`
}

// Down carries the whole fleet's totals to a child in the tree.
type Down struct {
	Edge     uint64      `cbor:"1,keyasint,omitempty"` // the child's number, once known
	Seq      uint64      `cbor:"2,keyasint"`           // the sender's number of the merge
	Ack      uint64      `cbor:"3,keyasint,omitempty"` // the child's last Up applied
	Included uint64      `cbor:"4,keyasint,omitempty"` // the child's last Up within the totals
	Pools    []PoolCount `cbor:"5,keyasint,omitempty"` // every backlogged customer
	Settings uint64      `cbor:"6,keyasint,omitempty"`
}

// PoolCount is the packed counters of a pool's customers.
type PoolCount struct {
	Pool  msg.PoolID `cbor:"1,keyasint"`
	Floor int64      `cbor:"2,keyasint,omitempty"` // totals are relative to it
	Data  []byte     `cbor:"3,keyasint"`
	Unit  int64      `cbor:"4,keyasint,omitempty"` // of the counters in Data, if not 1
	Slots int        `cbor:"5,keyasint,omitempty"` // likewise of the slots
}

// DecodeError says that a message's body could not be read.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return "sharing message: " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode returns the message's wire form. It may be called from any goroutine.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode reads a message. Its errors are *DecodeError. It may be called from
// any goroutine.
func Decode(b []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return m, nil
}
