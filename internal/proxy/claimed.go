package proxy

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/problem"
)

// Claims keeps the claims of Idempotency-Keys; package claims does.
type Claims interface {
	// Take asks to run the call of a key. See [claim.Decide].
	Take(ctx context.Context, key claim.Key, want claim.Request) (claim.Verdict, *claim.Row, error)
	// Finish writes the result of a held claim without blocking, and closes the
	// channel once it is written or given up.
	Finish(key claim.Key, holder msg.RequestID, r claim.Result) <-chan struct{}
}

const (
	headerKey      = "Idempotency-Key"
	headerReplayed = "Windscale-Replayed" // "true" on a stored answer

	maxKeyLen    = 255
	defaultLease = 5 * time.Second
	defaultKeep  = 24 * time.Hour
	// clockSkew is how far the wall clocks of routers may be apart before a
	// running call is told as unknown.
	clockSkew = time.Second
	// storeTime is how long an answer waits for its claim to be written, so that
	// a caller who asks again finds it.
	storeTime = 250 * time.Millisecond
)

// claimed is the claim that a call with a key holds.
type claimed struct {
	key      claim.Key
	lease    claim.Lease
	finished bool // its result was handed to Claims
}

// idempotencyKey returns the caller's key. ok is false if it is malformed.
func idempotencyKey(values []string) (key string, ok bool) {
	if len(values) == 0 {
		return "", true
	}
	key = values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyLen {
		return "", false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return "", false
		}
	}
	return key, true
}

// serveClaimed runs a call that may not be repeated and has a key.
func (s *serviceRun) serveClaimed(key string) {
	if s.p.Claims == nil {
		s.refuse(problem.ClaimsUnavailable, defaultRetryAfter)
		return
	}
	fleet := s.p.Snapshot().Fleet
	asked := s.elapsed()
	length := min(orDefault(fleet.ClaimLease, defaultLease), s.deadline.Sub(s.began)-asked)
	s.claim = &claimed{
		key:   claim.KeyOf(s.want.Customer, s.service.Name, key),
		lease: claim.NewLease(asked, length),
	}
	ctx, cancel := context.WithDeadline(s.ctx, s.began.Add(s.claim.lease.End()))
	defer cancel()
	s.queueCtx = ctx
	verdict, row, err := s.p.Claims.Take(ctx, s.claim.key, s.wantClaim(fleet))
	if err != nil {
		s.refuse(problem.ClaimsUnavailable, defaultRetryAfter)
		return
	}
	if verdict != claim.Granted {
		s.answerRepeat(verdict, row)
		return
	}
	s.runClaimed(row)
}

// wantClaim is what the call asks the claims for. Its holder is over once its
// lease and the time it may take have passed.
func (s *serviceRun) wantClaim(fleet settings.Fleet) claim.Request {
	until := s.deadline.Add(clockSkew)
	keep := until.Add(orDefault(fleet.ClaimKeep, defaultKeep))
	return claim.Request{
		Digest:       claim.DigestOf(s.r.Method, s.path, s.r.URL.RawQuery, s.r.Header.Get("Content-Type"), s.body),
		Holder:       s.want.ID,
		CallDeadline: until.UnixMilli(),
		RetainUntil:  keep.UnixMilli(),
	}
}

// answerRepeat answers a request whose key was used before, by what is known of
// the first.
func (s *serviceRun) answerRepeat(v claim.Verdict, row *claim.Row) {
	switch v {
	case claim.Replay:
		header := row.Answer.Header
		s.w.Header().Set(headerReplayed, "true")
		s.send(wholeAnswer{status: row.Answer.Status, header: header, body: row.Answer.Body, length: -1})
	case claim.InProgress:
		s.refuseKey(problem.ClaimRunning, attempt.Unknown, defaultRetryAfter)
	case claim.ContentMismatch:
		s.refuseKey(problem.ClaimMismatch, attempt.NotSent, 0)
	case claim.AnswerNotKept:
		s.refuseKey(problem.AnswerLost, attempt.Completed, 0)
	default:
		s.refuseKey(problem.OutcomeUnknown, attempt.Unknown, 0)
	}
}

// refuseKey refuses a later request by what is known of the first.
func (s *serviceRun) refuseKey(t problem.Type, first attempt.Outcome, after time.Duration) {
	s.finish.Problem = t.Name
	problem.Write(s.w, t, problem.Info{Outcome: first, RetryAfter: after, Request: s.want.ID})
}

// runClaimed runs the call under its claim and writes what came of it, whatever
// happens.
func (s *serviceRun) runClaimed(row *claim.Row) {
	defer s.finishClaim()
	if s.service.ChecksFence {
		s.fence = strconv.FormatUint(row.Fence, 10)
	}
	s.guard = func() error { return s.claim.lease.Check(s.elapsed()) }
	if !s.attempts(s.try) {
		return
	}
	select {
	case <-s.finishClaim():
	case <-time.After(storeTime):
	}
	if !s.sent {
		s.send(s.answer)
	}
}

// finishClaim writes the result of the claim, once.
func (s *serviceRun) finishClaim() <-chan struct{} {
	if s.claim.finished {
		return nil
	}
	s.claim.finished = true
	return s.p.Claims.Finish(s.claim.key, s.want.ID, s.result())
}

// result is what the claim's row will say.
func (s *serviceRun) result() claim.Result {
	switch s.x.Outcome() {
	case attempt.NotSent, attempt.Refused:
		return claim.Result{State: claim.NotRun}
	case attempt.Completed:
		return claim.Result{State: claim.Done, Answer: s.stored()}
	default:
		return claim.Result{State: claim.Indeterminate}
	}
}

// stored returns the answer as it is kept, or nil if it is too large.
func (s *serviceRun) stored() *claim.Answer {
	if s.sent || len(s.answer.body) > claim.MaxAnswerBody {
		return nil
	}
	return &claim.Answer{Status: s.answer.status, Header: s.answer.header, Body: s.answer.body}
}

// logLease logs that the call was not sent, or was refused, because its lease
// was over.
func (s *serviceRun) logLease(event events.Event) {
	event.Log(s.ctx, s.p.Log, slog.LevelWarn, "request", s.want.ID, "pool", s.want.Pool)
}

// elapsed is the time since the request came, by the monotonic clock.
func (u *run) elapsed() time.Duration { return u.p.Now().Sub(u.began) }

// orDefault returns d, or the default if d is not set.
func orDefault(d, byDefault time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return byDefault
}
