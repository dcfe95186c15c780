package router

import (
	"encoding/hex"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/sharing"
)

// Status implements admin.Router.
func (r *Router) Status() admin.Status {
	waiting, running := r.sharer.Counts()
	s := admin.Status{
		Router:      r.cfg.ID,
		Incarnation: r.incarnation,
		DataCentre:  r.cfg.DataCentre,
		Draining:    r.drain.draining(),
		Running:     running,
		Waiting:     waiting,
		Members:     r.membersView(),
	}
	if snap := r.follower.Current(); snap != nil {
		s.Ready = !s.Draining
		s.SettingsVersion = snap.Version
		s.SettingsDigest = hex.EncodeToString(snap.Digest[:])
	}
	return s
}

// Backends implements admin.Router. Only the servers that this router admits
// to have slots in its answer.
func (r *Router) Backends() []admin.Backend {
	admitted := map[msg.ServerID]share.ServerView{}
	for _, v := range r.sharer.ServerViews() {
		admitted[v.Server] = v
	}
	var list []admin.Backend
	for _, h := range r.hosts.Current().All {
		if h.Role != platform.RoleServer {
			continue
		}
		id := msg.ServerID(h.ID)
		b := admin.Backend{ID: id, Addr: h.Addr, DataCentre: h.DataCentre, State: r.servers.state(id)}
		if v, ok := admitted[id]; ok {
			b.AdmittedBy = r.cfg.ID
			b.Pools = v.Pools
			b.Slots = v.Slots
			b.Limit = v.Limit
			b.Running = v.Running
		}
		list = append(list, b)
	}
	return list
}

// Drain implements admin.Router.
func (r *Router) Drain() { r.drain.start() }

// SetLink implements admin.Router.
func (r *Router) SetLink(peer msg.RouterID, cut bool) bool {
	if !r.cfg.Faults {
		return false
	}
	if cut {
		r.link.Block(peer)
	} else {
		r.link.Unblock(peer)
	}
	return true
}

// Explain implements admin.Router.
func (r *Router) Explain(c msg.CustomerID) sharing.Explanation {
	return r.sharer.Explain(c)
}
