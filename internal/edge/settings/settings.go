// Package settings reads the settings of windscale-edge from an INI file, which the platform renders
// from deploy/edge.ini.tmpl at each start and whenever they change. It validates the whole file and
// reports all faults at once.
package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings holds the settings of one process.
type Settings struct {
	Name       string // of the host
	DataCentre string

	CallerAddr   string // listener for callers, IP:port
	ReadyAddr    string // listener for the readiness checks of the platform's load balancer
	ControlAddr  string // listener for other routers, TCP
	DatagramAddr string // listener for other routers, UDP
	MetricsAddr  string // listener for metrics; empty: none

	StoreAddr string   // address of the platform's store
	Seeds     []string // control addresses of some routers; may be stale
	// FirstStart means that the whole fleet starts for the first time.
	FirstStart bool

	Cores      float64 // processor time of the host, in cores
	MemoryMB   int     // memory limit, above which the process is killed
	RetryRatio float64 // retries per request, fleet-wide
	RetrySlack float64 // additional retries per window, fleet-wide
	// The fleet may send a cold server SlowStartFactor times the rate that the server can take, plus
	// SlowStartSlack requests a second.
	SlowStartFactor float64
	SlowStartSlack  float64
	Regions         map[string]string // region by data centre
	// A version that turns out to be bad may get the fraction RolloutShare of the requests for its
	// service, plus RolloutSlack requests.
	RolloutShare float64
	RolloutSlack float64
	Scheduler    bool // one router of each data centre decides on requests for engines
	// SchedulerRoom limits that to services whose engines hold at most so many long prompts at once; 0: no limit.
	SchedulerRoom int
	ShutdownGrace time.Duration
	// RelayEnabled lets this host relay connections to others while it is overloaded, and take those of
	// others.
	RelayEnabled bool
	LogLevel     slog.Level
	LogSampling  int // routine log lines are written for one request in this many
}

// Fault is one invalid value in the file.
type Fault struct {
	Section, Key string
	Detail       string
}

// Error lists all faults of a file.
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

// parser reads values and collects faults.
type parser struct {
	file   *ini.File
	faults []Fault
}

// Load reads and validates the file. Its error is an *Error. Unknown keys are ignored, as the
// platform may provide more than this release uses.
func Load(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, &Error{File: path, Faults: []Fault{{Detail: err.Error()}}}
	}
	r := &parser{file: file}
	s := &Settings{
		Name:            r.required("router", "name"),
		DataCentre:      r.required("router", "data_centre"),
		CallerAddr:      r.addrPort("listen", "callers", true),
		ReadyAddr:       r.addrPort("listen", "ready", true),
		ControlAddr:     r.addrPort("listen", "control", true),
		DatagramAddr:    r.addrPort("listen", "datagrams", true),
		MetricsAddr:     r.addrPort("listen", "metrics", false),
		StoreAddr:       r.addrPort("platform", "store", true),
		Seeds:           r.addrPorts("fleet", "seeds"),
		FirstStart:      r.boolean("fleet", "first_start"),
		Cores:           r.number("limits", "cores", 0.001, 1024, defaultCores),
		MemoryMB:        int(r.number("limits", "memory_mb", 16, 1<<20, 0)),
		RetryRatio:      r.number("retries", "ratio", 0, 1, 0),
		RetrySlack:      r.number("retries", "slack", 0, 1e6, 0),
		SlowStartFactor: r.numberOr("slow_start", "over", 0, 1e3, defaultSlowStartFactor),
		SlowStartSlack:  r.numberOr("slow_start", "slack", 0, 1e6, 0),
		Regions:         r.sectionMap("regions"),
		RolloutShare:    r.numberOr("rollout", "share", 0, 1, defaultRolloutShare),
		RolloutSlack:    r.numberOr("rollout", "slack", 0, 1e6, 0),
		Scheduler:       r.booleanOr("scheduler", "enabled", true),
		SchedulerRoom:   int(r.numberOr("scheduler", "room", 0, 1e6, defaultSchedulerRoom)),
		ShutdownGrace:   r.duration("bounds", "grace_s"),
		RelayEnabled:    r.booleanOr("relay", "enabled", true),
		LogLevel:        r.logLevel("log", "level"),
		LogSampling:     int(r.number("log", "one_in", 1, 1e6, defaultLogSampling)),
	}
	if len(r.faults) > 0 {
		return nil, &Error{File: path, Faults: r.faults}
	}
	return s, nil
}

