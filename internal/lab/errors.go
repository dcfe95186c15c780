package lab

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a scenario file.
type Fault struct {
	Section, Key string
	Detail       string
}

// Error is every fault of a scenario file.
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
