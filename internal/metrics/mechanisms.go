package metrics

import (
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Link mirrors the traffic between routers.
type Link struct {
	mirror[LinkState]
}

// LinkState counts what the link carried. Bytes are those of the messages;
// wire bytes have all of QUIC's own besides, but no UDP and IP headers.
type LinkState struct {
	Sent          uint64 `json:"sent_total"`
	SentBytes     uint64 `json:"sent_bytes_total"`
	Received      uint64 `json:"received_total"`
	ReceivedBytes uint64 `json:"received_bytes_total"`
	Dropped       uint64 `json:"dropped_total"`
	Denied        uint64 `json:"denied_total"`
	Peers         int    `json:"connections"`
	WireSent      uint64 `json:"wire_sent_bytes_total"`
	WireReceived  uint64 `json:"wire_received_bytes_total"`
	PacketsSent   uint64 `json:"packets_sent_total"`
	PacketsLost   uint64 `json:"packets_lost_total"`
}

// Members mirrors what the router holds of the others.
type Members struct {
	mirror[MembersState]
}

// MembersState counts the known routers by state.
type MembersState struct {
	Alive    int     `json:"alive_routers"`
	Suspect  int     `json:"suspect_routers"`
	Left     int     `json:"left_routers"`
	Changes  uint64  `json:"changes_total"`
	ListAge  Seconds `json:"host_list_age_seconds"`
	ListErrs uint64  `json:"host_list_errors_total"`
}

// Settings mirrors the settings in force and the fetching of newer ones.
type Settings struct {
	mirror[SettingsState]
}

// SettingsState is what the settings' follower knows.
type SettingsState struct {
	Version    uint64  `json:"version"`
	Digest     string  `json:"digest"`
	Age        Seconds `json:"in_force_seconds"`
	Taken      uint64  `json:"taken_total"`
	Older      uint64  `json:"older_offers_total"`
	Refused    uint64  `json:"refused_offers_total"`
	PeerOffers uint64  `json:"peer_offers_total"`
	Polls      uint64  `json:"polls_total"`
	Errors     uint64  `json:"errors_total"`
	StoreDown  bool    `json:"store_down"`
}

// Claims counts the claims of requests that may run at most once.
type Claims struct {
	taken, replayed, conflict, unknown atomic.Uint64
	tableErrors                        atomic.Uint64
	batches, batchWrites               atomic.Uint64
	deletedRows, sweepErrors           atomic.Uint64
	unswept                            atomic.Int64 // time.Duration
}

// Taken counts a claim that this router took.
func (c *Claims) Taken() { c.taken.Add(1) }

// Replayed counts a repeat that was given the stored answer.
func (c *Claims) Replayed() { c.replayed.Add(1) }

// Conflict counts a repeat refused because the claim is held or the request
// differs from the one claimed.
func (c *Claims) Conflict() { c.conflict.Add(1) }

// Unknown counts a repeat told that the first one may have run.
func (c *Claims) Unknown() { c.unknown.Add(1) }

// TableError counts a call of the table that failed.
func (c *Claims) TableError() { c.tableErrors.Add(1) }

// Batch counts one commit that carried the writes of several claims.
func (c *Claims) Batch(writes int) {
	c.batches.Add(1)
	c.batchWrites.Add(uint64(writes))
}

// Deleted counts rows deleted because their time was over.
func (c *Claims) Deleted(rows int) { c.deletedRows.Add(uint64(rows)) }

// SweepError counts a call of the table that failed while such rows were sought
// or deleted.
func (c *Claims) SweepError() { c.sweepErrors.Add(1) }

// Unswept sets for how long the first hour whose claims are not yet deleted has
// been due.
func (c *Claims) Unswept(late time.Duration) { c.unswept.Store(int64(late)) }

// ClaimsView is what Claims publishes.
type ClaimsView struct {
	Taken       uint64  `json:"taken_total"`
	Replayed    uint64  `json:"replayed_total"`
	Conflict    uint64  `json:"conflict_total"`
	Unknown     uint64  `json:"unknown_total"`
	TableErrors uint64  `json:"table_errors_total"`
	Batches     uint64  `json:"batches_total"`
	BatchWrites uint64  `json:"batch_writes_total"`
	DeletedRows uint64  `json:"deleted_rows_total"`
	SweepErrors uint64  `json:"sweep_errors_total"`
	Unswept     Seconds `json:"unswept_seconds"`
}

func (c *Claims) view() ClaimsView {
	return ClaimsView{
		Taken:       c.taken.Load(),
		Replayed:    c.replayed.Load(),
		Conflict:    c.conflict.Load(),
		Unknown:     c.unknown.Load(),
		TableErrors: c.tableErrors.Load(),
		Batches:     c.batches.Load(),
		BatchWrites: c.batchWrites.Load(),
		DeletedRows: c.deletedRows.Load(),
		SweepErrors: c.sweepErrors.Load(),
		Unswept:     InSeconds(time.Duration(c.unswept.Load())),
	}
}

// Retries counts repeated attempts; the mirror shows the allowance left in
// each pool, in attempts.
type Retries struct {
	mirror[map[msg.PoolID]float64]
	spent, denied atomic.Uint64
}

// Spent counts a retry that the allowance paid for.
func (r *Retries) Spent() { r.spent.Add(1) }

// Denied counts a retry that the allowance did not cover.
func (r *Retries) Denied() { r.denied.Add(1) }

// RetriesView is what Retries publishes.
type RetriesView struct {
	Left   map[msg.PoolID]float64 `json:"allowance_left_attempts"`
	Spent  uint64                 `json:"spent_total"`
	Denied uint64                 `json:"denied_total"`
}

func (r *Retries) view() RetriesView {
	return RetriesView{
		Left:   r.mirror.view(),
		Spent:  r.spent.Load(),
		Denied: r.denied.Load(),
	}
}

// Drain mirrors the router's shutdown.
type Drain struct {
	mirror[DrainState]
}

// DrainState is how far a shutdown is.
type DrainState struct {
	State string  `json:"state"`         // serving, draining or drained
	Left  int     `json:"left_requests"` // requests that have not ended
	Since Seconds `json:"draining_seconds"`
	Cut   uint64  `json:"cut_total"` // requests cut at the drain limit
}
