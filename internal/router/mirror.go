package router

import (
	"time"

	"github.com/windscale/windscale/internal/core/member"
	"github.com/windscale/windscale/internal/link"
	"github.com/windscale/windscale/internal/metrics"
)

// mirror lets the metrics read the state of the parts.
func (r *Router) mirror() {
	r.metrics.Process.Mirror(r.processState)
	r.metrics.Link.Mirror(func() metrics.LinkState { return linkState(r.link.Stats()) })
	r.metrics.Drain.Mirror(r.drainState)
	r.metrics.Members.Mirror(r.membersState)
}

func (r *Router) processState() metrics.ProcessState {
	return metrics.ProcessState{
		Router:      r.cfg.ID,
		Incarnation: r.incarnation,
		DataCentre:  r.cfg.DataCentre,
		Uptime:      metrics.InSeconds(time.Since(r.started)),
	}
}

func linkState(s link.Stats) metrics.LinkState {
	state := metrics.LinkState{
		Denied:       s.Refused,
		Peers:        s.Connections,
		WireSent:     s.WireSent,
		WireReceived: s.WireReceived,
		PacketsSent:  s.PacketsSent,
		PacketsLost:  s.PacketsLost,
	}
	for _, k := range s.Kinds {
		state.Sent += k.SentMessages
		state.SentBytes += k.SentBytes
		state.Received += k.ReceivedMessages
		state.ReceivedBytes += k.ReceivedBytes
		state.Dropped += k.Dropped
	}
	return state
}

func (r *Router) drainState() metrics.DrainState {
	waiting, running := r.sharer.Counts()
	state := metrics.DrainState{State: "serving", Left: waiting + running, Cut: r.drain.cut.Load()}
	if r.drain.draining() {
		state.State = "draining"
		state.Since = metrics.InSeconds(time.Since(time.Unix(0, r.drain.began.Load())))
	}
	if r.drain.ended.Load() {
		state.State = "drained"
	}
	return state
}
