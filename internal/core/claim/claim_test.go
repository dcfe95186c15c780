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
	lease     = 1000 // ms
	callTime  = 3000 // ms from the arrival of a request to its call deadline
	retention = 1_000_000
)

// versionedRow is a row of the table with its version.
type versionedRow struct {
	row     []byte
	version int
}

// conditionalWrite is a write that is applied only if the row still has version
// ifVersion.
type conditionalWrite struct {
	key       claim.Key
	row       []byte
	ifVersion int
}

// request is a caller's request at a router.
type request struct {
	id           msg.RequestID
	key          claim.Key
	content      string
	claimRequest claim.Request
	lease        claim.Lease
	pending      *conditionalWrite // granted by Decide, not yet committed
	held         bool
	done         bool // answered, refused, or its router crashed
	result       *claim.Result
}

// claimModel holds the table, the requests, and the calls that servers have
// actually run.
type claimModel struct {
	now      int64 // true time in ms
	table    map[claim.Key]versionedRow
	delayed  []conditionalWrite // the replies were lost, and the writes may still be applied
	requests []*request
	runs     map[claim.Key][]msg.RequestID
	answers  map[claim.Key]string
	selected *request // restricts pick to this request; nil: no restriction
}

func (m *claimModel) apply(w conditionalWrite) bool {
	if m.table[w.key].version != w.ifVersion {
		return false
	}
	m.table[w.key] = versionedRow{w.row, w.ifVersion + 1}
	return true
}

func (m *claimModel) arrive(t *rapid.T) {
	r := &request{
		id:      msg.RequestID(fmt.Sprint("r", len(m.requests))),
		key:     claim.KeyOf("c", "s", rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")),
		content: rapid.SampledFrom([]string{"beans", "rice"}).Draw(t, "content"),
	}
	skew := rapid.Int64Range(-500, 500).Draw(t, "skew")
	wallClock := m.now + skew
	r.claimRequest = claim.Request{Digest: claim.DigestOf("POST", "/", "", "", []byte(r.content)), Holder: r.id, CallDeadline: wallClock + callTime, RetainUntil: wallClock + retention}
	r.lease = claim.NewLease(time.Duration(m.now)*time.Millisecond, lease*time.Millisecond)
	m.requests = append(m.requests, r)
}

// pick draws a request for which matches returns true. It returns nil if there
// is none.
func (m *claimModel) pick(t *rapid.T, matches func(*request) bool) *request {
	var matching []*request
	for _, r := range m.requests {
		if matches(r) && (m.selected == nil || m.selected == r) {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(t, "request")
}

// read decides on a request given its current row, and checks the verdict.
func (m *claimModel) read(t *rapid.T) {
	r := m.pick(t, func(r *request) bool { return !r.held && !r.done && r.result == nil })
	if r == nil {
		return
	}
	current, err := claim.Decode(m.table[r.key].row)
	assert.NilError(t, err)
	verdict, next := claim.Decide(m.now, current, r.claimRequest)
	r.done = true
	switch verdict {
	case claim.Granted:
		row, err := claim.Encode(next)
		assert.NilError(t, err)
		r.done, r.pending = false, &conditionalWrite{r.key, row, m.table[r.key].version}
		assert.Assert(t, current == nil || next.Fence > current.Fence)
	case claim.AlreadyHeld:
		r.done, r.held = false, true
	case claim.Replay:
		assert.Equal(t, string(current.Answer.Body), m.answers[r.key], "another request's answer")
		assert.Equal(t, m.answers[r.key], r.content)
	case claim.AnswerNotKept:
		assert.Equal(t, len(m.runs[r.key]), 1)
	}
}

// commit commits the pending write of a request. The reply may be lost, and the
// write may then be applied at once or later.
func (m *claimModel) commit(t *rapid.T) {
	r := m.pick(t, func(r *request) bool { return r.pending != nil && !r.done })
	if r == nil {
		return
	}
	w := *r.pending
	r.pending = nil
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "late"}).Draw(t, "reply") {
	case "ok":
		r.held = m.apply(w)
	case "lost":
		m.apply(w)
	case "late":
		m.delayed = append(m.delayed, w)
	}
}

func (m *claimModel) applyDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "write")
	w := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	m.apply(w)
}

