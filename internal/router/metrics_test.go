package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/windscale/windscale/internal/standin/platform"
	"github.com/windscale/windscale/internal/standin/service"
)

// moved are the metrics that must have moved at one of the two routers after
// what TestEveryMetricIsFed does.
const moved = `
entry.denied_total.unauthorized
entry.customers.org/desk.requests_total
entry.customers.org/desk.answered_total
entry.customers.org/desk.refused_total.bad-request
entry.customers.org/desk.refused_total.not-found
entry.customers.org/desk.refused_total.bad-idempotency-key
entry.customers.org/desk.refused_total.bad-timeout
entry.customers.org/desk.refused_total.body-too-large
entry.customers.org/desk.refused_total.claim-mismatch
entry.customers.org/desk.refused_total.claims-unavailable
entry.customers.org/desk.refused_total.server-unreachable
entry.customers.org/strict.refused_total.forbidden
entry.customers.org/desk.unknown_total
entry.customers.org/desk.gone_total
entry.denied_total.method-not-allowed
entry.customers.org/desk.first_token.met_total
entry.customers.org/desk.between_tokens.met_total
entry.customers.org/desk.first_token_latency.sum_seconds
entry.customers.org/desk.total_latency.sum_seconds
entry.customers.org/desk.wait_latency.sum_seconds
sharing.pools.m/plan-7b.org/desk.service_cost
sharing.pools.m/plan-7b.org/desk.weighted_service_cost
sharing.pools.s/dispatch.org/desk.service_cost
sharing.servers.e1.slots
sharing.servers.e1.limit
sharing.servers.e1.ended_total
sharing.servers.d1.ended_total
sharing.servers.d1.refused_total
sharing.servers.d1.unknown_total
sharing.servers.d1.not_sent_total
sharing.servers.d1.leaving_total
sharing.grants_total
sharing.returns_total
sharing.estimates_total
sharing.estimated_cost_total
sharing.actual_cost_total
sharing.estimate_error_cost_total
sharing.counters_sent_total
sharing.counters_sent_bytes_total
sharing.counters_received_total
sharing.counters_received_bytes_total
link.sent_total
link.sent_bytes_total
link.received_total
link.received_bytes_total
link.connections
link.wire_sent_bytes_total
link.wire_received_bytes_total
link.packets_sent_total
members.alive_routers
members.changes_total
members.host_list_age_seconds
members.host_list_errors_total
settings.version
settings.in_force_seconds
settings.taken_total
settings.polls_total
settings.errors_total
claims.taken_total
claims.replayed_total
claims.conflict_total
claims.unknown_total
claims.table_errors_total
claims.batches_total
claims.batch_writes_total
retries.allowance_left_attempts.m/plan-7b
retries.spent_total
retries.denied_total
process.uptime_seconds
`

// flatten adds the numbers of v to out, by path.
func flatten(out map[string]float64, prefix string, v map[string]any) {
	for name, value := range v {
		switch value := value.(type) {
		case float64:
			out[prefix+name] += value
		case map[string]any:
			flatten(out, prefix+name+".", value)
		}
	}
}

// vars sums the numbers that the routers publish.
func vars(t *testing.T, nodes ...*node) map[string]float64 {
	t.Helper()
	out := map[string]float64{}
	for _, n := range nodes {
		var v map[string]any
		assert.NilError(t, json.Unmarshal([]byte(n.metrics.Var().String()), &v))
		flatten(out, "", v)
	}
	return out
}

