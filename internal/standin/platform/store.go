package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform/wire"
)

// store holds the table and the objects.
type store struct {
	mu      sync.Mutex
	version uint64              // the last version given; never given twice
	rows    map[string]wire.Row // present rows
	objects map[string][]byte
}

func newStore() *store {
	return &store{rows: map[string]wire.Row{}, objects: map[string][]byte{}}
}

// read returns the rows as of one moment.
func (s *store) read(keys []string) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]wire.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.rows[key]
		rows[i].Key = key
	}
	return rows
}

// commit applies all writes or none, and says which.
func (s *store) commit(writes []wire.Write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if s.rows[w.Key].Version != w.IfVersion {
			return false
		}
	}
	s.version++
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = wire.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return true
}

func (s *store) put(key string, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.objects[key]; taken {
		return false
	}
	s.objects[key] = body
	return true
}

func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	return body, ok
}

// edition is the host list as it was set at one moment.
type edition struct {
	since time.Time
	hosts []platform.Host
}

// hostList shows each edition a while after it was set.
type hostList struct {
	lag time.Duration

	mu       sync.Mutex
	editions []edition // oldest first, never empty
}

func newHostList(lag time.Duration) *hostList {
	return &hostList{lag: lag, editions: []edition{{hosts: []platform.Host{}}}}
}

func (l *hostList) set(hosts []platform.Host, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.editions = append(l.editions, edition{since: now, hosts: slices.Clone(hosts)})
}

// newest returns the edition set last.
func (l *hostList) newest() edition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.editions[len(l.editions)-1]
}

// shown returns the edition that callers of the host list see.
func (l *hostList) shown(now time.Time) edition {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.editions) > 1 && !l.editions[1].since.Add(l.lag).After(now) {
		l.editions = l.editions[1:]
	}
	return l.editions[0]
}
