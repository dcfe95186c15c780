package peers

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/events"
)

// part is a part of a heartbeat that is bounded.
type part int

const (
	partLoads part = iota
	partRates
	partParts
	partChanges
	parts
)

// String returns the part's name, for metrics.
func (p part) String() string {
	return [...]string{"loads", "rates", "parts of prompts", "changes of servers"}[p]
}

// Traffic counts messages and their bytes.
type Traffic struct{ Messages, Bytes atomic.Int64 }

func (t *Traffic) add(messages, bytes int) {
	t.Messages.Add(int64(messages))
	t.Bytes.Add(int64(bytes))
}

// Stats counts what a router tells others and gives them. It is safe for concurrent use.
type Stats struct {
	sent    [kinds]Traffic
	given   Traffic // views, lists and configurations
	fetched Traffic
	leftOut [parts]atomic.Int64
}

// leaveOut counts what found no room in a heartbeat.
func (s *Stats) leaveOut(p part, n int) { s.leftOut[p].Add(int64(n)) }

// EachSent calls f for each kind of heartbeat.
func (s *Stats) EachSent(f func(kind string, t *Traffic)) {
	for k := range s.sent {
		f(kind(k).String(), &s.sent[k])
	}
}

// EachPart calls f for each part of a heartbeat that is bounded, with how much of it was left out.
func (s *Stats) EachPart(f func(part string, left func() int64)) {
	for p := range s.leftOut {
		f(part(p).String(), s.leftOut[p].Load)
	}
}

// Given returns what was given to other routers that fetched it, and Fetched what this one
// fetched.
func (s *Stats) Given() *Traffic   { return &s.given }
func (s *Stats) Fetched() *Traffic { return &s.fetched }

// cutEvery is the least time between two lines that say what was left out of heartbeats.
const cutEvery = 10 * time.Second

// cutLog writes these lines.
type cutLog struct {
	at   time.Time
	told [parts]int64
}

// logCut tells what was left out since the last time.
func (p *Peers) logCut(now time.Time) {
	if now.Sub(p.cut.at) < cutEvery {
		return
	}
	p.cut.at = now
	for i := range p.cut.told {
		n := p.Stats.leftOut[i].Load()
		if n > p.cut.told[i] {
			events.HeartbeatCut.Log(context.Background(), p.Log, slog.LevelWarn, "part", part(i).String(), "entries", n-p.cut.told[i])
			p.cut.told[i] = n
		}
	}
}
