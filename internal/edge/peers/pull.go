package peers

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/events"
)

// fetch is one kind of fetches, of which one at most is in progress.
type fetch struct {
	busy atomic.Bool
	last time.Time // when the last one began
}

// begin runs f unless an earlier one is in progress.
func (g *fetch) begin(now time.Time, f func()) {
	if !g.busy.CompareAndSwap(false, true) {
		return
	}
	g.last = now
	go func() {
		defer g.busy.Store(false)
		f()
	}()
}

// pullNewer begins to fetch the configuration of a peer that is ahead.
func (p *Peers) pullNewer(ctx context.Context, now time.Time) {
	if p.configs.busy.Load() {
		return
	}
	if from := p.ahead(now); from != "" {
		p.configs.begin(now, func() { p.pullConfig(ctx, from) })
	}
}

// pullList begins to fetch the list of servers of a peer that is ahead.
func (p *Peers) pullList(ctx context.Context, now time.Time) {
	if p.servers.busy.Load() || now.Sub(p.servers.last) < p.serversPause() {
		return
	}
	if from := p.newerServers(now); from != "" {
		p.servers.begin(now, func() { p.pullServers(ctx, from) })
	}
}

// ahead returns a peer whose configuration is newer, of several the one heard
// last: at once where this router is told by others, after a while where it
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
		if role != follow.Informed && now.Sub(q.newer) <= pullAfter {
			continue
		}
		if best == "" || q.heard.After(p.views[best].heard) {
			best = control
		}
	}
	if best != "" {
		p.views[best].newer = now // not again at once
	}
	return best
}

// serversPause is the least time between two fetches of the servers.
func (p *Peers) serversPause() time.Duration {
	if p.Role() == follow.Informed {
		return reportEvery
	}
	return serversEvery
}

// newerServers returns a live peer whose list of servers is newer and whose report
// of the store is fresh. A router that follows the store asks only when its own
// view is old: its feed tells the same.
func (p *Peers) newerServers(now time.Time) string {
	_, age := p.State.Table()
	stamp := p.State.Stamp()
	if p.Role() != follow.Informed && age < viewOld && p.State.Ready() {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	freshest := min(age, viewOld)
	for _, m := range p.spread.Live() {
		q := p.views[m.Addr]
		if q == nil || !q.stamp.After(stamp) {
			continue
		}
		if old := now.Sub(q.asOf); old <= freshest {
			best = m.Addr
			freshest = old
		}
	}
	return best
}

// pullConfig fetches a peer's configuration.
func (p *Peers) pullConfig(ctx context.Context, from string) {
	raw, err := p.get(ctx, from, pathConfig)
	if err != nil {
		events.PeerPullFailed.Log(ctx, p.Log, slog.LevelWarn, "peer", from, "what", "configuration", "err", err)
		return
	}
	c, err := p.Decode(raw)
	if err != nil {
		events.ConfigRefused.Log(ctx, p.Log, slog.LevelError, "peer", from, "err", err)
		return
	}
	if p.State.TakeConfig(c, raw) {
		events.ConfigInForce.Log(ctx, p.Log, slog.LevelInfo, "version", c.Version, "from", from)
	}
}

// view is a peer's list of servers.
type view struct {
	Stamp roster.Stamp
	roster.Told
}

// pullServers fetches a peer's list of servers.
func (p *Peers) pullServers(ctx context.Context, from string) {
	text, err := p.get(ctx, from, pathServers)
	if err != nil {
		events.PeerPullFailed.Log(ctx, p.Log, slog.LevelWarn, "peer", from, "what", "servers", "err", err)
		return
	}
	var v view
	if err := json.Unmarshal(text, &v); err != nil {
		events.PeerMalformed.Log(ctx, p.Log, slog.LevelWarn, "peer", from, "err", err)
		return
	}
	if len(v.Servers)+len(v.Doubtful) > 0 && p.State.ServersToldBy(v.Told, v.Stamp) {
		events.ServersChanged.Log(ctx, p.Log, slog.LevelInfo, "from", from, "servers", len(v.Servers), "held", len(v.Held),
			"doubtful", len(v.Doubtful), "era", v.Stamp.Era, "ver", v.Stamp.Version, "edits", v.Stamp.Edits)
	}
}

// StatusError is a peer's refusal.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string { return "peer answered " + e.Status }

// get fetches one thing from a peer.
func (p *Peers) get(ctx context.Context, from, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.Status}
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxView))
}

// Handler serves this router's view to its peers.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathView, p.serveView)
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, _ *http.Request) {
		raw := p.State.Raw()
		if raw == nil {
			http.Error(w, "none yet", http.StatusServiceUnavailable)
			return
		}
		// A peer that has gone asks another router.
		_, _ = w.Write(raw)
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, _ *http.Request) {
		list, stamp := p.State.ServersTold()
		text, err := json.Marshal(view{Stamp: stamp, Told: list})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(text)
	})
	return mux
}
