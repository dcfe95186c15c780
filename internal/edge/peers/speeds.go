package peers

import (
	"math"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

const (
	// maxServerTimes limits the servers in a heartbeat, 8 bytes each, of which first events were
	// observed. Others are left out at random, so that each server is named in time.
	maxServerTimes = 256
	// logUnits is how many units make a factor of e in the sums of a heartbeat: most take one or two
	// bytes.
	logUnits = 32
)

// speedClasses are speed classes by server: step and version.
type speedClasses map[routing.ServerKey][2]int64

// serverTimes are the observed first events by server: their number and the sum of the logarithms
// of the ratios, in units of 1/logUnits.
type serverTimes map[routing.ServerKey][2]int32

// setServerTimes sets the observed first events of up to maxServerTimes servers.
func (w *heartbeat) setServerTimes(times map[routing.ServerKey]pick.ServerTimes, stats *Stats) {
	if len(times) == 0 {
		return
	}
	if excess := len(times) - maxServerTimes; excess > 0 {
		stats.countTruncated(partServerTimes, excess)
	}
	w.ServerTimes = make(serverTimes, min(len(times), maxServerTimes))
	for key, t := range times { // in random order
		if len(w.ServerTimes) == maxServerTimes {
			break
		}
		w.ServerTimes[key] = [2]int32{int32(t.N), int32(math.Round(t.Log * logUnits))}
	}
}

// decode is the inverse of setServerTimes.
func (t serverTimes) decode() map[routing.ServerKey]pick.ServerTimes {
	times := make(map[routing.ServerKey]pick.ServerTimes, len(t))
	for key, v := range t {
		times[key] = pick.ServerTimes{N: int(v[0]), Log: float64(v[1]) / logUnits}
	}
	return times
}

// speedClassesToWire is the inverse of decode.
func speedClassesToWire(classes map[routing.ServerKey]pick.SpeedClass) speedClasses {
	if len(classes) == 0 {
		return nil
	}
	wire := make(speedClasses, len(classes))
	for key, c := range classes {
		wire[key] = [2]int64{int64(c.Step), int64(c.Version)}
	}
	return wire
}

func (c speedClasses) decode() map[routing.ServerKey]pick.SpeedClass {
	classes := make(map[routing.ServerKey]pick.SpeedClass, len(c))
	for key, v := range c {
		classes[key] = pick.SpeedClass{Step: int(v[0]), Version: uint32(v[1])}
	}
	return classes
}

// addTimes adds observed first events.
func (u updates) addTimes(times map[routing.ServerKey]pick.ServerTimes) {
	for key, t := range times {
		u.times[key] = u.times[key].Plus(t)
	}
}

// takeRemoteTimes returns and clears the first events to be relayed to the other data centres. They
// are sent only with state that is sent repeatedly: most requests stay in their data centre, and
// traffic between data centres is expensive.
func (p *Peers) takeRemoteTimes() map[routing.ServerKey]pick.ServerTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	times := p.pending.remoteTimes.times
	p.pending.remoteTimes = newUpdates()
	return times
}

// localClasses returns the speed classes of this data centre's engines that are due in a round, if
// this router assigns them. They go to the other data centres, to the second reporter, which
// continues from them if this router is lost, and to all routers of a small fleet.
func (p *Peers) localClasses(r reportRound) map[routing.ServerKey]pick.SpeedClass {
	if !r.repeat {
		return nil
	}
	p.State.SetAssignsClasses(r.isFirst)
	if !r.isFirst {
		return nil
	}
	return p.State.TakeSpeedClasses(true)
}

// setServerSpeeds sets the observed first events and speed classes of the sum of this data centre
// and of the total.
func (p *Peers) setServerSpeeds(r reportRound, sum, total *state.Report, local updates, classes map[routing.ServerKey]pick.SpeedClass) {
	total.ServerTimes = local.times
	sum.SpeedClasses = classes
	if !r.repeat {
		return
	}
	if len(r.targets.Sum) > 0 {
		sum.ServerTimes = p.takeRemoteTimes()
	}
	if len(r.targets.Total) > 0 {
		total.SpeedClasses = p.State.TakeSpeedClasses(false)
	}
}

// applyServerSpeeds applies the observed first events and speed classes of a report.
func (p *Peers) applyServerSpeeds(r state.Report) {
	if len(r.ServerTimes) > 0 {
		p.State.MergeServerTimes(r.ServerTimes)
	}
	if len(r.SpeedClasses) > 0 {
		p.State.MergeSpeedClasses(r.SpeedClasses)
	}
}
