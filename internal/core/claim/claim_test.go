package claim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
)

const (
	lease  = 1000 // ms
	runFor = 3000 // ms from arrival to the deadline
	keep   = 1_000_000
)

// stored is a row of the table with its version.
type stored struct {
	row     []byte
	version int
}

// write is a conditional write of the table.
type write struct {
	key  claim.Key
	row  []byte
	then int // the version it applies to
}

// request is one caller's request at some router.
type request struct {
	id      msg.RequestID
	key     claim.Key
	content string
	want    claim.Want
	lease   claim.Lease
	ready   *write // decided on, not yet committed
	held    bool
	over    bool // answered, refused or its router died
	result  *claim.Result
}

// fleet is the table, the requests, and the oracle: what servers really ran.
type fleet struct {
	now      int64 // ms, true time
	table    map[claim.Key]stored
	late     []write // committed with a lost reply, and not applied yet
	requests []*request
	runs     map[claim.Key][]msg.RequestID
	answers  map[claim.Key]string
	only     *request // the one that pick may draw; nil: any
}

func (f *fleet) apply(w write) bool {
	if f.table[w.key].version != w.then {
		return false
	}
	f.table[w.key] = stored{w.row, w.then + 1}
	return true
}

func (f *fleet) arrive(t *rapid.T) {
	r := &request{
		id:      msg.RequestID(fmt.Sprint("r", len(f.requests))),
		key:     claim.KeyOf("c", "s", rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")),
		content: rapid.SampledFrom([]string{"beans", "rice"}).Draw(t, "content"),
	}
	skew := rapid.Int64Range(-500, 500).Draw(t, "skew")
	wall := f.now + skew
	r.want = claim.Want{Digest: claim.DigestOf("POST", "/", "", "", []byte(r.content)), Holder: r.id, Until: wall + runFor, Keep: wall + keep}
	r.lease = claim.NewLease(time.Duration(f.now)*time.Millisecond, lease*time.Millisecond)
	f.requests = append(f.requests, r)
}

// pick draws a request that is at a given point, or nil.
func (f *fleet) pick(t *rapid.T, at func(*request) bool) *request {
	var fit []*request
	for _, r := range f.requests {
		if at(r) && (f.only == nil || f.only == r) {
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(t, "request")
}

// read lets a request see its row, and checks what it is then told.
func (f *fleet) read(t *rapid.T) {
	r := f.pick(t, func(r *request) bool { return !r.held && !r.over && r.result == nil })
	if r == nil {
		return
	}
	have, err := claim.Decode(f.table[r.key].row)
	assert.NilError(t, err)
	verdict, next := claim.Decide(f.now, have, r.want)
	r.over = true
	switch verdict {
	case claim.Take:
		row, err := claim.Encode(next)
		assert.NilError(t, err)
		r.over, r.ready = false, &write{r.key, row, f.table[r.key].version}
		assert.Assert(t, have == nil || next.Fence > have.Fence)
	case claim.Mine:
		r.over, r.held = false, true
	case claim.Replay:
		assert.Equal(t, string(have.Answer.Body), f.answers[r.key], "another request's answer")
		assert.Equal(t, f.answers[r.key], r.content)
	case claim.AnswerLost:
		assert.Equal(t, len(f.runs[r.key]), 1)
	}
}

// commit writes what was decided; the reply may be lost, before or after the
// write takes effect, which it may do late.
func (f *fleet) commit(t *rapid.T) {
	r := f.pick(t, func(r *request) bool { return r.ready != nil && !r.over })
	if r == nil {
		return
	}
	w := *r.ready
	r.ready = nil
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "late"}).Draw(t, "reply") {
	case "ok":
		r.held = f.apply(w)
	case "lost":
		f.apply(w)
	case "late":
		f.late = append(f.late, w)
	}
}

func (f *fleet) arriveLate(t *rapid.T) {
	if len(f.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.late)-1).Draw(t, "write")
	w := f.late[i]
	f.late = slices.Delete(f.late, i, i+1)
	f.apply(w)
}

