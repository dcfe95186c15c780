package front

import (
	"log/slog"

	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

// recordNotice records, logs and counts what the response announces about its server. It runs
// before the response is handled, so that the state is up to date when a retry is placed.
func (x *exchange) recordNotice(a *upstream.Response) {
	q := x.q
	n, err := q.h.Headers.ParseNotice(a.Status, a.Header)
	if err != nil && q.h.State.ServerNoticeMalformed(x.server.Identity()) {
		q.h.Meter.HealthChange(x.server.Service, "notice refused")
		q.log(slog.LevelWarn, events.ServerNoticeBad, "server", x.server.ID, "service", x.server.Service, "err", err)
	}
	if n.Leaving && q.h.State.ServerLeaving(x.server.Identity()) {
		q.h.Meter.HealthChange(x.server.Service, "leaving")
		q.log(slog.LevelInfo, events.ServerLeaving, "server", x.server.ID, "service", x.server.Service)
	}
	if n.Backoff > 0 && q.h.State.ServerBackoff(x.server.Identity(), n.Backoff) {
		q.h.Meter.HealthChange(x.server.Service, "backoff")
		q.log(slog.LevelInfo, events.ServerBackoff, "server", x.server.ID, "service", x.server.Service, "forMs", n.Backoff.Milliseconds())
	}
}
