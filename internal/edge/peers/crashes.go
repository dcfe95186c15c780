package peers

import (
	"time"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/routing"
)

// maxCrashRecords is the maximum number of contents in one report, some 2 KB. When an engine
// crashes, the routers whose requests it was running know them; each reports about five.
const maxCrashRecords = 64

// contentCrashes reports the server crashes under a content. It takes 30 bytes with two crashes.
type contentCrashes struct {
	_              struct{} `cbor:",toarray"`
	Content        routing.ContentHash
	Crashes        []serverCrash
	SucceededAgeMs int64 // time since a complete response, rounded up; 0 if there was none
	Stored         bool
}

// partCrashes reports the server crashes under a part of prompts.
type partCrashes struct {
	_       struct{} `cbor:",toarray"`
	Crashes contentCrashes
	Blocked bool // the sender has blocked the part
}

// serverCrash is a crash of a server while it ran a content.
type serverCrash struct {
	_      struct{} `cbor:",toarray"`
	Server routing.ServerKey
	RanMs  int64 // from sending the request to the crash
	AgeMs  int64
}

// crashesToWire encodes records for a report, up to maxCrashRecords.
func crashesToWire(records []poison.Record) []contentCrashes {
	var list []contentCrashes
	for _, r := range records[:min(len(records), maxCrashRecords)] {
		w := contentCrashes{Content: r.Content, Stored: r.Stored}
		if r.SucceededAge > 0 {
			w.SucceededAgeMs = r.SucceededAge.Milliseconds() + 1
		}
		for _, e := range r.Crashes {
			w.Crashes = append(w.Crashes, serverCrash{Server: e.Server, RanMs: e.Ran.Milliseconds(), AgeMs: e.Age.Milliseconds()})
		}
		list = append(list, w)
	}
	return list
}

// crashesFromWire decodes the records of a report that has waited on this host for the given time.
func crashesFromWire(list []contentCrashes, waited time.Duration) []poison.Record {
	var records []poison.Record
	for _, w := range list {
		r := poison.Record{Content: w.Content, Stored: w.Stored}
		if w.SucceededAgeMs > 0 {
			r.SucceededAge = time.Duration(w.SucceededAgeMs)*time.Millisecond + waited
		}
		for _, e := range w.Crashes {
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

// partCrashesToWire encodes records of parts for a report, up to maxCrashRecords.
func partCrashesToWire(records []poison.Record) (list []partCrashes) {
	for i, w := range crashesToWire(records) {
		list = append(list, partCrashes{Crashes: w, Blocked: records[i].Blocked})
	}
	return list
}

// partCrashesFromWire is the inverse of partCrashesToWire for a report that has waited on this host.
func partCrashesFromWire(list []partCrashes, waited time.Duration) (records []poison.Record) {
	for _, w := range list {
		r := crashesFromWire([]contentCrashes{w.Crashes}, waited)[0]
		r.Blocked = w.Blocked
		records = append(records, r)
	}
	return records
}

// applyCrashes merges the crashes of a report.
func (p *Peers) applyCrashes(from string, kind poison.Kind, records []poison.Record) {
	if len(records) == 0 {
		return
	}
	p.State.MergeCrashes(kind, records).Log(p.Log, from)
}

// HearsMinority reports whether this router hears fewer than half of the recently known routers, or
// none. It may then be cut off from those that have newer state.
func (p *Peers) HearsMinority() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.spread.LiveCount()
	return live == 0 || 2*(live+1) < p.spread.FleetSize()
}
