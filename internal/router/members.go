package router

import (
	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/config"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/hosts"
	"github.com/windscale/windscale/internal/platform"
)

// membersChanged takes the routers of the host list as the live members.
func (r *Router) membersChanged(l *hosts.List) {
	if r.cfg.Sharing == config.SharingAlone {
		r.sharer.SetSplit(len(l.Routers))
		return
	}
	var list []share.Member
	for _, h := range l.All {
		if h.Role == platform.RoleRouter && h.State == platform.HostLive {
			list = append(list, share.Member{ID: msg.RouterID(h.ID), DataCentre: h.DataCentre})
		}
	}
	r.sharer.SetMembers(list)
}

// leave tells the others that this router takes no more part in admitting.
func (r *Router) leave() {}

func (r *Router) members() []admin.Member {
	var list []admin.Member
	for _, h := range r.hosts.Current().All {
		if h.Role == platform.RoleRouter {
			list = append(list, admin.Member{ID: msg.RouterID(h.ID), DataCentre: h.DataCentre, State: string(h.State)})
		}
	}
	return list
}
