package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Told is a list as one router tells it to another. Servers are the store's entries as of the
// list's stamp and nothing else, so that equal stamps mean equal servers. What the teller
// believes beyond them stands apart, each with its end: were a server in doubt told like the
// others, its receiver would keep it for good under a stamp under which others lack it.
type Told struct {
	Servers  []routing.Server
	Held     map[string]time.Duration // by ID: not to be used for so long
	Doubtful []Doubtful
}

// Doubtful is a server that the store lacks and that counts as living for so much longer.
type Doubtful struct {
	Server routing.Server
	Left   time.Duration
}

// Told returns the list for other routers.
func (r *Roster) Told(now time.Time) Told {
	t := Told{Servers: make([]routing.Server, 0, len(r.servers))}
	for id, s := range r.servers {
		if _, doubted := r.doubtful[id]; !doubted {
			t.Servers = append(t.Servers, s)
		}
	}
	for _, h := range r.back.held {
		t.Servers = append(t.Servers, h.server)
	}
	t.Held, t.Doubtful = r.unsure(now)
	slices.SortFunc(t.Servers, func(a, b routing.Server) int { return strings.Compare(a.ID, b.ID) })
	return t
}

// unsure returns what this router believes beyond the store's entries.
func (r *Roster) unsure(now time.Time) (held map[string]time.Duration, doubtful []Doubtful) {
	for id, h := range r.back.held {
		if held == nil {
			held = map[string]time.Duration{}
		}
		held[id] = h.until.Sub(now)
	}
	for id := range r.doubtful {
		doubtful = append(doubtful, Doubtful{r.servers[id], r.doubtLeft(id, now)})
	}
	slices.SortFunc(doubtful, func(a, b Doubtful) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return held, doubtful
}

// ReplaceTold takes another router's list. What that router holds back or doubts is held back
// or doubted here for as long; what it does not list has left.
func (r *Roster) ReplaceTold(t Told, now time.Time) {
	r.Replace(t.Servers, true, now)
	for _, s := range t.Servers {
		if left, ok := t.Held[s.ID]; ok && left > 0 {
			r.hold(s, now.Add(min(left, heldFor)))
		}
	}
	r.takeDoubtful(t.Doubtful, now)
}

// takeDoubtful lists the servers that another router has in doubt and this one does not know.
func (r *Roster) takeDoubtful(list []Doubtful, now time.Time) {
	for _, d := range list {
		if _, known := r.servers[d.Server.ID]; known || d.Left <= 0 {
			continue
		}
		delete(r.back.leavers, d.Server.ID) // it was forgotten for its absence a moment ago
		r.put(d.Server)
		r.doubtful[d.Server.ID] = doubt{since: now, until: now.Add(min(d.Left, ReturnGrace))}
	}
}
