package settings

// FromDefault is the origin of a value that no section sets.
const FromDefault = "default"

// EffectiveValue is the value of a key for a customer or group, with the section
// that sets it.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// Effective returns all values in effect for a customer or group, in the order of
// the documentation. It returns false if the path does not exist. The path "" is
// the root.
func (s *Snapshot) Effective(path string) ([]EffectiveValue, bool) {
	name := rootSection
	if path != "" {
		name = treePrefix + path
	}
	if s.tree.byName[name] == nil {
		return nil, false
	}
	var out []EffectiveValue
	for _, k := range treeKeys {
		if k.Name == keysKey && !s.tree.isLeaf(name) {
			continue
		}
		value, from, ok := s.tree.lookup(name, k.Name)
		if !ok {
			value, from = k.Default, FromDefault
		}
		out = append(out, EffectiveValue{k.Name, value, from})
	}
	return out, true
}
