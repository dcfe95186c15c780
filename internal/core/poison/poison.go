// Package poison finds requests that crash the servers which run them (poison requests,
// queries of death). Such a request comes again and again, under new attempt IDs, at any
// router, and crashes one server after the other with all that they run.
//
// Each router notes under which contents a server crashed (Crash) and reports it to the others, so
// that all hold the same table within some reports. A content under which servers have crashed
// three times, with no complete response since, is blocked for minutes if no other suspect was there
// (Blocked). Otherwise it is held back for seconds and then tried alone (Admit): a response clears it,
// one more crash tells it from what ran beside it.
//
// The package has no input or output; time comes in as an argument. Tables merge in any order
// and as often as they are told.
package poison

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// CrashesToBlock is how many times servers have to crash under a content for it to be
	// blocked. Two may be chance. By count: of 40 requests that one of 18 engines runs beside a
	// guilty one and that all come again, 40/18 meet it a second time and 40/324 a third.
	CrashesToBlock = 3
	// suspectFrom is from how many crashes on a content is weighed against others.
	suspectFrom = 2
	// firstPause is how long a content in doubt is held back before it is tried alone. Each
	// further crash makes it pauseX times as long, up to BlockFor.
	firstPause = time.Second
	pauseX     = 4
	// trialStep is how much later than the router before it each router may try a content in
	// doubt, beside the time that the content needs to crash a server: by then all know how
	// the trial before ended.
	trialStep = time.Second
	// sameMoment is the time within which crashes of servers count once, unless the later
	// run was sent after the earlier crash. A lost rack or power feed takes many servers at
	// once, and a content that many callers ask for runs at several of them.
	sameMoment = 100 * time.Millisecond
	// BlockFor is how long a content is blocked after the last crash. After it one more crash
	// blocks it again: what can't be mended costs a server in each such time, and what was
	// mended meanwhile, or was blocked by chance, is served again.
	BlockFor = 10 * time.Minute
	// unconfirmedBlock is the same where some of the crashes are of starts that may be none.
	unconfirmedBlock = 10 * time.Second
	// forgetAfter is when a content is forgotten after the last crash under it.
	forgetAfter = time.Hour
	// most bounds the contents that are remembered: 100 engines that crash with 40 requests
	// each. One takes some 300 bytes.
	most = 4096
	// crashesKept bounds the crashes that are kept of one content, the newest.
	crashesKept = 8
	// reportsWithin is how long after a crash other routers' reports may still tell that another
	// content is a suspect and explains it: until then no caller is told of minutes.
	reportsWithin = time.Second
	// newer is by how much a moment that is told has to be later than the one known to be
	// another: each router that tells it on makes it later by the way.
	newer = 500 * time.Millisecond
)

// Crash is that of a server while it ran a request.
type Crash struct {
	Server routing.ServerKey
	Sent   time.Time // when the request was sent there
	At     time.Time // when the server crashed
	// Answered is when the server last answered any request of this router; zero: never, or
	// not known.
	Answered time.Time
	// Accepted says that the server had taken a new connection for the request, and read it.
	Accepted bool
}

// Change is what one crash changed.
type Change struct {
	Crashes int  // that count, since the last complete response
	Blocked bool // the content is blocked from now on
	Doubted bool // the content is in doubt from now on
}

// Admission says whether a request with a content may be sent.
type Admission struct {
	Wait    time.Duration // it may not, for so long
	InDoubt bool          // it may not, and others may be the cause
	Trial   bool          // it may, as the only one at this router; EndTrial has to follow
	// Apart says that it is to run apart from other suspects.
	Apart bool
}

// record is what is known of one content.
type record struct {
	crashes     []Crash   // by At
	succeededAt time.Time // the last complete response to it
	// counted are the crashes since the last complete response, one for each moment; confirmed are
	// those of them in which a start of the server crashed that was seen to run.
	counted   []Crash
	confirmed []Crash
	verdict   verdict
	certain   bool      // the verdict rests on confirmed crashes
	trial     bool      // a request with it is being tried at this router
	own       bool      // this router saw one of its crashes
	held      bool      // it was blocked when it was last looked at
	stored    bool      // the store has it
	due       time.Time // when this router writes it into the store
}

