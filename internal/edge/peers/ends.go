package peers

import (
	"context"
	"log/slog"
	"time"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/events"
)

// endsMost bounds the contents that one report tells of: some 2 KB. When an engine ends,
// what it ran is known to its routers; each tells of some five.
const endsMost = 64

// contentEnds is what a report tells of a content under which servers ended: 30 bytes with two ends.
type contentEnds struct {
	_        struct{} `cbor:",toarray"`
	Content  routing.Content
	Ends     []serverEnd
	WorkedMs int64 // how long ago there was a whole answer, rounded up; 0: there was none
	Stored   bool
}

// serverEnd is one of its ends.
type serverEnd struct {
	_      struct{} `cbor:",toarray"`
	Server routing.ServerKey
	RanMs  int64 // from the sending to the end
	AgeMs  int64
}

// wireEnds renders records for a report, as many as it holds.
func wireEnds(records []poison.Record) []contentEnds {
	var list []contentEnds
	for _, r := range records[:min(len(records), endsMost)] {
		w := contentEnds{Content: r.Content, Stored: r.Stored}
		if r.Worked > 0 {
			w.WorkedMs = r.Worked.Milliseconds() + 1
		}
		for _, e := range r.Ends {
			w.Ends = append(w.Ends, serverEnd{Server: e.Server, RanMs: e.Ran.Milliseconds(), AgeMs: e.Age.Milliseconds()})
		}
		list = append(list, w)
	}
	return list
}

// readEnds reads them. A report may have waited here for so long.
func readEnds(list []contentEnds, waited time.Duration) []poison.Record {
	var records []poison.Record
	for _, w := range list {
		r := poison.Record{Content: w.Content, Stored: w.Stored}
		if w.WorkedMs > 0 {
			r.Worked = time.Duration(w.WorkedMs)*time.Millisecond + waited
		}
		for _, e := range w.Ends {
			r.Ends = append(r.Ends, poison.EndAge{
				Server: e.Server,
				Ran:    time.Duration(e.RanMs) * time.Millisecond,
				Age:    time.Duration(e.AgeMs)*time.Millisecond + waited,
			})
		}
		records = append(records, r)
	}
	return records
}

// takeEnds takes what a report tells of ends of servers.
func (p *Peers) takeEnds(from string, records []poison.Record) {
	if len(records) == 0 {
		return
	}
	for _, c := range p.State.HeardEnds(records) {
		events.ContentBlocked.Log(context.Background(), p.Log, slog.LevelWarn, "content", c.String(), "from", from)
	}
}

// MissesMany reports whether fewer than half of the routers known lately are heard, or none:
// then this one may be cut off from those that know what it should.
func (p *Peers) MissesMany() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.spread.LiveCount()
	return live == 0 || 2*(live+1) < p.spread.Count()
}
