// Package load plays callers: streams of requests by a plan, in open or closed
// loop, with every answer checked byte for byte against what the stand-in
// backend servers must have answered.
package load

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Kind is what a section's callers ask for.
type Kind string

// The kinds of section.
const (
	Model   Kind = "model"   // chat completions of a model
	Status  Kind = "status"  // GET of a plain service, safe to repeat
	Booking Kind = "booking" // POST to a plain service, not to be repeated
)

// Section is one stream of callers of one customer.
type Section struct {
	Name        string
	Customer    string
	Key         string   // bearer key
	Targets     []string // base URLs of entries, used in turn
	CA          string   // file of the certificates that sign https entries
	Kind        Kind
	Subject     string        // the model or the service
	Rate        float64       // open loop: requests per second; 0: closed loop
	Workers     int           // closed loop: callers
	Prompt      int           // tokens
	Prefix      int           // tokens at its start that all prompts of the section share
	TokensLo    int           // max_tokens is drawn evenly from TokensLo to TokensHi
	TokensHi    int           //
	Stream      bool          // ask models for streams
	Idempotency bool          // send an Idempotency-Key
	Timeout     time.Duration // the callers' deadline; 0: none
	Retries     int           // repeats of a request that was refused or got no answer
	Count       int           // requests at most; 0: no limit
	Start       time.Duration // after the beginning of the run
	Stop        time.Duration // after the beginning of the run; 0: at its end
	Weight      float64       // the customer's weight, for the report alone
	Direct      bool          // targets are backend servers, without a router between
}

// after returns the target that follows the one given.
func (s *Section) after(target string) string {
	return s.Targets[(slices.Index(s.Targets, target)+1)%len(s.Targets)]
}

// Fault is one fault of a plan.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

// PlanError lists every fault of a plan.
type PlanError struct {
	Faults []Fault
}

// Error implements error.
func (e *PlanError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = "[" + f.Section + "] " + f.Key + ": " + f.Reason
	}
	return "plan: " + strings.Join(lines, "; ")
}

const (
	defaultPrompt  = "100"
	defaultTokens  = "64"
	defaultTimeout = "30s"
	defaultMode    = "closed 1"
)

var knownKeys = map[string]bool{
	"customer": true, "key": true, "targets": true, "ca": true, "kind": true, "mode": true, "prompt": true,
	"prefix": true, "tokens": true, "stream": true, "idempotency": true, "timeout": true, "retries": true,
	"count": true, "start": true, "stop": true, "weight": true, "direct": true,
}

// ParsePlan reads a plan: one section per stream of callers; keys before the
// first section hold for all. Its error is a *PlanError, or that of the INI
// reader.
func ParsePlan(data []byte) ([]Section, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, err
	}
	common := file.Section(ini.DefaultSection)
	var sections []Section
	var faults []Fault
	for _, s := range file.Sections() {
		r := reader{section: s, common: common}
		r.unknownKeys()
		if s.Name() != ini.DefaultSection {
			sections = append(sections, r.read())
		}
		faults = append(faults, r.faults...)
	}
	if len(sections) == 0 {
		faults = append(faults, Fault{Section: ini.DefaultSection, Reason: "the plan has no section"})
	}
	if len(faults) > 0 {
		return nil, &PlanError{Faults: faults}
	}
	return sections, nil
}

// reader reads the keys of one section and notes their faults.
type reader struct {
	section *ini.Section
	common  *ini.Section
	faults  []Fault
}

func (r *reader) fault(key, reason string) {
	r.faults = append(r.faults, Fault{Section: r.section.Name(), Key: key, Reason: reason})
}

func (r *reader) unknownKeys() {
	for _, key := range r.section.KeyStrings() {
		if !knownKeys[key] {
			r.fault(key, "unknown key")
		}
	}
}

