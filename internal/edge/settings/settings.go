// Package settings reads the settings of windscale-edge: an INI file that the
// platform makes out of deploy/edge.ini.tmpl at each start and whenever they
// change. It checks the whole file and reports every fault at once.
package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings are those of one process.
type Settings struct {
	Name       string // of the host
	DataCentre string

	Callers   string // listener of callers, IP:port
	Ready     string // listener of the platform's balancer
	Control   string // listener of other routers, TCP
	Datagrams string // listener of other routers, UDP
	Metrics   string // listener of metrics; empty: none

	Store string   // the platform's store
	Seeds []string // control addresses of some routers, possibly stale
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool

	Cores      float64 // processor time of the host, in cores
	MemoryMB   int     // the process is killed above it
	RetryRatio float64 // of the fleet: retries for each request
	RetrySlack float64 // of the fleet: retries beside, in a window
	// ColdOver and ColdSlack say how much more than it bears a cold server may get: times, and
	// requests a second beside.
	ColdOver  float64
	ColdSlack float64
	Regions   map[string]string // of data centres
	// ExposeShare and ExposeSlack say what a bad version may get of the requests for its service:
	// the part, and requests beside.
	ExposeShare  float64
	ExposeSlack  float64
	Grace        time.Duration
	LogLevel     slog.Level
	LogOneInThis int // routine lines are kept of one request in so many
}

// Fault is one thing wrong with the file.
type Fault struct {
	Section, Key string
	Detail       string
}

// Error is every fault of a file.
type Error struct {
	File   string
	Faults []Fault
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: [%s] %s: %s", e.File, f.Section, f.Key, f.Detail))
	}
	return strings.Join(lines, "\n")
}

// reader collects values and faults.
type reader struct {
	file   *ini.File
	faults []Fault
}

// Load reads and checks the file. Its error is *Error. Keys that are not known
// are ignored: the platform may give more than this release asks for.
func Load(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, &Error{File: path, Faults: []Fault{{Detail: err.Error()}}}
	}
	r := &reader{file: file}
	s := &Settings{
		Name:         r.text("router", "name"),
		DataCentre:   r.text("router", "data_centre"),
		Callers:      r.addr("listen", "callers", true),
		Ready:        r.addr("listen", "ready", true),
		Control:      r.addr("listen", "control", true),
		Datagrams:    r.addr("listen", "datagrams", true),
		Metrics:      r.addr("listen", "metrics", false),
		Store:        r.addr("platform", "store", true),
		Seeds:        r.addrs("fleet", "seeds"),
		FirstStart:   r.flag("fleet", "first_start"),
		Cores:        r.number("limits", "cores", 0.001, 1024, defaultCores),
		MemoryMB:     int(r.number("limits", "memory_mb", 16, 1<<20, 0)),
		RetryRatio:   r.number("retries", "ratio", 0, 1, 0),
		RetrySlack:   r.number("retries", "slack", 0, 1e6, 0),
		ColdOver:     r.optional("slow_start", "over", 0, 1e3, defaultColdOver),
		ColdSlack:    r.optional("slow_start", "slack", 0, 1e6, 0),
		Regions:      r.table("regions"),
		ExposeShare:  r.optional("rollout", "share", 0, 1, defaultExposeShare),
		ExposeSlack:  r.optional("rollout", "slack", 0, 1e6, 0),
		Grace:        r.seconds("bounds", "grace_s"),
		LogLevel:     r.level("log", "level"),
		LogOneInThis: int(r.number("log", "one_in", 1, 1e6, defaultOneIn)),
	}
	if len(r.faults) > 0 {
		return nil, &Error{File: path, Faults: r.faults}
	}
	return s, nil
}

// defaultColdOver is what a server bears, no more.
const defaultColdOver = 1

// defaultExposeShare is a careful one.
const defaultExposeShare = 0.05

// defaultCores is a whole core: a file that says nothing of it is one for trials.
const defaultCores = 1

// defaultOneIn is the part of the requests whose routine lines are written.
const defaultOneIn = 64

func (r *reader) fault(section, key, detail string) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Detail: detail})
}

func (r *reader) raw(section, key string) string {
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *reader) text(section, key string) string {
	v := r.raw(section, key)
	if v == "" {
		r.fault(section, key, "missing")
	}
	return v
}

func (r *reader) addr(section, key string, needed bool) string {
	v := r.raw(section, key)
	if v == "" && !needed {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.fault(section, key, "not IP:port: "+fmt.Sprintf("%q", v))
	}
	return v
}

func (r *reader) addrs(section, key string) []string {
	var list []string
	for v := range strings.SplitSeq(r.raw(section, key), ",") {
		v = strings.TrimSpace(v)
		if v == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			r.fault(section, key, "not IP:port: "+fmt.Sprintf("%q", v))
			continue
		}
		list = append(list, v)
	}
	return list
}

// number reads a number in [least, most]; empty: the default, unless that is 0.
func (r *reader) number(section, key string, least, most, otherwise float64) float64 {
	if r.raw(section, key) == "" && otherwise != 0 {
		return otherwise
	}
	v, err := r.file.Section(section).Key(key).Float64()
	if err != nil || v < least || v > most {
		r.fault(section, key, fmt.Sprintf("not a number from %g to %g: %q", least, most, r.raw(section, key)))
	}
	return v
}

// optional reads a number in [least, most]; empty: the default.
func (r *reader) optional(section, key string, least, most, otherwise float64) float64 {
	if r.raw(section, key) == "" {
		return otherwise
	}
	return r.number(section, key, least, most, otherwise)
}

// table reads all keys of a section; nil: there are none.
func (r *reader) table(section string) map[string]string {
	var all map[string]string
	for _, key := range r.file.Section(section).Keys() {
		if all == nil {
			all = map[string]string{}
		}
		if all[key.Name()] = strings.TrimSpace(key.String()); all[key.Name()] == "" {
			r.fault(section, key.Name(), "missing")
		}
	}
	return all
}

// maxBound is the longest time that a bound may be.
const maxBound = 3600

func (r *reader) seconds(section, key string) time.Duration {
	return time.Duration(r.number(section, key, 0, maxBound, 0) * float64(time.Second))
}

// flag reads true or false; empty: false.
func (r *reader) flag(section, key string) bool {
	v := r.raw(section, key)
	if v != "" && v != "true" && v != "false" {
		r.fault(section, key, "neither true nor false: "+fmt.Sprintf("%q", v))
	}
	return v == "true"
}

func (r *reader) level(section, key string) slog.Level {
	var l slog.Level
	v := r.raw(section, key)
	if v == "" {
		return slog.LevelInfo
	}
	if err := l.UnmarshalText([]byte(v)); err != nil {
		r.fault(section, key, "not a level: "+fmt.Sprintf("%q", v))
	}
	return l
}
