package front

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/affinity"
	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// streamTTLSlack is added to the time for which a caller waits: its clock starts earlier than this
	// router's.
	streamTTLSlack = time.Second
	// unknownStreamRetryAfter is the Retry-After for a stream that no router knows. The caller can only
	// begin anew.
	unknownStreamRetryAfter = 400 * time.Millisecond
)

// noStreams is a directory that knows no streams.
type noStreams struct{}

func (noStreams) RecordStream(affinity.Key, affinity.Origin, time.Duration) {}

func (noStreams) FindStream(context.Context, affinity.Key) (affinity.Origin, *affinity.UnknownError) {
	return affinity.Origin{}, &affinity.UnknownError{}
}

// resumesStream reports whether the request resumes a stream that an earlier attempt of its caller
// began. It does not depend on what the request says about the attempt.
func (q *request) resumesStream() bool {
	return q.route.Kind == routing.Stream && (q.meta.Resumes != "" || q.meta.LastEventID != "")
}

// findOrigin pins a request that resumes a stream to the service and the software version that began
// it. The request is refused if they can't be found out, since events of two versions don't fit
// together.
func (q *request) findOrigin(ctx context.Context) *Refusal {
	if !q.resumesStream() {
		return nil
	}
	if q.meta.Resumes == "" {
		return q.assumeSoleOrigin(ctx)
	}
	origin, unknown := q.h.Streams.FindStream(ctx, q.streamKey(q.meta.Resumes))
	if unknown != nil {
		refusal := unresumable(unknown.Error(), unknown.Unreachable())
		refusal.logArgs = []any{"resumes", q.meta.Resumes, "asked", unknown.Asked, "answered", unknown.Answered}
		return refusal
	}
	if !slices.ContainsFunc(q.route.Shares, func(s routing.Share) bool { return s.Service == origin.Service }) {
		return unresumable("its route has moved to another service", false)
	}
	q.service = origin.Service
	q.pinned, q.version = true, origin.Version
	return nil
}

// assumeSoleOrigin pins a request that resumes a stream without naming the attempt that began it, as callers of
// the earlier protocol do, to the only place where it can have begun. It is refused if there are several, or if
// this router can't exclude that: another router may have begun the stream at a server that this one doesn't
// know yet.
func (q *request) assumeSoleOrigin(ctx context.Context) *Refusal {
	if _, ambiguous := q.h.State.SoleOrigin(q.route); ambiguous != nil {
		return unresumable(ambiguous.Error(), ambiguous.UnknownHere)
	}
	if !q.h.ServersCurrent(ctx) {
		outdated := affinity.AmbiguousError{UnknownHere: true}
		return unresumable(outdated.Error(), outdated.UnknownHere)
	}
	origin, ambiguous := q.h.State.SoleOrigin(q.route) // the list or the routes may have changed
	if ambiguous != nil {
		return unresumable(ambiguous.Error(), ambiguous.UnknownHere)
	}
	q.service = origin.Service
	q.pinned, q.version = true, origin.Version
	return nil
}

// unresumable returns the refusal of a request to resume a stream. elsewhere means that another router may serve it.
func unresumable(reason string, elsewhere bool) *Refusal {
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Reason: "stream can't be resumed: " + reason, RetryAfter: unknownStreamRetryAfter}
	if elsewhere {
		refusal.RetryAfter = retryElsewhereAfter
	}
	return refusal
}

// pin restricts the rest of the stream to servers of the version, and records its origin. It is called
// before the first event is sent to the caller, who may come back to any router from then on.
func (q *request) pin(version string) {
	q.pinned, q.version = true, version
	if !q.route.Resumable || q.meta.Attempt == "" {
		return
	}
	origin := affinity.Origin{Service: q.service, Version: version}
	q.h.Streams.RecordStream(q.streamKey(q.meta.Attempt), origin, q.streamTTL())
	if q.meta.Resumes != "" {
		q.h.Streams.RecordStream(q.streamKey(q.meta.Resumes), origin, q.streamTTL())
	}
}

// streamKey returns the key of the stream that the attempt of this request's caller began.
func (q *request) streamKey(attempt string) affinity.Key {
	return affinity.KeyOf(q.customer, q.route.Name, attempt)
}

// streamTTL returns for how long the caller may resume the stream.
func (q *request) streamTTL() time.Duration {
	wait := defaultTimeout
	if q.meta.HasTimeLeft {
		wait = q.meta.TimeLeft
	}
	return max(wait-q.age(), 0) + streamTTLSlack
}
