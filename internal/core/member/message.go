package member

import (
	"cmp"

	"github.com/windscale/windscale/internal/core/msg"
)

// State is what a router holds another to be.
type State uint8

// The states, in the order in which one overrides another that speaks of the
// same incarnation and refutation.
const (
	Alive   State = iota + 1
	Leaving       // alive, finishing its work
	Suspect       // did not answer; dead unless it refutes in time
	Dead          // taken for dead; only the member itself can refute it
	Left          // announced its own end
)

var stateNames = [...]string{Alive: "alive", Leaving: "leaving", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the state's name.
func (s State) String() string {
	if s < Alive || s > Left {
		return "unknown"
	}
	return stateNames[s]
}

// present says whether a member of this state is in the view.
func (s State) present() bool { return s >= Alive && s <= Suspect }

// Update is what one router tells another about a member. Of two updates the
// one with the higher incarnation holds, then the one with the higher
// refutation, then the one with the later state.
type Update struct {
	ID msg.RouterID `cbor:"1,keyasint"`
	// Incarnation is that of the member's process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Refutation is raised by the member itself to override what is wrongly
	// said of this incarnation, and when it begins to leave.
	Refutation uint32 `cbor:"3,keyasint,omitempty"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	State      State  `cbor:"5,keyasint"`
}

// newer says whether u overrides v.
func (u Update) newer(v Update) bool {
	order := cmp.Or(
		cmp.Compare(u.Incarnation, v.Incarnation),
		cmp.Compare(u.Refutation, v.Refutation),
		cmp.Compare(u.State, v.State),
	)
	return order > 0
}

func (u Update) valid() bool {
	return u.ID != "" && len(u.ID) <= maxName && len(u.DataCentre) <= maxName &&
		u.State >= Alive && u.State <= Left
}

// MessageType says what a message asks or answers.
type MessageType uint8

// The types of message.
const (
	Ping        MessageType = iota + 1 // asks for an Ack
	Ack                                // answers a Ping or a PingRequest
	PingRequest                        // asks to ping Target and to pass on its Ack
	Gossip                             // carries updates only
)

// Message is what routers send each other, best effort.
type Message struct {
	Type        MessageType  `cbor:"1,keyasint"`
	Seq         uint64       `cbor:"2,keyasint,omitempty"` // of the Ping; 0: no probe waits for it
	Incarnation uint64       `cbor:"3,keyasint"`           // the sender's
	Target      msg.RouterID `cbor:"4,keyasint,omitempty"`
	Settings    uint64       `cbor:"5,keyasint,omitempty"` // version in force at the sender
	Digest      uint64       `cbor:"6,keyasint,omitempty"` // of the sender's view; on Ping only
	Updates     []Update     `cbor:"7,keyasint,omitempty"`
}

// Full is a whole view, or the part of one that the other side lacks. It goes
// over a reliable conversation.
type Full struct {
	Updates []Update `cbor:"1,keyasint"`
}

// Outgoing is a message to send.
type Outgoing struct {
	To      msg.RouterID
	Message Message
}
