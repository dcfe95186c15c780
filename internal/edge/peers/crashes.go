package peers

import (
	"time"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/routing"
)

// crashesMost bounds the contents that one report tells of: some 2 KB. When an engine ends,
// what it ran is known to its routers; each tells of some five.
const crashesMost = 64

// contentCrashes is what a report tells of a content under which servers crashed: 30 bytes with two crashes.
type contentCrashes struct {
	_        struct{} `cbor:",toarray"`
	Content  routing.ContentHash
	Ends     []serverCrash
	WorkedMs int64 // how long ago there was a complete response, rounded up; 0: there was none
	Stored   bool
}

// serverCrash is one of its crashes.
type serverCrash struct {
	_      struct{} `cbor:",toarray"`
	Server routing.ServerKey
	RanMs  int64 // from the sending to the end
	AgeMs  int64
}

// wireCrashes renders records for a report, as many as it holds.
func wireCrashes(records []poison.Record) []contentCrashes {
	var list []contentCrashes
	for _, r := range records[:min(len(records), crashesMost)] {
		w := contentCrashes{Content: r.Content, Stored: r.Stored}
		if r.SucceededAge > 0 {
			w.WorkedMs = r.SucceededAge.Milliseconds() + 1
		}
		for _, e := range r.Crashes {
			w.Ends = append(w.Ends, serverCrash{Server: e.Server, RanMs: e.Ran.Milliseconds(), AgeMs: e.Age.Milliseconds()})
		}
		list = append(list, w)
	}
	return list
}

// readCrashes reads them. A report may have waited here for so long.
func readCrashes(list []contentCrashes, waited time.Duration) []poison.Record {
	var records []poison.Record
	for _, w := range list {
		r := poison.Record{Content: w.Content, Stored: w.Stored}
		if w.WorkedMs > 0 {
			r.SucceededAge = time.Duration(w.WorkedMs)*time.Millisecond + waited
		}
		for _, e := range w.Ends {
			r.Crashes = append(r.Crashes, poison.CrashAge{
				Server: e.Server,
				Ran:    time.Duration(e.RanMs) * time.Millisecond,
				Age:    time.Duration(e.AgeMs)*time.Millisecond + waited,
			})
		}
		records = append(records, r)
	}
	return records
}

// takeCrashes takes what a report tells of crashes of servers.
func (p *Peers) takeCrashes(from string, records []poison.Record) {
	if len(records) == 0 {
		return
	}
	p.State.MergeCrashes(records).Log(p.Log, from)
}

// MissesMany reports whether fewer than half of the routers known lately are heard, or none:
// then this one may be cut off from those that know what it should.
func (p *Peers) MissesMany() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.spread.LiveCount()
	return live == 0 || 2*(live+1) < p.spread.FleetSize()
}
