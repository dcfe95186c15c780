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
	// mismatchTimeout is how long a list of routers may differ from that of the peer that sends it
	// before it is fetched. Changes are sent twice, so a shorter mismatch may resolve itself.
	mismatchTimeout = 1500 * time.Millisecond
	// routersPullInterval is the minimum time between two such fetches from the same router.
	routersPullInterval = time.Second
)

// fetch is a kind of fetch, of which at most one is in progress.
type fetch struct {
	busy      atomic.Bool
	lastStart time.Time
}

// startFetch begins to fetch a path from a peer, unless an earlier fetch of the same kind is in
// progress.
func (p *Peers) startFetch(f *fetch, now time.Time, from, path string, handle func([]byte, error)) {
	if !f.busy.CompareAndSwap(false, true) {
		return
	}
	f.lastStart = now
	p.Net.Fetch(from, path, func(data []byte, err error) {
		defer f.busy.Store(false)
		p.Stats.fetched.add(1, len(data))
		handle(data, err)
	})
}

func (p *Peers) logPullFailed(from, what string, err error) {
	events.PeerPullFailed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "what", what, "err", err)
}

// pullConfig begins to fetch a newer configuration from a peer.
func (p *Peers) pullConfig(now time.Time) {
	if p.configFetch.busy.Load() {
		return
	}
	if from := p.newerConfigPeer(now); from != "" {
		p.startFetch(&p.configFetch, now, from, pathConfig, func(data []byte, err error) { p.applyConfig(from, data, err) })
	}
}

// pullServers begins to fetch a newer server list, or the changes of it, from a peer.
func (p *Peers) pullServers(now time.Time) {
	if p.serversFetch.busy.Load() || now.Sub(p.serversFetch.lastStart) < p.serversPullPause() {
		return
	}
	if from := p.newerServersPeer(now); from != "" {
		p.startFetch(&p.serversFetch, now, from, changesPath(p.State.Stamp()), func(data []byte, err error) { p.applyServers(from, data, err) })
	}
}

// pullMembers begins to fetch lists of routers that differ.
func (p *Peers) pullMembers(now time.Time) {
	if p.routersFetch.busy.Load() {
		return
	}
	p.mu.Lock()
	from, dataCentres := p.members.due(now)
	p.mu.Unlock()
	if from == "" {
		return
	}
	query := url.Values{"dc": {strings.Join(dataCentres, ",")}}
	p.startFetch(&p.routersFetch, now, from, pathRouters+"?"+query.Encode(), func(data []byte, err error) { p.applyMembers(from, data, err) })
}

// newerConfigPeer returns a peer with a newer configuration, or "". It prefers peers of this data
// centre, and among those the one heard last. A router that relies on the readers fetches at once;
// one that follows the store itself first waits for pullDelay.
func (p *Peers) newerConfigPeer(now time.Time) string {
	role := p.Role()
	version := p.State.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for addr, q := range p.views {
		if q.configVersion <= version {
			q.configNewerSince = time.Time{} // it arrived from elsewhere, and the peer may never report again
			continue
		}
		if role != follow.Indirect && now.Sub(q.configNewerSince) <= pullDelay {
			continue
		}
		if best == "" || p.isPreferred(addr, best) {
			best = addr
		}
	}
	if best != "" {
		p.views[best].configNewerSince = now // delays the next fetch from this peer
	}
	return best
}

// isPreferred reports whether the first peer is preferred for a fetch: peers of this data centre
// come first, then the peer heard last.
func (p *Peers) isPreferred(addr, other string) bool {
	q, o := p.views[addr], p.views[other]
	isLocal, otherIsLocal := q.dataCentre == p.Self.DataCentre, o.dataCentre == p.Self.DataCentre
	if isLocal != otherIsLocal {
		return isLocal
	}
	if q.lastHeard.Equal(o.lastHeard) {
		return addr < other
	}
	return q.lastHeard.After(o.lastHeard)
}

// serversPullPause returns the minimum time between two fetches of the server list.
func (p *Peers) serversPullPause() time.Duration {
	if p.Role() == follow.Indirect {
		return tickInterval
	}
	return serversPullInterval
}

// newerServersPeer returns a live peer with a newer server list and a recent store answer,
// preferably of this data centre, or "". A router that follows the store asks only if its own view
// is old, since the store sends it the same changes.
func (p *Peers) newerServersPeer(now time.Time) string {
	_, age := p.State.Table()
	stamp := p.State.Stamp()
	if p.Role() != follow.Indirect && age < maxViewAge && p.State.Ready() {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestIsLocal := "", false
	freshest := min(age, maxViewAge)
	for addr, q := range p.views {
		peerAge := now.Sub(q.storeReadAt)
		if !q.listStamp.After(stamp) || peerAge > min(age, maxViewAge) || !p.spread.IsLive(addr) {
			continue
		}
		isLocal := q.dataCentre == p.Self.DataCentre
		if !isLocal && now.Sub(q.listNewerSince) < pullDelay && p.State.Ready() && !p.spread.IsMesh() {
			continue // it may arrive within this data centre
		}
		isFresher := peerAge < freshest || peerAge == freshest && addr < best
		if best == "" || isLocal && !bestIsLocal || isLocal == bestIsLocal && isFresher {
			best, bestIsLocal, freshest = addr, isLocal, peerAge
		}
	}
	return best
}

// applyConfig applies a peer's configuration.
func (p *Peers) applyConfig(from string, raw []byte, err error) {
	if err != nil {
		p.logPullFailed(from, "configuration", err)
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

// changesPath returns the path of the changes of the server list since the stamp.
func changesPath(since roster.Stamp) string {
	return fmt.Sprintf("%s?era=%d&ver=%d&edits=%d", pathChanges, since.Era, since.Version, since.Edits)
}

// applyServers applies a peer's server list, or the changes of it.
func (p *Peers) applyServers(from string, data []byte, err error) {
	if isNotFound(err) {
		p.fetchOlderList(from)
		return
	}
	if err != nil {
		p.logPullFailed(from, "servers", err)
		return
	}
	var c listChange
	if err := cbor.Unmarshal(data, &c); err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "err", err)
		return
	}
	p.applyListChange(from, c)
}

// applyListChange puts a server list, or changes of it, in force.
func (p *Peers) applyListChange(from string, c listChange) {
	applied := false
	if c.Full {
		t := c.snapshot()
		applied = len(t.Servers)+len(t.Doubtful) > 0 && p.State.ReplaceServersFromPeer(t, c.To)
	} else {
		applied = p.State.ApplyServerDelta(c.delta())
	}
	if applied {
		p.logListChange(from, c)
	}
}

// isNotFound reports whether a peer does not know the requested path.
func isNotFound(err error) bool {
	refused, ok := err.(*StatusError)
	return ok && refused.Status == http.StatusNotFound
}

// applyMembers applies lists of routers.
func (p *Peers) applyMembers(from string, data []byte, err error) {
	if err != nil {
		p.logPullFailed(from, "routers", err)
		return
	}
	var lists []memberList
	if err := cbor.Unmarshal(data, &lists); err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "err", err)
		return
	}
	var dataCentres []string
	p.mu.Lock()
	for _, l := range lists {
		p.spread.SetMembers(l.DataCentre, l.unpack(), p.Now())
		delete(p.members.mismatchSince, l.DataCentre)
		dataCentres = append(dataCentres, l.DataCentre)
	}
	live := p.spread.LiveCount()
	p.mu.Unlock()
	events.RoutersFetched.Log(context.Background(), p.Log, slog.LevelInfo, "peer", from, "dataCentres", dataCentres, "routers", live)
}
