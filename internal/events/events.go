// Package events numbers what the programs log. Each event has an entry in
// docs/EVENTS.md: its meaning and what to do.
package events

import (
	"context"
	"log/slog"
)

// Event is a numbered log event. Numbers are never given twice: 1xx process,
// 2xx settings, 3xx entry and outcomes, 4xx sharing and servers, 5xx links
// and members, 6xx claims, 7xx platform.
type Event struct {
	Num  int
	Name string
}

// Log writes the event with its attributes.
func (e Event) Log(ctx context.Context, l *slog.Logger, level slog.Level, args ...any) {
	l.Log(ctx, level, e.Name, append([]any{attrNum, e.Num}, args...)...)
}

// The events of the process.
var (
	ProcessStarted  = Event{101, "process started"}
	ProcessReady    = Event{102, "process ready"}
	DrainStarted    = Event{103, "drain started"}
	DrainEnded      = Event{104, "drain ended"}
	ProcessFailed   = Event{105, "process failed"}
	ListenerStarted = Event{106, "listener started"}
)
