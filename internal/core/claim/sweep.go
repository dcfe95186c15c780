package claim

import (
	"math"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

const (
	// GracePeriod is how long claims are kept beyond their retention time, to
	// allow for differing wall clocks and for writers that were paused.
	GracePeriod = time.Hour
	// maxSweepRows is the maximum number of claims that are read at once and
	// deleted in one transaction.
	maxSweepRows = 32
	// maxPageBits limits the pages of a writer in an hour to 2^24.
	maxPageBits = 24
	// maxSkippedHours is the number of empty hours that are skipped before the
	// cursor is written.
	maxSkippedHours = 7 * 24
	// neverDue is an hour that never becomes due.
	neverDue = Hour(math.MaxInt64/hourMs) / 2
)

// Operation is the next table access of a sweep: keys of rows to read, or changes
// to commit in one transaction. If both are empty, there is nothing to do.
type Operation struct {
	Read   []string
	Commit []Change
}

// SweepResult counts what this router did while sweeping an hour. After a failure,
// a claim may be counted twice as kept or unreadable.
type SweepResult struct {
	Hour       Hour
	Deleted    int      // claims
	Kept       int      // claims whose retention has not ended, because their keys were claimed again
	Unreadable []string // keys of rows that cannot be decoded: such claims are kept, index rows are deleted
}

// step is the next operation of a sweep.
type step int

const (
	readCursor     step = iota
	readManifests       // all manifest shards of the hour
	readFirstPages      // the first pages of a batch of writers
	findLastPage        // search for the last page of a writer
	readPage            // the last remaining page of the writer
	readClaims          // a batch of the claims that the page lists
	commitClaims        // delete expired claims and, after its last batch, the page
	commitHour          // advance the cursor and delete the manifests
)

// Sweep deletes expired claims and their index rows, hour by hour. All its state
// can be read again from the table, so after any failure it restarts at the
// cursor. The pages of a writer are deleted from the last to the first, so that
// the remaining page numbers have no gaps and the search for the last page stays
// correct. Several sweeps may run concurrently, because every deletion is
// conditional on the version that was read.
//
// Each call of Next must be followed by RowsRead, Committed or Failed, according
// to the result of the operation.
type Sweep struct {
	self msg.RouterID

	step          step
	cursor        StoredRow
	firstUnswept  Hour // as read from the cursor
	hour          Hour // the hour being swept
	manifests     []StoredRow
	unchecked     []Writer // writers whose first page has not been read
	writers       []Writer // writers that have pages
	low, high     int      // the last page of writers[0] is in [low, high)
	probes        []int    // page numbers requested in findLastPage
	page          StoredRow
	claims        []Key // claims listed by page that have not been read
	commit        []Change
	result        SweepResult
	deletedClaims int // number of claim deletions in commit
}

// NewSweep returns the sweep run by the router self.
func NewSweep(self msg.RouterID) *Sweep { return &Sweep{self: self} }

// Failed restarts the sweep at the cursor. It must be called after an operation
// that failed, whose condition did not hold, or whose outcome is unknown.
func (s *Sweep) Failed() { *s = Sweep{self: s.self, result: s.result} }

// Lag returns how long the first unswept hour has been due at the time now (Unix
// ms). The result is valid after a call of RowsRead.
func (s *Sweep) Lag(now int64) time.Duration {
	late := now - s.firstUnswept.end() - GracePeriod.Milliseconds()
	return time.Duration(max(late, 0)) * time.Millisecond
}

// due reports whether an hour may be swept at the time now (Unix ms).
func due(now int64, h Hour) bool { return now > h.end()+GracePeriod.Milliseconds() }

// Next returns the next operation at the time now (Unix ms). The operation is
// empty if no hour is due or another of the live routers sweeps it.
func (s *Sweep) Next(now int64, live []msg.RouterID) Operation {
	if s.step == readCursor {
		return Operation{Read: []string{cursorKey}}
	}
	if !due(now, s.firstUnswept) || SweeperOf(s.firstUnswept, live) != s.self {
		s.Failed()
		return Operation{}
	}
	switch s.step {
	case readManifests:
		return Operation{Read: manifestKeys(s.hour)}
	case readFirstPages:
		return Operation{Read: s.firstPageKeys()}
	case findLastPage:
		return Operation{Read: s.lastPageProbes()}
	case readPage:
		return Operation{Read: []string{pageKey(s.hour, s.writers[0], s.low)}}
	case readClaims:
		return Operation{Read: s.claimBatch()}
	default:
		return Operation{Commit: s.commit}
	}
}

// RowsRead handles the requested rows, in the order of their keys, as read at the
// time now (Unix ms). After an error, which is a [MalformedError], the sweep
// restarts at the cursor.
func (s *Sweep) RowsRead(now int64, rows []StoredRow) error {
	var err error
	switch s.step {
	case readCursor:
		err = s.handleCursor(rows[0])
	case readManifests:
		err = s.handleManifests(now, rows)
	case readFirstPages:
		s.handleFirstPages(rows)
	case findLastPage:
		s.narrowLastPage(rows)
	case readPage:
		s.handlePage(rows[0])
	case readClaims:
		s.handleClaims(now, rows)
	}
	if err != nil {
		s.Failed()
	}
	return err
}

// Committed records that the requested changes were committed. At the end of an
// hour that had writers it returns the result of the hour, otherwise nil.
func (s *Sweep) Committed() *SweepResult {
	if s.step == commitHour {
		result, hadClaims := s.result, len(s.manifests) > 0
		s.Failed()
		if hadClaims {
			return &result
		}
		return nil
	}
	s.result.Deleted += s.deletedClaims
	s.continuePage()
	return nil
}
