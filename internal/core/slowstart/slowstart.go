// Package slowstart bounds what a fleet sends to a backend server that has just started: cold,
// it bears few requests a second and ends well above that. Each router sees a small part of
// what a server gets, so a router may send to a cold server only what its own permits for it
// allow. They follow from the routers that it knows, by rendezvous hashing, and no message
// gives them out; docs/design/slow-start.md has the proof of the bound.
//
// The package has no input or output; time comes in as an argument.
package slowstart

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// Window is the time in which one permit allows one request: the second over which the
	// bound counts, and what a request may take longer than another from its choice to the
	// server.
	Window = 1100 * time.Millisecond
	// views is how many sets of routers may give out a server's permits at a time: while
	// routers join or fall silent, some know one set and some the next.
	views = 2
	// mostPermits bounds what a configuration may say: no server gets as many requests a second.
	mostPermits = 10_000
)

// Bound is by how much a fleet may exceed what servers bear, as the operator allows it.
type Bound struct {
	Factor         float64 // times what a server bears a second
	ExtraPerSecond float64 // requests beside, a second
}

// Permits is how many permits there are for one cold server of a service; 0 or less: none,
// limited false: it is not bounded.
func (b Bound) Permits(s routing.SlowStart) (permits int, limited bool) {
	if s.For <= 0 || s.PerSecond <= 0 {
		return 0, false
	}
	return int(min((s.PerSecond*b.Factor+b.ExtraPerSecond)/views, mostPermits)), true
}

// Source is what says that a server is cold.
type Source int

// The sources.
const (
	ByEntry               Source = iota // its own entry in the platform's list
	ByEvacuationCancelled               // its data centre was evacuated until a moment ago
	ByConnectFailures                   // routers could not reach it until a moment ago
	sources
)

var sourceNames = [sources]string{"its entry", "evacuation taken back", "not reached"}

// String returns the source's name.
func (s Source) String() string { return sourceNames[s] }

// Cold is what is believed of one server. The zero value is a warm one.
type Cold struct {
	until [sources]time.Time
	used  []time.Time // when requests were sent on permits, within the last window
}

// Mark notes that the server is cold until then, by the source. It reports whether it was warm.
func (c *Cold) Mark(by Source, until, now time.Time) (fresh bool) {
	fresh = !c.Active(now) && until.After(now)
	if until.After(c.until[by]) {
		c.until[by] = until
	}
	return fresh
}

// Clear notes that the source says no longer that the server is cold.
func (c *Cold) Clear(by Source) { c.until[by] = time.Time{} }

// Active reports whether the server is cold.
func (c *Cold) Active(now time.Time) bool { return now.Before(c.Until()) }

// Until returns when the server is warm.
func (c *Cold) Until() (until time.Time) {
	for _, t := range c.until {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// UseAll uses up the permits: what was sent within the last window, before the server was known
// to be cold, counts against the bound too.
func (c *Cold) UseAll(permits int, now time.Time) {
	for range permits {
		c.Use(now)
	}
}

// Free reports whether one of this router's permits is unused in the last window.
func (c *Cold) Free(permits int, now time.Time) bool {
	for len(c.used) > 0 && now.Sub(c.used[0]) >= Window {
		c.used = c.used[1:]
	}
	return len(c.used) < permits
}

// Use uses a permit.
func (c *Cold) Use(now time.Time) { c.used = append(c.used, now) }
