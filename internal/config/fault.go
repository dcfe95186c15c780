package config

import "strings"

// FaultKind classes what is wrong with one value.
type FaultKind string

// The kinds of fault.
const (
	Missing    FaultKind = "missing"
	Twice      FaultKind = "given more than once"
	UnknownKey FaultKind = "unknown key"
	Unreadable FaultKind = "cannot be read"
	NotIPPort  FaultKind = "not an IP address with a port"
	NotURL     FaultKind = "not an http or https URL"
	NotAChoice FaultKind = "not an allowed value"
	NotASeed   FaultKind = "not of the form ID@IP:PORT"
	TooShort   FaultKind = "too short"
	NotUsable  FaultKind = "cannot be used"
)

// Fault is one thing wrong with the file.
type Fault struct {
	File    string
	Section string
	Key     string
	Kind    FaultKind
	Detail  string
}

// String shows the fault on one line.
func (f Fault) String() string {
	s := f.File + ": "
	if f.Section != "" {
		s += "[" + f.Section + "] " + f.Key + ": "
	}
	s += string(f.Kind)
	if f.Detail != "" {
		s += ": " + f.Detail
	}
	return s
}

// Error is every fault of a file.
type Error struct {
	Faults []Fault
}

// Error implements error, one fault a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