// runCall sends the call of a request that holds its claim: a whole exchange whose
// attempts end at random points.
func (m *claimModel) runCall(t *rapid.T) {
	r := m.pick(t, func(r *request) bool { return r.held && !r.done && r.result == nil })
	if r == nil {
		return
	}
	exchange := attempt.NewExchange(attempt.Policy{MaxAttempts: 3})
	for action := attempt.Retry; action == attempt.Retry; {
		exchange.BeginAttempt()
		action = m.runAttempt(t, r, exchange)
	}
	ran := slices.Contains(m.runs[r.key], r.id)
	if exchange.Outcome().RunHeader() == "no" {
		assert.Assert(t, !ran, "reported as not run, but it ran")
	}
	r.result = &claim.Result{State: claim.Indeterminate}
	switch exchange.Outcome() {
	case attempt.Completed:
		assert.Assert(t, ran)
		r.result = &claim.Result{State: claim.Done, Answer: &claim.Answer{Status: 200, Body: []byte(r.content)}}
	case attempt.NotSent, attempt.Refused:
		r.result.State = claim.NotRun
	}
}

// runAttempt makes one attempt at a server that runs every call it receives.
func (m *claimModel) runAttempt(t *rapid.T, r *request, exchange *attempt.Exchange) attempt.Action {
	step := func(k attempt.Kind) attempt.Action {
		return exchange.Step(attempt.Event{Kind: k, Attempt: exchange.Attempts()})
	}
	if r.lease.Check(time.Duration(m.now)*time.Millisecond) != nil {
		return step(attempt.Expired)
	}
	point := rapid.SampledFrom([]attempt.Kind{attempt.DialFailed, attempt.Refusal, attempt.Interrupted, attempt.Header, attempt.AnswerComplete, attempt.AnswerComplete}).Draw(t, "point")
	if point == attempt.DialFailed {
		return step(point)
	}
	step(attempt.Wrote)
	if point == attempt.Refusal {
		return step(point)
	}
	m.runs[r.key] = append(m.runs[r.key], r.id)
	m.answers[r.key] = r.content
	if point == attempt.Interrupted {
		return step(point)
	}
	step(attempt.Header)
	if point == attempt.Header {
		return step(attempt.Interrupted)
	}
	return step(point)
}

// writeResult writes the result of a call, at once or as a delayed write.
func (m *claimModel) writeResult(t *rapid.T) {
	r := m.pick(t, func(r *request) bool { return r.result != nil && !r.done })
	if r == nil {
		return
	}
	current, err := claim.Decode(m.table[r.key].row)
	assert.NilError(t, err)
	next := claim.Finish(current, r.id, *r.result)
	if next == nil {
		r.done = true
		return
	}
	row, err := claim.Encode(next)
	assert.NilError(t, err)
	w := conditionalWrite{r.key, row, m.table[r.key].version}
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		m.delayed = append(m.delayed, w)
		return
	}
	r.done = m.apply(w)
}

// runToResult takes a new request from its arrival to the end of its call, without
// writing its result. Independently drawn steps rarely get that far.
func (m *claimModel) runToResult(t *rapid.T) {
	m.arrive(t)
	m.selected = m.requests[len(m.requests)-1]
	m.read(t)
	m.commit(t)
	m.runCall(t)
	m.selected = nil
}

// abandon ends a request that does not know whether it holds the claim. It will
// not send the call, and releases the row if it is the holder.
func (m *claimModel) abandon(t *rapid.T) {
	r := m.pick(t, func(r *request) bool { return !r.held && !r.done && r.result == nil })
	if r == nil {
		return
	}
	r.pending = nil
	r.result = &claim.Result{State: claim.NotRun}
}

