package meter

import "sync"

// labels bounds the values of one label.
type labels struct {
	most int
	mu   sync.Mutex
	seen map[string]bool
}

func newLabels(most int) *labels { return &labels{most: most, seen: map[string]bool{}} }

// get returns the value, or other once there are too many.
func (l *labels) get(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[value] {
		return value
	}
	if len(l.seen) >= l.most {
		return other
	}
	l.seen[value] = true
	return value
}
