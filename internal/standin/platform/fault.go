package platform

import (
	"sync"
	"time"
)

// The services of the platform, as faults and counts name them.
const (
	Table   = "table"
	Objects = "objects"
	Hosts   = "hosts"
)

// Mode is how a service behaves.
type Mode string

// The modes of a service.
const (
	OK        Mode = "ok"
	Down      Mode = "down"       // answers 503, does nothing
	Cut       Mode = "cut"        // does nothing and closes the connection
	Slow      Mode = "slow"       // waits first, then acts
	LostReply Mode = "lost-reply" // acts, then closes the connection
)

// Fault is the body of POST /_fault.
type Fault struct {
	Service string `json:"service"`
	Mode    Mode   `json:"mode"`
	DelayMs int    `json:"delayMs"`
	Count   int    `json:"count"` // calls it holds for; 0: until the next change
}

func (f Fault) valid() bool {
	switch f.Service {
	case Table, Objects, Hosts:
	default:
		return false
	}
	switch f.Mode {
	case OK, Down, Cut, Slow, LostReply:
		return f.DelayMs >= 0 && f.Count >= 0
	}
	return false
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// Stats counts the calls of one service that arrived, and those of them that a
// fault touched.
type Stats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Faulted int `json:"faulted"`
}

// faults holds the mode and the counts of each service.
type faults struct {
	mu    sync.Mutex
	now   map[string]Fault
	stats map[string]Stats
}

func newFaults() *faults {
	f := &faults{now: map[string]Fault{}, stats: map[string]Stats{}}
	for _, service := range []string{Table, Objects, Hosts} {
		f.now[service] = Fault{Service: service, Mode: OK}
		f.stats[service] = Stats{}
	}
	return f
}

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now[fault.Service] = fault
}

// take counts one call and returns the fault that it meets.
func (f *faults) take(service string, write bool) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.now[service]
	f.count(service, write, fault.Mode != OK)
	if fault.Count == 0 {
		return fault
	}
	left := fault
	left.Count--
	if left.Count == 0 {
		left = Fault{Service: service, Mode: OK}
	}
	f.now[service] = left
	return fault
}

func (f *faults) count(service string, write, faulted bool) {
	s := f.stats[service]
	if write {
		s.Writes++
	} else {
		s.Reads++
	}
	if faulted {
		s.Faulted++
	}
	f.stats[service] = s
}

func (f *faults) counts() map[string]Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Stats, len(f.stats))
	for service, s := range f.stats {
		out[service] = s
	}
	return out
}
