// Package poison detects requests that crash the servers which run them (poison requests, queries of
// death). Such a request is retried under new attempt IDs, through any router, and crashes one
// server after another together with everything else that runs there.
//
// Each router records the contents that were running when a server crashed (Crash) and reports them
// to the others, so that all routers converge on the same table after a few reports. A content with
// three crashes and no complete response since then is blocked for minutes if no other suspect ran
// at those servers (Blocked). Otherwise it is delayed for seconds and then tried on its own (Admit):
// a response clears it, and a further crash distinguishes it from the contents that ran beside it.
//
// Requests that are never alike may share a part of their prompts that crashes servers. A second table
// holds such parts (NewParts), by the same records and reports: see parts.go.
//
// The package performs no I/O; time is passed in as an argument. Merging is commutative and
// idempotent.
package poison

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// CrashesToBlock is the number of server crashes after which a content may be blocked. Two may
	// be coincidence. By calculation: if one of 18 engines runs 40 requests beside a poison request
	// and all of them are retried, 40/18 of them meet it a second time and 40/324 a third time.
	CrashesToBlock = 3
	// crashesToSuspect is the number of crashes from which a content is a suspect and is compared
	// with others.
	crashesToSuspect = 2
	// initialPause is how long an ambiguous content is delayed before it is tried on its own. Each
	// further crash multiplies the pause by pauseFactor, up to BlockDuration.
	initialPause = time.Second
	pauseFactor  = 4
	// trialInterval separates the trials of an ambiguous content by successive routers, in addition
	// to the time that the content needs to crash a server: by then every router knows the result of
	// the previous trial.
	trialInterval = time.Second
	// coincidenceWindow is the interval within which several crashes count as one, unless the later
	// run was sent after the earlier crash. Losing a rack or a power feed stops many servers at
	// once, and a content that many callers request runs on several of them.
	coincidenceWindow = 100 * time.Millisecond
	// BlockDuration is how long a content is blocked after its last crash. After that, a single
	// further crash blocks it again: a request that is never fixed costs one server per period, and
	// one that has been fixed or was blocked by coincidence is served again.
	BlockDuration = 10 * time.Minute
	// unconfirmedBlockDuration replaces BlockDuration if the content reaches CrashesToBlock only by
	// crashes of unconfirmed server starts.
	unconfirmedBlockDuration = 10 * time.Second
	// retention is how long a content is kept after its last crash.
	retention = time.Hour
	// maxContents bounds the number of contents in the table: 100 engines that crash with 40
	// requests each. A record takes about 300 bytes.
	maxContents = 4096
	// maxCrashesPerContent bounds the crashes kept for one content.
	maxCrashesPerContent = 8
	// maxReportDelay is how long after a crash reports from other routers may still show that
	// another content is a suspect and explains the crash. Until then no caller is told to wait for
	// minutes.
	maxReportDelay = time.Second
	// reportTimeTolerance is how much later a reported time has to be than the known one to count as
	// a different event: each router that forwards a report adds its transmission delay.
	reportTimeTolerance = 500 * time.Millisecond
)

// Crash describes the crash of a server while it was running a request.
type Crash struct {
	Server routing.ServerKey
	Sent   time.Time // when the request was sent to the server
	At     time.Time // when the server crashed
	// LastAnswered is when the server last answered any request of this router; zero if never or
	// unknown.
	LastAnswered time.Time
	// Accepted reports whether the server had accepted a new connection for the request and read it.
	Accepted bool
	// Answering is how long the server had been sending events of the response; 0 if it had sent none.
	Answering time.Duration
}

// Change describes the effect of one crash.
type Change struct {
	Crashes   int  // counted crashes since the last complete response
	Blocked   bool // the content has just become blocked
	Ambiguous bool // the content has just become ambiguous
}

// Admission tells whether a request with a given content may be sent.
type Admission struct {
	Wait      time.Duration // how long the request may not be sent; 0 if it may
	Ambiguous bool          // it may not be sent, and another content may have caused the crashes
	Trial     bool          // it may be sent, as the only one with this content at this router; EndTrial must follow
	// Isolate means that the request is to run apart from other suspects.
	Isolate bool
}

// record is the state of one content.
type record struct {
	crashes     []Crash   // ordered by At
	succeededAt time.Time // when the last complete response came
	// counted holds the crashes since the last complete response, simultaneous ones merged;
	// confirmed is the subset whose server start has been seen running.
	counted      []Crash
	confirmed    []Crash
	truncated    bool // earlier crashes than the first one were dropped
	class        class
	conclusive   bool // the class is based on confirmed crashes alone
	trialRunning bool // a trial request is running at this router
	sawCrash     bool // this router itself observed one of the crashes
	wasBlocked   bool // the content was blocked at the last update
	stored       bool // the store has this record
	// corroborated means that servers answered other requests while they crashed under this key. It is
	// required of parts only. reportedBlocked means that another router has blocked the part.
	corroborated, reportedBlocked bool
	storeAt                       time.Time // when this router writes the record to the store
}