func TestEveryMetricIsFed(t *testing.T) {
	f := newFleet(t)
	f.accept(0, "10s")
	f.addEngine("e1")
	svc := f.addServer("d1", service.New(service.Options{ID: "d1", Name: "dispatch", Slots: 4}))
	r1, r2 := f.start("r1", ""), f.start("r2", "")
	for _, r := range []*node{r1, r2} {
		r.untilReady(t, 1)
		r.untilServed(t)
	}
	const jobs, bookings = "/services/dispatch/jobs/1", "/services/dispatch/bookings"
	mode := func(m service.Mode, count int) {
		f.post("POST", svc.URL+"/_fault", service.Fault{Mode: m, Count: count})
	}
	call := func(want int, method, path, body string, header map[string]string) {
		t.Helper()
		code, answer := r1.call(t, method, path, body, header)
		assert.Equal(t, code, want, "%s %s: %s", method, path, answer)
	}
	booking := func(want int, key, body string) {
		t.Helper()
		call(want, "POST", bookings, body, map[string]string{"Idempotency-Key": key})
	}

	long := make(chan error, 1)
	go func() { long <- r1.chat(t, 200) }()
	until(t, "running gauge", func() bool { return vars(t, r1)["entry.customers.org/desk.running_requests"] > 0 })
	assert.NilError(t, <-long)
	until(t, "running gauge back", func() bool { return vars(t, r1)["entry.customers.org/desk.running_requests"] == 0 })

	booking(200, "a", "one truck")
	booking(200, "a", "one truck")  // replayed
	booking(422, "a", "two trucks") // mismatch
	mode(service.CutBefore, 1)
	booking(502, "b", "one truck")
	until(t, "outcome of the first told", func() bool {
		code, _ := r1.call(t, "POST", bookings, "one truck", map[string]string{"Idempotency-Key": "b"})
		return code == 502 // and unknown
	})
	mode(service.Refuse, 1)
	call(200, "GET", jobs, "", nil) // by a retry
	mode(service.Refuse, 0)
	until(t, "retries denied", func() bool {
		code, _ := r1.call(t, "GET", jobs, "", nil)
		return code == 503 && vars(t, r1)["retries.denied_total"] > 0
	})
	mode(service.OK, 0)

	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", r1.url()+"/v1/chat/completions",
		strings.NewReader(`{"model":"plan-7b","max_tokens":900,"messages":[{"role":"user","content":"leave"}]}`))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	left := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		left <- err
	}()
	until(t, "run of the caller that goes", func() bool { return r1.Status().Running > 0 })
	leave()
	assert.ErrorIs(t, <-left, context.Canceled)
	until(t, "caller gone", func() bool { return vars(t, r1)["entry.customers.org/desk.gone_total"] > 0 })

	call(405, "GET", "/v1/chat/completions", "", nil)
	call(401, "GET", jobs, "", map[string]string{"Authorization": "Bearer none"})
	call(403, "GET", jobs, "", map[string]string{"Authorization": "Bearer strict"})
	call(404, "GET", "/services/other/x", "", nil)
	call(400, "GET", "/services/dispatch/a/../b", "", nil)
	call(400, "POST", "/v1/chat/completions", "no JSON", nil)
	call(400, "GET", jobs, "", map[string]string{"Windscale-Timeout": "soon"})
	booking(400, "a b", "")
	call(413, "POST", jobs, strings.Repeat("x", 9<<20), nil)

	f.fault(standin.Table, standin.Down)
	f.fault(standin.Hosts, standin.Down)
	booking(503, "c", "one truck")
	svc.Listener.Close() // what is not dialled was not sent
	svc.CloseClientConnections()
	call(503, "POST", bookings, "one truck", nil)
	until(t, "outages counted", func() bool {
		v := vars(t, r1, r2)
		return v["members.host_list_errors_total"] > 0 && v["settings.errors_total"] > 0
	})

	v := vars(t, r1, r2)
	for name := range strings.FieldsSeq(moved) {
		assert.Check(t, v[name] > 0, "%s is still zero", name)
	}
	// Every request has one end.
	c := "entry.customers.org/desk."
	ends := v[c+"answered_total"] + v[c+"unknown_total"] + v[c+"failed_total"] + v[c+"gone_total"]
	for name, n := range v {
		if strings.HasPrefix(name, c+"refused_total.") {
			ends += n
		}
	}
	assert.Equal(t, ends, v[c+"requests_total"])
}
