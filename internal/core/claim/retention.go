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
	fresh     []Writer // not yet asked for their first page
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

// seeCursor begins with the first hour that is not swept.
func (s *Sweep) seeCursor(row Stored) error {
	c := Cursor{}
	if err := row.decode(&c); err != nil {
		return err
	}
	s.cursor, s.from, s.hour = row, c.Hour, c.Hour
	s.step = readManifests
	if row.Version == 0 { // nothing was ever claimed
		s.from = never
	}
	return nil
}

// seeManifests collects the hour's writers, or passes on to the next hour.
func (s *Sweep) seeManifests(now int64, rows []Stored) error {
	if s.swept.Hour != s.hour {
		s.swept = Swept{Hour: s.hour}
	}
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var m Manifest
		if row.decode(&m) != nil {
			s.unreadable(row)
			m = Manifest{}
		}
		s.manifests = append(s.manifests, row)
		s.fresh = append(s.fresh, m.Writers...)
	}
	if len(s.manifests) > 0 {
		s.step = readFirst
		return nil
	}
	if due(now, s.hour+1) && s.hour < s.from+maxSkip {
		s.hour++
		return nil
	}
	return s.endHour()
}

// unreadable notes a row that can't be decoded.
func (s *Sweep) unreadable(row Stored) {
	s.swept.Unreadable = append(s.swept.Unreadable, row.Key)
}

// endHour moves the cursor behind the hour and deletes its manifests.
func (s *Sweep) endHour() error {
	moved, err := s.cursor.replace(Cursor{Hour: s.hour + 1})
	if err != nil {
		return err
	}
	s.commit = []Change{moved}
	for _, m := range s.manifests {
		s.commit = append(s.commit, m.remove())
	}
	s.step = commitHour
	return nil
}

// firstPages are those of the next fresh writers.
func (s *Sweep) firstPages() []string {
	var keys []string
	for _, w := range s.fresh[:min(len(s.fresh), sweepRows)] {
		keys = append(keys, pageKey(s.hour, w, 0))
	}
	return keys
}

// seeFirst keeps the writers that have pages. One that has none is done, or died
// before it wrote any.
func (s *Sweep) seeFirst(rows []Stored) {
	for i, row := range rows {
		if row.Version != 0 {
			s.writers = append(s.writers, s.fresh[i])
		}
	}
	s.fresh = s.fresh[len(rows):]
	s.nextWriter()
}

// nextWriter goes on with a writer that has pages, or looks for more of them.
func (s *Sweep) nextWriter() {
	switch {
	case len(s.writers) > 0:
		s.low, s.high = 0, 1<<maxPageBits
		s.step = readLast
	case len(s.fresh) > 0:
		s.step = readFirst
	default:
		if s.endHour() != nil { // does not happen: a cursor can be encoded
			s.Failed()
		}
	}
}

// probePages are the pages that bracket the last one: first by powers of two,
// then by halves. A writer's pages are numbered without gaps.
func (s *Sweep) probePages() []string {
	s.probes = []int{(s.low + s.high) / 2}
	if s.low == 0 && s.high == 1<<maxPageBits {
		for bit := range maxPageBits - 1 {
			s.probes = append(s.probes, 1<<bit)
		}
	}
	keys := make([]string, len(s.probes))
	for i, p := range s.probes {
		keys[i] = pageKey(s.hour, s.writers[0], p)
	}
	return keys
}

// seeLast narrows the bracket of the last page.
func (s *Sweep) seeLast(rows []Stored) {
	for i, row := range rows {
		if row.Version == 0 {
			s.high = min(s.high, s.probes[i])
			continue
		}
		s.low = max(s.low, s.probes[i])
	}
	if s.high-s.low <= 1 {
		s.step = readPage
	}
}

// seePage takes the claims that a page names.
func (s *Sweep) seePage(row Stored) {
	if row.Version == 0 { // another sweep was faster
		s.Failed()
		return
	}
	var p Page
	if row.decode(&p) != nil {
		s.unreadable(row)
		p = Page{}
	}
	s.page, s.claims = row, p.Keys
	s.step = readClaims
	if len(s.claims) == 0 {
		s.commit, s.deletes = []Change{row.remove()}, 0
		s.step = commitClaims
	}
}

// someClaims are the next ones of the page.
func (s *Sweep) someClaims() []string {
	var keys []string
	for _, k := range s.claims[:min(len(s.claims), sweepRows)] {
		keys = append(keys, string(k))
	}
	return keys
}

// seeClaims decides which claims go. One that was taken again is named by a later
// page too, and left to that.
func (s *Sweep) seeClaims(now int64, rows []Stored) {
	s.claims, s.commit, s.deletes = s.claims[len(rows):], nil, 0
	seen := map[string]bool{}
	for _, row := range rows {
		if row.Version == 0 || seen[row.Key] {
			continue
		}
		seen[row.Key] = true
		claimed, err := Decode(row.Value)
		switch {
		case err != nil || claimed == nil:
			s.unreadable(row)
		case now <= claimed.Keep+Grace.Milliseconds():
			s.swept.Kept++
		default:
			s.commit = append(s.commit, row.remove())
			s.deletes++
		}
	}
	if len(s.claims) == 0 {
		s.commit = append(s.commit, s.page.remove())
	}
	s.step = commitClaims
	if len(s.commit) == 0 {
		s.afterClaims()
	}
}

// afterClaims goes on with the page's next claims, or the page before, or the
// next writer.
func (s *Sweep) afterClaims() {
	s.commit = nil
	switch {
	case len(s.claims) > 0:
		s.step = readClaims
	case s.low > 0:
		s.low--
		s.step = readPage
	default:
		s.writers = s.writers[1:]
		s.nextWriter()
	}
}
