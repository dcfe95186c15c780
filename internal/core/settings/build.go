package settings

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/windscale/windscale/internal/core/msg"
)

// Build parses and checks a settings text. It returns the snapshot, or every
// fault that the text has.
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
	b.sections(sections)
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.snap, nil
}

type builder struct {
	snap   *Snapshot
	faults []Fault
}

func (b *builder) fault(section, key string, kind FaultKind, detail string) {
	b.faults = append(b.faults, Fault{section, key, kind, detail})
}

// sections sorts the sections by kind, and builds the tree when all services
// are known.
func (b *builder) sections(all []*section) {
	var branches []*section
	for _, s := range all {
		switch {
		case len(s.name) > MaxName:
			detail := fmt.Sprintf("a name of %d bytes, the limit is %d", len(s.name), MaxName)
			b.fault(s.name[:MaxName], "", FaultTooLarge, detail)
		case s.name == fleetSection:
			b.faults = append(b.faults, fill(s, fleetKeys, &b.snap.Fleet)...)
		case strings.HasPrefix(s.name, servicePrefix):
			b.service(s)
		case s.name == rootSection, strings.HasPrefix(s.name, treePrefix):
			branches = append(branches, s)
		default:
			b.fault(s.name, "", FaultUnknownSection, "want fleet, service NAME, tree or tree/PATH")
		}
	}
	b.tree(newTree(branches))
	b.limits()
}

// service builds a plain service from its section.
func (b *builder) service(s *section) {
	name := strings.TrimPrefix(s.name, servicePrefix)
	if !goodItem(name) {
		b.fault(s.name, "", FaultBadName, "want letters, digits, -, _, . and :")
	}
	svc := defaults(serviceKeys)
	svc.Name = name
	b.faults = append(b.faults, fill(s, serviceKeys, &svc)...)
	b.snap.Services[name] = svc
}

// tree checks every section of the tree and builds the customers.
func (b *builder) tree(t *tree) {
	b.snap.tree = t
	for _, s := range t.sections {
		var own Customer
		b.faults = append(b.faults, t.shape(s)...)
		b.faults = append(b.faults, fill(s, treeKeys, &own)...)
		b.knownServices(s.name, own.Services)
		if t.isLeaf(s.name) {
			b.customer(t, s.name)
		}
	}
}

// knownServices checks what a section itself allows.
func (b *builder) knownServices(section string, names []string) {
	for _, name := range names {
		if _, ok := b.snap.Services[name]; !ok && name != All {
			b.fault(section, "services", FaultUnknownService, fmt.Sprintf("[service %s] is not written", name))
		}
	}
}

// customer builds the customer of a leaf from the values that hold there.
func (b *builder) customer(t *tree, name string) {
	c := DefaultCustomer()
	c.Path = customerID(name)
	for _, k := range treeKeys {
		if v, _, ok := t.lookup(name, k.Name); ok {
			k.set(&c, v) // a bad value is reported where it is written
		}
	}
	b.snap.Customers[c.Path] = &c
	if len(c.Keys) > MaxKeys {
		b.fault(name, keysKey, FaultTooLarge, fmt.Sprintf("%d keys, the limit is %d", len(c.Keys), MaxKeys))
	}
	for _, h := range c.Keys {
		if other, taken := b.snap.byKey[h]; taken {
			b.fault(name, keysKey, FaultSharedKey, fmt.Sprintf("the key %x... is also a key of %s", h[:4], other.Path))
			continue
		}
		b.snap.byKey[h] = &c
	}
}

func (b *builder) limits() {
	if n := len(b.snap.Customers); n > MaxCustomers {
		b.fault(rootSection, "", FaultTooLarge, fmt.Sprintf("%d customers, the limit is %d", n, MaxCustomers))
	}
	if n := len(b.snap.Services); n > MaxServices {
		b.fault(strings.TrimSpace(servicePrefix), "", FaultTooLarge, fmt.Sprintf("%d services, the limit is %d", n, MaxServices))
	}
}

// fill sets the values that a section gives and reports each that it can't.
func fill[T any](s *section, specs []spec[T], t *T) []Fault {
	byName := map[string]spec[T]{}
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
			faults = append(faults, Fault{s.name, name, FaultBadValue, badValue(k.Key, s.values[name])})
		}
	}
	return faults
}

// badValue says what was wanted. What stands in place of a hash may be a
// caller's key itself, and is not shown.
func badValue(k Key, got string) string {
	if k.Name == keysKey {
		return "want " + k.Form
	}
	return fmt.Sprintf("got %.40q, want %s", got, k.Form)
}
