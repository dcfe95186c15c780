package settings

import "crypto/sha256"

// Offer is a version of the settings that a router received from the table or
// from a peer.
type Offer struct {
	Version uint64
	Digest  [sha256.Size]byte
	Source  []byte
}

// Verdict is the result of an offer.
type Verdict string

// The verdicts on an offer.
const (
	Applied         Verdict = "taken"           // the offered version has been applied
	AlreadyApplied  Verdict = "known"           // the same version is already applied
	Older           Verdict = "older"           // a higher version is applied, or the offer has version 0
	DigestMismatch  Verdict = "digest-mismatch" // the text does not match its digest
	VersionConflict Verdict = "diverging"       // the same version is applied with a different digest
	Invalid         Verdict = "faulty"          // the text fails the validation of this release
)

// Holder holds the applied settings of one router. It accepts an offer from any
// source only if the version is higher than the applied one and the whole text is
// valid, so it never returns to an older version. A Holder is not safe for
// concurrent use; the snapshots that it returns are. The zero Holder has no
// settings.
type Holder struct {
	current *Snapshot
}

// Current returns the applied snapshot, or nil if there is none.
func (h *Holder) Current() *Snapshot { return h.current }

// Version returns the applied version, or 0 if there is none.
func (h *Holder) Version() uint64 {
	if h.current == nil {
		return 0
	}
	return h.current.Version
}

// Offer applies the offered settings if they are acceptable. Version 0 is never
// valid. The faults are returned only with Invalid.
func (h *Holder) Offer(o Offer) (Verdict, []Fault) {
	if o.Version == 0 || o.Version < h.Version() {
		return Older, nil
	}
	if o.Version == h.Version() {
		return h.sameVersion(o), nil
	}
	if sha256.Sum256(o.Source) != o.Digest {
		return DigestMismatch, nil
	}
	snap, faults := Build(o.Version, o.Source)
	if len(faults) > 0 {
		return Invalid, faults
	}
	h.current = snap
	return Applied, nil
}

func (h *Holder) sameVersion(o Offer) Verdict {
	if o.Digest != h.current.Digest {
		return VersionConflict
	}
	return AlreadyApplied
}
