// Package edgetest has what the tests of the packages beside it share.
package edgetest

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

const (
	untilEvery = 2 * time.Millisecond
	// untilMost is far above what any condition takes; a test that reaches it fails.
	untilMost = 30 * time.Second
)

// Until waits for a condition.
func Until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(untilEvery), poll.WithTimeout(untilMost))
}

// Lines collects a log. It is safe for concurrent use.
type Lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *Lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns what was written.
func (l *Lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
