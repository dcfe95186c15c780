package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Snapshot is a list as one router sends it to another. Servers holds exactly the store's entries
// as of the list's stamp, so equal stamps mean equal servers. Held and doubtful servers are
// separate, each with its remaining time: if a doubtful server were in Servers, the receiver would
// keep it indefinitely under a stamp under which others lack it.
type Snapshot struct {
	Servers  []routing.Server
	Held     map[string]time.Duration // remaining time during which it must not be used
	Doubtful []Doubtful
}

// Doubtful is a server that is missing from the store and counts as live for the remaining time
// Left.
type Doubtful struct {
	Server routing.Server
	Left   time.Duration
}

// Snapshot returns the list for peers.
func (r *Roster) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{Servers: make([]routing.Server, 0, len(r.servers))}
	for id, s := range r.servers {
		if _, doubted := r.doubtful[id]; !doubted {
			snapshot.Servers = append(snapshot.Servers, s)
		}
	}
	for _, entry := range r.restore.held {
		snapshot.Servers = append(snapshot.Servers, entry.server)
	}
	snapshot.Held, snapshot.Doubtful = r.provisional(now)
	slices.SortFunc(snapshot.Servers, func(a, b routing.Server) int { return strings.Compare(a.ID, b.ID) })
	return snapshot
}

// provisional returns the held and doubtful servers with their remaining times.
func (r *Roster) provisional(now time.Time) (held map[string]time.Duration, doubtful []Doubtful) {
	for id, entry := range r.restore.held {
		if held == nil {
			held = map[string]time.Duration{}
		}
		held[id] = entry.until.Sub(now)
	}
	for id := range r.doubtful {
		doubtful = append(doubtful, Doubtful{r.servers[id], r.remainingDoubt(id, now)})
	}
	slices.SortFunc(doubtful, func(a, b Doubtful) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return held, doubtful
}

// ReplaceFromPeer replaces the list with a peer's. Servers that are held or doubtful there stay so
// here for the same remaining time; servers that are not listed there have left.
func (r *Roster) ReplaceFromPeer(snapshot Snapshot, now time.Time) {
	r.Replace(snapshot.Servers, true, now)
	for _, s := range snapshot.Servers {
		if left, ok := snapshot.Held[s.ID]; ok && left > 0 {
			r.hold(s, now.Add(min(left, holdTime)))
		}
	}
	r.adoptDoubtful(snapshot.Doubtful, now)
}

// adoptDoubtful adds servers that are doubtful at a peer and unknown here.
func (r *Roster) adoptDoubtful(list []Doubtful, now time.Time) {
	for _, d := range list {
		if _, known := r.servers[d.Server.ID]; known || d.Left <= 0 {
			continue
		}
		delete(r.restore.departures, d.Server.ID) // it was only just removed as missing
		r.insert(d.Server)
		r.doubtful[d.Server.ID] = doubt{since: now, until: now.Add(min(d.Left, RecoveryGrace))}
	}
}
