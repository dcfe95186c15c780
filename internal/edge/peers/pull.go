package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/events"
)

const (
	// differAfter is how long a list of routers may differ from that of who tells it before it is
	// fetched: changes are told twice.
	differAfter = 1500 * time.Millisecond
	// routersEvery is the least time between two such fetches from the same router.
	routersEvery = time.Second
)

// fetch is one kind of fetches, of which one at most is in progress.
type fetch struct {
	busy atomic.Bool
	last time.Time // when the last one began
}

// fetch begins to get a path of a peer, unless an earlier fetch of the kind is in progress.
func (p *Peers) fetch(f *fetch, now time.Time, from, path string, take func([]byte, error)) {
	if !f.busy.CompareAndSwap(false, true) {
		return
	}
	f.last = now
	p.Net.Fetch(from, path, func(text []byte, err error) {
		defer f.busy.Store(false)
		p.Stats.fetched.add(1, len(text))
		take(text, err)
	})
}

// pullFailed notes that a fetch brought nothing.
func (p *Peers) pullFailed(from, what string, err error) {
	events.PeerPullFailed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "what", what, "err", err)
}

// pullNewer begins to fetch the configuration of a peer that is ahead.
func (p *Peers) pullNewer(now time.Time) {
	if p.configs.busy.Load() {
		return
	}
	if from := p.ahead(now); from != "" {
		p.fetch(&p.configs, now, from, pathConfig, func(text []byte, err error) { p.takeConfig(from, text, err) })
	}
}

// pullList begins to fetch the list of servers of a peer that is ahead, or what has changed of it.
func (p *Peers) pullList(now time.Time) {
	if p.servers.busy.Load() || now.Sub(p.servers.last) < p.serversPause() {
		return
	}
	if from := p.newerServers(now); from != "" {
		p.fetch(&p.servers, now, from, changesPath(p.State.Stamp()), func(text []byte, err error) { p.takeList(from, text, err) })
	}
}

// pullMembers begins to fetch lists of routers that differ.
func (p *Peers) pullMembers(now time.Time) {
	if p.routers.busy.Load() {
		return
	}
	p.mu.Lock()
	from, centres := p.members.due(now)
	p.mu.Unlock()
	if from == "" {
		return
	}
	query := url.Values{"dc": {strings.Join(centres, ",")}}
	p.fetch(&p.routers, now, from, pathRouters+"?"+query.Encode(), func(text []byte, err error) { p.takeMembers(from, text, err) })
}

// ahead returns a peer whose configuration is newer, of several one of this data centre, and of
// those the one heard last: at once where this router is told by others, after a while where it
// follows the store itself.
func (p *Peers) ahead(now time.Time) string {
	role := p.Role()
	version := p.State.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for control, q := range p.views {
		if q.version <= version {
			q.newer = time.Time{} // it has come from elsewhere; the peer may never tell again
			continue
		}
		if role != follow.Indirect && now.Sub(q.newer) <= pullAfter {
			continue
		}
		if best == "" || p.before(control, best) {
			best = control
		}
	}
	if best != "" {
		p.views[best].newer = now // not again at once
	}
	return best
}

// before reports whether a peer is the better one to fetch from: one of this data centre, then the
// one that was heard last.
func (p *Peers) before(control, than string) bool {
	q, o := p.views[control], p.views[than]
	near, other := q.dataCentre == p.Self.DataCentre, o.dataCentre == p.Self.DataCentre
	if near != other {
		return near
	}
	if q.heard.Equal(o.heard) {
		return control < than
	}
	return q.heard.After(o.heard)
}

// serversPause is the least time between two fetches of the servers.
func (p *Peers) serversPause() time.Duration {
	if p.Role() == follow.Indirect {
		return reportEvery
	}
	return serversEvery
}

// newerServers returns a live peer whose list of servers is newer and whose report
// of the store is fresh, one of this data centre if there is any. A router that follows the store
// asks only when its own view is old: its feed tells the same.
func (p *Peers) newerServers(now time.Time) string {
	_, age := p.State.Table()
	stamp := p.State.Stamp()
	if p.Role() != follow.Indirect && age < viewOld && p.State.Ready() {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestNear := "", false
	freshest := min(age, viewOld)
	for addr, q := range p.views {
		old := now.Sub(q.asOf)
		if !q.stamp.After(stamp) || old > min(age, viewOld) || !p.spread.IsLive(addr) {
			continue
		}
		near := q.dataCentre == p.Self.DataCentre
		if !near && now.Sub(q.ahead) < pullAfter && p.State.Ready() && !p.spread.IsMesh() {
			continue // it may be on its way
		}
		fresher := old < freshest || old == freshest && addr < best
		if best == "" || near && !bestNear || near == bestNear && fresher {
			best, bestNear, freshest = addr, near, old
		}
	}
	return best
}

// takeConfig takes a peer's configuration.
func (p *Peers) takeConfig(from string, raw []byte, err error) {
	if err != nil {
		p.pullFailed(from, "configuration", err)
		return
	}
	c, err := p.Decode(raw)
	if err != nil {
		events.ConfigRefused.Log(context.Background(), p.Log, slog.LevelError, "peer", from, "err", err)
		return
	}
	if p.State.ApplyConfig(c, raw) {
		events.ConfigInForce.Log(context.Background(), p.Log, slog.LevelInfo, "version", c.Version, "from", from)
	}
}

// changesPath asks for what has changed of the list since the stamp.
func changesPath(since roster.Stamp) string {
	return fmt.Sprintf("%s?era=%d&ver=%d&edits=%d", pathChanges, since.Era, since.Version, since.Edits)
}

// takeList takes a peer's list of servers, or what has changed of it.
func (p *Peers) takeList(from string, text []byte, err error) {
	if isMissing(err) {
		p.fetchOlderList(from)
		return
	}
	if err != nil {
		p.pullFailed(from, "servers", err)
		return
	}
	var c listChange
	if err := cbor.Unmarshal(text, &c); err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "err", err)
		return
	}
	p.takeListChange(from, c)
}

// takeListChange puts a list, or changes, in force.
func (p *Peers) takeListChange(from string, c listChange) {
	taken := false
	if c.Whole {
		t := c.told()
		taken = len(t.Servers)+len(t.Doubtful) > 0 && p.State.ReplaceServersFromPeer(t, c.As)
	} else {
		taken = p.State.ApplyServerDelta(c.delta())
	}
	if taken {
		p.logList(from, c)
	}
}

// isMissing reports whether a peer does not know what it was asked for.
func isMissing(err error) bool {
	refused, ok := err.(*StatusError)
	return ok && refused.Status == http.StatusNotFound
}

// takeMembers takes lists of routers.
func (p *Peers) takeMembers(from string, text []byte, err error) {
	if err != nil {
		p.pullFailed(from, "routers", err)
		return
	}
	var lists []memberList
	if err := cbor.Unmarshal(text, &lists); err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "err", err)
		return
	}
	var centres []string
	p.mu.Lock()
	for _, l := range lists {
		p.spread.SetMembers(l.DataCentre, l.unpack(), p.Now())
		delete(p.members.differ, l.DataCentre)
		centres = append(centres, l.DataCentre)
	}
	live := p.spread.LiveCount()
	p.mu.Unlock()
	events.RoutersFetched.Log(context.Background(), p.Log, slog.LevelInfo, "peer", from, "dataCentres", centres, "routers", live)
}
