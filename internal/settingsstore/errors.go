package settingsstore

import (
	"fmt"

	"github.com/windscale/windscale/internal/core/settings"
)

// InvalidError says that a text does not pass the checks of this release.
type InvalidError struct {
	Version uint64 // of an accepted version; 0: an edit, and nothing was written
	Faults  []settings.Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	if e.Version != 0 {
		return fmt.Sprintf("version %d of the settings has %d faults for this release", e.Version, len(e.Faults))
	}
	return fmt.Sprintf("the settings have %d faults", len(e.Faults))
}

// ConflictError says that another edit was accepted after the version that
// this one is based on. This edit was not accepted and never will be.
type ConflictError struct {
	Base    uint64
	Won     Record            // the head
	Theirs  []settings.Change // from the base to the head
	Against []settings.Change // from the head to this edit
	DiffErr error             // why the changes are missing, nil when they are there
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on version %d, but version %d by %s is in force", e.Base, e.Won.Version, e.Won.Editor)
}

// UnsettledError says that an edit may or may not have been accepted: its
// reply was lost and the table could not be read since. Accepting the same
// edit again, with its ID, settles it.
type UnsettledError struct {
	EditID string
	Err    error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("edit %s may or may not have been accepted: %v", e.EditID, e.Err)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Err }

// CorruptError says that the platform holds what this package never writes.
type CorruptError struct {
	What string // the row or object
	Err  error  // the cause, may be nil
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("corrupt %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// NoVersionError says that there is no such version.
type NoVersionError struct {
	Version uint64 // 0: no version was ever accepted
}

// Error implements error.
func (e *NoVersionError) Error() string {
	if e.Version == 0 {
		return "no settings were accepted yet"
	}
	return fmt.Sprintf("no version %d of the settings", e.Version)
}
