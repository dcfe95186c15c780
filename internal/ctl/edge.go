package ctl

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// maxMetrics bounds the metrics that are read of one router: 1,000 customers with
// a row for each reason of a refusal are some 2 MB.
const maxMetrics = 16 << 20

// The gauges that are read; docs/METRICS.md says what they hold.
const (
	gaugeReady                = "windscale_edge_ready"
	gaugeConfigurationVersion = "windscale_edge_configuration_version"
	gaugeViewAge              = "windscale_edge_view_age_seconds"
	gaugeRouters              = "windscale_edge_routers"
	gaugeRunning              = "windscale_edge_running"
	gaugeProcessorWait        = "windscale_edge_processor_wait_seconds"
	gaugeCallersConnections   = "windscale_edge_callers_connections"
	gaugeLinesDropped         = "windscale_edge_log_lines_dropped"
	gaugeRollouts             = "windscale_edge_rollouts"
)

// edgeStatus is what a windscale-edge says of itself by its metrics.
type edgeStatus struct {
	Addr            string  `json:"addr"`
	Error           string  `json:"error,omitempty"` // why nothing else is known
	Ready           bool    `json:"ready"`
	Settings        int64   `json:"configurationVersion"` // 0: none in force
	ViewAgeSeconds  float64 `json:"viewAgeSeconds"`       // of the last word of the store
	Routers         int     `json:"routersHeard"`
	Running         int     `json:"running"`
	ProcessorWaitMs float64 `json:"processorWaitMs"`
	Connections     int     `json:"callersConnections"`
	LinesDropped    int64   `json:"logLinesDropped"`
	// Rollouts are the roll-outs that the router knows of.
	Rollouts []edgeRollout `json:"rollouts,omitempty"`
}

// edgeRollout is a roll-out as a windscale-edge knows it.
type edgeRollout struct {
	Service string `json:"service"`
	To      string `json:"to"` // the new version
	Phase   string `json:"phase"`
}

// String returns it as the table shows it.
func (r edgeRollout) String() string { return r.Service + ">" + r.To + ":" + r.Phase }

// edges shows routers on the users' platform.
func (c *statusCommand) edges(ctx context.Context, a *app) error {
	list := make([]edgeStatus, len(c.Edge))
	var all sync.WaitGroup
	for i, addr := range c.Edge {
		all.Go(func() { list[i] = a.edge(ctx, addr) })
	}
	all.Wait()
	return a.show(list, "ROUTER READY SETTINGS VIEW-AGE HEARS RUNNING PROCESSOR-WAIT CONNECTIONS LINES-DROPPED ROLL-OUTS", func(add func(...any)) {
		for _, s := range list {
			if s.Error != "" {
				add(s.Addr, "no answer: "+s.Error, "?", "?", "?", "?", "?", "?", "?", "?")
				continue
			}
			add(s.Addr, s.Ready, s.Settings, oneDigit(s.ViewAgeSeconds)+"s", s.Routers, s.Running,
				oneDigit(s.ProcessorWaitMs)+"ms", s.Connections, s.LinesDropped, s.rollouts())
		}
	})
}

// rollouts lists the roll-outs for a cell of the table.
func (s *edgeStatus) rollouts() string {
	if len(s.Rollouts) == 0 {
		return "-"
	}
	shown := make([]string, len(s.Rollouts))
	for i, r := range s.Rollouts {
		shown[i] = r.String()
	}
	return strings.Join(shown, ",")
}

// edge reads one router's metrics.
func (a *app) edge(ctx context.Context, addr string) edgeStatus {
	s := edgeStatus{Addr: addr}
	families, err := a.edgeMetrics(ctx, addr)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	values := gauges(families)
	s.Ready = values[gaugeReady] == 1
	s.Settings = int64(values[gaugeConfigurationVersion])
	s.ViewAgeSeconds = values[gaugeViewAge]
	s.Routers = int(values[gaugeRouters])
	s.Running = int(values[gaugeRunning])
	s.ProcessorWaitMs = values[gaugeProcessorWait] * float64(time.Second/time.Millisecond)
	s.Connections = int(values[gaugeCallersConnections])
	s.LinesDropped = int64(values[gaugeLinesDropped])
	for _, m := range families[gaugeRollouts].GetMetric() {
		labels := map[string]string{}
		for _, l := range m.GetLabel() {
			labels[l.GetName()] = l.GetValue()
		}
		s.Rollouts = append(s.Rollouts, edgeRollout{Service: labels["service"], To: labels["to"], Phase: labels["phase"]})
	}
	return s
}

// gauges returns the gauges without labels by their names.
func gauges(families map[string]*dto.MetricFamily) map[string]float64 {
	values := map[string]float64{}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			if g := m.GetGauge(); g != nil && len(m.GetLabel()) == 0 {
				values[name] = g.GetValue()
			}
		}
	}
	return values
}

// edgeMetrics returns a router's metrics by their names.
func (a *app) edgeMetrics(ctx context.Context, addr string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, &InputError{Err: err}
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &EdgeError{Status: resp.Status}
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, maxMetrics))
	if err != nil {
		return nil, err
	}
	if v, ok := gauges(families)[gaugeReady]; !ok || math.IsNaN(v) {
		return nil, &EdgeError{Status: "no windscale-edge answers there"}
	}
	return families, nil
}

// EdgeError is an answer that holds no router's metrics.
type EdgeError struct{ Status string }

// Error implements error.
func (e *EdgeError) Error() string { return e.Status }
