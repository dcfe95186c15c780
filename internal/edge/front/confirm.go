package front

import (
	"context"
	"time"

	"github.com/windscale/windscale/internal/core/liveness"
	"github.com/windscale/windscale/internal/upstream"
)

// retryUnconfirmedAfter is how long the end of a close-delimited response may stay unconfirmed before
// the request is sent to another server instead, if it may be.
const retryUnconfirmedAfter = 100 * time.Millisecond

// confirmEnd returns an error unless the response, whose body was read to its end, is complete. If only
// the end of its connection marks that, the server has to outlive it. The server is free for other
// requests while it is probed.
func (x *exchange) confirmEnd(a *upstream.Response) error {
	if !a.CloseDelimited {
		return nil
	}
	late := a.FinishCloseDelimited()
	check := x.q.h.Pool.NewAliveCheck(upstream.CheckTarget{
		Server:   x.server.Identity(),
		Addr:     x.server.Addr,
		MaxConns: x.placement.MaxConns,
		Leaving:  func() bool { return !x.q.h.State.MaySend(&x.placement) },
		Late:     late,
		// The next request to the server then uses the check's connection: a further one could exceed
		// the server's limit.
		Dialled: func() { x.q.h.State.Release(&x.placement) },
	})
	verdict := x.runCheck(check, min(retryUnconfirmedAfter, x.q.remaining()))
	if verdict == liveness.Unknown && !x.reserveRetry() {
		verdict = x.runCheck(check, x.q.remaining())
	}
	x.q.h.Meter.EndChecked(x.q.service, verdict.String())
	switch verdict {
	case liveness.Alive:
		return nil
	case liveness.Gone:
		return upstream.ErrServerCrashed
	case liveness.Unknown:
	}
	return upstream.ErrEndUnconfirmed
}

// runCheck runs the check for at most the timeout.
func (x *exchange) runCheck(check *upstream.AliveCheck, timeout time.Duration) liveness.Verdict {
	ctx, cancel := context.WithTimeout(x.q.r.Context(), timeout)
	defer cancel()
	return check.Run(ctx)
}

// reserveRetry reports whether the request may be sent to another server, and takes a retry from the
// budget for that.
func (x *exchange) reserveRetry() bool {
	q := x.q
	if q.r.Context().Err() != nil || q.headerSent && q.lastEventID == "" {
		return false
	}
	if !q.mayRetry() || !q.h.State.TakeRetry(q.service) {
		return false
	}
	x.retryReserved.set()
	return true
}
