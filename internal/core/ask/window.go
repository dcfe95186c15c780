package ask

import "slices"

// Window issues the IDs of a router's asks, and tracks which of them are open: no decision has been
// applied, and the router has not given up on it.
type Window struct {
	first uint64
	next  uint64
	open  []uint64 // increasing
}

// NewWindow returns a window whose first ID follows after.
func NewWindow(after uint64) *Window { return &Window{first: after + 1, next: after + 1} }

// Begin returns the ID of a new ask.
func (w *Window) Begin() uint64 {
	id := w.next
	w.next++
	w.open = append(w.open, id)
	return id
}

// End records that the decision on an ask has been applied or will never be.
func (w *Window) End(id uint64) {
	if i, ok := slices.BinarySearch(w.open, id); ok {
		w.open = slices.Delete(w.open, i, i+1)
	}
}

// Ended returns an ID up to which all asks have ended but those in open, of which there are at most
// limit. upTo is 0 if there was no ask.
func (w *Window) Ended(limit int) (upTo uint64, open []uint64) {
	switch {
	case w.next == w.first:
		return 0, nil
	case len(w.open) > limit:
		return w.open[limit] - 1, slices.Clone(w.open[:limit])
	}
	return w.next - 1, slices.Clone(w.open)
}
