package front

import (
	"context"

	"github.com/windscale/windscale/internal/core/ask"
	"github.com/windscale/windscale/internal/edge/state"
)

// place returns the scheduler's decision on the request, or else the state's, which rests on the load
// reports of the other routers.
func (q *request) place(ctx context.Context) state.Placement {
	need := q.placementNeed()
	if placement, ok := q.placeByScheduler(ctx, need); ok || q.leftWhileAsking() {
		return placement
	}
	return q.h.State.Place(need)
}

// placeByScheduler asks the scheduler and carries out its decision. It returns false if there is none,
// or this router can't use the server.
func (q *request) placeByScheduler(ctx context.Context, need state.Request) (placement state.Placement, ok bool) {
	q.asked, q.ruled = ask.Outcome{}, false
	if q.h.Scheduler == nil {
		return state.Placement{}, false
	}
	a, ok := q.h.State.AskFor(need, q.age())
	if !ok {
		return state.Placement{}, false
	}
	result := ""
	q.asked = q.h.Scheduler.Decide(ctx, a, func(d state.Decision) {
		result = d.Verdict.String()
		switch d.Verdict {
		case state.Assigned:
			placement, q.ruled = q.h.State.PlaceAs(need, d)
		case state.Rejected:
			placement, q.ruled = q.h.State.Refuse(need, d), true
		case state.Declined, state.Queued:
		}
	})
	q.countAsk(result)
	return placement, q.ruled
}

// countAsk counts the outcome of an ask. An assignment to a server that this router can't use counts
// as unusable.
func (q *request) countAsk(verdict string) {
	switch {
	case q.asked.Reason != ask.Decided:
		verdict = q.asked.Reason.String()
	case !q.ruled:
		verdict = "unusable"
	}
	q.h.Meter.Asked(verdict, q.asked.Waited)
}

// leftWhileAsking reports whether the caller disconnected while its request waited for a decision.
func (q *request) leftWhileAsking() bool {
	return q.asked.Reason == ask.CallerLeft && callerCancelled(q.r.Context())
}

// decidedBy returns log attributes that say who chose the server or refused the request: the
// scheduler, or this router by load reports and why.
func (q *request) decidedBy() []any {
	by := "reports"
	if q.ruled {
		by = "scheduler"
	}
	return []any{"by", by, "scheduler", q.asked.Scheduler, "ask", q.asked.Reason.String(), "askMs", q.asked.Waited.Milliseconds()}
}
