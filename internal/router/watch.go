package router

import (
	"context"
	"log/slog"
	"maps"
	"sync"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/hosts"
	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/probe"
)

// hostsChanged takes a new reading of the host list.
func (r *Router) hostsChanged(l *hosts.List) {
	live := map[msg.ServerID]string{}
	var known []msg.ServerID
	for _, h := range l.All {
		if h.Role != platform.RoleServer {
			continue
		}
		known = append(known, msg.ServerID(h.ID))
		if h.State == platform.HostLive {
			live[msg.ServerID(h.ID)] = h.Addr
		}
		r.servers.listed(msg.ServerID(h.ID), h.State != platform.HostLive)
	}
	r.servers.keep(l.Servers)
	r.metrics.Sharing.SetServers(known)
	r.sharer.SetServers(live)
	r.setCandidates(l)
}

// loadReported takes a server's answer to a load question, or its silence.
func (r *Router) loadReported(id msg.ServerID, rep probe.Report, err error) {
	if err != nil {
		r.servers.silent(id, err)
		return
	}
	r.servers.answered(id, rep.Leaving)
	r.sharer.Load(share.LoadReport{
		Server:  id,
		Pools:   rep.Pools(),
		Slots:   rep.Slots,
		Running: rep.Running,
		Queued:  rep.Queued,
		Leaving: rep.Leaving,
	})
}

// serverWatch logs the changes of backend servers, each once.
type serverWatch struct {
	log *slog.Logger

	mu   sync.Mutex
	last map[msg.ServerID]watched
}

// watched is what is held of a server. It may come back after it left.
type watched struct {
	silent        bool
	listedLeaving bool // by the host list
	saysLeaving   bool // by its own load report
}

// leaving reports whether the server is to get no new work.
func (s watched) leaving() bool { return s.listedLeaving || s.saysLeaving }

// newServerWatch returns a watch that has seen no server.
func newServerWatch(log *slog.Logger) *serverWatch {
	return &serverWatch{log: log, last: map[msg.ServerID]watched{}}
}

// update changes what is held of a server and logs that it begins to leave.
func (w *serverWatch) update(id msg.ServerID, change func(*watched)) (before watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before = w.last[id]
	after := before
	change(&after)
	w.last[id] = after
	if after.leaving() && !before.leaving() {
		events.ServerLeaving.Log(context.Background(), w.log, slog.LevelInfo, "server", id)
	}
	return before
}

// keep forgets the servers that are not in the host list any more.
func (w *serverWatch) keep(known map[msg.ServerID]platform.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.last, func(id msg.ServerID, _ watched) bool {
		_, ok := known[id]
		return !ok
	})
}

// silent notes that a server gave no load report.
func (w *serverWatch) silent(id msg.ServerID, err error) {
	before := w.update(id, func(s *watched) { s.silent = true })
	if !before.silent {
		events.ServerSilent.Log(context.Background(), w.log, slog.LevelWarn, "server", id, "err", err)
	}
}

// answered notes that a server gave a load report.
func (w *serverWatch) answered(id msg.ServerID, leaving bool) {
	before := w.update(id, func(s *watched) { s.silent, s.saysLeaving = false, leaving })
	if before.silent {
		events.ServerBack.Log(context.Background(), w.log, slog.LevelInfo, "server", id)
	}
}

// listed notes what the host list says.
func (w *serverWatch) listed(id msg.ServerID, leaving bool) {
	w.update(id, func(s *watched) { s.listedLeaving = leaving })
}

// state is the word for a server in operators' tables.
func (w *serverWatch) state(id msg.ServerID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s := w.last[id]; {
	case s.leaving():
		return "leaving"
	case s.silent:
		return "silent"
	}
	return "live"
}
