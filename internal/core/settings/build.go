package settings

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/windscale/windscale/internal/core/msg"
)

// Build parses and validates a settings text. It returns the snapshot, or all
// faults of the text.
func Build(version uint64, source []byte) (*Snapshot, []Fault) {
	sections, faults := parse(source)
	b := builder{
		snap: &Snapshot{
			Version:   version,
			Digest:    sha256.Sum256(source),
			Source:    bytes.Clone(source),
			Fleet:     DefaultFleet(),
			Services:  map[string]Service{},
			Customers: map[msg.CustomerID]*Customer{},
			byKey:     map[KeyHash]*Customer{},
		},
		faults: faults,
	}
	b.build(sections)
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.snap, nil
}

type builder struct {
	snap   *Snapshot
	faults []Fault
}

func (b *builder) addFault(section, key string, kind FaultKind, detail string) {
	b.faults = append(b.faults, Fault{section, key, kind, detail})
}

// build handles the sections by kind. It builds the tree last, when all services
// are known.
func (b *builder) build(all []*section) {
	var treeSections []*section
	for _, s := range all {
		switch {
		case len(s.name) > MaxSectionName:
			detail := fmt.Sprintf("the name has %d bytes, the limit is %d", len(s.name), MaxSectionName)
			b.addFault(s.name[:MaxSectionName], "", FaultTooLarge, detail)
		case s.name == fleetSection:
			b.faults = append(b.faults, setValues(s, fleetKeys, &b.snap.Fleet)...)
		case strings.HasPrefix(s.name, servicePrefix):
			b.addService(s)
		case s.name == rootSection, strings.HasPrefix(s.name, treePrefix):
			treeSections = append(treeSections, s)
		default:
			b.addFault(s.name, "", FaultUnknownSection, "want fleet, service NAME, tree or tree/PATH")
		}
	}
	b.addTree(newTree(treeSections))
	b.checkLimits()
}

// addService adds the plain service that a section defines.
func (b *builder) addService(s *section) {
	name := strings.TrimPrefix(s.name, servicePrefix)
	if !validItemName(name) {
		b.addFault(s.name, "", FaultBadName, "want letters, digits, -, _, . and :")
	}
	svc := defaults(serviceKeys)
	svc.Name = name
	b.faults = append(b.faults, setValues(s, serviceKeys, &svc)...)
	b.snap.Services[name] = svc
}

// addTree checks every section of the tree and adds the customers.
func (b *builder) addTree(t *tree) {
	b.snap.tree = t
	for _, s := range t.sections {
		var parsed Customer
		b.faults = append(b.faults, t.checkPlacement(s)...)
		b.faults = append(b.faults, setValues(s, treeKeys, &parsed)...)
		b.checkServices(s.name, parsed.Services)
		if t.isLeaf(s.name) {
			b.addCustomer(t, s.name)
		}
	}
}

// checkServices checks that the services listed in a section are defined.
func (b *builder) checkServices(section string, names []string) {
	for _, name := range names {
		if _, ok := b.snap.Services[name]; !ok && name != Wildcard {
			b.addFault(section, "services", FaultUnknownService, fmt.Sprintf("[service %s] is not defined", name))
		}
	}
}

// addCustomer adds the customer of a leaf with its own and inherited values.
func (b *builder) addCustomer(t *tree, name string) {
	c := DefaultCustomer()
	c.Path = customerID(name)
	for _, k := range treeKeys {
		if v, _, ok := t.lookup(name, k.Name); ok {
			k.set(&c, v) // addTree reports a bad value for the section that contains it
		}
	}
	b.snap.Customers[c.Path] = &c
	if len(c.Keys) > MaxCustomerKeys {
		b.addFault(name, keysKey, FaultTooLarge, fmt.Sprintf("%d keys, the limit is %d", len(c.Keys), MaxCustomerKeys))
	}
	for _, h := range c.Keys {
		if other, taken := b.snap.byKey[h]; taken {
			b.addFault(name, keysKey, FaultSharedKey, fmt.Sprintf("the key with hash %x... also belongs to %s", h[:4], other.Path))
			continue
		}
		b.snap.byKey[h] = &c
	}
}

func (b *builder) checkLimits() {
	if n := len(b.snap.Customers); n > MaxCustomers {
		b.addFault(rootSection, "", FaultTooLarge, fmt.Sprintf("%d customers, the limit is %d", n, MaxCustomers))
	}
	if n := len(b.snap.Services); n > MaxServices {
		b.addFault(strings.TrimSpace(servicePrefix), "", FaultTooLarge, fmt.Sprintf("%d services, the limit is %d", n, MaxServices))
	}
}

// setValues sets the values of a section in t. It reports unknown keys and bad
// values.
func setValues[T any](s *section, specs []keySpec[T], t *T) []Fault {
	byName := map[string]keySpec[T]{}
	for _, k := range specs {
		byName[k.Name] = k
	}
	var faults []Fault
	for _, name := range s.order {
		k, ok := byName[name]
		if !ok {
			faults = append(faults, Fault{s.name, name, FaultUnknownKey, "no such key in this section"})
			continue
		}
		if !k.set(t, s.values[name]) {
			faults = append(faults, Fault{s.name, name, FaultBadValue, badValueDetail(k.Key, s.values[name])})
		}
	}
	return faults
}

// badValueDetail describes the expected format. It does not show the value of
// the key "keys", which may be a caller's key written in place of its hash.
func badValueDetail(k Key, got string) string {
	if k.Name == keysKey {
		return "want " + k.Format
	}
	return fmt.Sprintf("got %.40q, want %s", got, k.Format)
}
