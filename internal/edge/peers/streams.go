package peers

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/windscale/windscale/internal/core/affinity"
	"github.com/windscale/windscale/internal/events"
)

const (
	// lookupTimeout is how long the holders of a stream may take to answer. A host that is behind its
	// work answers late, and its caller gets nothing else meanwhile.
	lookupTimeout = 250 * time.Millisecond
	// streamLogInterval is the minimum time between two log lines on streams that are not recorded.
	streamLogInterval = time.Second
)

// streamMessage is the content of a heartbeat of kindStreams. Earlier releases ignore it, since the
// heartbeat has no ControlAddr.
type streamMessage struct {
	_       struct{}       `cbor:",toarray"`
	From    string         // control address of the sender
	Known   []streamOrigin // streams to record, and answers to questions
	Asked   []affinity.Key // questions
	Unknown []affinity.Key // questions that the sender can't answer
}

// streamOrigin is where a stream began.
type streamOrigin struct {
	_       struct{} `cbor:",toarray"`
	Key     affinity.Key
	Service string
	Version string
	TTLMs   int64 // how much longer the stream is remembered
}

// streamDirectory is this router's part of the fleet's directory of streams.
type streamDirectory struct {
	mu      sync.Mutex
	table   *affinity.Table
	lookups map[affinity.Key][]*lookup
	log     rate.Sometimes
}

func newStreamDirectory() *streamDirectory {
	return &streamDirectory{table: affinity.New(), lookups: map[affinity.Key][]*lookup{}, log: rate.Sometimes{Interval: streamLogInterval}}
}

// lookup is a question to the holders of a stream.
type lookup struct {
	waiting map[string]bool // holders that have not answered
	found   chan affinity.Origin
	failed  chan struct{} // closed when no holder knows the stream
}

// RecordStream records where a stream began, here and at its holders. It does not wait for them.
func (p *Peers) RecordStream(k affinity.Key, o affinity.Origin, ttl time.Duration) {
	p.recordStreams([]streamOrigin{{Key: k, Service: o.Service, Version: o.Version, TTLMs: ttl.Milliseconds()}})
	p.sendStreams(p.closest(k, affinity.RecordHolders), streamMessage{
		Known: []streamOrigin{{Key: k, Service: o.Service, Version: o.Version, TTLMs: min(ttl, affinity.MaxTTL).Milliseconds()}},
	})
}

// FindStream returns where a stream began. If this router does not know, it asks the holders.
func (p *Peers) FindStream(ctx context.Context, k affinity.Key) (affinity.Origin, *affinity.UnknownError) {
	d := p.streams
	d.mu.Lock()
	if o, _, ok := d.table.Find(k, p.Now()); ok {
		d.mu.Unlock()
		return o, nil
	}
	holders := p.closest(k, affinity.LookupHolders)
	if len(holders) == 0 {
		d.mu.Unlock()
		return affinity.Origin{}, &affinity.UnknownError{}
	}
	l := &lookup{waiting: map[string]bool{}, found: make(chan affinity.Origin, 1), failed: make(chan struct{})}
	for _, addr := range holders {
		l.waiting[addr] = true
	}
	d.lookups[k] = append(d.lookups[k], l)
	d.mu.Unlock()
	defer d.end(k, l)
	p.sendStreams(holders, streamMessage{Asked: []affinity.Key{k}})
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	select {
	case o := <-l.found:
		return o, nil
	case <-l.failed:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return affinity.Origin{}, &affinity.UnknownError{Asked: len(holders), Answered: len(holders) - len(l.waiting)}
}

// StreamCount returns the number of streams that this router remembers.
func (p *Peers) StreamCount() int {
	p.streams.mu.Lock()
	defer p.streams.mu.Unlock()
	return p.streams.table.Len()
}

// end removes a lookup.
func (d *streamDirectory) end(k affinity.Key, l *lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.lookups[k][:0]
	for _, other := range d.lookups[k] {
		if other != l {
			kept = append(kept, other)
		}
	}
	d.lookups[k] = kept
	if len(kept) == 0 {
		delete(d.lookups, k)
	}
}

// closest returns the holders of a stream among the other routers.
func (p *Peers) closest(k affinity.Key, n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spread.Closest(uint64(k), n)
}

// sendStreams sends a message on streams to the routers.
func (p *Peers) sendStreams(to []string, m streamMessage) {
	m.From = p.Self.Addr
	p.send(to, heartbeat{Kind: kindStreams, Streams: &m})
}

// handleStreams handles a message on streams.
func (p *Peers) handleStreams(m streamMessage) {
	if m.From == "" || m.From == p.Self.Addr {
		return
	}
	p.recordStreams(m.Known)
	p.streams.endUnknown(m.From, m.Unknown)
	if len(m.Asked) == 0 {
		return
	}
	p.sendStreams([]string{m.From}, p.answerStreams(m.Asked))
}

// recordStreams adds streams to this router's table, and ends the lookups that wait for them.
func (p *Peers) recordStreams(list []streamOrigin) {
	d := p.streams
	now := p.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range list {
		outcome := d.table.Record(s.Key, affinity.Origin{Service: s.Service, Version: s.Version}, time.Duration(s.TTLMs)*time.Millisecond, now)
		if outcome != affinity.Recorded {
			d.log.Do(func() {
				events.StreamNotRecorded.Log(context.Background(), p.Log, slog.LevelWarn, "service", s.Service, "version", s.Version,
					"why", outcome.String(), "streams", d.table.Len())
			})
		}
		o, _, ok := d.table.Find(s.Key, now)
		if !ok {
			continue
		}
		for _, l := range d.lookups[s.Key] {
			select {
			case l.found <- o:
			default: // it has an answer already
			}
		}
	}
}

// endUnknown ends the lookups for which none of the holders knows the stream.
func (d *streamDirectory) endUnknown(from string, keys []affinity.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range keys {
		for _, l := range d.lookups[k] {
			if !l.waiting[from] {
				continue
			}
			delete(l.waiting, from)
			if len(l.waiting) == 0 {
				close(l.failed)
			}
		}
	}
}

// answerStreams returns the answers to questions.
func (p *Peers) answerStreams(asked []affinity.Key) (m streamMessage) {
	d := p.streams
	now := p.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range asked {
		o, ttl, ok := d.table.Find(k, now)
		if !ok {
			m.Unknown = append(m.Unknown, k)
			continue
		}
		m.Known = append(m.Known, streamOrigin{Key: k, Service: o.Service, Version: o.Version, TTLMs: ttl.Milliseconds()})
	}
	return m
}
