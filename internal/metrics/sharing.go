package metrics

import (
	"sync/atomic"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
)

// Sharing counts what the sharing of slots does, and mirrors its state.
type Sharing struct {
	mirror[SharingState]
	servers *labelled[msg.ServerID, server]

	sent, sentBytes         atomic.Uint64
	received, receivedBytes atomic.Uint64
}

func newSharing() *Sharing {
	return &Sharing{servers: newLabelled[msg.ServerID, server]()}
}

// server counts the outcomes of attempts at one backend server.
type server struct {
	notSent, refused, ended, unknown, leaving atomic.Uint64
}

// SetServers declares the backend servers that are known now.
func (s *Sharing) SetServers(ids []msg.ServerID) { s.servers.declare(ids) }

// Outcome counts the end of an attempt at a server.
func (s *Sharing) Outcome(id msg.ServerID, o attempt.Outcome) {
	c := s.servers.get(id)
	switch o {
	case attempt.NotSent:
		c.notSent.Add(1)
	case attempt.Refused:
		c.refused.Add(1)
	case attempt.Completed:
		c.ended.Add(1)
	case attempt.Unknown:
		c.unknown.Add(1)
	}
}

// Leaving counts an attempt at which the server said that it is leaving.
func (s *Sharing) Leaving(id msg.ServerID) { s.servers.get(id).leaving.Add(1) }

// Sent counts a message of service counters to another router.
func (s *Sharing) Sent(bytes int) {
	s.sent.Add(1)
	s.sentBytes.Add(uint64(bytes))
}

// Received counts a message of service counters from another router.
func (s *Sharing) Received(bytes int) {
	s.received.Add(1)
	s.receivedBytes.Add(uint64(bytes))
}

// SharingState is the snapshot that the sharing's owner supplies. Only
// customers with service or backlog need be in it.
type SharingState struct {
	Pools   map[msg.PoolID]map[msg.CustomerID]Share
	Servers map[msg.ServerID]ServerState

	Grants    uint64   // slots granted by this router
	Returns   uint64   // of those, come back
	Expired   uint64   // of those, not kept alive
	Estimates uint64   // requests whose cost was compared with its estimate
	Estimated msg.Cost // of those
	Actual    msg.Cost // of those
	AbsErr    msg.Cost // sum of the absolute differences
}

// Share is a customer's part of one pool.
type Share struct {
	Service  msg.Cost `json:"service_cost"`          // received in all
	Weighted float64  `json:"weighted_service_cost"` // service over weight
	Backlog  int      `json:"backlog_requests"`
	Wait     Seconds  `json:"longest_wait_seconds"` // of those waiting now
	Reason   string   `json:"waits_for"`            // why the first one waits; "" if none does
}

// ServerState is a backend server as the sharing sees it.
type ServerState struct {
	Slots   int    `json:"slots"`   // the server reports
	Limit   int    `json:"limit"`   // this fleet keeps to
	Running int    `json:"running"` // granted now
	State   string `json:"state"`   // live, probing or leaving
}

// ServerCounters are a backend server's values as published.
type ServerCounters struct {
	ServerState
	NotSent uint64 `json:"not_sent_total"`
	Refused uint64 `json:"refused_total"`
	Ended   uint64 `json:"ended_total"`
	Unknown uint64 `json:"unknown_total"`
	Leaving uint64 `json:"leaving_total"`
}

// SharingView is what Sharing publishes.
type SharingView struct {
	Pools         map[msg.PoolID]map[msg.CustomerID]Share `json:"pools"`
	Servers       map[msg.ServerID]ServerCounters         `json:"servers"`
	Grants        uint64                                  `json:"grants_total"`
	Returns       uint64                                  `json:"returns_total"`
	Expired       uint64                                  `json:"expired_grants_total"`
	Estimates     uint64                                  `json:"estimates_total"`
	Estimated     int64                                   `json:"estimated_cost_total"`
	Actual        int64                                   `json:"actual_cost_total"`
	AbsErr        int64                                   `json:"estimate_error_cost_total"`
	Sent          uint64                                  `json:"counters_sent_total"`
	SentBytes     uint64                                  `json:"counters_sent_bytes_total"`
	Received      uint64                                  `json:"counters_received_total"`
	ReceivedBytes uint64                                  `json:"counters_received_bytes_total"`
}

func (s *Sharing) view() SharingView {
	state := s.mirror.view()
	return SharingView{
		Pools:         state.Pools,
		Servers:       s.serverView(state.Servers),
		Grants:        state.Grants,
		Returns:       state.Returns,
		Expired:       state.Expired,
		Estimates:     state.Estimates,
		Estimated:     int64(state.Estimated),
		Actual:        int64(state.Actual),
		AbsErr:        int64(state.AbsErr),
		Sent:          s.sent.Load(),
		SentBytes:     s.sentBytes.Load(),
		Received:      s.received.Load(),
		ReceivedBytes: s.receivedBytes.Load(),
	}
}

// serverView joins the snapshot with the counters of the declared servers.
func (s *Sharing) serverView(states map[msg.ServerID]ServerState) map[msg.ServerID]ServerCounters {
	out := map[msg.ServerID]ServerCounters{}
	for id, c := range s.servers.all() {
		out[id] = ServerCounters{
			ServerState: states[id],
			NotSent:     c.notSent.Load(),
			Refused:     c.refused.Load(),
			Ended:       c.ended.Load(),
			Unknown:     c.unknown.Load(),
			Leaving:     c.leaving.Load(),
		}
	}
	return out
}
