package events

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRepeatedEventsAreLeftOutAndCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := slog.New(Limit(slog.NewTextHandler(&out, nil), 1, 2, func() time.Time { return now }))
	flood := Event{1, "flood"}
	other := Event{2, "other"}
	for range 10 {
		flood.Log(context.Background(), log.With("router", "r1"), slog.LevelInfo)
	}
	other.Log(context.Background(), log, slog.LevelInfo)
	log.Info("without a number")
	assert.Equal(t, strings.Count(out.String(), "msg=flood"), 2)
	assert.Equal(t, strings.Count(out.String(), "msg=other"), 1)
	assert.Equal(t, strings.Count(out.String(), "without a number"), 1)

	out.Reset()
	now = now.Add(time.Second)
	flood.Log(context.Background(), log, slog.LevelInfo)
	assert.Assert(t, strings.Contains(out.String(), "leftOut=8"), out.String())
}