// run sends a held call: a whole exchange whose attempts end at drawn points.
func (f *fleet) run(t *rapid.T) {
	r := f.pick(t, func(r *request) bool { return r.held && !r.over && r.result == nil })
	if r == nil {
		return
	}
	x := attempt.NewExchange(attempt.Policy{MaxAttempts: 3})
	for action := attempt.Retry; action == attempt.Retry; {
		x.BeginAttempt()
		action = f.attempt(t, r, x)
	}
	ran := slices.Contains(f.runs[r.key], r.id)
	if x.Outcome().RunHeader() == "no" {
		assert.Assert(t, !ran, "told as not run, but it ran")
	}
	r.result = &claim.Result{State: claim.Lost}
	switch x.Outcome() {
	case attempt.Completed:
		assert.Assert(t, ran)
		r.result = &claim.Result{State: claim.Done, Answer: &claim.Answer{Status: 200, Body: []byte(r.content)}}
	case attempt.NotSent, attempt.Refused:
		r.result.State = claim.Free
	}
}

// attempt is one attempt at a server that runs what it receives.
func (f *fleet) attempt(t *rapid.T, r *request, x *attempt.Exchange) attempt.Action {
	step := func(k attempt.Kind) attempt.Action {
		return x.Step(attempt.Event{Kind: k, Attempt: x.Attempts()})
	}
	if r.lease.Check(time.Duration(f.now)*time.Millisecond) != nil {
		return step(attempt.Expired)
	}
	at := rapid.SampledFrom([]attempt.Kind{attempt.DialFailed, attempt.Refusal, attempt.Interrupted, attempt.Header, attempt.AnswerComplete, attempt.AnswerComplete}).Draw(t, "point")
	if at == attempt.DialFailed {
		return step(at)
	}
	step(attempt.Wrote)
	if at == attempt.Refusal {
		return step(at)
	}
	f.runs[r.key] = append(f.runs[r.key], r.id)
	f.answers[r.key] = r.content
	if at == attempt.Interrupted {
		return step(at)
	}
	step(attempt.Header)
	if at == attempt.Header {
		return step(attempt.Interrupted)
	}
	return step(at)
}

// finish writes a result, unless the table or the router fails first.
func (f *fleet) finish(t *rapid.T) {
	r := f.pick(t, func(r *request) bool { return r.result != nil && !r.over })
	if r == nil {
		return
	}
	have, err := claim.Decode(f.table[r.key].row)
	assert.NilError(t, err)
	next := claim.Finish(have, r.id, *r.result)
	if next == nil {
		r.over = true
		return
	}
	row, err := claim.Encode(next)
	assert.NilError(t, err)
	w := write{r.key, row, f.table[r.key].version}
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		f.late = append(f.late, w)
		return
	}
	r.over = f.apply(w)
}

// pass brings a request from its arrival to the end of its call, without a
// result in the table yet. Drawn one by one, the steps seldom come so far.
func (f *fleet) pass(t *rapid.T) {
	f.arrive(t)
	f.only = f.requests[len(f.requests)-1]
	f.read(t)
	f.commit(t)
	f.run(t)
	f.only = nil
}

// giveUp ends a request that does not know whether it holds the claim: it will
// send nothing, and releases the row if that is its own.
func (f *fleet) giveUp(t *rapid.T) {
	r := f.pick(t, func(r *request) bool { return !r.held && !r.over && r.result == nil })
	if r == nil {
		return
	}
	r.ready = nil
	r.result = &claim.Result{State: claim.Free}
}

// die ends a request's router.
func (f *fleet) die(t *rapid.T) {
	if r := f.pick(t, func(r *request) bool { return !r.over }); r != nil {
		r.over, r.ready = true, nil
	}
}

