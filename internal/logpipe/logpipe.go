// Package logpipe writes log lines to an output that may be slow or stuck
// without ever holding up who logs: lines wait in a bounded queue, and what
// does not fit or is above the rate is dropped, counted and told.
package logpipe

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/windscale/windscale/internal/events"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 512
	// linesPerSecond and linesAtOnce bound what is written: at most 200 lines a
	// second and process (issue 11).
	linesPerSecond = 200
	linesAtOnce    = 400
	// tellEvery is how often dropped lines are told.
	tellEvery = time.Second
)

// Pipe is an io.Writer that never blocks. Each Write is one line.
type Pipe struct {
	out     io.Writer
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
}

// New returns a pipe to out. Run must be running for lines to be written.
func New(out io.Writer) *Pipe {
	return &Pipe{
		out:   out,
		queue: make(chan []byte, queueLines),
		limit: rate.NewLimiter(linesPerSecond, linesAtOnce),
	}
}

// Write implements io.Writer. It takes the line or drops it.
func (p *Pipe) Write(line []byte) (int, error) {
	if !p.limit.Allow() {
		p.drop()
		return len(line), nil
	}
	own := append([]byte(nil), line...)
	select {
	case p.queue <- own:
	default:
		p.drop()
	}
	return len(line), nil
}

func (p *Pipe) drop() {
	p.dropped.Add(1)
	p.total.Add(1)
}

// Dropped returns how many lines were dropped since the start.
func (p *Pipe) Dropped() int64 { return p.total.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (p *Pipe) Run(ctx context.Context, log *slog.Logger) error {
	tell := time.NewTicker(tellEvery)
	defer tell.Stop()
	for {
		select {
		case line := <-p.queue:
			p.put(line)
		case <-tell.C:
			if n := p.dropped.Swap(0); n > 0 {
				events.LogDropped.Log(ctx, log, slog.LevelWarn, "lines", n)
			}
		case <-ctx.Done():
			p.flush()
			return ctx.Err()
		}
	}
}

// flush writes what waits.
func (p *Pipe) flush() {
	for {
		select {
		case line := <-p.queue:
			p.put(line)
		default:
			return
		}
	}
}

// put writes one line. A line that can't be written is counted: there is
// nowhere else to tell it.
func (p *Pipe) put(line []byte) {
	if _, err := p.out.Write(line); err != nil {
		p.total.Add(1)
	}
}
