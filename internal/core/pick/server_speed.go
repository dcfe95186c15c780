package pick

import (
	"math"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// All routers learn the speed of each server together: a router compares the time to the first
// event with that expected of the service's median server, and reports the ratio to its peers. In a
// fleet of 76 routers and 140 engines a router alone sees a first token of an engine once in some
// seconds.
//
// Requests of other routers that are not reported yet make single ratios vary by a factor of two and
// more, and all routers share the error. So the average is slow unless most ratios deviate to the
// same side, and a server counts as fast as its speed class says unless its average is far from it.

const (
	// minSlowness and maxSlowness bound the slowness of a server relative to the median.
	minSlowness = 0.25
	maxSlowness = 12.0
	// minPlainSlowness is the lower bound for a plain server, whose calls differ more than its speed:
	// a few short calls must not attract the calls of all routers.
	minPlainSlowness = 0.7
	// usualDeviation caps the factor by which an observed ratio may deviate from the average, and
	// sparseDeviation that of an observation at least sparseInterval after the last one. Requests that
	// are not reported yet delay those next to each other alike.
	usualDeviation  = 1.3
	sparseDeviation = 4.0
	sparseInterval  = time.Second
	// observationWeight is the weight of one observation in the moving average of a server's
	// slowness, which counts initially like initialObservations ones. From maxCount on the weight no
	// longer depends on their number.
	observationWeight   = 0.08
	initialObservations = 4
	maxCount            = 34
	// changedWeight is the weight after the speed has changed, that is while the average of the last
	// deviations, each capped by usualDeviation, exceeds changedTrend of the greatest possible one.
	changedWeight = 0.5
	changedTrend  = 0.75
	// trendWeight is the weight of an observation in that average, sparseTrendWeight that of a sparse one.
	trendWeight       = 0.1
	sparseTrendWeight = 0.27
	// classTolerance is by what factor the average must deviate from the speed class to be used
	// instead of it.
	classTolerance = 1.4
	// knownFor is how long after its last observation a server's slowness counts fully. From then on
	// it approaches that of the median server within fadeTime.
	knownFor = 20 * time.Second
	fadeTime = 60 * time.Second
	// maxMedianSample is the maximum number of servers of which the median is computed.
	maxMedianSample = 256
)

// ServerTimes holds how many first events of a server were observed, and the sum of the logarithms
// of the ratios of their measured to their expected times.
type ServerTimes struct {
	N   int
	Log float64
}

// Plus returns the sum of t and o.
func (t ServerTimes) Plus(o ServerTimes) ServerTimes {
	return ServerTimes{N: t.N + o.N, Log: t.Log + o.Log}
}

// slowness is a moving average of the ratios of the measured times to the first event of a server to
// those expected of the median server. The zero value is that of a server of which nothing is known.
type slowness struct {
	log        float64   // of the average
	trend      float64   // average of the last deviations, relative to the greatest possible one
	count      int       // number of observations, up to maxCount
	observedAt time.Time // of the last one
}

// faded returns the logarithm of the slowness. It is that of the median server if nothing was
// observed for long.
func (s *slowness) faded(medianLog float64, now time.Time) float64 {
	if s.count == 0 {
		return medianLog
	}
	fraction := min(max(float64(now.Sub(s.observedAt)-knownFor)/float64(fadeTime), 0), 1)
	return s.log + fraction*(medianLog-s.log)
}

// observe adds observations.
func (s *slowness) observe(t ServerTimes, medianLog float64, now time.Time) {
	n := float64(t.N)
	current := s.faded(medianLog, now)
	trendPart := trendWeight
	if s.isSparse(now) {
		trendPart = sparseTrendWeight
	}
	usual := capped(t.Log/n-current, usualDeviation)
	s.trend += (1 - math.Pow(1-trendPart, n)) * (usual/math.Log(usualDeviation) - s.trend)
	weight := max(observationWeight, 1/(float64(s.count)+n+initialObservations))
	if math.Abs(s.trend) > changedTrend {
		weight, usual = changedWeight, s.capDeviation(t.Log/n-current, now)
	}
	s.log = current + (1-math.Pow(1-weight, n))*usual
	s.log = min(max(s.log, medianLog+math.Log(minSlowness)), medianLog+math.Log(maxSlowness))
	s.count = min(s.count+t.N, maxCount)
	s.observedAt = now
}

// isSparse reports whether the last observation was so long ago that the next one is independent.
func (s *slowness) isSparse(now time.Time) bool { return now.Sub(s.observedAt) >= sparseInterval }

// capDeviation limits the deviation of an observation from the average, both logarithms.
func (s *slowness) capDeviation(deviation float64, now time.Time) float64 {
	if s.isSparse(now) {
		return capped(deviation, sparseDeviation)
	}
	return capped(deviation, usualDeviation)
}

// capped returns the logarithm of a factor, limited to that of maxFactor.
func capped(log, maxFactor float64) float64 {
	return min(max(log, -math.Log(maxFactor)), math.Log(maxFactor))
}

// recordServerTime records that the job's first event took the time, and queues the observation for
// the other routers.
func (p *Picker) recordServerTime(j *Job, tookMs float64, now time.Time) {
	s := j.s
	if j.medianMs < 0 || !s.isObservable(now) {
		return
	}
	ratio := math.Log((tookMs + networkSlackMs) / (j.medianMs + networkSlackMs))
	current := s.slowness.faded(p.speedOf(s.Service).medianLog, now)
	one := ServerTimes{N: 1, Log: current + s.slowness.capDeviation(ratio-current, now)}
	p.observe(s, one, now)
	p.pendingServerTimes[s.key] = p.pendingServerTimes[s.key].Plus(one)
}

// observe adds observations of a server.
func (p *Picker) observe(s *server, t ServerTimes, now time.Time) {
	s.slowness.observe(t, p.speedOf(s.Service).medianLog, now)
	p.observed[s] = true
}

// TakeServerTimes returns the first events observed since the last call, by server, to be sent to the
// other routers.
func (p *Picker) TakeServerTimes() map[routing.ServerKey]ServerTimes {
	times := p.pendingServerTimes
	p.pendingServerTimes = map[routing.ServerKey]ServerTimes{}
	return times
}

// MergeServerTimes adds the first events that other routers observed.
func (p *Picker) MergeServerTimes(times map[routing.ServerKey]ServerTimes, now time.Time) {
	for key, t := range times {
		if s := p.serversByKey[key]; s != nil && t.N > 0 && s.isObservable(now) {
			p.observe(s, t, now)
		}
	}
}

// isObservable reports whether first events show the server's speed. Those of a cold server don't.
func (s *server) isObservable(now time.Time) bool { return !s.unlisted && !s.cold.IsCold(now) }

// forgetFaded forgets the slowness of servers that were not observed for long.
func (p *Picker) forgetFaded(now time.Time) {
	for s := range p.observed {
		if now.Sub(s.slowness.observedAt) > knownFor+fadeTime {
			s.slowness = slowness{}
			delete(p.observed, s)
		}
	}
}

// relativeSlowness returns by what factor the server is slower than the median of its service,
// below 1 if it is faster, and at least coldSlowness while it is cold.
func (p *Picker) relativeSlowness(s *server, now time.Time) float64 {
	factor := 1 / s.class.speed()
	if s.slowness.count > 0 {
		medianLog := p.speedOf(s.Service).medianLog
		average := math.Exp(s.slowness.faded(medianLog, now) - medianLog)
		if deviation := average / factor; deviation > classTolerance || deviation < 1/classTolerance {
			factor = average
		}
	}
	if s.engine == nil {
		factor = max(factor, minPlainSlowness)
	}
	if s.cold.IsCold(now) {
		factor = max(factor, coldSlowness)
	}
	return factor
}

// medianLog returns the logarithm of the median slowness of a service's servers whose slowness is
// known; 0 if none is. The first tokens of all servers are fitted by one line, so a slowness that all
// servers share belongs to the line and must not count against them.
func (p *Picker) medianLog(list []*server) float64 {
	if len(p.observed) == 0 {
		return 0
	}
	stride := 1 + len(list)/maxMedianSample
	var known []float64
	for i := 0; i < len(list); i += stride {
		if s := list[i]; s.slowness.count > 0 {
			known = append(known, s.slowness.log)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
