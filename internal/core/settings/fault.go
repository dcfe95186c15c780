package settings

import "strings"

// FaultKind classes what can be wrong with a settings text.
type FaultKind int

// The kinds of Fault.
const (
	FaultSyntax            FaultKind = iota + 1 // the text is not INI
	FaultTooLarge                               // a limit on size, count or depth is passed
	FaultUnknownSection                         // no such section
	FaultUnknownKey                             // no such key in this kind of section
	FaultBadValue                               // the value does not have the key's form
	FaultBadName                                // a name in the section's path is malformed
	FaultDuplicateSection                       // a section of settings or a group stands twice
	FaultDuplicateCustomer                      // a customer stands twice
	FaultDuplicateKey                           // a key stands twice in a section
	FaultSharedKey                              // the same caller's key is listed twice
	FaultParentIsCustomer                       // a section with keys has sections below it
	FaultMissingParent                          // the section above is not written
	FaultNoKeys                                 // a customer without keys or a group without customers
	FaultUnknownService                         // a service is allowed that has no section
	FaultRemovedLive                            // a customer is gone whose keys were live
)

var faultNames = map[FaultKind]string{
	FaultSyntax:            "syntax",
	FaultTooLarge:          "too-large",
	FaultUnknownSection:    "unknown-section",
	FaultUnknownKey:        "unknown-key",
	FaultBadValue:          "bad-value",
	FaultBadName:           "bad-name",
	FaultDuplicateSection:  "duplicate-section",
	FaultDuplicateCustomer: "duplicate-customer",
	FaultDuplicateKey:      "duplicate-key",
	FaultSharedKey:         "shared-key",
	FaultParentIsCustomer:  "parent-is-customer",
	FaultMissingParent:     "missing-parent",
	FaultNoKeys:            "no-keys",
	FaultUnknownService:    "unknown-service",
	FaultRemovedLive:       "removed-live-customer",
}

// String returns the kind's name, stable in the output of windscalectl.
func (k FaultKind) String() string { return faultNames[k] }

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
	b.WriteString(f.Kind.String())
	if f.Detail != "" {
		b.WriteString(": " + f.Detail)
	}
	return b.String()
}
