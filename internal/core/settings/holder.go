package settings

import "crypto/sha256"

// Offer is a version of the settings that a router is offered, from the table
// or from a peer.
type Offer struct {
	Version uint64
	Digest  [sha256.Size]byte
	Source  []byte
}

// Verdict is what became of an offer.
type Verdict string

// The verdicts on an offer.
const (
	Taken     Verdict = "taken"           // it is in force now
	Known     Verdict = "known"           // it is in force already
	Older     Verdict = "older"           // a higher version is in force
	Mismatch  Verdict = "digest-mismatch" // the text does not have the digest
	Diverging Verdict = "diverging"       // the version in force has another digest
	Faulty    Verdict = "faulty"          // the text does not pass the checks of this release
)

// Holder holds the version in force at one router. It takes only a higher
// version than it has, whole and checked, whoever offers it, and so never goes
// back. It may be used from one goroutine at a time; the snapshots it returns
// from any. The zero Holder holds none.
type Holder struct {
	current *Snapshot
}

// Current returns the snapshot in force, nil before the first.
func (h *Holder) Current() *Snapshot { return h.current }

// Version returns the version in force, 0 before the first.
func (h *Holder) Version() uint64 {
	if h.current == nil {
		return 0
	}
	return h.current.Version
}

// Offer decides on an offer. Version 0 is no version. The faults come with Faulty only.
func (h *Holder) Offer(o Offer) (Verdict, []Fault) {
	if o.Version == 0 || o.Version < h.Version() {
		return Older, nil
	}
	if o.Version == h.Version() {
		return h.sameVersion(o), nil
	}
	if sha256.Sum256(o.Source) != o.Digest {
		return Mismatch, nil
	}
	snap, faults := Build(o.Version, o.Source)
	if len(faults) > 0 {
		return Faulty, faults
	}
	h.current = snap
	return Taken, nil
}

func (h *Holder) sameVersion(o Offer) Verdict {
	if o.Digest != h.current.Digest {
		return Diverging
	}
	return Known
}
