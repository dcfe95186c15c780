// Package lab plays scenarios of the emulator from files, and compares policies on them.
package lab

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/windscale/windscale/internal/emulator"
)

// The sections of a scenario file. Those of customers and losses bear a name.
const (
	sectionFleet    = "fleet"
	sectionEngine   = "engine"
	sectionCustomer = "customer "
	sectionLoss     = "loss "
)

// Load reads and checks a scenario file. Its error is *Error with every fault.
func Load(path string) (emulator.Scenario, error) {
	f, err := ini.Load(path)
	if err != nil {
		return emulator.Scenario{}, &Error{File: path, Faults: []Fault{{Detail: err.Error()}}}
	}
	r := &reader{}
	var s emulator.Scenario
	for _, section := range f.Sections() {
		r.begin(section)
		switch name := section.Name(); {
		case name == ini.DefaultSection:
		case name == sectionFleet:
			r.fleet(&s)
		case name == sectionEngine:
			s.Engine = r.engine()
			s.EngineSpeeds = r.numbers("speeds")
		case strings.HasPrefix(name, sectionCustomer):
			s.Customers = append(s.Customers, r.customer(strings.TrimPrefix(name, sectionCustomer)))
		case strings.HasPrefix(name, sectionLoss):
			s.Losses = append(s.Losses, r.loss())
		default:
			r.fault("", "no such section")
		}
		r.unknown()
	}
	r.whole(&s)
	if len(r.faults) > 0 {
		return emulator.Scenario{}, &Error{File: path, Faults: r.faults}
	}
	return s, nil
}

// reader reads one section after the other and notes what is wrong.
type reader struct {
	section *ini.Section
	read    []string // keys of the section
	faults  []Fault
}

func (r *reader) begin(s *ini.Section) { r.section, r.read = s, nil }

func (r *reader) fault(key, detail string) {
	r.faults = append(r.faults, Fault{r.section.Name(), key, detail})
}

// unknown faults the keys that nothing has read.
func (r *reader) unknown() {
	for _, key := range r.section.KeyStrings() {
		if !slices.Contains(r.read, key) {
			r.fault(key, "no such key")
		}
	}
}

// text returns the key's value; empty: it is not given.
func (r *reader) text(key string) string {
	r.read = append(r.read, key)
	return r.section.Key(key).String()
}

// number reads a number of least or more; what is not given is least.
func (r *reader) number(key string, least float64) float64 {
	text := r.text(key)
	if text == "" {
		return least
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n < least {
		r.fault(key, "not a number of "+strconv.FormatFloat(least, 'g', -1, 64)+" or more: "+text)
		return least
	}
	return n
}

// count reads a whole number of least or more; what is not given is least.
func (r *reader) count(key string, least int) int {
	n := r.number(key, float64(least))
	if n != float64(int(n)) {
		r.fault(key, "not a whole number")
	}
	return int(n)
}

// span reads a time of 0 or more; what is not given is 0.
func (r *reader) span(key string) time.Duration {
	text := r.text(key)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		r.fault(key, "not a time such as 20ms: "+text)
		return 0
	}
	return d
}

func (r *reader) fleet(s *emulator.Scenario) {
	s.Length = r.span("length")
	s.Routers = r.count("routers", 1)
	s.DataCentres = r.count("data_centres", 1)
	s.Engines = r.count("engines", 1)
	s.Capacity = r.number("tokens_per_second", 0)
	s.ReportEvery = r.span("report_every")
	s.ReportDelay = r.span("report_delay")
}

// numbers reads a list of positive numbers separated by commas; nil if there is none.
func (r *reader) numbers(key string) (list []float64) {
	text := r.text(key)
	if text == "" {
		return nil
	}
	for _, item := range strings.Split(text, ",") {
		n, err := strconv.ParseFloat(strings.TrimSpace(item), 64)
		if err != nil || !(n > 0) || math.IsInf(n, 0) {
			r.fault(key, "not a list of positive numbers: "+text)
			return nil
		}
		list = append(list, n)
	}
	return list
}

func (r *reader) engine() emulator.Engine {
	return emulator.Engine{
		TokensPerMs:   r.number("tokens_per_ms", 0),
		Base:          r.span("base"),
		Step:          r.span("step"),
		Slots:         r.count("slots", 1),
		CacheTokens:   int64(r.count("cache_tokens", 0)),
		FetchPerToken: r.span("fetch_per_token"),
	}
}

func (r *reader) customer(name string) emulator.Customer {
	return emulator.Customer{
		Name:      name,
		PerSecond: r.number("per_second", 0),
		Routers:   r.count("routers", 0),
		HostTakes: r.number("host_takes", 0),
		Shared:    r.count("shared", 0),
		Things:    r.count("things", 1),
		Own:       r.count("own", 0),
		Out:       r.count("out", 0),
		Target:    r.span("target"),
		Flood:     r.number("flood", 0),
		FloodAt:   r.span("flood_at"),
		FloodEnd:  r.span("flood_end"),
	}
}

func (r *reader) loss() emulator.Loss {
	l := emulator.Loss{At: r.span("at"), Back: r.span("back"), Engines: r.count("engines", 1)}
	switch text := r.text("silent"); text {
	case "", "false":
	case "true":
		l.Silent = true
	default:
		r.fault("silent", "neither true nor false: "+text)
	}
	return l
}

// whole checks what belongs together.
func (r *reader) whole(s *emulator.Scenario) {
	for _, c := range []struct {
		wrong                bool
		section, key, detail string
	}{
		{s.Length < 2*time.Second, sectionFleet, "length", "under two seconds"},
		{s.ReportEvery <= 0, sectionFleet, "report_every", "missing"},
		{s.Engine.TokensPerMs <= 0, sectionEngine, "tokens_per_ms", "missing"},
		{len(s.Customers) == 0, sectionCustomer + "NAME", "", "there is none"},
	} {
		if c.wrong {
			r.faults = append(r.faults, Fault{c.section, c.key, c.detail})
		}
	}
	for _, l := range s.Losses {
		if l.Engines >= s.Engines {
			r.faults = append(r.faults, Fault{sectionLoss, "engines", "no engine is left"})
		}
	}
	for _, c := range s.Customers {
		if c.PerSecond <= 0 {
			r.faults = append(r.faults, Fault{sectionCustomer + c.Name, "per_second", "missing"})
		}
	}
}