// Table is what a router knows. It is not safe for concurrent use.
type Table struct {
	records map[routing.ContentHash]*record
	order   []routing.ContentHash // of the records, as they came
	// suspects are the contents with two crashes or more, stale says that their verdicts are.
	suspects map[routing.ContentHash]*record
	stale    bool
	// crashedAt is when each start of a server is first known to have crashed.
	crashedAt map[routing.ServerKey]time.Time
	dirty     map[routing.ContentHash]bool // what the others are to be told
	lifted    map[routing.ContentHash]bool // what the store is to forget
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records:   map[routing.ContentHash]*record{},
		suspects:  map[routing.ContentHash]*record{},
		crashedAt: map[routing.ServerKey]time.Time{},
		dirty:     map[routing.ContentHash]bool{},
		lifted:    map[routing.ContentHash]bool{},
	}
}

// Empty reports whether no server has crashed lately: then nothing is blocked, and no
// answer tells anything.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Crashed notes that a server crashed under one of this router's own requests.
func (t *Table) Crashed(c routing.ContentHash, e Crash) Change {
	e.Server = t.startOf(e)
	r := t.get(c)
	if !t.add(r, e) {
		return Change{Crashes: len(r.counted)}
	}
	r.own = true
	t.dirty[c] = true
	doubted := r.verdict == inDoubt
	t.changed(c, r)
	blocked := slices.Contains(t.settle(e.At), c)
	return Change{Crashes: len(r.counted), Blocked: blocked, Doubted: r.verdict == inDoubt && !doubted}
}

// Succeeded notes a complete response to the content, and reports whether it counted as a suspect
// or on the way to it. It returns the contents that are newly blocked, since this one
// explains their crashes no longer.
func (t *Table) Succeeded(c routing.ContentHash, now time.Time) (cleared bool, blocked []routing.ContentHash) {
	r := t.records[c]
	if r == nil || len(r.counted) == 0 {
		return false, nil
	}
	r.succeededAt = now
	t.dirty[c] = true
	t.changed(c, r)
	return true, t.settle(now)
}

// Blocked returns for how long the content is sent to no server yet; 0: it may be.
func (t *Table) Blocked(c routing.ContentHash, now time.Time) time.Duration {
	r := t.records[c]
	if r == nil {
		return 0
	}
	t.judge()
	return max(0, r.until().Sub(now))
}

// Admit says whether a request with the content may be sent now. rank is the place of this router
// among those that may try a content in doubt: the later ones do so later.
func (t *Table) Admit(c routing.ContentHash, rank func(routing.ContentHash) int, now time.Time) Admission {
	r := t.records[c]
	if r == nil || len(r.counted) < CrashesToBlock {
		return Admission{Apart: t.suspects[c] != nil}
	}
	if wait := t.Blocked(c, now); wait > 0 {
		early := r.last().Add(reportsWithin).Sub(now)
		if r.verdict == convicted && early > 0 && len(t.records) > 1 {
			return Admission{Wait: min(wait, early), InDoubt: true}
		}
		return Admission{Wait: wait, InDoubt: r.verdict == inDoubt}
	}
	step := trialStep + r.longestRun()
	if turn := r.until().Add(time.Duration(rank(c)) * step); r.trial || now.Before(turn) {
		return Admission{Wait: step, InDoubt: true}
	}
	r.trial = true
	return Admission{Trial: true, Apart: true}
}

// EndTrial notes that the trial of the content at this router is over.
func (t *Table) EndTrial(c routing.ContentHash) {
	if r := t.records[c]; r != nil {
		r.trial = false
	}
}

// Count returns how many contents are blocked.
func (t *Table) Count(now time.Time) int {
	n := 0
	t.judge()
	for _, r := range t.suspects {
		if now.Before(r.until()) {
			n++
		}
	}
	return n
}

