package metrics

import (
	"maps"
	"sync"
	"sync/atomic"
)

// mirror shows state that another package owns, by a function that takes a
// snapshot of it.
type mirror[S any] struct {
	f atomic.Pointer[func() S]
}

// Mirror sets the function that takes the snapshot. It is called at each
// scrape, from any goroutine, and must not block for long.
func (m *mirror[S]) Mirror(f func() S) { m.f.Store(&f) }

func (m *mirror[S]) view() S {
	f := m.f.Load()
	if f == nil {
		var zero S
		return zero
	}
	return (*f)()
}

// labelled is a bounded set of labels with a group of counters each. Reading
// takes no lock.
type labelled[K ~string, V any] struct {
	mu    sync.Mutex // serialises declare
	byKey atomic.Pointer[map[K]*V]
	other *V
}

func newLabelled[K ~string, V any]() *labelled[K, V] {
	l := &labelled[K, V]{other: new(V)}
	l.byKey.Store(&map[K]*V{})
	return l
}

// declare makes keys the whole set. Groups of keys that stay are kept, those
// of keys that go are dropped.
func (l *labelled[K, V]) declare(keys []K) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.byKey.Load()
	next := make(map[K]*V, len(keys))
	for _, k := range keys {
		v, ok := old[k]
		if !ok {
			v = new(V)
		}
		next[k] = v
	}
	l.byKey.Store(&next)
}

// get returns the group of k, or the one of all undeclared keys.
func (l *labelled[K, V]) get(k K) *V {
	if v, ok := (*l.byKey.Load())[k]; ok {
		return v
	}
	return l.other
}

// all returns every declared group and, under Other, the one of the rest.
func (l *labelled[K, V]) all() map[K]*V {
	out := maps.Clone(*l.byKey.Load())
	out[Other] = l.other
	return out
}

// maxNames bounds a [names] set.
const maxNames = 32

// names counts by names that the code gives, such as reasons. It holds at
// most maxNames of them; further ones are counted under Other.
type names struct {
	mu sync.Mutex
	n  map[string]uint64
}

func (c *names) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]uint64{}
	}
	if _, ok := c.n[name]; !ok && len(c.n) >= maxNames {
		name = Other
	}
	c.n[name]++
}

func (c *names) view() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.n))
	maps.Copy(out, c.n)
	return out
}
