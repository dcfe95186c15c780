package router

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/problem"
	"github.com/windscale/windscale/internal/proxy"
)

// Each request has one end, which is what its caller was told; only streams
// are held to the objectives for tokens.
func TestEveryRequestHasOneEnd(t *testing.T) {
	s := &settings.Snapshot{Customers: map[msg.CustomerID]*settings.Customer{
		"c": {Objective: settings.Objective{FirstToken: time.Second, BetweenTokens: time.Second}},
	}}
	for _, c := range []struct {
		f    proxy.Finish
		want string
	}{
		{proxy.Finish{Outcome: attempt.Completed, First: time.Hour}, "answered_total"},
		{proxy.Finish{Outcome: attempt.Completed, First: time.Hour, Tokens: 1}, "answered_total first_token.missed_total"},
		{proxy.Finish{Outcome: attempt.Completed, First: 1, Tokens: 2, Between: time.Hour}, "answered_total between_tokens.missed_total first_token.met_total"},
		{proxy.Finish{Outcome: attempt.NotSent, Problem: problem.QueueFull.Name}, "refused_total.queue-full"},
		{proxy.Finish{Outcome: attempt.Refused, Problem: problem.ServerRefused.Name}, "refused_total.server-refused"},
		{proxy.Finish{Outcome: attempt.Unknown, Problem: problem.ServerLost.Name}, "unknown_total"},
		{proxy.Finish{Problem: problem.ServerLost.Name}, "unknown_total"}, // a forgotten outcome is no refusal
		{proxy.Finish{Outcome: attempt.Completed, Problem: problem.AnswerLost.Name}, "failed_total"},
		{proxy.Finish{Outcome: attempt.Unknown, Broken: true}, "failed_total"},
		{proxy.Finish{Outcome: attempt.Unknown, Problem: problem.Deadline.Name, Gone: true}, "gone_total"},
	} {
		m := metrics.New()
		m.Entry.SetCustomers([]msg.CustomerID{"c"})
		m.Entry.Customer("c").Request()
		o := &observer{metrics: m, served: newServed(), snapshot: func() *settings.Snapshot { return s }}
		c.f.Customer = "c"
		o.Finish(c.f)
		var all struct {
			Entry struct{ Customers map[string]map[string]any }
		}
		assert.NilError(t, json.Unmarshal([]byte(m.Var().String()), &all))
		got := map[string]float64{}
		flatten(got, "", all.Entry.Customers["c"])
		moved := ""
		for _, name := range []string{"answered_total", "between_tokens.met_total", "between_tokens.missed_total", "failed_total",
			"first_token.met_total", "first_token.missed_total", "gone_total", "refused_total." + c.f.Problem, "unknown_total"} {
			if got[name] > 0 {
				moved += " " + name
			}
		}
		assert.Equal(t, moved, " "+c.want, fmt.Sprintf("%+v", c.f))
	}
}
