package settings

import (
	"fmt"
	"strings"

	"github.com/windscale/windscale/internal/core/msg"
)

// tree is the tree of groups and customers. A section's path contains the path of
// its parent, so cycles are impossible.
type tree struct {
	sections   []*section          // in the order of the text
	byName     map[string]*section // sections by name, always including the root
	childCount map[string]int      // number of direct children by section name
}

// newTree builds the tree from its sections. The root section is optional.
func newTree(sections []*section) *tree {
	t := &tree{byName: map[string]*section{}, childCount: map[string]int{}}
	for _, s := range sections {
		t.sections = append(t.sections, s)
		t.byName[s.name] = s
		if s.name != rootSection {
			t.childCount[parentName(s.name)]++
		}
	}
	if t.byName[rootSection] == nil {
		t.byName[rootSection] = &section{name: rootSection}
	}
	return t
}

// parentName returns the name of the parent section, or "" for the root.
func parentName(name string) string {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return ""
	}
	return name[:i]
}

func (t *tree) isLeaf(name string) bool {
	return name != rootSection && t.childCount[name] == 0
}

// lookup returns the value of a key from the section or its nearest ancestor that
// sets it, with the name of that section.
func (t *tree) lookup(name, key string) (value, from string, ok bool) {
	for ; name != ""; name = parentName(name) {
		s := t.byName[name]
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

// checkPlacement checks the name and position of a section in the tree.
func (t *tree) checkPlacement(s *section) []Fault {
	if s.name == rootSection {
		return t.checkGroupKeys(s)
	}
	var faults []Fault
	add := func(kind FaultKind, detail string) {
		faults = append(faults, Fault{Section: s.name, Kind: kind, Detail: detail})
	}
	names := strings.Split(s.name, "/")[1:]
	for _, p := range names {
		if !validPathName(p) {
			add(FaultBadName, fmt.Sprintf("%.40q: want lower-case letters, digits, - and _, starting with a letter or digit", p))
		}
	}
	if len(names) > MaxDepth {
		add(FaultTooLarge, fmt.Sprintf("the depth is %d, the limit is %d", len(names), MaxDepth))
	}
	if parent := parentName(s.name); t.byName[parent] == nil {
		add(FaultMissingParent, fmt.Sprintf("[%s] is not defined", parent))
	}
	_, hasKeys := s.values[keysKey]
	if t.isLeaf(s.name) && !hasKeys {
		add(FaultNoKeys, "a customer must set keys, or keys = none; a group must have customers")
	}
	return append(faults, t.checkGroupKeys(s)...)
}

func (t *tree) checkGroupKeys(s *section) []Fault {
	_, hasKeys := s.values[keysKey]
	if t.isLeaf(s.name) || !hasKeys {
		return nil
	}
	return []Fault{{s.name, keysKey, FaultParentIsCustomer, "only customers can have keys, and a customer cannot have sections below it"}}
}
