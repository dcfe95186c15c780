package peers

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/events"
)

// part is a part of a heartbeat with a limited number of entries.
type part int

const (
	partLoads part = iota
	partRates
	partSentParts
	partChanges
	partServerTimes
	partCount
)

// String returns the name of the part for metrics.
func (p part) String() string {
	return [...]string{"loads", "rates", "parts of prompts", "changes of servers", "speeds of servers"}[p]
}

// Traffic counts messages and their bytes.
type Traffic struct{ Messages, Bytes atomic.Int64 }

func (t *Traffic) add(messages, bytes int) {
	t.Messages.Add(int64(messages))
	t.Bytes.Add(int64(bytes))
}

// Stats counts the messages that a router sends, serves and fetches. It is safe for concurrent use.
type Stats struct {
	sent      [kindCount]Traffic
	served    Traffic // views, lists and configurations
	fetched   Traffic
	truncated [partCount]atomic.Int64
	// Scheduler counts what this router decided for others.
	Scheduler SchedulerStats
}

// countTruncated counts entries that were left out of a heartbeat.
func (s *Stats) countTruncated(p part, n int) { s.truncated[p].Add(int64(n)) }

// EachSent calls f for each kind of heartbeat.
func (s *Stats) EachSent(f func(kind string, t *Traffic)) {
	for k := range s.sent {
		f(kind(k).String(), &s.sent[k])
	}
}

// EachTruncated calls f for each part with a limited number of entries. count returns the number of
// entries that were left out so far.
func (s *Stats) EachTruncated(f func(part string, count func() int64)) {
	for p := range s.truncated {
		f(part(p).String(), s.truncated[p].Load)
	}
}

// Served returns the traffic of fetches by other routers, Fetched that of this router's own
// fetches.
func (s *Stats) Served() *Traffic  { return &s.served }
func (s *Stats) Fetched() *Traffic { return &s.fetched }

// truncationLogInterval is the minimum time between two log lines on entries left out of
// heartbeats.
const truncationLogInterval = 10 * time.Second

// truncationLog tracks which of these entries were logged.
type truncationLog struct {
	lastLogged time.Time
	logged     [partCount]int64
}

// logTruncations logs the entries that were left out since the previous time.
func (p *Peers) logTruncations(now time.Time) {
	if now.Sub(p.truncations.lastLogged) < truncationLogInterval {
		return
	}
	p.truncations.lastLogged = now
	for i := range p.truncations.logged {
		n := p.Stats.truncated[i].Load()
		if n > p.truncations.logged[i] {
			events.HeartbeatCut.Log(context.Background(), p.Log, slog.LevelWarn, "part", part(i).String(), "entries", n-p.truncations.logged[i])
			p.truncations.logged[i] = n
		}
	}
}
