// Package settingsstore accepts versions of the settings into the platform's
// table and object store, and follows the version in force from a router.
//
// A version's text is an immutable object named by its digest. One
// transaction writes the head row, by compare-and-set, and the version's own
// row, which is never written again: so every accepted edit stands in the
// history exactly once, and a lost reply is settled by reading that row.
package settingsstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/windscale/windscale/internal/platform"
)

const (
	headKey       = "settings/head"
	versionPrefix = "settings/version/"
	objectPrefix  = "settings/sha256/"
)

// Digest is the SHA-256 of a settings text.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return &CorruptError{What: "digest"}
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return &CorruptError{What: "digest", Err: err}
	}
	return nil
}

// Record is what the table keeps of an accepted version.
type Record struct {
	Version    uint64    `json:"version"`
	Digest     Digest    `json:"digest"`
	EditID     string    `json:"editId"`
	Object     string    `json:"object"`
	Editor     string    `json:"editor"`
	Note       string    `json:"note,omitempty"`
	RollbackOf uint64    `json:"rollbackOf,omitempty"` // the version whose text this is again
	Time       time.Time `json:"time"`
}

func versionKey(version uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, version) }

func objectKey(d Digest) string { return objectPrefix + d.String() }

// decodeRecord returns nil for an absent row.
func decodeRecord(row platform.Row) (*Record, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, &CorruptError{What: row.Key, Err: err}
	}
	if r.Version == 0 || r.Object == "" {
		return nil, &CorruptError{What: row.Key}
	}
	return &r, nil
}
