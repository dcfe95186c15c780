package settings

import "strings"

// FaultKind is the kind of an error in a settings text. Its values are part of
// the output of windscalectl and must not change.
type FaultKind string

// The kinds of Fault.
const (
	FaultSyntax            FaultKind = "syntax"                // the text is not valid INI
	FaultTooLarge          FaultKind = "too-large"             // a limit on size, count or depth is exceeded
	FaultUnknownSection    FaultKind = "unknown-section"       // no such section
	FaultUnknownKey        FaultKind = "unknown-key"           // no such key in this kind of section
	FaultBadValue          FaultKind = "bad-value"             // the value does not match the key's format
	FaultBadName           FaultKind = "bad-name"              // a name in the section's path is malformed
	FaultDuplicateSection  FaultKind = "duplicate-section"     // a section other than a customer is defined twice
	FaultDuplicateCustomer FaultKind = "duplicate-customer"    // a customer is defined twice
	FaultDuplicateKey      FaultKind = "duplicate-key"         // a key is defined twice in a section
	FaultSharedKey         FaultKind = "shared-key"            // two customers list the same caller's key
	FaultParentIsCustomer  FaultKind = "parent-is-customer"    // a section with keys is the root or has sections below it
	FaultMissingParent     FaultKind = "missing-parent"        // the parent section is not defined
	FaultNoKeys            FaultKind = "no-keys"               // a customer without keys or a group without customers
	FaultUnknownService    FaultKind = "unknown-service"       // an allowed service has no section
	FaultRemovedLive       FaultKind = "removed-live-customer" // a customer with keys was removed
)

// Fault is an error in a settings text. It never contains the value of a
// caller's key.
type Fault struct {
	Section string
	Key     string // "" if the fault does not concern a single key
	Kind    FaultKind
	Detail  string // human-readable
}

// Error implements error. It returns one line with the section and key.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString("[" + f.Section + "] ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(string(f.Kind))
	if f.Detail != "" {
		b.WriteString(": " + f.Detail)
	}
	return b.String()
}
