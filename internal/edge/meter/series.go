package meter

import "github.com/prometheus/client_golang/prometheus"

// labelledGauge is a gauge whose label values change over time.
type labelledGauge struct {
	desc    *prometheus.Desc
	collect func(emit func(value float64, labels ...string))
}

// LabelledGauge registers a gauge whose values are read at each scrape. collect must call emit for
// every value.
func (m *Meter) LabelledGauge(name, help string, labels []string, collect func(emit func(value float64, labels ...string))) {
	m.registry.MustRegister(&labelledGauge{prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil), collect})
}

// Describe implements prometheus.Collector.
func (g *labelledGauge) Describe(ch chan<- *prometheus.Desc) { ch <- g.desc }

// Collect implements prometheus.Collector.
func (g *labelledGauge) Collect(ch chan<- prometheus.Metric) {
	g.collect(func(value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, value, labels...)
	})
}
