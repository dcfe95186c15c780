// Package meter has the Prometheus metrics of windscale-edge, which the metrics listener serves.
// Label cardinality is bounded: services, customers and reasons come from the current configuration
// and from fixed lists, and server IDs are not used as labels. docs/METRICS.md lists every metric.
package meter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are the upper bounds of the latency histograms, in seconds. Latency targets are
// 0.1 s to 1 s, deadlines 1.5 s to 15 s.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .6, 1, 2, 4, 8, 16}

// askBuckets are the upper bounds of the histogram of asks, in seconds. An answer takes less than a
// millisecond; a queued ask waits for up to the latency target.
var askBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .06, .1, .2, .4, 1}

// maxCustomerLabels limits the values of the customer label. Further customers count as other.
const maxCustomerLabels = 1000

// overflowLabel is the label value of everything over the limit.
const overflowLabel = "other"

// Meter holds all metrics of a process. It is safe for concurrent use.
type Meter struct {
	registry  *prometheus.Registry
	customers *labelSet

	responses     *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	firstResponse *prometheus.HistogramVec
	fullResponse  *prometheus.HistogramVec
	attempts      *prometheus.CounterVec
	failures      *prometheus.CounterVec
	health        *prometheus.CounterVec
	fetches       prometheus.Counter
	storeFailures *prometheus.CounterVec
	serverCrashes *prometheus.CounterVec
	endChecks     *prometheus.CounterVec
	badRows       *prometheus.CounterVec
	asks          *prometheus.CounterVec
	askSeconds    prometheus.Histogram
}

// New returns the metrics of a process.
func New() *Meter {
	m := &Meter{
		registry:      prometheus.NewRegistry(),
		customers:     newLabelSet(maxCustomerLabels),
		responses:     counter("answers_total", "Answers of servers passed on whole.", "service", "status"),
		refusals:      counter("refusals_total", "Requests refused by the router itself.", "customer", "reason"),
		firstResponse: histogram("first_seconds", "From a request's arrival to its first event or answer.", "service"),
		fullResponse:  histogram("whole_seconds", "From a request's arrival to the end of its answer.", "service"),
		attempts:      counter("attempts_total", "Requests sent to a server.", "service", "again"),
		failures:      counter("attempt_failures_total", "Attempts that brought no whole answer.", "service", "why"),
		health:        counter("beliefs_total", "Changes of belief about servers.", "service", "change"),
		fetches:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "fetches_total", Help: "Requests whose server was told to fetch parts of the prompt."}),
		storeFailures: counter("store_failures_total", "Calls to the platform's store that failed.", "what", "kind"),
		badRows:       counter("store_bad_rows_total", "Rows of the platform's store that became unusable.", "what"),
		serverCrashes: counter("server_ends_total", "Servers that ended, or broke their connection, under a request.", "service"),
		endChecks:     counter("end_checks_total", "Checks whether a server outlived its close-delimited response.", "service", "result"),
		asks:          counter("asks_total", "Requests for which the scheduler was to decide.", "outcome"),
		askSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "ask_seconds", Help: "From an ask to its decision, or to when it was given up.", Buckets: askBuckets,
		}),
	}
	m.registry.MustRegister(m.endChecks, m.asks, m.askSeconds, m.serverCrashes, m.badRows, m.responses, m.refusals, m.firstResponse, m.fullResponse, m.attempts, m.failures, m.health, m.fetches, m.storeFailures)
	return m
}

// namespace is the prefix of every metric name.
const namespace = "windscale_edge"

func counter(name, help string, labelNames ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labelNames)
}

func histogram(name, help string, labelNames ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, labelNames)
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Meter) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Counter registers a counter whose value is read at each scrape. Several may share a name if their
// labels differ.
func (m *Meter) Counter(name, help string, labels map[string]string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, value))
}

// Handler returns the handler for scrapes.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts a response that was forwarded completely.
func (m *Meter) Answered(service string, status int, took time.Duration) {
	m.responses.WithLabelValues(service, strconv.Itoa(status)).Inc()
	m.fullResponse.WithLabelValues(service).Observe(took.Seconds())
}

// FirstResponse records the time to a request's first event or complete response.
func (m *Meter) FirstResponse(service string, took time.Duration) {
	m.firstResponse.WithLabelValues(service).Observe(took.Seconds())
}

// Refused counts a refusal by the router itself.
func (m *Meter) Refused(customer, reason string) {
	m.refusals.WithLabelValues(m.customers.bound(customer), reason).Inc()
}

// Sent counts a request that is sent to a server.
func (m *Meter) Sent(service string, retry, remoteFetch bool) {
	m.attempts.WithLabelValues(service, strconv.FormatBool(retry)).Inc()
	if remoteFetch {
		m.fetches.Inc()
	}
}

// Asked counts a request for which the scheduler was to decide, and the time that this took.
func (m *Meter) Asked(outcome string, took time.Duration) {
	m.asks.WithLabelValues(outcome).Inc()
	if took > 0 {
		m.askSeconds.Observe(took.Seconds())
	}
}

// AttemptFailed counts an attempt that did not get a complete response.
func (m *Meter) AttemptFailed(service, why string) { m.failures.WithLabelValues(service, why).Inc() }

// HealthChange counts a change in a server's health.
func (m *Meter) HealthChange(service, kind string) { m.health.WithLabelValues(service, kind).Inc() }

// ServerCrashed counts a server that may have crashed while it ran a request.
func (m *Meter) ServerCrashed(service string) { m.serverCrashes.WithLabelValues(service).Inc() }

// EndChecked counts a check whether a server outlived its close-delimited response.
func (m *Meter) EndChecked(service, result string) {
	m.endChecks.WithLabelValues(service, result).Inc()
}

// BadRow counts a row of the platform's store that became unusable.
func (m *Meter) BadRow(what string) { m.badRows.WithLabelValues(what).Inc() }

// StoreFailed counts a failed call to the platform's store.
func (m *Meter) StoreFailed(what, kind string) { m.storeFailures.WithLabelValues(what, kind).Inc() }
