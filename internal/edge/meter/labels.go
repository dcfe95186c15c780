package meter

import "sync"

// labelSet limits the number of distinct values of one label.
type labelSet struct {
	max  int
	mu   sync.Mutex
	seen map[string]bool
}

func newLabelSet(max int) *labelSet { return &labelSet{max: max, seen: map[string]bool{}} }

// bound returns the value, or overflowLabel for new values once the limit is reached.
func (l *labelSet) bound(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[value] {
		return value
	}
	if len(l.seen) >= l.max {
		return overflowLabel
	}
	l.seen[value] = true
	return value
}
