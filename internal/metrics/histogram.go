package metrics

import (
	"sync/atomic"
	"time"
)

// bounds are the upper bounds of a histogram's buckets. They are fixed, so
// that counts of routers and incarnations add up, and few, so that a thousand
// customers fit a small host (an HDR histogram of the same range holds some
// hundred times the memory).
var bounds = [...]time.Duration{
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	52 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	500 * time.Millisecond,
	1100 * time.Millisecond,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
	30 * time.Second,
	time.Minute,
	5 * time.Minute,
}

// Histogram counts durations in fixed buckets. The zero value is ready.
type Histogram struct {
	buckets [len(bounds) + 1]atomic.Uint64
	nanos   atomic.Int64
}

// Observe counts d.
func (h *Histogram) Observe(d time.Duration) {
	h.buckets[bucket(d)].Add(1)
	h.nanos.Add(int64(d))
}

func bucket(d time.Duration) int {
	for i, b := range bounds {
		if d <= b {
			return i
		}
	}
	return len(bounds)
}

// HistogramView is a histogram as published. Counts has one entry for each of
// the published bounds and a last one for what lies above; each counts its
// own bucket only.
type HistogramView struct {
	Counts []uint64 `json:"counts_total"`
	Sum    Seconds  `json:"sum_seconds"`
}

func (h *Histogram) view() HistogramView {
	v := HistogramView{Counts: make([]uint64, len(h.buckets))}
	for i := range h.buckets {
		v.Counts[i] = h.buckets[i].Load()
	}
	v.Sum = InSeconds(time.Duration(h.nanos.Load()))
	return v
}

// Bounds returns the buckets' upper bounds.
func Bounds() []Seconds {
	out := make([]Seconds, len(bounds))
	for i, b := range bounds {
		out[i] = InSeconds(b)
	}
	return out
}
