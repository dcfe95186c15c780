// Package claim decides who may run a call that may not be repeated. Each
// Idempotency-Key has one row in the platform's table; whoever writes it as
// running may send the call, once. It has no input or output.
//
// A claim is never taken over from a holder that may have sent: a server that
// checks fencing numbers refuses an old one after a new one, but can't undo what
// ran under the old one before. Such a key's outcome is told as unknown.
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

// keyPrefix is that of all claims in the table.
const keyPrefix = "claim/"

// KeyOf returns the table key of a customer's Idempotency-Key at a service. The
// caller's key itself is not kept.
func KeyOf(customer msg.CustomerID, service, idempotencyKey string) Key {
	sum := hash([]byte(customer), []byte(service), []byte(idempotencyKey))
	return Key(keyPrefix + hex.EncodeToString(sum[:]))
}

// Digest tells the contents of calls apart.
type Digest [sha256.Size]byte

// DigestOf returns the digest of what a call says.
func DigestOf(method, path, query, contentType string, body []byte) Digest {
	return hash([]byte(method), []byte(path), []byte(query), []byte(contentType), body)
}

// hash hashes parts with their lengths, so that no two lists are alike.
func hash(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// State is what a row says of its call.
type State uint8

// The states of a claim.
const (
	Running State = iota + 1 // the holder may be about to send, or waits for the answer
	Done                     // it ran, and this is its answer
	Lost                     // it may have run, and its answer is lost
	Free                     // it has certainly not run
)

// Answer is a stored answer.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Row is the claim of one key.
type Row struct {
	State  State         `cbor:"1,keyasint"`
	Digest Digest        `cbor:"2,keyasint"`
	Holder msg.RequestID `cbor:"3,keyasint"`
	Fence  uint64        `cbor:"4,keyasint"`           // rises with each holder of the key
	Until  int64         `cbor:"5,keyasint"`           // Running: the holder is over by then; Unix ms
	Keep   int64         `cbor:"6,keyasint"`           // the row is forgotten after; Unix ms
	Answer *Answer       `cbor:"7,keyasint,omitempty"` // Done; nil: too large to be kept
}

// Want is what a request asks for.
type Want struct {
	Digest Digest
	Holder msg.RequestID
	Until  int64 // Unix ms by which the call has ended, or its answer is given up
	Keep   int64 // Unix ms until which the key holds
}

// Verdict is what a request with a key may do.
type Verdict int

// The verdicts.
const (
	Take       Verdict = iota + 1 // write the row; then the call may be sent
	Mine                          // the row is written already
	Replay                        // the call has run: here is its answer
	AnswerLost                    // the call has run: its answer was not kept
	InProgress                    // the first request is running
	Mismatch                      // the key was used for another content
	Unknown                       // the first request may have run
)

// Decide says what a request may do, now (Unix ms), in view of the row, which is
// nil if there is none. With Take it returns the row to be written in its place.
func Decide(now int64, have *Row, w Want) (Verdict, *Row) {
	if have == nil {
		return Take, w.row(now, 0)
	}
	if have.Holder == w.Holder && have.State == Running {
		return Mine, nil
	}
	if have.State == Free || now > have.Keep {
		return Take, w.row(now, have.Fence)
	}
	if have.Digest != w.Digest {
		return Mismatch, nil
	}
	return have.verdict(now), nil
}

// verdict is that of a later request of the same content.
func (r *Row) verdict(now int64) Verdict {
	switch {
	case r.State == Done && r.Answer != nil:
		return Replay
	case r.State == Done:
		return AnswerLost
	case r.State == Running && now <= r.Until:
		return InProgress
	default:
		return Unknown
	}
}

// row returns the row that claims the key. The fencing number rises with each
// claim, and over the deletion of a row too, as long as clocks are right to
// within the time a key is kept.
func (w Want) row(now int64, lastFence uint64) *Row {
	return &Row{
		State:  Running,
		Digest: w.Digest,
		Holder: w.Holder,
		Fence:  max(lastFence+1, uint64(max(now, 0))),
		Until:  w.Until,
		Keep:   w.Keep,
	}
}

// Result is how a holder's call ended.
type Result struct {
	State  State   // Done, Lost or Free
	Answer *Answer // Done; nil: too large to be kept
}

// Finish returns the row that tells the result, or nil if the row is not the
// holder's, or tells a result already.
func Finish(have *Row, holder msg.RequestID, r Result) *Row {
	if have == nil || have.Holder != holder || have.State != Running {
		return nil
	}
	next := *have
	next.State = r.State
	next.Answer = r.Answer
	return &next
}

// The margin before the end of a lease within which its holder sends nothing
// more: for the time from the check to the write, and for clocks that run apart.
const (
	marginPart = 5 // of the lease
	maxMargin  = 500 * time.Millisecond
)

// Lease is how long a holder may begin to send. Its times are of the holder's
// own monotonic clock.
type Lease struct {
	asked  time.Duration // before the claim was written
	length time.Duration
}

// NewLease returns the lease of a claim that was asked for at the given time.
func NewLease(asked, length time.Duration) Lease { return Lease{asked, length} }

// End returns when the holder must no longer send.
func (l Lease) End() time.Duration {
	return l.asked + l.length - min(l.length/marginPart, maxMargin)
}

// Check returns a [Lapsed] error if it is too late to send.
func (l Lease) Check(now time.Duration) error {
	if now < l.End() {
		return nil
	}
	return Lapsed{Late: now - l.End()}
}

// Lapsed is the error of a holder whose lease is over.
type Lapsed struct{ Late time.Duration }

// Error implements error.
func (l Lapsed) Error() string { return "claim lapsed " + l.Late.String() + " ago" }