// Table is one router's view of crash-related contents. It is not safe for concurrent use.
type Table struct {
	kind           Kind
	records        map[routing.ContentHash]*record
	insertionOrder []routing.ContentHash // keys of records, oldest first
	// suspects holds the contents with at least crashesToSuspect crashes. If classesStale is set,
	// their classes need to be recomputed.
	suspects     map[routing.ContentHash]*record
	classesStale bool
	// crashedAt holds the earliest known crash time of each server start.
	crashedAt map[routing.ServerKey]time.Time
	dirty     map[routing.ContentHash]bool // records to report to other routers
	unblocked map[routing.ContentHash]bool // contents to remove from the store
	// answered and broken hold when the last requests of this router got a complete response, and when
	// the last ones lost their server.
	answered, broken recentTimes
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records:   map[routing.ContentHash]*record{},
		suspects:  map[routing.ContentHash]*record{},
		crashedAt: map[routing.ServerKey]time.Time{},
		dirty:     map[routing.ContentHash]bool{},
		unblocked: map[routing.ContentHash]bool{},
	}
}

// Empty reports whether no server has crashed recently: then nothing is blocked and responses need
// no bookkeeping.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Crashed records that a server crashed while running one of this router's own requests.
func (t *Table) Crashed(c routing.ContentHash, crash Crash) Change {
	if t.kind == Parts && crash.Answering > beginOfAnswer {
		return Change{}
	}
	crash.Server = t.startKey(crash)
	r := t.recordFor(c)
	if !t.addCrash(r, crash) {
		return Change{Crashes: len(r.counted)}
	}
	r.sawCrash = true
	t.dirty[c] = true
	wasAmbiguous := r.class == ambiguous
	t.crashesChanged(c, r)
	blocked := slices.Contains(t.updateBlocked(crash.At), c)
	return Change{Crashes: len(r.counted), Blocked: blocked, Ambiguous: r.class == ambiguous && !wasAmbiguous}
}

// Succeeded records a complete response to the content and reports whether the content had counted
// crashes. It returns the contents that become blocked because this one no longer explains their
// crashes.
func (t *Table) Succeeded(c routing.ContentHash, now time.Time) (cleared bool, blocked []routing.ContentHash) {
	r := t.records[c]
	if r == nil || len(r.counted) == 0 {
		return false, nil
	}
	r.succeededAt = now
	t.dirty[c] = true
	t.crashesChanged(c, r)
	return true, t.updateBlocked(now)
}

// Blocked returns how much longer the content must not be sent to any server; 0 if it may be sent.
func (t *Table) Blocked(c routing.ContentHash, now time.Time) time.Duration {
	r := t.records[c]
	if r == nil {
		return 0
	}
	t.classify()
	return max(0, r.blockedUntil().Sub(now))
}

// Admit decides whether a request with the content may be sent now. rank returns this router's
// position among the routers that may try an ambiguous content; later positions try it later.
func (t *Table) Admit(c routing.ContentHash, rank func(routing.ContentHash) int, now time.Time) Admission {
	r := t.records[c]
	if r == nil || len(r.counted) < CrashesToBlock {
		return Admission{Isolate: t.suspects[c] != nil}
	}
	if wait := t.Blocked(c, now); wait > 0 {
		early := r.lastCrash().Add(maxReportDelay).Sub(now)
		if r.class == poisonous && early > 0 && len(t.records) > 1 {
			return Admission{Wait: min(wait, early), Ambiguous: true}
		}
		return Admission{Wait: wait, Ambiguous: r.class == ambiguous}
	}
	return r.admitTrial(rank(c), now)
}

// admitTrial decides whether a request may be sent as a trial after a block has ended. The router of
// the given rank waits until the trials of those before it are known.
func (r *record) admitTrial(rank int, now time.Time) Admission {
	step := trialInterval + r.longestRun()
	if turn := r.blockedUntil().Add(time.Duration(rank) * step); r.trialRunning || now.Before(turn) {
		return Admission{Wait: step, Ambiguous: true}
	}
	r.trialRunning = true
	return Admission{Trial: true, Isolate: true}
}

// EndTrial records that this router's trial of the content has ended.
func (t *Table) EndTrial(c routing.ContentHash) {
	if r := t.records[c]; r != nil {
		r.trialRunning = false
	}
}

// BlockedCount returns the number of contents that must not be sent at present.
func (t *Table) BlockedCount(now time.Time) int {
	n := 0
	t.classify()
	for _, r := range t.suspects {
		if t.kind == Parts && t.isBlocked(r, now) || t.kind == Contents && now.Before(r.blockedUntil()) {
			n++
		}
	}
	return n
}

// Tick removes expired entries and returns the contents that become blocked because the suspects
// that explained their crashes have expired. rng spreads the times at which routers write them to
// the store.
func (t *Table) Tick(rng *rand.Rand, now time.Time) []routing.ContentHash {
	blocked := t.updateBlocked(now)
	t.deferWrites(blocked, rng, now)
	for c, r := range t.records {
		if now.Sub(r.lastCrash()) > retention {
			t.forget(c)
		}
	}
	for server, at := range t.crashedAt {
		if now.Sub(at) > retention {
			delete(t.crashedAt, server)
		}
	}
	t.insertionOrder = slices.DeleteFunc(t.insertionOrder, func(c routing.ContentHash) bool { return t.records[c] == nil })
	return blocked
}