func (f *fleet) check(t *rapid.T) {
	for key, runs := range f.runs {
		assert.Assert(t, len(runs) <= 1, "%s ran %d times: %v", key, len(runs), runs)
	}
}

// Whatever is lost, late, paused or dies, a key runs at most once; its answers
// are its own; and what is told as not run has not run.
func TestAtMostOncePerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{table: map[claim.Key]stored{}, runs: map[claim.Key][]msg.RequestID{}, answers: map[claim.Key]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": f.arrive, "read": f.read, "commit": f.commit, "late write": f.arriveLate,
			"run": f.run, "finish": f.finish, "die": f.die, "give up": f.giveUp, "pass": f.pass,
			"pause": func(t *rapid.T) { f.now += rapid.Int64Range(0, 2*runFor).Draw(t, "ms") },
			"":      f.check,
		})
	})
}

func TestDecideAfterHolderDied(t *testing.T) {
	w := claim.Want{Digest: claim.Digest{1}, Holder: "b", Until: 9000, Keep: 20_000}
	have := &claim.Row{State: claim.Running, Digest: claim.Digest{1}, Holder: "a", Fence: 7, Until: 5000, Keep: 10_000}
	for now, want := range map[int64]claim.Verdict{
		0: claim.InProgress, 5000: claim.InProgress, 5001: claim.Unknown, 10_000: claim.Unknown, 10_001: claim.Take,
	} {
		verdict, next := claim.Decide(now, have, w)
		assert.Equal(t, verdict, want)
		if next != nil {
			assert.Assert(t, next.Fence > have.Fence)
		}
	}
	w.Digest = claim.Digest{2}
	verdict, _ := claim.Decide(0, have, w)
	assert.Equal(t, verdict, claim.Mismatch)
	large := *claim.Finish(have, "a", claim.Result{State: claim.Done})
	w.Digest = claim.Digest{1}
	verdict, _ = claim.Decide(0, &large, w)
	assert.Equal(t, verdict, claim.AnswerLost)
	assert.Assert(t, claim.Finish(have, "b", claim.Result{State: claim.Done}) == nil)
	assert.Assert(t, claim.Finish(&large, "a", claim.Result{State: claim.Free}) == nil)
}

func TestLeaseEndsBeforeItsTime(t *testing.T) {
	l := claim.NewLease(time.Second, 5*time.Second)
	assert.NilError(t, l.Check(5499*time.Millisecond))
	assert.ErrorType(t, l.Check(5500*time.Millisecond), claim.Lapsed{})
	l = claim.NewLease(0, time.Second)
	assert.NilError(t, l.Check(799*time.Millisecond))
	assert.ErrorType(t, l.Check(800*time.Millisecond), claim.Lapsed{})
}

// Parts can't run into one another.
func TestKeysAndDigestsAreApart(t *testing.T) {
	assert.Assert(t, claim.KeyOf("a", "bc", "d") != claim.KeyOf("ab", "c", "d"))
	for _, other := range []claim.Key{claim.KeyOf("b", "s", "k"), claim.KeyOf("a", "t", "k"), claim.KeyOf("a", "s", "l")} {
		assert.Assert(t, claim.KeyOf("a", "s", "k") != other)
	}
	assert.Assert(t, claim.DigestOf("POST", "/a", "b", "", nil) != claim.DigestOf("POST", "/ab", "", "", nil))
}

// FuzzDecode: rows come from a store that others may write to.
func FuzzDecode(f *testing.F) {
	good, err := claim.Encode(&claim.Row{State: claim.Done, Holder: "h", Answer: &claim.Answer{Status: 200, Body: []byte("b")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x02, 0x41, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		row, err := claim.Decode(b)
		if err != nil || row == nil {
			return
		}
		again, err := claim.Encode(row)
		assert.NilError(t, err)
		same, err := claim.Decode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, row, same)
	})
}
