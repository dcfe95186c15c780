// Package pressure measures how far this process is behind its work: the time
// for which something that could run waits for the processor. A host that a
// flood has overloaded can't see it in its own requests, which wait before they
// are read.
package pressure

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// probeEvery is how often the wait is measured.
	probeEvery = 20 * time.Millisecond
	// Overloaded is the wait from which a host refuses new requests at once: it is
	// half of the shortest target in use (100 ms), and leaves a refused caller time to
	// be answered elsewhere.
	Overloaded = 60 * time.Millisecond
	// Saturated is the wait from which a host refuses everyone: a request waits
	// some five times on its way to a server.
	Saturated = 150 * time.Millisecond
)

// Probe measures the wait. It is safe for concurrent use; a nil one reports no
// wait.
type Probe struct {
	begin  atomic.Int64 // when a measurement in progress began, ns since base; 0: none
	last   atomic.Int64 // the last wait measured, ns
	base   time.Time
	now    func() time.Time
	launch func(func())
}

// New returns a probe that reads the time by now.
func New(now func() time.Time) *Probe {
	return &Probe{base: now().Add(-time.Second), now: now, launch: queue}
}

// queue runs f behind all goroutines that are ready to run. The runtime puts a
// goroutine that was just started before the others; the second one takes that
// place and sends the first to the end of the queue.
func queue(f func()) {
	go f()
	go func() {}()
}

// Run measures until ctx ends.
func (p *Probe) Run(ctx context.Context) error {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			p.measure()
		}
	}
}

// measure begins a measurement unless one is in progress.
func (p *Probe) measure() {
	begin := int64(p.now().Sub(p.base))
	if !p.begin.CompareAndSwap(0, begin) {
		return
	}
	p.launch(func() {
		p.last.Store(int64(p.now().Sub(p.base)) - begin)
		p.begin.Store(0)
	})
}

// Wait returns the wait: the last one measured or that of the measurement in
// progress, whichever is longer.
func (p *Probe) Wait() time.Duration {
	if p == nil {
		return 0
	}
	wait := p.last.Load()
	if begin := p.begin.Load(); begin != 0 {
		wait = max(wait, int64(p.now().Sub(p.base))-begin)
	}
	return time.Duration(wait)
}
