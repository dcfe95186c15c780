// Package metrics names and publishes every value that a router shows by
// expvar. All of them stand under one expvar.Map, "windscale", in one group
// for each mechanism. Names are stable; docs/METRICS.md lists them with units.
//
// Counters end in _total and only grow while the process lives. Every method
// may be called from any goroutine and none blocks on input or output. Label
// sets are bounded: customers and servers are declared before they are
// counted, and what is not declared is counted under [Other].
package metrics

import (
	"expvar"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// MapName is the name of the one published expvar.Map.
const MapName = "windscale"

// Other is the label that counts what was not declared.
const Other = "other"

// Registry holds the metrics of one router. Build it with [New].
type Registry struct {
	Process  *Process
	Entry    *Entry
	Sharing  *Sharing
	Link     *Link
	Members  *Members
	Settings *Settings
	Claims   *Claims
	Retries  *Retries
	Drain    *Drain
	vars     *expvar.Map
}

// New returns an empty registry that nothing has published. Tests build as
// many as they like.
func New() *Registry {
	r := &Registry{
		Process:  &Process{},
		Entry:    newEntry(),
		Sharing:  newSharing(),
		Link:     &Link{},
		Members:  &Members{},
		Settings: &Settings{},
		Claims:   &Claims{},
		Retries:  &Retries{},
		Drain:    &Drain{},
		vars:     new(expvar.Map).Init(),
	}
	r.set("process", func() any { return r.Process.view() })
	r.set("entry", func() any { return r.Entry.view() })
	r.set("sharing", func() any { return r.Sharing.view() })
	r.set("link", func() any { return r.Link.view() })
	r.set("members", func() any { return r.Members.view() })
	r.set("settings", func() any { return r.Settings.view() })
	r.set("claims", func() any { return r.Claims.view() })
	r.set("retries", func() any { return r.Retries.view() })
	r.set("drain", func() any { return r.Drain.view() })
	return r
}

func (r *Registry) set(name string, f func() any) {
	r.vars.Set(name, expvar.Func(f))
}

// Var returns the map that [Registry.Publish] publishes.
func (r *Registry) Var() expvar.Var { return r.vars }

// AlreadyPublishedError says that the process has published a registry.
type AlreadyPublishedError struct{ Name string }

// Error implements error.
func (e *AlreadyPublishedError) Error() string {
	return "metrics: " + e.Name + " is already published"
}

// Publish makes the registry the process's "windscale" variable. Main calls
// it once; a second call in a process is an *AlreadyPublishedError.
func (r *Registry) Publish() error {
	if expvar.Get(MapName) != nil {
		return &AlreadyPublishedError{Name: MapName}
	}
	expvar.Publish(MapName, r.vars)
	return nil
}

// Process says which router and which incarnation of it the values are of.
type Process struct {
	mirror[ProcessState]
}

// ProcessState is what Process shows.
type ProcessState struct {
	Router      msg.RouterID `json:"router"`
	Incarnation uint64       `json:"incarnation"`
	DataCentre  string       `json:"data_centre"`
	Uptime      Seconds      `json:"uptime_seconds"`
}

// Seconds shows a duration as seconds with a fraction.
type Seconds float64

// InSeconds converts d.
func InSeconds(d time.Duration) Seconds { return Seconds(d.Seconds()) }
