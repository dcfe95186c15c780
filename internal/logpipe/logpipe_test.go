package logpipe

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// While the output is blocked, logging does not block: lines are dropped and counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	p := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	log := slog.New(slog.NewTextHandler(p, nil))
	go func() {
		defer close(done)
		_ = p.Run(ctx, log)
	}()
	const lines = 5000
	for range lines {
		log.Info("line")
	}
	assert.Assert(t, p.Dropped() >= lines-maxQueuedLines-lineBurst, "%d", p.Dropped())
	close(out.release)
	cancel()
	<-done
}

// Lines above the rate limit are dropped, and their number is logged within a second.
func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	p := New(&out)
	log := slog.New(slog.NewTextHandler(p, nil))
	const excess = 300
	start := time.Now()
	for range lineBurst + excess {
		log.Info("line")
	}
	allowed := int64(time.Since(start).Seconds()*linesPerSecond) + 1 // lines that the rate limit allowed meanwhile
	dropped := p.Dropped()
	assert.Assert(t, dropped >= excess-allowed, "%d dropped, %d allowed", dropped, allowed)
	ctx, cancel := context.WithTimeout(context.Background(), dropReportInterval+dropReportInterval/2)
	defer cancel()
	assert.Assert(t, p.Run(ctx, log) != nil)
	text := out.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"), text[max(0, len(text)-300):])
	assert.Assert(t, strings.Count(text, "msg=line") <= maxQueuedLines)
}
