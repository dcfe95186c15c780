package engine

import (
	"context"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
)

// jobKey names one attempt of one request.
type jobKey struct {
	id      string
	attempt string
}

// job is one request at the engine, from its arrival until it is forgotten.
// Its fields below the line are guarded by the batch's mutex.
type job struct {
	key          jobKey
	model        string
	prompt       string
	promptTokens int
	answer       answer.Completion
	idempotency  string
	slowFirst    time.Duration
	// ---
	run     backend.Handle
	started bool
	readyAt time.Time // when its first token may come
	emitted int       // tokens generated
	ended   bool      // all tokens are there
	stopped bool      // cancelled
	reader  *reader   // who gets the tokens; nil: nobody
	gone    uint64    // counts the times its reader went
}

// reader is a connection that gets the tokens of a job.
type reader struct {
	wake chan struct{} // holds one token of notice
}

func newReader() *reader { return &reader{wake: make(chan struct{}, 1)} }

func (r *reader) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// batch runs jobs in slots by steps, as continuous batching does: each step
// gives every running job that is past its prefill one token.
type batch struct {
	opts   Options
	record *backend.Record
	load   *backend.LoadHistory

	mu      sync.Mutex
	jobs    map[jobKey]*job
	queue   []*job
	running []*job
	cache   *prefixCache
	work    chan struct{} // holds one notice that there is work
}

func newBatch(opts Options) *batch {
	return &batch{
		opts:   opts,
		record: &backend.Record{},
		load:   backend.NewLoadHistory(opts.ReportLag),
		jobs:   map[jobKey]*job{},
		cache:  newPrefixCache(opts.CacheBlocks),
		work:   make(chan struct{}, 1),
	}
}

// submit queues a job with its reader. It says false if the engine has the
// attempt already.
func (b *batch) submit(j *job, r *reader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.jobs[j.key]; known {
		return false
	}
	j.reader = r
	b.jobs[j.key] = j
	b.queue = append(b.queue, j)
	b.note()
	select {
	case b.work <- struct{}{}:
	default:
	}
	return true
}

// attach makes r the reader of a job in place of the one before. It returns
// nil if there is no such job or it was cancelled.
func (b *batch) attach(key jobKey, r *reader) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[key]
	if j == nil || j.stopped {
		return nil
	}
	if j.reader != nil {
		j.reader.notify()
	}
	j.reader = r
	return j
}

// state returns how far a job is, and whether r still reads it.
func (b *batch) state(j *job, r *reader) (emitted int, ended, mine bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return j.emitted, j.ended, j.reader == r && !j.stopped
}

// detach says that a reader went. Unless another comes within the resume
// window, the job is cancelled, or forgotten if it has ended.
func (b *batch) detach(j *job, r *reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.reader != r {
		return
	}
	j.reader = nil
	j.gone++
	gone := j.gone
	time.AfterFunc(b.opts.ResumeWindow, func() { b.expire(j, gone) })
}

func (b *batch) expire(j *job, gone uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.reader != nil || j.gone != gone {
		return
	}
	b.stop(j)
	delete(b.jobs, j.key)
}

// cancel stops a job and says whether there was one.
func (b *batch) cancel(key jobKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[key]
	if j == nil {
		return false
	}
	b.stop(j)
	delete(b.jobs, key)
	return true
}

// cancelAll stops every job.
func (b *batch) cancelAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, j := range b.jobs {
		b.stop(j)
		delete(b.jobs, key)
	}
}

// stop takes a job out of the queue or its slot. The mutex is held.
func (b *batch) stop(j *job) {
	if j.ended || j.stopped {
		return
	}
	j.stopped = true
	b.queue = without(b.queue, j)
	b.running = without(b.running, j)
	if j.started {
		b.record.Cancel(j.run, j.emitted)
	}
	if j.reader != nil {
		j.reader.notify()
	}
	b.note()
}

// idle says whether nothing waits or runs.
func (b *batch) idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)+len(b.running) == 0
}

// run steps the batch until ctx ends.
func (b *batch) run(ctx context.Context) {
	next := time.Now()
	for {
		if b.idle() {
			select {
			case <-ctx.Done():
				return
			case <-b.work:
			}
			next = time.Now()
		}
		next = next.Add(b.step(time.Now()))
		if late := time.Since(next); late > maxCatchUp {
			next = time.Now()
		}
		if !pause.For(ctx, time.Until(next)) {
			return
		}
	}
}

// maxCatchUp is how far the steps may lag behind the clock before the engine
// gives up catching up.
const maxCatchUp = 100 * time.Millisecond

// step fills the free slots, gives each running job past its prefill a token,
// and returns how long the step takes.
func (b *batch) step(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	for _, j := range append([]*job(nil), b.running...) {
		if now.Before(j.readyAt) {
			continue
		}
		b.emit(j)
	}
	return b.stepTime()
}

func (b *batch) fill(now time.Time) {
	for len(b.queue) > 0 && len(b.running) < b.opts.Slots {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running = append(b.running, j)
		b.start(j, now)
		b.note()
	}
}

func (b *batch) start(j *job, now time.Time) {
	uncached := j.promptTokens - b.cache.admit(j.prompt)
	prefill := b.opts.Prefill * time.Duration(uncached) / prefillUnit
	j.readyAt = now.Add(prefill + j.slowFirst)
	j.started = true
	j.run = b.record.Begin(backend.Run{ID: j.key.id, Attempt: j.key.attempt, Key: j.idempotency, Path: chatPath})
}

func (b *batch) emit(j *job) {
	j.emitted++
	if j.emitted == j.answer.Len() {
		j.ended = true
		b.running = without(b.running, j)
		b.record.End(j.run, j.emitted)
		b.note()
	}
	if j.reader != nil {
		j.reader.notify()
	}
}

// stepTime is the time of one step: longer once more run than the knee.
func (b *batch) stepTime() time.Duration {
	step := time.Duration(float64(time.Second) / b.opts.Rate)
	if over := len(b.running) - b.opts.Knee; b.opts.Knee > 0 && over > 0 {
		step += step * time.Duration(over) / time.Duration(b.opts.Knee)
	}
	return step
}

func (b *batch) note() { b.load.Note(len(b.running), len(b.queue)) }

func without(jobs []*job, j *job) []*job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}
