package rollout

import "math"

const (
	// bucketsMost is how many classes of slowness are told apart, each bucketFactor times the one
	// before, beginning at bucketLeast.
	bucketsMost  = 20
	bucketFactor = 1.5
	bucketLeast  = 0.05
	// paceUnit is in what times between events are classed, seconds: from a millisecond on.
	paceUnit = 0.02
	// routesMost bounds the routes of a service that are compared.
	routesMost = 64
)

// bucket returns the class of a number.
func bucket(x float64) int {
	if x <= bucketLeast {
		return 0
	}
	return min(int(math.Log(x/bucketLeast)/math.Log(bucketFactor))+1, bucketsMost-1)
}

// Counts are answers by how slow they were.
type Counts [bucketsMost]uint32

// plus returns the sums of both.
func (c Counts) plus(o Counts) Counts {
	for i, n := range o {
		c[i] += n
	}
	return c
}

func (c Counts) total() (n float64) {
	for _, k := range c {
		n += float64(k)
	}
	return n
}

// median returns the class of the median.
func (c Counts) median() int {
	half, sum := c.total()/2, 0.0
	for i, k := range c {
		if sum += float64(k); sum >= half && sum > 0 {
			return i
		}
	}
	return 0
}

// from returns how many are of the class or a slower one.
func (c Counts) from(class int) (n float64) {
	for i := min(class, bucketsMost); i < bucketsMost; i++ {
		n += float64(c[i])
	}
	return n
}

// Sample is what one group of a service's servers answered on one route.
type Sample struct {
	Answers  uint32
	Failures uint32 // of these, the servers' own failures
	First    Counts // time to the first event or the answer, in parts of what was expected
	Pace     Counts // time between events
}

// Plus returns the sums of both.
func (s Sample) Plus(o Sample) Sample {
	return Sample{Answers: s.Answers + o.Answers, Failures: s.Failures + o.Failures, First: s.First.plus(o.First), Pace: s.Pace.plus(o.Pace)}
}

// Key is of what a sample is.
type Key struct {
	Service string
	To      string // the version to which traffic is moved
	Route   string
	New     bool // the servers run it
}

// Evidence is samples of all routes. It sums up over routers.
type Evidence map[Key]Sample

// Add adds other evidence, routesMost routes of a service at most.
func (e Evidence) Add(o Evidence) {
	for key, s := range o {
		if _, known := e[key]; !known && e.routes(key) >= 2*routesMost {
			continue
		}
		e[key] = e[key].Plus(s)
	}
}

// routes returns how many samples there are of a key's roll-out.
func (e Evidence) routes(key Key) (n int) {
	for k := range e {
		if k.Service == key.Service && k.To == key.To {
			n++
		}
	}
	return n
}

// Answer is one answer of a server.
type Answer struct {
	Failed bool
	// First is the time to its first event, or the answer, against what was expected; 0: it does
	// not count, since the server was warming up.
	First float64
	// Pace is the mean time between events, in seconds; 0: there were too few.
	Pace float64
}

// Note notes an answer.
func (e Evidence) Note(key Key, a Answer) {
	s, known := e[key]
	if !known && e.routes(key) >= 2*routesMost {
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

// Of returns the evidence of one roll-out.
func (e Evidence) Of(service, to string) Evidence {
	of := Evidence{}
	for key, s := range e {
		if key.Service == service && key.To == to {
			of[key] = s
		}
	}
	return of
}
