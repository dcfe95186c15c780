package settings

import "fmt"

// ChangeKind classes the differences between two settings. Its text is stable
// in the output of windscalectl.
type ChangeKind string

// The kinds of Change.
const (
	SectionAdded   ChangeKind = "section-added"
	SectionRemoved ChangeKind = "section-removed"
	KeyAdded       ChangeKind = "key-added"
	KeyRemoved     ChangeKind = "key-removed"
	KeyChanged     ChangeKind = "key-changed"
)

// Change is one difference between two settings as they are written.
type Change struct {
	Kind    ChangeKind
	Section string
	Key     string // "" when the whole section came or went
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

// Diff returns what changes from a to b: first what a has, in its order, then
// what only b has. A nil a has no sections. Order and comments don't count.
func Diff(a, b *Snapshot) []Change {
	old, next := written(a), written(b)
	inNext := index(next)
	inOld := index(old)
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

// written returns the sections of a snapshot, which parsed before.
func written(s *Snapshot) []*section {
	if s == nil {
		return nil
	}
	sections, _ := parse(s.Source)
	return sections
}

func index(sections []*section) map[string]*section {
	out := map[string]*section{}
	for _, s := range sections {
		out[s.name] = s
	}
	return out
}

// diffSection compares two sections of one name; a nil one is not written.
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
