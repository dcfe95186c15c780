package node

import (
	"expvar"
	"net/http"
	"time"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/edge/peers"
)

// metricsServer serves the metrics in text format and as expvar.
func (n *Node) metricsServer() *http.Server {
	n.meter.Gauge("running", "Requests in progress.", func() float64 { return float64(n.handler.InFlight()) })
	n.meter.Gauge("configuration_version", "Version of the configuration in force; 0: none.", func() float64 { return float64(n.state.Version()) })
	n.meter.Gauge("ready", "1 if this router takes connections.", func() float64 {
		if n.ready() {
			return 1
		}
		return 0
	})
	n.meter.Gauge("contents_blocked", "Contents that are sent to no server, since servers end under them.", func() float64 { return float64(n.state.BlockedCount(poison.Contents)) })
	n.meter.Gauge("parts_blocked", "Parts of prompts that are sent to no server, since servers crash under them.", func() float64 { return float64(n.state.BlockedCount(poison.Parts)) })
	n.meter.Gauge("store_era", "How often the platform's store has come back from a copy, as far as it says.", func() float64 { return float64(n.state.Era()) })
	n.meter.Gauge("data_centres_evacuated", "Data centres to whose servers nothing is sent.", func() float64 { return float64(n.state.EvacuatedCount()) })
	n.meter.LabelledGauge("rollouts", "Roll-outs by service, version and phase.", []string{"service", "to", "phase"}, func(emit func(float64, ...string)) {
		for _, r := range n.state.Rollouts() {
			emit(1, r.Order.Service, r.Order.To, r.Phase.String())
		}
	})
	n.meter.Gauge("servers_cold", "Backend servers that count as cold.", func() float64 { return float64(n.state.ColdCount()) })
	n.meter.Gauge("servers_unusual_speed", "Engines with a speed class other than that of the median.", func() float64 { return float64(n.state.UnusualEngines()) })
	n.meter.Gauge("servers_leaving", "Backend servers that said in an answer that they are leaving.", func() float64 { return float64(n.state.LeavingCount()) })
	n.meter.Gauge("servers_backoff", "Backend servers that asked for no requests for a time that is not over.", func() float64 { return float64(n.state.BackoffCount()) })
	n.meter.Gauge("routers", "Other routers heard lately.", func() float64 { return float64(n.peers.Live()) })
	n.meter.Gauge("streams_known", "Streams of which this router remembers the software version that began them.", func() float64 { return float64(n.peers.StreamCount()) })
	n.meter.Gauge("connections_opened", "Connections opened to servers since the start.", func() float64 { return float64(n.pool.Dials()) })
	n.meter.Gauge("response_memory_bytes", "Memory of long heads, events and bodies of responses.", func() float64 { return float64(n.responseMemory.Used()) })
	n.meter.Gauge("view_age_seconds", "Age of the last answer of the store.", func() float64 {
		_, age := n.state.Table()
		return min(age, time.Hour).Seconds()
	})
	n.meter.Gauge("processor_wait_seconds", "For how long what could run waits for the processor.", func() float64 { return n.probe.Wait().Seconds() })
	n.meter.Gauge("callers_connections", "Connections of callers.", func() float64 { return float64(n.limiter.open.Load()) })
	n.meter.Gauge("callers_turned_away", "Connections of callers closed without an answer since the start: too many, or no descriptor left.", func() float64 { return float64(n.limiter.closed.Load()) })
	n.meter.Gauge("callers_refused", "Connections of callers whose request was refused since the start for being too many.", func() float64 { return float64(n.limiter.refused.Load()) })
	n.meter.Gauge("log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(n.droppedLogLines()) })
	n.peerMetrics()
	n.relayMetrics()
	n.receiverMetrics()
	n.schedulerMetrics()
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.meter.Handler())
	mux.Handle("/debug/vars", expvar.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// peerMetrics registers the metrics of the traffic with other routers.
func (n *Node) peerMetrics() {
	stats := &n.peers.Stats
	stats.EachSent(func(kind string, t *peers.Traffic) {
		labels := map[string]string{"kind": kind}
		n.meter.Counter("heartbeats_total", "Heartbeats sent to other routers.", labels, func() float64 { return float64(t.Messages.Load()) })
		n.meter.Counter("heartbeat_bytes_total", "Their bytes.", labels, func() float64 { return float64(t.Bytes.Load()) })
	})
	stats.EachTruncated(func(part string, omitted func() int64) {
		n.meter.Counter("heartbeat_left_out_total", "Entries that found no room in a heartbeat.", map[string]string{"part": part}, func() float64 { return float64(omitted()) })
	})
	for direction, t := range map[string]*peers.Traffic{"given": stats.Served(), "fetched": stats.Fetched()} {
		labels := map[string]string{"direction": direction}
		n.meter.Counter("views_total", "Views, lists and configurations given to other routers or fetched from them.", labels, func() float64 { return float64(t.Messages.Load()) })
		n.meter.Counter("view_bytes_total", "Their bytes.", labels, func() float64 { return float64(t.Bytes.Load()) })
	}
}

// schedulerMetrics registers the metrics of the decisions for the routers of this data centre.
func (n *Node) schedulerMetrics() {
	stats := &n.peers.Stats.Scheduler
	n.meter.Gauge("scheduler", "1 if this router schedules the requests of its data centre.", func() float64 {
		if n.peers.IsScheduler(n.clock.Now()) {
			return 1
		}
		return 0
	})
	n.meter.Gauge("scheduler_queue", "Requests that wait here for a server.", func() float64 { return float64(n.state.Waiting()) })
	stats.EachVerdict(func(verdict string, count func() int64) {
		n.meter.Counter("scheduler_decisions_total", "Decisions for the routers of this data centre.", map[string]string{"verdict": verdict}, func() float64 { return float64(count()) })
	})
	n.meter.Counter("scheduler_waits_total", "Queued requests on which this router has decided.", nil, func() float64 {
		waits, _ := stats.Waited()
		return float64(waits)
	})
	n.meter.Counter("scheduler_waited_seconds_total", "Their time in the queue.", nil, func() float64 {
		_, total := stats.Waited()
		return total.Seconds()
	})
}
