package settings

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Limits on a settings text.
const (
	MaxSource       = 1 << 20 // bytes
	MaxCustomers    = 4096
	MaxServices     = 256
	MaxCustomerKeys = 16  // caller's keys per customer
	MaxDepth        = 8   // levels of sections below the root
	MaxSectionName  = 640 // bytes
)

const (
	fleetSection  = "fleet"
	servicePrefix = "service "
	rootSection   = "tree"
	treePrefix    = rootSection + "/"
)

// section is a section of the text.
type section struct {
	name   string
	order  []string // keys in the order of the text
	values map[string]string
}

// parse splits the text into sections and reports duplicates.
func parse(source []byte) ([]*section, []Fault) {
	if len(source) > MaxSource {
		detail := fmt.Sprintf("%d bytes, the limit is %d", len(source), MaxSource)
		return nil, []Fault{{Kind: FaultTooLarge, Detail: detail}}
	}
	if faults := rejectMultilineValues(source); len(faults) > 0 {
		return nil, faults
	}
	// The library must not merge duplicates or look up keys in other sections. A
	// line without a delimiter must become a key with a bad value, so that it
	// does not hide the faults after it.
	options := ini.LoadOptions{
		AllowBooleanKeys:           true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		ChildSectionDelimiter:      "\x00",
		IgnoreContinuation:         true, // takes time quadratic in the length
		KeyValueDelimiters:         "=",
		PreserveEmptyShadowValues:  true,
	}
	file, err := ini.LoadSources(options, source)
	if err != nil {
		return nil, []Fault{{Kind: FaultSyntax, Detail: syntaxDetail(err)}}
	}
	return collect(file)
}

// rejectMultilineValues reports quotes that start a multi-line value. No key needs
// such values, and the library takes time quadratic in their length.
func rejectMultilineValues(source []byte) []Fault {
	var faults []Fault
	n := 0
	for line := range bytes.Lines(source) {
		n++
		line = bytes.TrimSpace(line)
		if bytes.HasPrefix(line, []byte("#")) || bytes.HasPrefix(line, []byte(";")) {
			continue
		}
		if bytes.Contains(line, []byte(`"""`)) || bytes.ContainsRune(line, '`') {
			detail := fmt.Sprintf("line %d: multi-line values are not supported", n)
			faults = append(faults, Fault{Kind: FaultSyntax, Detail: detail})
		}
	}
	return faults
}

// syntaxDetail returns the library's message only for errors in a section header,
// because any other line may contain a caller's key.
func syntaxDetail(err error) string {
	if strings.HasPrefix(err.Error(), "unclosed section") {
		return err.Error()
	}
	return "unclosed quote, or key without a name"
}

// collect returns the sections in the order of the text. A duplicate section is
// reported and left out.
func collect(file *ini.File) ([]*section, []Fault) {
	var out []*section
	var faults []Fault
	seen := map[string]bool{}
	for _, sec := range file.Sections() {
		name := sec.Name()
		if name == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if seen[name] {
			faults = append(faults, duplicateSection(sec))
			continue
		}
		seen[name] = true
		s, duplicates := readSection(sec)
		out = append(out, s)
		faults = append(faults, duplicates...)
	}
	return out, faults
}

func duplicateSection(sec *ini.Section) Fault {
	kind := FaultDuplicateSection
	if strings.HasPrefix(sec.Name(), treePrefix) && sec.HasKey(keysKey) {
		kind = FaultDuplicateCustomer
	}
	return Fault{Section: sec.Name(), Kind: kind, Detail: "the section is defined more than once"}
}

// readSection copies a section and reports duplicate keys.
func readSection(sec *ini.Section) (*section, []Fault) {
	s := &section{name: sec.Name(), values: map[string]string{}}
	var faults []Fault
	for _, k := range sec.Keys() {
		s.order = append(s.order, k.Name())
		s.values[k.Name()] = strings.TrimSpace(k.Value())
		if n := len(k.ValueWithShadows()); n > 1 {
			detail := fmt.Sprintf("the key is defined %d times", n)
			faults = append(faults, Fault{s.name, k.Name(), FaultDuplicateKey, detail})
		}
	}
	return s, faults
}