// defaultSlowStartFactor allows exactly the rate that a cold server can take.
const defaultSlowStartFactor = 1

// defaultRolloutShare is deliberately small.
const defaultRolloutShare = 0.05

// defaultSchedulerRoom is what an engine holds of which a request is 4% or more.
const defaultSchedulerRoom = 25

// defaultCores is one core: only files for trials leave the setting out.
const defaultCores = 1

// defaultLogSampling writes routine log lines for one request in 64.
const defaultLogSampling = 64

func (r *parser) addFault(section, key, detail string) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Detail: detail})
}

func (r *parser) value(section, key string) string {
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *parser) required(section, key string) string {
	v := r.value(section, key)
	if v == "" {
		r.addFault(section, key, "missing")
	}
	return v
}

func (r *parser) addrPort(section, key string, mandatory bool) string {
	v := r.value(section, key)
	if v == "" && !mandatory {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addFault(section, key, "not IP:port: "+fmt.Sprintf("%q", v))
	}
	return v
}

func (r *parser) addrPorts(section, key string) []string {
	var list []string
	for v := range strings.SplitSeq(r.value(section, key), ",") {
		v = strings.TrimSpace(v)
		if v == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			r.addFault(section, key, "not IP:port: "+fmt.Sprintf("%q", v))
			continue
		}
		list = append(list, v)
	}
	return list
}

// number parses a number in [minimum, maximum]. An empty value means fallback, or a fault if fallback
// is 0.
func (r *parser) number(section, key string, minimum, maximum, fallback float64) float64 {
	if r.value(section, key) == "" && fallback != 0 {
		return fallback
	}
	v, err := r.file.Section(section).Key(key).Float64()
	if err != nil || v < minimum || v > maximum {
		r.addFault(section, key, fmt.Sprintf("not a number from %g to %g: %q", minimum, maximum, r.value(section, key)))
	}
	return v
}

// numberOr parses a number in [minimum, maximum]. An empty value means fallback, even if that is 0.
func (r *parser) numberOr(section, key string, minimum, maximum, fallback float64) float64 {
	if r.value(section, key) == "" {
		return fallback
	}
	return r.number(section, key, minimum, maximum, fallback)
}

// sectionMap returns all keys of a section; nil: the section has none.
func (r *parser) sectionMap(section string) map[string]string {
	var values map[string]string
	for _, key := range r.file.Section(section).Keys() {
		if values == nil {
			values = map[string]string{}
		}
		if values[key.Name()] = strings.TrimSpace(key.String()); values[key.Name()] == "" {
			r.addFault(section, key.Name(), "missing")
		}
	}
	return values
}

// maxDurationSeconds is the longest duration that a setting may have.
const maxDurationSeconds = 3600

func (r *parser) duration(section, key string) time.Duration {
	return time.Duration(r.number(section, key, 0, maxDurationSeconds, 0) * float64(time.Second))
}

// boolean parses true or false. An empty value means false.
func (r *parser) boolean(section, key string) bool { return r.booleanOr(section, key, false) }

// booleanOr parses true or false. An empty value means fallback.
func (r *parser) booleanOr(section, key string, fallback bool) bool {
	v := r.value(section, key)
	if v == "" {
		return fallback
	}
	if v != "true" && v != "false" {
		r.addFault(section, key, "not true or false: "+fmt.Sprintf("%q", v))
	}
	return v == "true"
}

func (r *parser) logLevel(section, key string) slog.Level {
	var l slog.Level
	v := r.value(section, key)
	if v == "" {
		return slog.LevelInfo
	}
	if err := l.UnmarshalText([]byte(v)); err != nil {
		r.addFault(section, key, "not a log level: "+fmt.Sprintf("%q", v))
	}
	return l
}
