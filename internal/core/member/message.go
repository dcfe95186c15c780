package member

import (
	"cmp"

	"github.com/windscale/windscale/internal/core/msg"
)

// State is the state of a member as seen by one router.
type State uint8

// The states in order of precedence: of two updates with the same incarnation
// and refutation number, the later state overrides the earlier one.
const (
	Alive   State = iota + 1
	Leaving       // alive and draining
	Suspect       // missed a probe; declared dead unless it refutes in time
	Dead          // declared dead; only the member itself can refute it
	Left          // announced that its process ends
)

var stateNames = [...]string{Alive: "alive", Leaving: "leaving", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the state's name.
func (s State) String() string {
	if s < Alive || s > Left {
		return "unknown"
	}
	return stateNames[s]
}

// present reports whether a member in this state is part of the view.
func (s State) present() bool { return s >= Alive && s <= Suspect }

// Update is the state of one member as sent between routers. Of two updates,
// the one with the higher incarnation takes precedence, then the one with the
// higher refutation number, then the one with the later state.
type Update struct {
	ID msg.RouterID `cbor:"1,keyasint"`
	// Incarnation identifies the run of the member's process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Refutation is incremented only by the member itself, to override wrong
	// updates about this incarnation and to announce Leaving or Left.
	Refutation uint32 `cbor:"3,keyasint,omitempty"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	State      State  `cbor:"5,keyasint"`
}

// newer reports whether u overrides v.
func (u Update) newer(v Update) bool {
	order := cmp.Or(
		cmp.Compare(u.Incarnation, v.Incarnation),
		cmp.Compare(u.Refutation, v.Refutation),
		cmp.Compare(u.State, v.State),
	)
	return order > 0
}

func (u Update) valid() bool {
	return u.ID != "" && len(u.ID) <= maxNameLen && len(u.DataCentre) <= maxNameLen &&
		u.State >= Alive && u.State <= Left
}

// MessageType is the kind of a message.
type MessageType uint8

// The message types.
const (
	Ping        MessageType = iota + 1 // requests an Ack
	Ack                                // answers a Ping or a PingRequest
	PingRequest                        // requests a Ping of Target and the relay of its Ack
	Gossip                             // carries updates only
)

// Message is a best-effort message between routers.
type Message struct {
	Type            MessageType  `cbor:"1,keyasint"`
	Seq             uint64       `cbor:"2,keyasint,omitempty"` // of the Ping; 0: no probe waits for the Ack
	Incarnation     uint64       `cbor:"3,keyasint"`           // the sender's
	Target          msg.RouterID `cbor:"4,keyasint,omitempty"`
	SettingsVersion uint64       `cbor:"5,keyasint,omitempty"` // applied by the sender
	Digest          uint64       `cbor:"6,keyasint,omitempty"` // of the sender's view; in Ping only
	Updates         []Update     `cbor:"7,keyasint,omitempty"`
}

// SyncMessage carries a whole view, or the part of it that the other side
// lacks. It is sent over a reliable connection.
type SyncMessage struct {
	Updates []Update `cbor:"1,keyasint"`
}

// Outgoing is a message to send.
type Outgoing struct {
	To      msg.RouterID
	Message Message
}
