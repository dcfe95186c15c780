package settings

import "fmt"

// ChangeKind is the kind of a difference between two settings texts. Its values
// are part of the output of windscalectl and must not change.
type ChangeKind string

// The kinds of Change.
const (
	SectionAdded   ChangeKind = "section-added"
	SectionRemoved ChangeKind = "section-removed"
	KeyAdded       ChangeKind = "key-added"
	KeyRemoved     ChangeKind = "key-removed"
	KeyChanged     ChangeKind = "key-changed"
)

// Change is one difference between two settings texts.
type Change struct {
	Kind    ChangeKind
	Section string
	Key     string // "" if the whole section was added or removed
	Old     string
	New     string
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case SectionAdded:
		return fmt.Sprintf("+ [%s]", c.Section)
	case SectionRemoved:
		return fmt.Sprintf("- [%s]", c.Section)
	case KeyAdded:
		return fmt.Sprintf("+ [%s] %s = %s", c.Section, c.Key, c.New)
	case KeyRemoved:
		return fmt.Sprintf("- [%s] %s = %s", c.Section, c.Key, c.Old)
	default:
		return fmt.Sprintf("~ [%s] %s = %s (was %s)", c.Section, c.Key, c.New, c.Old)
	}
}

// Diff returns the changes from a to b, ignoring order and comments. Changes of
// sections in a come first, in the order of a, followed by the sections that are
// only in b. A nil a has no sections.
func Diff(a, b *Snapshot) []Change {
	old, next := sectionsOf(a), sectionsOf(b)
	inNext := sectionsByName(next)
	inOld := sectionsByName(old)
	var out []Change
	for _, s := range old {
		out = append(out, diffSection(s, inNext[s.name])...)
	}
	for _, s := range next {
		if inOld[s.name] == nil {
			out = append(out, diffSection(nil, s)...)
		}
	}
	return out
}

// sectionsOf returns the sections of a snapshot. Its source is known to be
// valid, so faults are ignored.
func sectionsOf(s *Snapshot) []*section {
	if s == nil {
		return nil
	}
	sections, _ := parse(s.Source)
	return sections
}

func sectionsByName(sections []*section) map[string]*section {
	out := map[string]*section{}
	for _, s := range sections {
		out[s.name] = s
	}
	return out
}

// diffSection compares two sections with the same name. Either may be nil, which
// means that the section is absent.
func diffSection(a, b *section) []Change {
	var out []Change
	switch {
	case a == nil:
		out = append(out, Change{Kind: SectionAdded, Section: b.name})
		a = &section{name: b.name}
	case b == nil:
		return []Change{{Kind: SectionRemoved, Section: a.name}}
	}
	for _, k := range a.order {
		old := a.values[k]
		v, ok := b.values[k]
		switch {
		case !ok:
			out = append(out, Change{KeyRemoved, a.name, k, old, ""})
		case v != old:
			out = append(out, Change{KeyChanged, a.name, k, old, v})
		}
	}
	for _, k := range b.order {
		if _, ok := a.values[k]; !ok {
			out = append(out, Change{KeyAdded, a.name, k, "", b.values[k]})
		}
	}
	return out
}
