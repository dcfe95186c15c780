package settings

import "strings"

// FaultKind classes what can be wrong with a settings text. Its text is stable
// in the output of windscalectl.
type FaultKind string

// The kinds of Fault.
const (
	FaultSyntax            FaultKind = "syntax"                // the text is not INI
	FaultTooLarge          FaultKind = "too-large"             // a limit on size, count or depth is passed
	FaultUnknownSection    FaultKind = "unknown-section"       // no such section
	FaultUnknownKey        FaultKind = "unknown-key"           // no such key in this kind of section
	FaultBadValue          FaultKind = "bad-value"             // the value does not have the key's form
	FaultBadName           FaultKind = "bad-name"              // a name in the section's path is malformed
	FaultDuplicateSection  FaultKind = "duplicate-section"     // a section of settings or a group stands twice
	FaultDuplicateCustomer FaultKind = "duplicate-customer"    // a customer stands twice
	FaultDuplicateKey      FaultKind = "duplicate-key"         // a key stands twice in a section
	FaultSharedKey         FaultKind = "shared-key"            // the same caller's key is listed twice
	FaultParentIsCustomer  FaultKind = "parent-is-customer"    // a section with keys has sections below it
	FaultMissingParent     FaultKind = "missing-parent"        // the section above is not written
	FaultNoKeys            FaultKind = "no-keys"               // a customer without keys or a group without customers
	FaultUnknownService    FaultKind = "unknown-service"       // a service is allowed that has no section
	FaultRemovedLive       FaultKind = "removed-live-customer" // a customer is gone whose keys were live
)

// Fault is one thing wrong with a settings text. It never shows the value of
// a caller's key.
type Fault struct {
	Section string
	Key     string // "" when the fault is not with one key
	Kind    FaultKind
	Detail  string // for the operator's eyes
}

// Error implements error: one line with section and key.
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
