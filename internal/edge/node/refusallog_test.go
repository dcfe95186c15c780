package node

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/state"
)

// A line reports the customer's tokens by outcome and the connections refused and closed since
// the previous line. Lines are written at most once a second, and only after a refusal.
func TestRefusalLogSummarizesRequestsAndConnections(t *testing.T) {
	var lines edgetest.LogBuffer
	s := state.New("dc", 0.2, 80, time.Now)
	n := &Node{
		log: slog.New(slog.NewTextHandler(&lines, nil)), state: s, limiter: &connLimiter{},
		handler: front.New(front.Config{State: s}),
	}
	refuse := func() {
		s.RecordHostOverload(state.Request{Customer: "flood", Meta: &routing.RequestMeta{TokensOut: 50}})
		n.limiter.refused.Add(3)
		n.limiter.closed.Add(2)
	}
	var refusals refusalLog
	now := time.Unix(1000, 0)
	for range 2 {
		refuse()
		refusals.logIfDue(context.Background(), n, now)
		now = now.Add(refusalLogInterval)
	}
	refusals.logIfDue(context.Background(), n, now) // nothing was refused since the previous line
	all := strings.Split(strings.TrimSpace(lines.String()), "\n")
	assert.Equal(t, len(all), 2, "%s", lines.String())
	for _, line := range all {
		for _, part := range []string{"event=351", "customer=flood", "asked=100", "hostLoad=100", "placed=0", "connectionsRefused=3", "connectionsClosed=2"} {
			assert.Assert(t, strings.Contains(line, part), "%s lacks %s", line, part)
		}
	}
	refuse()
	refusals.logIfDue(context.Background(), n, now.Add(refusalLogInterval/2))
	assert.Equal(t, strings.Count(lines.String(), "\n"), 2)
}
