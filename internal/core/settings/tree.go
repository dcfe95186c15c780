package settings

import (
	"fmt"
	"strings"

	"github.com/windscale/windscale/internal/core/msg"
)

// tree is the customers' tree as written. A path names its parent, so no
// cycle can be written.
type tree struct {
	sections []*section          // in the order of the text
	nodes    map[string]*section // by section name
	children map[string]int      // by section name
}

// newTree makes the tree of the sections; the root need not be written.
func newTree(sections []*section) *tree {
	t := &tree{nodes: map[string]*section{}, children: map[string]int{}}
	for _, s := range sections {
		t.sections = append(t.sections, s)
		t.nodes[s.name] = s
		if s.name != rootSection {
			t.children[parent(s.name)]++
		}
	}
	if t.nodes[rootSection] == nil {
		t.nodes[rootSection] = &section{name: rootSection}
	}
	return t
}

// parent returns the name of the section above; "" is above the root.
func parent(name string) string {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return ""
	}
	return name[:i]
}

func (t *tree) isLeaf(name string) bool {
	return name != rootSection && t.children[name] == 0
}

// lookup finds the value of a key at a section or the nearest above it.
func (t *tree) lookup(name, key string) (value, from string, ok bool) {
	for ; name != ""; name = parent(name) {
		s := t.nodes[name]
		if s == nil {
			continue
		}
		if v, ok := s.values[key]; ok {
			return v, name, true
		}
	}
	return "", "", false
}

func customerID(section string) msg.CustomerID {
	return msg.CustomerID(strings.TrimPrefix(section, treePrefix))
}

// shape checks one section's place in the tree.
func (t *tree) shape(s *section) []Fault {
	if s.name == rootSection {
		return t.keysOnGroup(s)
	}
	var faults []Fault
	add := func(kind FaultKind, detail string) {
		faults = append(faults, Fault{Section: s.name, Kind: kind, Detail: detail})
	}
	parts := strings.Split(s.name, "/")[1:]
	for _, p := range parts {
		if !goodName(p) {
			add(FaultBadName, fmt.Sprintf("%.40q: want lower-case letters, digits, - and _, beginning with a letter or digit", p))
		}
	}
	if len(parts) > MaxDepth {
		add(FaultTooLarge, fmt.Sprintf("%d deep, the limit is %d", len(parts), MaxDepth))
	}
	if up := parent(s.name); t.nodes[up] == nil {
		add(FaultMissingParent, fmt.Sprintf("[%s] is not written", up))
	}
	_, hasKeys := s.values[keysKey]
	if t.isLeaf(s.name) && !hasKeys {
		add(FaultNoKeys, "a customer must list its keys, or none; a group must have customers")
	}
	return append(faults, t.keysOnGroup(s)...)
}

func (t *tree) keysOnGroup(s *section) []Fault {
	_, hasKeys := s.values[keysKey]
	if t.isLeaf(s.name) || !hasKeys {
		return nil
	}
	return []Fault{{s.name, keysKey, FaultParentIsCustomer, "only customers have keys, and a customer has no sections below it"}}
}
