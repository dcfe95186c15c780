// Package slowstart limits the rate of requests that a fleet sends to a backend server that has
// just started: while cold, it handles few requests a second, well below its usual rate. Each
// router sees only a small part of the requests that a server gets, so a router may send to a cold
// server only what its own share of permits allows. The shares are computed by rendezvous hashing
// from the routers that it knows, without any messages; docs/design/slow-start.md proves the
// bound.
//
// The package does no I/O; time is passed in as an argument.
package slowstart

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// Window is the time in which one permit allows one request. It is the second over which the
	// limit is defined, plus the variation of the time between the choice of a server and the
	// arrival of the request there.
	Window = 1100 * time.Millisecond
	// maxViews is how many different views of the fleet may assign a server's permits at the same
	// time: while routers join or fail, some have the old view and some the new one.
	maxViews = 2
	// maxPermits caps the configured rate; no server gets as many requests a second.
	maxPermits = 10_000
)

// RateBound defines by how much a fleet may exceed the rate that cold servers handle, as set by the
// operator.
type RateBound struct {
	Factor         float64 // multiple of the server's rate
	ExtraPerSecond float64 // added to it, in requests a second
}

// Permits returns the number of permits for one cold server of a service; with 0 or less, nothing
// may be sent. limited is false if the service has no limit.
func (b RateBound) Permits(s routing.SlowStart) (permits int, limited bool) {
	if s.For <= 0 || s.PerSecond <= 0 {
		return 0, false
	}
	return int(min((s.PerSecond*b.Factor+b.ExtraPerSecond)/maxViews, maxPermits)), true
}

// Source is the reason why a server counts as cold.
type Source int

const (
	ByEntry               Source = iota // its entry in the platform's list
	ByEvacuationCancelled               // the evacuation of its data centre was cancelled recently
	ByConnectFailures                   // routers recently failed to connect to it
	sourceCount
)

var sourceNames = [sourceCount]string{"server entry", "evacuation cancelled", "connection failures"}

func (s Source) String() string { return sourceNames[s] }

// State is whether one server is cold, and the use of its permits. The zero value is a warm
// server.
type State struct {
	until  [sourceCount]time.Time
	usedAt []time.Time // when permits were used within the last window
}

// Mark marks the server as cold until the given time, for the source. It reports whether this made
// a warm server cold.
func (c *State) Mark(source Source, until, now time.Time) (newlyCold bool) {
	newlyCold = !c.IsCold(now) && until.After(now)
	if until.After(c.until[source]) {
		c.until[source] = until
	}
	return newlyCold
}

// Clear removes the mark of the source.
func (c *State) Clear(source Source) { c.until[source] = time.Time{} }

func (c *State) IsCold(now time.Time) bool { return now.Before(c.Until()) }

// Until returns when the server becomes warm.
func (c *State) Until() (until time.Time) {
	for _, t := range c.until {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// UseAll uses all permits, because requests sent within the last window, before the server was
// known to be cold, count against the limit too.
func (c *State) UseAll(permits int, now time.Time) {
	for range permits {
		c.Use(now)
	}
}

// Free reports whether one of this router's permits was not used within the last window.
func (c *State) Free(permits int, now time.Time) bool {
	for len(c.usedAt) > 0 && now.Sub(c.usedAt[0]) >= Window {
		c.usedAt = c.usedAt[1:]
	}
	return len(c.usedAt) < permits
}

func (c *State) Use(now time.Time) { c.usedAt = append(c.usedAt, now) }
