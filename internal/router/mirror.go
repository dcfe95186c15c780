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
	r.metrics.Retries.Mirror(r.proxy.Allowances)
}

// Publish makes the metrics the process's expvar "windscale". Main calls it
// once; the error is *metrics.AlreadyPublishedError.
func (r *Router) Publish() error { return r.metrics.Publish() }

// processState says which process this is.
func (r *Router) processState() metrics.ProcessState {
	return metrics.ProcessState{
		Router:      r.cfg.ID,
		Incarnation: r.incarnation,
		DataCentre:  r.cfg.DataCentre,
		Uptime:      metrics.InSeconds(time.Since(r.started)),
	}
}

// linkState sums the link over the kinds of message.
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

// drainState says how far the shutdown is.
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

// settingsState says which settings are in force and how they came.
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

// sharingState says what customers got and what servers this router admits to.
func (r *Router) sharingState() metrics.SharingState {
	stats := r.sharer.Stats()
	state := metrics.SharingState{
		Pools:     r.shares(),
		Servers:   map[msg.ServerID]metrics.ServerState{},
		Grants:    stats.Granted,
		Returns:   stats.Returned,
		Expired:   stats.Expired,
		Estimates: stats.EstimatedRequests,
		Estimated: stats.EstimatedCost,
		Actual:    stats.ActualCost,
		AbsErr:    stats.AbsoluteError,
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

// shares joins the service that customers received with what waits now.
func (r *Router) shares() map[msg.PoolID]map[msg.CustomerID]metrics.Share {
	pools := map[msg.PoolID]map[msg.CustomerID]metrics.Share{}
	put := func(pool msg.PoolID, c msg.CustomerID, change func(*metrics.Share)) {
		if pools[pool] == nil {
			pools[pool] = map[msg.CustomerID]metrics.Share{}
		}
		s := pools[pool][c]
		change(&s)
		pools[pool][c] = s
	}
	for pool, customers := range r.served.all() {
		for c, cost := range customers {
			put(pool, c, func(s *metrics.Share) { s.Service, s.Weighted = cost, float64(cost)/r.weight(c) })
		}
	}
	for _, v := range r.sharer.Views() {
		put(v.Pool, v.Customer, func(s *metrics.Share) {
			s.Backlog, s.Wait, s.Reason = v.Waiting, metrics.InSeconds(v.LongestWait), v.WaitingFor
		})
	}
	return pools
}

// weight is the customer's weight in force; 1 when it is no customer any more.
func (r *Router) weight(id msg.CustomerID) float64 {
	if s := r.follower.Current(); s != nil {
		if c, ok := s.Customers[id]; ok {
			return c.Weight
		}
	}
	return 1
}
