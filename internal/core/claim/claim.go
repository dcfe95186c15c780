// Package claim decides which request may run an at-most-once call. Each
// Idempotency-Key has one row in the platform's table; the request that writes
// the row as Running may send the call, once. The package performs no I/O.
//
// A claim is never taken over from a holder that may have sent the call. A
// server that checks fencing numbers refuses an old number after a new one, but
// it cannot undo what already ran under the old one. The outcome of such a call
// is reported as unknown.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Key is the table key of a claim.
type Key string

// keyPrefix is the prefix of all claim keys in the table.
const keyPrefix = "claim/"

// KeyOf returns the table key for a customer's Idempotency-Key at a service. It
// is a hash, so the Idempotency-Key itself is not stored.
func KeyOf(customer msg.CustomerID, service, idempotencyKey string) Key {
	sum := hashParts([]byte(customer), []byte(service), []byte(idempotencyKey))
	return Key(keyPrefix + hex.EncodeToString(sum[:]))
}

// Digest is a hash of the content of a call.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a call.
func DigestOf(method, path, query, contentType string, body []byte) Digest {
	return hashParts([]byte(method), []byte(path), []byte(query), []byte(contentType), body)
}

// hashParts hashes each part after its length, so that different lists of parts
// never produce the same input to the hash.
func hashParts(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// State is the state of the call that a row describes.
type State uint8

// The states of a claim.
const (
	Running       State = iota + 1 // the holder may send the call, or is waiting for the answer
	Done                           // the call ran; the row holds its answer, unless that was too large
	Indeterminate                  // the call may have run, and its answer is lost
	NotRun                         // the call has certainly not run; the key may be claimed again
)

// Answer is a stored answer.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Row is the stored claim on one key.
type Row struct {
	State        State         `cbor:"1,keyasint"`
	Digest       Digest        `cbor:"2,keyasint"`
	Holder       msg.RequestID `cbor:"3,keyasint"`
	Fence        uint64        `cbor:"4,keyasint"`           // fencing number; increases with each holder of the key
	CallDeadline int64         `cbor:"5,keyasint"`           // Running: latest time at which the holder's call ends; Unix ms
	RetainUntil  int64         `cbor:"6,keyasint"`           // after it the row is ignored and the key may be claimed again; Unix ms
	Answer       *Answer       `cbor:"7,keyasint,omitempty"` // in state Done; nil if it was too large to keep
}

// Request is a request to claim a key.
type Request struct {
	Digest       Digest
	Holder       msg.RequestID
	CallDeadline int64 // when the call has ended or its answer is abandoned; Unix ms
	RetainUntil  int64 // how long the key is retained; Unix ms
}

// Verdict is the decision on a request for a claim.
type Verdict int

// The verdicts.
const (
	Granted         Verdict = iota + 1 // the call may be sent once the row is written
	AlreadyHeld                        // the request already holds the claim
	Replay                             // the call has run; the row holds its answer
	AnswerNotKept                      // the call has run; its answer was too large to keep
	InProgress                         // another request's call is running
	ContentMismatch                    // the key was used for a call with different content
	OutcomeUnknown                     // another request's call may have run
)

// Decide decides on a request at the time now (Unix ms), given the current row,
// or nil if there is none. With Granted it returns the row to write in its place.
func Decide(now int64, current *Row, r Request) (Verdict, *Row) {
	if current == nil {
		return Granted, r.newRow(now, 0)
	}
	if current.Holder == r.Holder && current.State == Running {
		return AlreadyHeld, nil
	}
	if current.State == NotRun || now > current.RetainUntil {
		return Granted, r.newRow(now, current.Fence)
	}
	if current.Digest != r.Digest {
		return ContentMismatch, nil
	}
	return current.verdict(now), nil
}

// verdict returns the verdict on another request with the same content.
func (r *Row) verdict(now int64) Verdict {
	switch {
	case r.State == Done && r.Answer != nil:
		return Replay
	case r.State == Done:
		return AnswerNotKept
	case r.State == Running && now <= r.CallDeadline:
		return InProgress
	default:
		return OutcomeUnknown
	}
}

// newRow returns the row that claims the key. The fencing number increases with
// each claim. It also increases across the deletion of a row, because it is at
// least the current time, provided that clock errors are smaller than the
// retention time of a key.
func (r Request) newRow(now int64, lastFence uint64) *Row {
	return &Row{
		State:        Running,
		Digest:       r.Digest,
		Holder:       r.Holder,
		Fence:        max(lastFence+1, uint64(max(now, 0))),
		CallDeadline: r.CallDeadline,
		RetainUntil:  r.RetainUntil,
	}
}

// Result is the result of a holder's call.
type Result struct {
	State  State   // Done, Indeterminate or NotRun
	Answer *Answer // in state Done; nil if it was too large to keep
}

// Finish returns the row that records the result, or nil if the current row
// belongs to another holder or already has a result.
func Finish(current *Row, holder msg.RequestID, r Result) *Row {
	if current == nil || current.Holder != holder || current.State != Running {
		return nil
	}
	next := *current
	next.State = r.State
	next.Answer = r.Answer
	return &next
}

// Safety margin before the end of a lease, in which the holder must not start to
// send. It covers the delay between the check and the send, and clocks that run
// at different rates.
const (
	marginDivisor = 5 // the margin is this fraction of the lease, up to maxMargin
	maxMargin     = 500 * time.Millisecond
)

// Lease limits the time in which a holder may start to send its call. Its times
// are on the holder's own monotonic clock.
type Lease struct {
	requestedAt time.Duration // before the claim was written, so that the lease cannot end too late
	length      time.Duration
}

// NewLease returns the lease of a claim that was requested at the given time.
func NewLease(requestedAt, length time.Duration) Lease { return Lease{requestedAt, length} }

// End returns the time from which the holder must not start to send.
func (l Lease) End() time.Duration {
	return l.requestedAt + l.length - min(l.length/marginDivisor, maxMargin)
}

// Check returns a [LeaseExpiredError] if it is too late to send.
func (l Lease) Check(now time.Duration) error {
	if now < l.End() {
		return nil
	}
	return LeaseExpiredError{Late: now - l.End()}
}

// LeaseExpiredError is returned when a lease has expired.
type LeaseExpiredError struct{ Late time.Duration }

// Error implements error.
func (e LeaseExpiredError) Error() string { return "claim lapsed " + e.Late.String() + " ago" }
