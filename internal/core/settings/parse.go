package settings

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Limits on a settings text.
const (
	MaxSource    = 1 << 20 // bytes
	MaxCustomers = 4096
	MaxServices  = 256
	MaxKeys      = 16  // caller's keys of one customer
	MaxDepth     = 8   // sections from the root to a customer
	MaxName      = 640 // bytes of a section's name
)

const (
	fleetSection  = "fleet"
	servicePrefix = "service "
	rootSection   = "tree"
	treePrefix    = rootSection + "/"
)

// section is one section as written.
type section struct {
	name   string
	order  []string // its keys, as written
	values map[string]string
}

// parse reads the text into sections and reports what stands twice.
func parse(source []byte) ([]*section, []Fault) {
	if len(source) > MaxSource {
		detail := fmt.Sprintf("%d bytes, the limit is %d", len(source), MaxSource)
		return nil, []Fault{{Kind: FaultTooLarge, Detail: detail}}
	}
	if faults := quotes(source); len(faults) > 0 {
		return nil, faults
	}
	// The library must neither merge what stands twice nor look keys up in
	// other sections, and a lone word is to become an unknown key so that it
	// does not hide the faults after it.
	options := ini.LoadOptions{
		AllowBooleanKeys:           true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		ChildSectionDelimiter:      "\x00",
		IgnoreContinuation:         true, // its time grows with the square of the length
		KeyValueDelimiters:         "=",
		PreserveEmptyShadowValues:  true,
	}
	file, err := ini.LoadSources(options, source)
	if err != nil {
		return nil, []Fault{{Kind: FaultSyntax, Detail: syntaxDetail(err)}}
	}
	return collect(file)
}

// quotes refuses the quotes that begin a value of several lines, which no key
// needs: the library's time for one grows with the square of its length.
func quotes(source []byte) []Fault {
	var faults []Fault
	n := 0
	for line := range bytes.Lines(source) {
		n++
		line = bytes.TrimSpace(line)
		if bytes.HasPrefix(line, []byte("#")) || bytes.HasPrefix(line, []byte(";")) {
			continue
		}
		if bytes.Contains(line, []byte(`"""`)) || bytes.ContainsRune(line, '`') {
			detail := fmt.Sprintf("line %d: values of several lines are not supported", n)
			faults = append(faults, Fault{Kind: FaultSyntax, Detail: detail})
		}
	}
	return faults
}

// syntaxDetail passes on what the library says of a section's line only: any
// other line may hold a caller's key.
func syntaxDetail(err error) string {
	if strings.HasPrefix(err.Error(), "unclosed section") {
		return err.Error()
	}
	return "a quote is not closed, or a key has no name"
}

// collect returns the sections in the order of the text. One that stands
// twice is a fault and is left out.
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
			faults = append(faults, twice(sec))
			continue
		}
		seen[name] = true
		s, dups := read(sec)
		out = append(out, s)
		faults = append(faults, dups...)
	}
	return out, faults
}

func twice(sec *ini.Section) Fault {
	kind := FaultDuplicateSection
	if strings.HasPrefix(sec.Name(), treePrefix) && sec.HasKey(keysKey) {
		kind = FaultDuplicateCustomer
	}
	return Fault{Section: sec.Name(), Kind: kind, Detail: "the section stands more than once"}
}

// read copies one section and reports the keys that stand twice.
func read(sec *ini.Section) (*section, []Fault) {
	s := &section{name: sec.Name(), values: map[string]string{}}
	var faults []Fault
	for _, k := range sec.Keys() {
		s.order = append(s.order, k.Name())
		s.values[k.Name()] = strings.TrimSpace(k.Value())
		if n := len(k.ValueWithShadows()); n > 1 {
			detail := fmt.Sprintf("the key stands %d times", n)
			faults = append(faults, Fault{s.name, k.Name(), FaultDuplicateKey, detail})
		}
	}
	return s, faults
}