// crashRouter ends a request without a result, as when its router crashes.
func (m *claimModel) crashRouter(t *rapid.T) {
	if r := m.pick(t, func(r *request) bool { return !r.done }); r != nil {
		r.done, r.pending = true, nil
	}
}

func (m *claimModel) checkAtMostOnce(t *rapid.T) {
	for key, runs := range m.runs {
		assert.Assert(t, len(runs) <= 1, "%s ran %d times: %v", key, len(runs), runs)
	}
}

// Despite lost replies, delayed writes, pauses and crashes, the call of a key runs
// at most once, replayed answers belong to the key, and a call that is reported as
// not run has not run.
func TestAtMostOncePerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{table: map[claim.Key]versionedRow{}, runs: map[claim.Key][]msg.RequestID{}, answers: map[claim.Key]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "read": m.read, "commit": m.commit, "late write": m.applyDelayed,
			"run": m.runCall, "finish": m.writeResult, "die": m.crashRouter, "give up": m.abandon, "pass": m.runToResult,
			"pause": func(t *rapid.T) { m.now += rapid.Int64Range(0, 2*callTime).Draw(t, "ms") },
			"":      m.checkAtMostOnce,
		})
	})
}

func TestDecideAfterHolderDied(t *testing.T) {
	req := claim.Request{Digest: claim.Digest{1}, Holder: "b", CallDeadline: 9000, RetainUntil: 20_000}
	current := &claim.Row{State: claim.Running, Digest: claim.Digest{1}, Holder: "a", Fence: 7, CallDeadline: 5000, RetainUntil: 10_000}
	for now, want := range map[int64]claim.Verdict{
		0: claim.InProgress, 5000: claim.InProgress, 5001: claim.OutcomeUnknown, 10_000: claim.OutcomeUnknown, 10_001: claim.Granted,
	} {
		verdict, next := claim.Decide(now, current, req)
		assert.Equal(t, verdict, want)
		if next != nil {
			assert.Assert(t, next.Fence > current.Fence)
		}
	}
	req.Digest = claim.Digest{2}
	verdict, _ := claim.Decide(0, current, req)
	assert.Equal(t, verdict, claim.ContentMismatch)
	large := *claim.Finish(current, "a", claim.Result{State: claim.Done})
	req.Digest = claim.Digest{1}
	verdict, _ = claim.Decide(0, &large, req)
	assert.Equal(t, verdict, claim.AnswerNotKept)
	assert.Assert(t, claim.Finish(current, "b", claim.Result{State: claim.Done}) == nil)
	assert.Assert(t, claim.Finish(&large, "a", claim.Result{State: claim.NotRun}) == nil)
}

func TestLeaseHasSafetyMargin(t *testing.T) {
	l := claim.NewLease(time.Second, 5*time.Second)
	assert.NilError(t, l.Check(5499*time.Millisecond))
	assert.ErrorType(t, l.Check(5500*time.Millisecond), claim.LeaseExpiredError{})
	l = claim.NewLease(0, time.Second)
	assert.NilError(t, l.Check(799*time.Millisecond))
	assert.ErrorType(t, l.Check(800*time.Millisecond), claim.LeaseExpiredError{})
}

// Moving bytes from one field to the next changes the key or digest.
func TestKeysAndDigestsSeparateFields(t *testing.T) {
	assert.Assert(t, claim.KeyOf("a", "bc", "d") != claim.KeyOf("ab", "c", "d"))
	for _, other := range []claim.Key{claim.KeyOf("b", "s", "k"), claim.KeyOf("a", "t", "k"), claim.KeyOf("a", "s", "l")} {
		assert.Assert(t, claim.KeyOf("a", "s", "k") != other)
	}
	assert.Assert(t, claim.DigestOf("POST", "/a", "b", "", nil) != claim.DigestOf("POST", "/ab", "", "", nil))
}

// FuzzDecode checks that arbitrary bytes do not cause a panic, because other
// processes may write to the store, and that decoded rows survive a round trip.
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
