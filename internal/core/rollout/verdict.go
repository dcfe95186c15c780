package rollout

import (
	"maps"
	"math"
	"slices"
)

const (
	// falseAlarmProbability bounds the probability that a version which answers like the old one is
	// ever classified as bad in a roll-out, however often it is evaluated: the test is valid at
	// every evaluation (M. Lindon, C. Sanden, V. Shirikian, Rapid Regression Detection in Software
	// Deployments through Sequential Testing, KDD 2022). All comparisons of the roll-out share this
	// probability.
	falseAlarmProbability = 1e-5
	// metricCount is the number of metrics that are compared on each route.
	metricCount = 3
	// slowBuckets is how many buckets above the old version's median an answer counts as slow: from
	// 3.4 times the median.
	slowBuckets = 3
	// minSlowPace is the time between two events, in seconds, below which none counts as slow.
	minSlowPace = 0.015
	// maxSurplus is the number of failures of the new version, beyond those expected from the old
	// one's rate, at which it is bad without a statistical test, unless the surplus is within
	// surplusDeviations standard deviations.
	maxSurplus        = 25
	surplusDeviations = 4.5
	// sufficientAnswers is the number of answers of the new version on a route after which it counts
	// as good: a version with a fifth of its answers failed or slow would have been detected by
	// then. On a route with few requests, sufficientFraction of the new version's expected answers
	// is required instead, and at least minAnswers.
	sufficientAnswers  = 60
	sufficientTotal    = 150 // over all routes: a version that fails in a tenth of its answers would have been detected
	sufficientFraction = 0.6
	minAnswers         = 8
	// minorRouteShare is the share of a service's answers below which a route needs no sufficient
	// number of answers.
	minorRouteShare = 0.02
)

// Verdict is the result of evaluating a version.
type Verdict int

// The verdicts.
const (
	Unknown Verdict = iota // not enough answers
	Good
	Bad
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"unknown", "good", "bad"}[v] }

// Finding is a verdict with the comparison that led to it.
type Finding struct {
	Verdict
	Route string
	// Metric is the compared metric: failures, first answers or pace.
	Metric string
	// New and Old are the numbers of answers of each version that count for the metric, out of
	// NewTotal and OldTotal.
	New, Old, NewTotal, OldTotal float64
}

// Evaluate compares the new version, which gets the given share of the requests, with the old one on
// each route. probability bounds the probability that a version which answers like the old one is
// classified as bad.
func Evaluate(e Evidence, share, probability float64) Finding {
	answers, newAnswers := 0.0, 0.0
	routes := map[string]bool{}
	for key, s := range e {
		answers += float64(s.Answers)
		routes[key.Route] = true
		if key.New {
			newAnswers += float64(s.Answers)
		}
	}
	f := Finding{Verdict: Good}
	if newAnswers < sufficientTotal {
		f = Finding{Verdict: Unknown, Metric: "too few answers", NewTotal: newAnswers, OldTotal: answers - newAnswers}
	}
	requiredLogEvidence := math.Log(float64(metricCount*len(routes)) / probability)
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		canary, baseline := e.route(route)
		for _, c := range comparisons(canary, baseline) {
			if c.logEvidence() >= requiredLogEvidence {
				return Finding{Verdict: Bad, Route: route, Metric: c.metric, New: c.canary, Old: c.baseline, NewTotal: c.ofCanary, OldTotal: c.ofBaseline}
			}
		}
		all := float64(canary.Answers + baseline.Answers)
		needed := max(min(sufficientAnswers, sufficientFraction*share*all), minAnswers)
		informative := float64(canary.Failures) + canary.First.total() // answers of servers that are warming up carry little information
		if informative < needed && all >= minorRouteShare*answers && f.Verdict == Good {
			f = Finding{Verdict: Unknown, Route: route, Metric: "too few answers", NewTotal: informative, OldTotal: float64(baseline.Answers)}
		}
	}
	return f
}

// route returns the samples of both versions on a route.
func (e Evidence) route(name string) (canary, baseline Sample) {
	for key, s := range e {
		switch {
		case key.Route != name:
		case key.New:
			canary = canary.Plus(s)
		default:
			baseline = baseline.Plus(s)
		}
	}
	return canary, baseline
}

// comparison compares one metric.
type comparison struct {
	metric                                 string
	canary, baseline, ofCanary, ofBaseline float64
	surplusDecides                         bool // a large surplus decides without a statistical test
}

// comparisons returns the comparisons for a route.
func comparisons(canary, baseline Sample) [metricCount]comparison {
	return [metricCount]comparison{
		{"failures", float64(canary.Failures), float64(baseline.Failures), float64(canary.Answers), float64(baseline.Answers), true},
		compareSlow("first answers", canary.First, baseline.First, 0),
		compareSlow("pace", canary.Pace, baseline.Pace, bucket(minSlowPace/paceUnit)),
	}
}

// compareSlow compares the numbers of answers that are far slower than the old version's median and
// at least in minBucket.
func compareSlow(metric string, canary, baseline Histogram, minBucket int) comparison {
	firstSlow := max(baseline.median()+slowBuckets, minBucket)
	return comparison{metric, canary.countFrom(firstSlow), baseline.countFrom(firstSlow), canary.total(), baseline.total(), false}
}

// logEvidence returns the logarithm of the Bayes factor for the new version showing the metric more
// often than the old one.
//
// If both show it equally often, each such answer is one of the new version with a probability equal
// to its share of all answers. The Bayes factor is the ratio of the likelihood under an unknown
// probability, uniform between that share and 1, to the likelihood under that share. By Ville's
// inequality it ever exceeds 1/p with a probability of at most p.
func (c comparison) logEvidence() float64 {
	if c.canary == 0 || c.ofCanary == 0 || c.ofBaseline == 0 {
		return 0 // nothing to compare
	}
	surplus := c.canary - c.baseline*c.ofCanary/c.ofBaseline
	switch {
	case surplus <= 0:
		return 0
	case c.surplusDecides && surplus >= max(maxSurplus, surplusDeviations*math.Sqrt(c.canary)):
		return math.Inf(1)
	}
	share := c.ofCanary / (c.ofCanary + c.ofBaseline)
	return logMeanLikelihood(c.canary, c.baseline, share) - (c.canary*math.Log(share) + c.baseline*math.Log1p(-share))
}

// integrationSteps is the number of steps for averaging over the probabilities between a share and
// 1.
const integrationSteps = 64

// logMeanLikelihood returns the logarithm of the mean likelihood of a canary and b baseline answers
// over all probabilities between the share and 1.
func logMeanLikelihood(a, b, share float64) float64 {
	maxLog := math.Inf(-1)
	logs := make([]float64, integrationSteps)
	for i := range logs {
		p := share + (1-share)*(float64(i)+0.5)/integrationSteps
		logs[i] = a*math.Log(p) + b*math.Log1p(-p)
		maxLog = max(maxLog, logs[i])
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - maxLog)
	}
	return maxLog + math.Log(sum/integrationSteps)
}
