package claim

import (
	"math"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

const (
	// Grace is how long after their time claims are kept all the same: for
	// wall clocks that run apart, and for writers that were paused.
	Grace = time.Hour
	// sweepRows is the most claims read at once, and deleted in a transaction.
	sweepRows = 32
	// maxPageBits bounds the pages of a writer and hour to 2^24.
	maxPageBits = 24
	// maxSkip is how many empty hours are passed before the cursor is written.
	maxSkip = 7 * 24
	// never is an hour that is not due.
	never = Hour(math.MaxInt64/hourMs) / 2
)

// Ask is what a sweep wants of the table: rows to be read, or changes to be
// committed together. If it has neither, there is nothing to do for now.
type Ask struct {
	Read   []string
	Commit []Change
}

// Swept counts what this router did with an hour. After failures a claim may be
// counted again as kept or unreadable.
type Swept struct {
	Hour       Hour
	Deleted    int      // claims
	Kept       int      // claims that were taken again later
	Unreadable []string // rows that can't be decoded: claims stay, others are dropped
}

// step is what a sweep asks for next.
type step int

const (
	readCursor    step = iota
	readManifests      // of the hour
	readFirst          // the first pages of some writers
	readLast           // pages that bracket a writer's last one
	readPage           // a writer's last page
	readClaims         // some that the page names
	commitClaims       // their deletion, with that of the page after its last ones
	commitHour         // the cursor, and the deletion of the manifests
)

// Sweep deletes claims that are over, hour by hour, with their index. It holds
// nothing that can't be read again: after any failure it begins anew at the
// cursor. Pages are deleted from the last to the first, so that those left are
// always found. Several sweeps may run at once: every deletion holds only for
// the version that was read.
//
// Each Next is to be followed by Rows, Committed or Failed, as it was answered.
type Sweep struct {
	self msg.RouterID

	step      step
	cursor    Stored
	from      Hour // what the cursor says
	hour      Hour // being swept
	manifests []Stored
	unread    []Writer // whose first page has not been read
	writers   []Writer // that have pages
	low, high int      // the writer's last page is at least low and below high
	probes    []int    // pages asked for
	page      Stored
	claims    []Key // of the page, not yet seen
	commit    []Change
	swept     Swept
	deletes   int // claims in commit
}

// NewSweep returns the sweep of a router.
func NewSweep(self msg.RouterID) *Sweep { return &Sweep{self: self} }

// Failed makes the sweep begin anew: a call failed, a condition did not hold, or
// its outcome is unknown.
func (s *Sweep) Failed() { *s = Sweep{self: s.self, swept: s.swept} }

// Behind returns for how long, now (Unix ms), the first hour that is not swept
// has been due. It is right after Rows.
func (s *Sweep) Behind(now int64) time.Duration {
	late := now - s.from.end() - Grace.Milliseconds()
	return time.Duration(max(late, 0)) * time.Millisecond
}

// due reports whether an hour may be swept, now (Unix ms).
func due(now int64, h Hour) bool { return now > h.end()+Grace.Milliseconds() }

// Next says what the sweep needs, now (Unix ms), if this router is the one among
// the live to do it.
func (s *Sweep) Next(now int64, live []msg.RouterID) Ask {
	if s.step == readCursor {
		return Ask{Read: []string{cursorKey}}
	}
	if !due(now, s.from) || SweeperOf(s.from, live) != s.self {
		s.Failed()
		return Ask{}
	}
	switch s.step {
	case readManifests:
		return Ask{Read: manifestKeys(s.hour)}
	case readFirst:
		return Ask{Read: s.firstPages()}
	case readLast:
		return Ask{Read: s.probePages()}
	case readPage:
		return Ask{Read: []string{pageKey(s.hour, s.writers[0], s.low)}}
	case readClaims:
		return Ask{Read: s.someClaims()}
	default:
		return Ask{Commit: s.commit}
	}
}

// Rows takes the rows that were asked for, in order, as read by now (Unix ms).
// After an error, which is Malformed, the sweep begins anew.
func (s *Sweep) Rows(now int64, rows []Stored) error {
	var err error
	switch s.step {
	case readCursor:
		err = s.seeCursor(rows[0])
	case readManifests:
		err = s.seeManifests(now, rows)
	case readFirst:
		s.seeFirst(rows)
	case readLast:
		s.seeLast(rows)
	case readPage:
		s.seePage(rows[0])
	case readClaims:
		s.seeClaims(now, rows)
	}
	if err != nil {
		s.Failed()
	}
	return err
}

// Committed takes the success of the changes that were asked for. At the end of
// an hour that had claims it returns what was done.
func (s *Sweep) Committed() *Swept {
	if s.step == commitHour {
		swept, had := s.swept, len(s.manifests) > 0
		s.Failed()
		if had {
			return &swept
		}
		return nil
	}
	s.swept.Deleted += s.deletes
	s.afterClaims()
	return nil
}
