package settings

// FromDefault is the place that a value comes from when no section gives it.
const FromDefault = "default"

// Effective is one value of a branch with the section that it comes from.
type Effective struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// Effective returns every value that holds at a customer or group, in the
// order of the documentation, or false when there is no such path. The path
// "" is the root.
func (s *Snapshot) Effective(path string) ([]Effective, bool) {
	name := rootSection
	if path != "" {
		name = treePrefix + path
	}
	if s.tree.nodes[name] == nil {
		return nil, false
	}
	var out []Effective
	for _, k := range treeKeys {
		if k.Name == keysKey && !s.tree.isLeaf(name) {
			continue
		}
		value, from, ok := s.tree.lookup(name, k.Name)
		if !ok {
			value, from = k.Default, FromDefault
		}
		out = append(out, Effective{k.Name, value, from})
	}
	return out, true
}
