package rollout

import "math"

const (
	// bucketCount is the number of histogram buckets. The first one ends at firstBucketBound, and
	// each further bound is bucketFactor times the previous one.
	bucketCount      = 20
	bucketFactor     = 1.5
	firstBucketBound = 0.05
	// paceUnit is the unit, in seconds, of times between events in a histogram; the first bucket
	// then ends at one millisecond.
	paceUnit = 0.02
	// maxRoutes bounds the number of routes of a service that are compared.
	maxRoutes = 64
)

// bucket returns the index of the bucket for a value.
func bucket(x float64) int {
	if x <= firstBucketBound {
		return 0
	}
	return min(int(math.Log(x/firstBucketBound)/math.Log(bucketFactor))+1, bucketCount-1)
}

// Histogram counts answers by latency.
type Histogram [bucketCount]uint32

// plus returns the bucket-wise sum.
func (c Histogram) plus(o Histogram) Histogram {
	for i, n := range o {
		c[i] += n
	}
	return c
}

func (c Histogram) total() (n float64) {
	for _, k := range c {
		n += float64(k)
	}
	return n
}

// median returns the bucket of the median.
func (c Histogram) median() int {
	half, sum := c.total()/2, 0.0
	for i, k := range c {
		if sum += float64(k); sum >= half && sum > 0 {
			return i
		}
	}
	return 0
}

// countFrom returns the number of answers in the given bucket and all slower ones.
func (c Histogram) countFrom(class int) (n float64) {
	for i := min(class, bucketCount); i < bucketCount; i++ {
		n += float64(c[i])
	}
	return n
}

// Sample aggregates the answers of the servers of one version on one route.
type Sample struct {
	Answers  uint32
	Failures uint32    // answers that failed because of the server
	First    Histogram // time to the first event or the answer, relative to the expected time
	Pace     Histogram // times between events, in multiples of paceUnit
}

// Plus returns the sum of both samples.
func (s Sample) Plus(o Sample) Sample {
	return Sample{Answers: s.Answers + o.Answers, Failures: s.Failures + o.Failures, First: s.First.plus(o.First), Pace: s.Pace.plus(o.Pace)}
}

// Key identifies a sample.
type Key struct {
	Service string
	To      string // the version that the traffic moves to
	Route   string
	New     bool // whether the servers run that version
}

// Evidence holds the samples of all routes and can be summed over routers.
type Evidence map[Key]Sample

// Add adds other evidence, up to maxRoutes routes per service.
func (e Evidence) Add(o Evidence) {
	for key, s := range o {
		if _, known := e[key]; !known && e.routes(key) >= 2*maxRoutes {
			continue
		}
		e[key] = e[key].Plus(s)
	}
}

// routes returns the number of samples of the key's roll-out.
func (e Evidence) routes(key Key) (n int) {
	for k := range e {
		if k.Service == key.Service && k.To == key.To {
			n++
		}
	}
	return n
}

// Answer describes one answer of a server.
type Answer struct {
	Failed bool
	// First is the time to the first event or the answer, relative to the expected time; 0 if it
	// does not count because the server was warming up.
	First float64
	// Pace is the mean time between events in seconds; 0 if there were too few events.
	Pace float64
}

// Observe adds an answer to the sample of the key.
func (e Evidence) Observe(key Key, a Answer) {
	s, known := e[key]
	if !known && e.routes(key) >= 2*maxRoutes {
		return
	}
	s.Answers++
	switch {
	case a.Failed:
		s.Failures++
	default:
		if a.First > 0 {
			s.First[bucket(a.First)]++
		}
		if a.Pace > 0 {
			s.Pace[bucket(a.Pace/paceUnit)]++
		}
	}
	e[key] = s
}

// ForRollout returns the evidence of one roll-out.
func (e Evidence) ForRollout(service, to string) Evidence {
	of := Evidence{}
	for key, s := range e {
		if key.Service == service && key.To == to {
			of[key] = s
		}
	}
	return of
}
