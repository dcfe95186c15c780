// Package pressure measures processor contention: the time for which runnable work of this process
// waits for the processor. An overloaded host can't measure this on its requests, which wait before
// they are read.
package pressure

import (
	"context"
	"os"
	"sync/atomic"
	"time"
)

const (
	// The wait is measured every busyInterval while the host has work, and every idleInterval while
	// it has hardly any, as each measurement wakes the process twice. The interval is busyInterval for
	// busyPeriod after busyThreshold requests were admitted between two measurements.
	busyInterval  = 20 * time.Millisecond
	idleInterval  = 200 * time.Millisecond
	busyPeriod    = time.Second
	busyThreshold = 4
	// Busy is the wait from which a host refuses a customer that has the majority of its requests. A
	// request waits for the processor about five times on its way to a server, and a refused one soon
	// reaches another host.
	Busy = 15 * time.Millisecond
	// Overloaded is the wait from which a host refuses new requests at once. It is about half of the
	// shortest latency target in use (100 ms), which leaves a refused caller time for a retry at
	// another host.
	Overloaded = 60 * time.Millisecond
	// Saturated is the wait from which a host refuses all customers. A request waits for the
	// processor about five times on its way to a server.
	Saturated = 150 * time.Millisecond
	// coreTimePerRequest is the time of one core that serving a request takes. A host with a fifth
	// of a core served at most 350 requests a second in a flood.
	coreTimePerRequest = 500 * time.Microsecond
)

// Probe measures the wait. It is safe for concurrent use. A nil Probe reports no wait.
type Probe struct {
	measureStart  atomic.Int64 // start of the measurement in progress, ns since base; 0: none
	lastWait      atomic.Int64 // last measured wait, ns
	pendingWork   atomic.Int64 // admitted work not yet covered by a measurement, ns on this host
	admittedCount atomic.Int64 // requests admitted since the start of the last measurement
	idle          atomic.Bool  // the wait is measured every idleInterval
	wake          chan struct{}
	requestCost   int64 // processor time of a request, ns on this host
	base          time.Time
	now           func() time.Time
	enqueue       func(func())
}

// New returns a probe for a host with the given number of cores. now returns the time.
func New(cores float64, now func() time.Time) *Probe {
	return &Probe{
		base:        now().Add(-time.Second),
		now:         now,
		enqueue:     func(f func()) { f() },
		requestCost: int64(float64(coreTimePerRequest) / cores),
		wake:        make(chan struct{}, 1),
	}
}

// Admitted records that a request was admitted. Its work is added to the expected wait until a
// measurement covers it.
func (p *Probe) Admitted() {
	p.pendingWork.Add(p.requestCost)
	p.countWork()
}

// MeasureOften makes the wait be measured every busyInterval for a while, however little work there is.
func (p *Probe) MeasureOften() {
	if p.idle.Load() {
		p.wakeUp()
	}
}

// wakeUp makes Run measure the wait now, and every busyInterval for a while.
func (p *Probe) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// RequestCost returns the processor time that a request takes on this host.
func (p *Probe) RequestCost() time.Duration { return time.Duration(p.requestCost) }

// Relayed records that a connection was given to another host. It adds hardly any work, but the wait
// is to be measured often: it decides about further connections.
func (p *Probe) Relayed() { p.countWork() }

// countWork wakes Run if there has been much work since the last measurement.
func (p *Probe) countWork() {
	if p.admittedCount.Add(1) == busyThreshold {
		p.wakeUp()
	}
}

// ExpectedWait returns the measured wait plus the work admitted since. A measurement is 20 ms old or
// more, and a flood can bring a second's work in that time.
func (p *Probe) ExpectedWait() time.Duration { return p.Wait() + time.Duration(p.pendingWork.Load()) }

// pollerQueue runs functions by way of the network poller: each runs when a byte written to a pipe
// has been read, as a request is served when its bytes have been read. A newly started goroutine
// would wait in the scheduler's local run queue instead, which on a busy host is far shorter.
type pollerQueue struct {
	r, w    *os.File
	pending chan func()
}

// newPollerQueue opens the pipe and starts reading it.
func newPollerQueue() (*pollerQueue, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &pollerQueue{r: r, w: w, pending: make(chan func(), 1)}
	go p.run()
	return p, nil
}

// run runs a function for each byte read until the pipe is closed.
func (p *pollerQueue) run() {
	buf := make([]byte, 1)
	for {
		if _, err := p.r.Read(buf); err != nil {
			return // closed
		}
		(<-p.pending)()
	}
}

// enqueue writes a byte and runs f when the byte has been read. Only one f may be queued at a time.
func (p *pollerQueue) enqueue(f func()) {
	p.pending <- f
	if _, err := p.w.Write([]byte{0}); err != nil {
		f := <-p.pending
		f() // the pipe is closed and measuring has ended
	}
}

// close closes the pipe, which ends run.
func (p *pollerQueue) close() {
	_ = p.w.Close()
	_ = p.r.Close()
}

// Run measures the wait until ctx is done.
func (p *Probe) Run(ctx context.Context) error {
	queue, err := newPollerQueue()
	if err != nil {
		return err
	}
	defer queue.close()
	p.enqueue = queue.enqueue
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	var busyUntil time.Time // end of measuring at busyInterval; zero: idle
	p.idle.Store(true)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
			busyUntil = p.now().Add(busyPeriod)
			p.idle.Store(false)
			ticker.Reset(busyInterval)
		case now := <-ticker.C:
			if !busyUntil.IsZero() && now.After(busyUntil) {
				busyUntil = time.Time{}
				p.idle.Store(true)
				ticker.Reset(idleInterval)
			}
		}
		p.measure()
	}
}

// measure starts a measurement unless one is in progress.
func (p *Probe) measure() {
	start := int64(p.now().Sub(p.base))
	if !p.measureStart.CompareAndSwap(0, start) {
		return
	}
	pending := p.pendingWork.Load()
	p.admittedCount.Store(0)
	p.enqueue(func() {
		p.lastWait.Store(int64(p.now().Sub(p.base)) - start)
		p.pendingWork.Add(-pending)
		p.measureStart.Store(0)
	})
}

// Wait returns the longer of the last measured wait and the duration of the measurement in progress.
func (p *Probe) Wait() time.Duration {
	if p == nil {
		return 0
	}
	wait := p.lastWait.Load()
	if start := p.measureStart.Load(); start != 0 {
		wait = max(wait, int64(p.now().Sub(p.base))-start)
	}
	return time.Duration(wait)
}
