// Package logpipe writes log lines to an output that may be slow or blocked without ever
// blocking the goroutine that logs. Lines wait in a bounded queue; lines that don't fit or
// exceed the rate limit are dropped, counted and reported.
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
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 512
	// linesPerSecond and lineBurst bound what is written: at most 200 lines per second and
	// process (issue 11).
	linesPerSecond = 200
	lineBurst      = 400
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
)

// Pipe is an io.Writer that never blocks. Each Write is one line.
type Pipe struct {
	out          io.Writer
	queue        chan []byte
	limit        *rate.Limiter
	unreported   atomic.Int64 // lines dropped since the last report
	droppedTotal atomic.Int64 // lines dropped or failed to be written since the start
}

// New returns a pipe to out. Lines are written while Run is running.
func New(out io.Writer) *Pipe {
	return &Pipe{
		out:   out,
		queue: make(chan []byte, maxQueuedLines),
		limit: rate.NewLimiter(linesPerSecond, lineBurst),
	}
}

// Write implements io.Writer. It queues the line or drops it.
func (p *Pipe) Write(line []byte) (int, error) {
	if !p.limit.Allow() {
		p.countDropped()
		return len(line), nil
	}
	queued := append([]byte(nil), line...)
	select {
	case p.queue <- queued:
	default:
		p.countDropped()
	}
	return len(line), nil
}

func (p *Pipe) countDropped() {
	p.unreported.Add(1)
	p.droppedTotal.Add(1)
}

// Dropped returns how many lines were lost since the start.
func (p *Pipe) Dropped() int64 { return p.droppedTotal.Load() }

// Run writes lines until ctx ends, and then the lines that are still queued.
func (p *Pipe) Run(ctx context.Context, log *slog.Logger) error {
	report := time.NewTicker(dropReportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-p.queue:
			p.writeLine(line)
		case <-report.C:
			if n := p.unreported.Swap(0); n > 0 {
				events.LogDropped.Log(ctx, log, slog.LevelWarn, "lines", n)
			}
		case <-ctx.Done():
			p.flush()
			return ctx.Err()
		}
	}
}

// flush writes the queued lines.
func (p *Pipe) flush() {
	for {
		select {
		case line := <-p.queue:
			p.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line. A failure is only counted: there is nowhere else to report it.
func (p *Pipe) writeLine(line []byte) {
	if _, err := p.out.Write(line); err != nil {
		p.droppedTotal.Add(1)
	}
}
