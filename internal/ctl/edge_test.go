package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/meter"
)

// edgePage is a router's metrics listener.
func edgePage(t *testing.T, ready float64) string {
	t.Helper()
	m := meter.New()
	for name, value := range map[string]float64{
		gaugeReady: ready, gaugeConfigurationVersion: 49, gaugeViewAge: 0.25, gaugeRouters: 63,
		gaugeRunning: 12, gaugeProcessorWait: 0.0305, gaugeCallersConnections: 90, gaugeLinesDropped: 3,
	} {
		m.Gauge(strings.TrimPrefix(name, "windscale_edge_"), "", func() float64 { return value })
	}
	m.Refused("ana", "no capacity: busy")
	m.LabelledGauge(strings.TrimPrefix(gaugeRollouts, "windscale_edge_"), "", []string{"service", "to", "phase"}, func(emit func(float64, ...string)) {
		emit(1, "llm", "v2", "canary")
	})
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.Handler())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestStatusOfEdgeRouters(t *testing.T) {
	up := edgePage(t, 1)
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	wrong := strings.TrimPrefix(other.URL, "http://")
	var out, note bytes.Buffer
	code := Run(context.Background(), []string{"status", "--edge", up, "--edge", wrong}, &out, &note)
	assert.Equal(t, code, 0, note.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3, out.String())
	assert.DeepEqual(t, strings.Fields(lines[1]), []string{up, "true", "49", "0.2s", "63", "12", "30.5ms", "90", "3", "llm>v2:canary"})
	assert.Assert(t, strings.Contains(lines[2], wrong+"  no answer: 404"), lines[2])

	out.Reset()
	assert.Equal(t, Run(context.Background(), []string{"--output", "json", "status", "--edge", up}, &out, &note), 0)
	var list []edgeStatus
	assert.NilError(t, json.Unmarshal(out.Bytes(), &list))
	assert.DeepEqual(t, list, []edgeStatus{{
		Addr: up, Ready: true, Settings: 49, ViewAgeSeconds: 0.25, Routers: 63, Running: 12,
		ProcessorWaitMs: 30.5, Connections: 90, LinesDropped: 3,
		Rollouts: []edgeRollout{{Service: "llm", To: "v2", Phase: "canary"}},
	}})
}

// The gauges that are read are those that routers have: the page of metrics is
// compared with them by another test.
func TestEdgeGaugesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	for _, name := range []string{
		gaugeReady, gaugeConfigurationVersion, gaugeViewAge, gaugeRouters, gaugeRunning,
		gaugeProcessorWait, gaugeCallersConnections, gaugeLinesDropped, gaugeRollouts,
	} {
		assert.Assert(t, strings.Contains(string(page), "| "+name+" |"), name)
	}
}
