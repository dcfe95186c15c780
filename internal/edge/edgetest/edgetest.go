// Package edgetest provides helpers shared by the tests of the edge packages.
package edgetest

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

const (
	pollInterval = 2 * time.Millisecond
	// pollTimeout is far longer than any condition takes.
	pollTimeout = 30 * time.Second
)

// Until waits until cond holds. The test fails with what was awaited if that takes too long.
func Until(t testing.TB, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(pollInterval), poll.WithTimeout(pollTimeout))
}

// LogBuffer collects log output. It is safe for concurrent use.
type LogBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what was written so far.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