func (r *reader) read() Section {
	s := Section{
		Name:        r.section.Name(),
		Customer:    r.text("customer", r.section.Name()),
		Key:         r.text("key", ""),
		Targets:     splitList(r.text("targets", "")),
		CA:          r.text("ca", ""),
		Prompt:      r.number("prompt", defaultPrompt, 1),
		Stream:      r.flag("stream", "true"),
		Idempotency: r.flag("idempotency", "false"),
		Timeout:     r.duration("timeout", defaultTimeout),
		Retries:     r.number("retries", "0", 0),
		Count:       r.number("count", "0", 0),
		Start:       r.duration("start", "0s"),
		Stop:        r.duration("stop", "0s"),
		Weight:      r.fraction("weight", "1"),
		Direct:      r.flag("direct", "false"),
	}
	s.Prefix = r.number("prefix", strconv.Itoa(s.Prompt/2), 0)
	r.kind(&s)
	r.mode(&s)
	r.tokens(&s)
	if len(s.Targets) == 0 {
		r.fault("targets", "none given")
	}
	return s
}

func (r *reader) text(key, fallback string) string {
	for _, s := range []*ini.Section{r.section, r.common} {
		if s.HasKey(key) {
			return s.Key(key).String()
		}
	}
	return fallback
}

func (r *reader) number(key, fallback string, least int) int {
	n, err := strconv.Atoi(r.text(key, fallback))
	if err != nil || n < least {
		r.fault(key, "not a whole number of "+strconv.Itoa(least)+" or more")
	}
	return n
}

func (r *reader) fraction(key, fallback string) float64 {
	f, err := strconv.ParseFloat(r.text(key, fallback), 64)
	if err != nil || f <= 0 {
		r.fault(key, "not a number above 0")
	}
	return f
}

func (r *reader) flag(key, fallback string) bool {
	b, err := strconv.ParseBool(r.text(key, fallback))
	if err != nil {
		r.fault(key, "neither true nor false")
	}
	return b
}

func (r *reader) duration(key, fallback string) time.Duration {
	d, err := time.ParseDuration(r.text(key, fallback))
	if err != nil || d < 0 {
		r.fault(key, "not a duration such as 2.5s")
	}
	return d
}

func (r *reader) kind(s *Section) {
	kind, subject, ok := strings.Cut(r.text("kind", ""), ":")
	s.Kind, s.Subject = Kind(kind), subject
	switch s.Kind {
	case Model, Status, Booking:
	default:
		ok = false
	}
	if !ok || subject == "" {
		r.fault("kind", "not model:NAME, status:SERVICE or booking:SERVICE")
	}
}

func (r *reader) mode(s *Section) {
	mode, value, _ := strings.Cut(r.text("mode", defaultMode), " ")
	value = strings.TrimSpace(value)
	var err error
	switch mode {
	case "open":
		s.Rate, err = strconv.ParseFloat(value, 64)
		if err != nil || s.Rate <= 0 {
			r.fault("mode", "the rate is not a number above 0")
		}
	case "closed":
		s.Workers, err = strconv.Atoi(value)
		if err != nil || s.Workers < 1 {
			r.fault("mode", "the number of callers is not 1 or more")
		}
	default:
		r.fault("mode", "not open RATE or closed N")
	}
}

func (r *reader) tokens(s *Section) {
	lo, hi, ranged := strings.Cut(r.text("tokens", defaultTokens), "-")
	if !ranged {
		hi = lo
	}
	var errLo, errHi error
	s.TokensLo, errLo = strconv.Atoi(strings.TrimSpace(lo))
	s.TokensHi, errHi = strconv.Atoi(strings.TrimSpace(hi))
	if errLo != nil || errHi != nil || s.TokensLo < 1 || s.TokensHi < s.TokensLo {
		r.fault("tokens", "not N or LO-HI")
	}
}

func splitList(list string) []string {
	var out []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, strings.TrimSuffix(item, "/"))
		}
	}
	return out
}