// Tick forgets what is old, and returns the contents that are newly blocked, since what explained
// their crashes was forgotten. It draws from rng when this router is to write them into the store.
func (t *Table) Tick(rng *rand.Rand, now time.Time) []routing.ContentHash {
	blocked := t.settle(now)
	t.postponeWrites(blocked, rng, now)
	for c, r := range t.records {
		if now.Sub(r.last()) > forgetAfter {
			t.forget(c)
		}
	}
	for server, at := range t.crashedAt {
		if now.Sub(at) > forgetAfter {
			delete(t.crashedAt, server)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(c routing.ContentHash) bool { return t.records[c] == nil })
	return blocked
}

// changed notes that the crashes of a content have changed, or a complete response came.
func (t *Table) changed(c routing.ContentHash, r *record) {
	r.counted = r.count()
	_, was := t.suspects[c]
	is := len(r.counted) >= suspectFrom
	if is {
		t.suspects[c] = r
	}
	t.stale = t.stale || was || is
	if is || !was {
		return
	}
	delete(t.suspects, c)
	r.verdict = acquitted
	if r.held {
		t.lift(c, r)
	}
}

// settle looks which contents are blocked, and returns those that newly are. This router writes them
// into the store at once, unless postponeWrites follows.
func (t *Table) settle(now time.Time) (blocked []routing.ContentHash) {
	t.judge()
	for c, r := range t.suspects {
		switch held := r.blocked(now); {
		case held && !r.held:
			r.held = true
			r.due = now
			delete(t.lifted, c)
			blocked = append(blocked, c)
		case !held && r.held:
			t.lift(c, r)
		}
	}
	return blocked
}

// lift notes that a content is not blocked any more. The store is to forget it.
func (t *Table) lift(c routing.ContentHash, r *record) {
	r.held = false
	r.stored = false
	t.lifted[c] = true
}

// forget drops a content.
func (t *Table) forget(c routing.ContentHash) {
	delete(t.records, c)
	delete(t.suspects, c)
	delete(t.dirty, c)
	t.stale = true
}

// get returns the content's record.
func (t *Table) get(c routing.ContentHash) *record {
	r := t.records[c]
	if r == nil {
		t.makeRoom()
		r = &record{}
		t.records[c] = r
		t.order = append(t.order, c)
	}
	return r
}

// makeRoom forgets the content that came first of those that are not blocked, if there is
// no room.
func (t *Table) makeRoom() {
	for range most {
		if len(t.records) < most {
			return
		}
		c := t.order[0]
		t.order = t.order[1:]
		if r := t.records[c]; r != nil && r.held {
			t.order = append(t.order, c)
			continue
		}
		t.forget(c)
	}
}

// add notes a crash and reports whether it is new. Each start of a server crashes once.
func (t *Table) add(r *record, e Crash) bool {
	for _, known := range r.crashes {
		if known.Server == e.Server {
			return false
		}
	}
	if at, known := t.crashedAt[e.Server]; !known || e.At.Before(at) {
		t.crashedAt[e.Server] = e.At
	}
	at, _ := slices.BinarySearchFunc(r.crashes, e, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.crashes = slices.Insert(r.crashes, at, e)
	if len(r.crashes) > crashesKept {
		r.crashes = r.crashes[1:]
	}
	return true
}

// last is when the last server crashed; zero: none has.
func (r *record) last() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].At
}

// count returns the crashes since the last complete response that are at moments of their own. A start
// that one router could confirm and another one could not is one.
func (r *record) count() []Crash {
	var counted []Crash
	var last time.Time
	for _, e := range r.crashes {
		if !e.At.After(r.succeededAt) {
			continue
		}
		if len(counted) > 0 && e.Sent.Before(last) && near(e.At, last) || slices.ContainsFunc(counted, e.sameStart) {
			continue
		}
		counted = append(counted, e)
		last = e.At
	}
	return counted
}

// blocked reports whether the content is blocked.
func (r *record) blocked(now time.Time) bool {
	return r.verdict == convicted && now.Before(r.until())
}

// near reports whether two crashes may be of one moment.
func near(a, b time.Time) bool { return a.Sub(b).Abs() < sameMoment }
