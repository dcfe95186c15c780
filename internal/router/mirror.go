package router

import (
	"encoding/hex"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/link"
	"github.com/windscale/windscale/internal/metrics"
)

// mirror lets the metrics read the state of the parts.
func (r *Router) mirror() {
	r.metrics.Process.Mirror(r.processState)
	r.metrics.Link.Mirror(func() metrics.LinkState { return linkState(r.link.Stats()) })
	r.metrics.Drain.Mirror(r.drainState)
	r.metrics.Members.Mirror(r.membersState)
	r.metrics.Settings.Mirror(r.settingsState)
	r.metrics.Sharing.Mirror(r.sharingState)
}

// Publish makes the metrics the process's expvar "windscale". Main calls it
// once; the error is *metrics.AlreadyPublishedError.
func (r *Router) Publish() error { return r.metrics.Publish() }

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

func (r *Router) settingsState() metrics.SettingsState {
	stats := r.follower.Stats()
	state := metrics.SettingsState{
		Taken:      stats.Taken,
		Older:      stats.Older,
		Refused:    stats.Refused,
		PeerOffers: stats.PeerOffers,
		Polls:      stats.Polls,
		Errors:     stats.StoreErrors,
		StoreDown:  stats.StoreDown,
	}
	if s := r.follower.Current(); s != nil {
		state.Version = s.Version
		state.Digest = hex.EncodeToString(s.Digest[:])
		state.Age = metrics.InSeconds(time.Since(time.Unix(0, r.settingsAt.Load())))
	}
	return state
}

func (r *Router) sharingState() metrics.SharingState {
	state := metrics.SharingState{
		Pools:   map[msg.PoolID]map[msg.CustomerID]metrics.Share{},
		Servers: map[msg.ServerID]metrics.ServerState{},
	}
	for _, v := range r.sharer.Views() {
		if state.Pools[v.Pool] == nil {
			state.Pools[v.Pool] = map[msg.CustomerID]metrics.Share{}
		}
		state.Pools[v.Pool][v.Customer] = metrics.Share{
			Service:  msg.Cost(v.Served * v.Weight),
			Weighted: v.Served,
			Backlog:  v.Waiting,
			Wait:     metrics.InSeconds(v.LongestNs),
			Reason:   v.WaitingFor,
		}
	}
	for _, v := range r.sharer.ServerViews() {
		state.Servers[v.Server] = metrics.ServerState{
			Slots:   v.Slots,
			Limit:   v.Limit,
			Running: v.Running,
			State:   r.servers.state(v.Server),
		}
	}
	return state
}
