package pick

import (
	"math"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Homes depend on the speed of engines, and all routers must agree on them. So one router of each
// data centre, its first reporter, assigns a speed class to each engine, and the others take it over.

const (
	// classFactor is the ratio of the speeds of two neighbouring classes.
	classFactor = 1.25
	// minClass and maxClass are the classes of the least and the greatest possible speed.
	minClass = -11
	maxClass = 6
	// classMargin is by what factor the speed must be beyond the border of the class, and classHold
	// for how long, before the class changes. Parts whose home moves are read again, so a server that
	// is slow for a second keeps its homes; its estimated slowness lags by about another second.
	classMargin = 1.1
	classHold   = 3 * time.Second
	// classifyInterval is how often engines are classified.
	classifyInterval = 100 * time.Millisecond
	// classifiableFor is how long after its last observation an engine may be classified.
	classifiableFor = 5 * time.Second
	// minClassifiable is how many observations of an engine are needed to classify it.
	minClassifiable = 15
	// maxReportedClasses is the maximum number of classes in a report, 10 bytes each. All classes are
	// repeated in turn.
	maxReportedClasses = 32
)

// SpeedClass is the speed class of an engine. Of two classes of an engine the one with the higher
// version is newer.
type SpeedClass struct {
	Step    int // the speed is classFactor to the power of Step, relative to the median
	Version uint32
}

// replaces reports whether the class is newer than o. Two routers may classify an engine at the same
// time while a data centre changes its first reporter; all routers then keep the higher class.
func (c SpeedClass) replaces(o SpeedClass) bool {
	return c.Version > o.Version || c.Version == o.Version && c.Step > o.Step
}

// speed returns the speed of the class relative to the median.
func (c SpeedClass) speed() float64 { return classSpeeds[c.Step-minClass] }

// classSpeeds holds the speeds of the classes from minClass to maxClass.
var classSpeeds = func() (speeds [maxClass - minClass + 1]float64) {
	for i := range speeds {
		speeds[i] = math.Pow(classFactor, float64(i+minClass))
	}
	return speeds
}()

// ClassChange reports that this router assigned another speed class to an engine.
type ClassChange struct {
	Server   routing.Server
	Old, New float64 // speed relative to the median
}

// classes holds the speed classes that this router reports.
type classes struct {
	assigns   bool // this router is the first reporter of its data centre
	checkedAt time.Time
	marked    int           // engines with a class other than 0
	all       classRotation // of all data centres
	local     classRotation // of this data centre
	changes   []ClassChange // since the last call of TakeClassChanges
}

// SetAssignsClasses sets whether this router assigns the speed classes of the engines in its data
// centre.
func (p *Picker) SetAssignsClasses(assigns bool) { p.classes.assigns = assigns }

// classify updates the speed classes of the engines in this data centre.
func (p *Picker) classify(now time.Time) {
	if !p.classes.assigns || now.Sub(p.classes.checkedAt) < classifyInterval {
		return
	}
	p.classes.checkedAt = now
	for _, list := range p.nearby {
		for _, s := range list {
			if s.engine != nil {
				p.classifyServer(s, now)
			}
		}
	}
}

// classifyServer changes the speed class of the engine if its speed has been beyond the borders of the
// class for classHold.
func (p *Picker) classifyServer(s *server, now time.Time) {
	if s.slowness.count < minClassifiable || now.Sub(s.slowness.observedAt) > classifiableFor || s.cold.IsCold(now) {
		s.beyondClassSince = time.Time{}
		return
	}
	medianLog := p.speedOf(s.Service).medianLog
	speed := math.Exp(medianLog - s.slowness.faded(medianLog, now))
	border := math.Sqrt(classFactor) * classMargin
	if relative := speed / s.class.speed(); relative < border && relative > 1/border {
		s.beyondClassSince = time.Time{}
		return
	}
	if s.beyondClassSince.IsZero() {
		s.beyondClassSince = now
	}
	if now.Sub(s.beyondClassSince) < classHold {
		return
	}
	step := int(math.Round(math.Log(speed) / math.Log(classFactor)))
	old := s.class
	p.setClass(s, SpeedClass{Step: min(max(step, minClass), maxClass), Version: old.Version + 1})
	p.classes.changes = append(p.classes.changes, ClassChange{Server: s.Server, Old: old.speed(), New: s.class.speed()})
}

// setClass sets the speed class of the engine, and queues it for reports.
func (p *Picker) setClass(s *server, c SpeedClass) {
	p.countClass(s, -1)
	isNew := s.class.Version == 0
	s.class = c
	s.beyondClassSince = time.Time{}
	p.countClass(s, 1)
	p.classes.all.add(s.key, isNew)
	if p.isLocal(s) {
		p.classes.local.add(s.key, isNew)
	}
}

// countClass adds n to the number of engines with a class other than 0 if the server is one.
func (p *Picker) countClass(s *server, n int) {
	if s.class.Step != 0 {
		p.classes.marked += n
	}
}

// MergeSpeedClasses takes over classes that other routers report.
func (p *Picker) MergeSpeedClasses(reported map[routing.ServerKey]SpeedClass) {
	for key, c := range reported {
		if s := p.serversByKey[key]; s != nil && c.Step >= minClass && c.Step <= maxClass && c.replaces(s.class) {
			p.setClass(s, c)
		}
	}
}

// TakeSpeedClasses returns up to maxReportedClasses classes to be reported: the ones that changed, then
// others in turn. localOnly restricts them to the engines of this data centre.
func (p *Picker) TakeSpeedClasses(localOnly bool) map[routing.ServerKey]SpeedClass {
	rotation := &p.classes.all
	if localOnly {
		rotation = &p.classes.local
	}
	return rotation.take(maxReportedClasses, func(key routing.ServerKey) (SpeedClass, bool) {
		s := p.serversByKey[key]
		if s == nil {
			return SpeedClass{}, false
		}
		return s.class, true
	})
}

// TakeClassChanges returns the classes that this router assigned since the last call.
func (p *Picker) TakeClassChanges() []ClassChange {
	list := p.classes.changes
	p.classes.changes = nil
	return list
}

// UnusualEngines returns how many engines have a speed class other than that of the median.
func (p *Picker) UnusualEngines() int { return p.classes.marked }

// classRotation determines which classes a report contains.
type classRotation struct {
	changed []routing.ServerKey // not reported since they changed
	queue   []routing.ServerKey // all, the one to be repeated next first
}

// add queues an engine whose class has changed; isNew tells that it had none.
func (r *classRotation) add(key routing.ServerKey, isNew bool) {
	r.changed = append(r.changed, key)
	if isNew {
		r.queue = append(r.queue, key)
	}
}

// take returns up to n classes. It drops the engines for which find returns false.
func (r *classRotation) take(n int, find func(routing.ServerKey) (SpeedClass, bool)) map[routing.ServerKey]SpeedClass {
	taken := map[routing.ServerKey]SpeedClass{}
	for len(r.changed) > 0 && len(taken) < n {
		key := r.changed[0]
		r.changed = r.changed[1:]
		if c, ok := find(key); ok {
			taken[key] = c
		}
	}
	for visits := len(r.queue); visits > 0 && len(taken) < n; visits-- {
		key := r.queue[0]
		r.queue = r.queue[1:]
		if c, ok := find(key); ok {
			taken[key] = c
			r.queue = append(r.queue, key)
		}
	}
	return taken
}
