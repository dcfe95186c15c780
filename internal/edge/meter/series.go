package meter

import "github.com/prometheus/client_golang/prometheus"

// series is a gauge whose labelled values come and go.
type series struct {
	desc *prometheus.Desc
	each func(emit func(value float64, labels ...string))
}

// Series adds a gauge whose labelled values are read when the page is: each is to call emit for
// every value.
func (m *Meter) Series(name, help string, labels []string, each func(emit func(value float64, labels ...string))) {
	m.registry.MustRegister(&series{prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil), each})
}

// Describe implements prometheus.Collector.
func (s *series) Describe(ch chan<- *prometheus.Desc) { ch <- s.desc }

// Collect implements prometheus.Collector.
func (s *series) Collect(ch chan<- prometheus.Metric) {
	s.each(func(value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(s.desc, prometheus.GaugeValue, value, labels...)
	})
}