// crashesChanged updates the derived state of a content after a new crash or complete response.
func (t *Table) crashesChanged(c routing.ContentHash, r *record) {
	r.counted = r.countedCrashes()
	if len(r.counted) == 0 {
		r.reportedBlocked = false
	}
	r.corroborated = r.corroborated && (r.reportedBlocked || len(r.counted) >= CrashesToBlock)
	_, wasSuspect := t.suspects[c]
	isSuspect := len(r.counted) >= crashesToSuspect || r.reportedBlocked
	if isSuspect {
		t.suspects[c] = r
	}
	t.classesStale = t.classesStale || wasSuspect || isSuspect
	if isSuspect || !wasSuspect {
		return
	}
	delete(t.suspects, c)
	r.class = belowThreshold
	if r.wasBlocked {
		t.unblock(c, r)
	}
}

// updateBlocked updates which contents are blocked and returns the newly blocked ones. This router
// writes them to the store immediately unless deferWrites is called afterwards.
func (t *Table) updateBlocked(now time.Time) (blocked []routing.ContentHash) {
	t.classify()
	for c, r := range t.suspects {
		if t.kind == Parts && r.class == poisonous && !r.corroborated && t.corroborates(r) {
			r.corroborated = true
			t.dirty[c] = true
		}
		switch isBlocked := t.isBlocked(r, now); {
		case isBlocked && !r.wasBlocked:
			r.wasBlocked = true
			r.storeAt = now
			delete(t.unblocked, c)
			blocked = append(blocked, c)
		case !isBlocked && r.wasBlocked:
			t.unblock(c, r)
		}
	}
	return blocked
}

// isBlocked reports whether requests with the key of the record are blocked.
func (t *Table) isBlocked(r *record, now time.Time) bool {
	return r.blocked(now) && (t.kind != Parts || r.corroborated)
}

// unblock records that a content is no longer blocked and schedules its removal from the store.
func (t *Table) unblock(c routing.ContentHash, r *record) {
	r.wasBlocked = false
	r.stored = false
	t.unblocked[c] = true
}

// forget removes a content from the table.
func (t *Table) forget(c routing.ContentHash) {
	delete(t.records, c)
	delete(t.suspects, c)
	delete(t.dirty, c)
	t.classesStale = true
}

// recordFor returns the record of the content and creates it if necessary.
func (t *Table) recordFor(c routing.ContentHash) *record {
	r := t.records[c]
	if r == nil {
		t.evictIfFull()
		r = &record{}
		t.records[c] = r
		t.insertionOrder = append(t.insertionOrder, c)
	}
	return r
}

// evictIfFull evicts the oldest content that is not blocked if the table is full.
func (t *Table) evictIfFull() {
	for range maxContents {
		if len(t.records) < maxContents {
			return
		}
		c := t.insertionOrder[0]
		t.insertionOrder = t.insertionOrder[1:]
		if r := t.records[c]; r != nil && r.wasBlocked {
			t.insertionOrder = append(t.insertionOrder, c)
			continue
		}
		t.forget(c)
	}
}

// addCrash adds a crash and reports whether it is new. Each start of a server crashes at most once.
func (t *Table) addCrash(r *record, crash Crash) bool {
	for _, known := range r.crashes {
		if known.Server == crash.Server {
			return false
		}
	}
	if at, known := t.crashedAt[crash.Server]; !known || crash.At.Before(at) {
		t.crashedAt[crash.Server] = crash.At
	}
	at, _ := slices.BinarySearchFunc(r.crashes, crash, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.crashes = slices.Insert(r.crashes, at, crash)
	if len(r.crashes) > t.maxCrashes() {
		r.crashes = r.crashes[1:]
		r.truncated = true
	}
	return true
}

// maxCrashes returns how many crashes are kept for one key; the newest are kept.
func (t *Table) maxCrashes() int {
	if t.kind == Parts {
		return maxCrashesPerPart
	}
	return maxCrashesPerContent
}

// lastCrash returns the time of the latest crash, or the zero time if there is none.
func (r *record) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].At
}

// countedCrashes returns the crashes since the last complete response, with simultaneous ones
// merged. A start that is confirmed by one router and unconfirmed by another counts once.
func (r *record) countedCrashes() []Crash {
	var counted []Crash
	var last time.Time
	for _, crash := range r.crashes {
		if !crash.At.After(r.succeededAt) {
			continue
		}
		if len(counted) > 0 && crash.Sent.Before(last) && coincident(crash.At, last) || slices.ContainsFunc(counted, crash.sameStart) {
			continue
		}
		counted = append(counted, crash)
		last = crash.At
	}
	return counted
}

// blocked reports whether the content is poisonous and its block has not expired.
func (r *record) blocked(now time.Time) bool {
	return r.class == poisonous && now.Before(r.blockedUntil())
}

// coincident reports whether two crash times are close enough to count as one event.
func coincident(a, b time.Time) bool { return a.Sub(b).Abs() < coincidenceWindow }
