package router

import (
	"log/slog"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/config"
	"github.com/windscale/windscale/internal/core/member"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/hosts"
	"github.com/windscale/windscale/internal/members"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/platform"
)

// newMembers connects the membership with the link and the sharing.
func (r *Router) newMembers() *members.Members {
	effects := members.Effects{
		Send:       func(to msg.RouterID, body []byte) { r.link.Send(to, kindMember, body) },
		Sync:       r.syncMembers,
		Changed:    r.membersChanged,
		Newer:      r.newerSettings,
		Superseded: r.superseded,
	}
	return members.New(r.ctx, r.cfg.ID, r.incarnation, r.cfg.DataCentre, effects)
}

// setCandidates takes the routers of the host list, and the seeds, as the ones
// that may exist.
func (r *Router) setCandidates(l *hosts.List) {
	var list []member.Candidate
	for _, h := range l.All {
		if h.Role == platform.RoleRouter {
			list = append(list, member.Candidate{ID: msg.RouterID(h.ID), Leaving: h.State == platform.HostLeaving})
		}
	}
	for _, s := range r.cfg.Seeds {
		if _, ok := l.Routers[s.ID]; !ok {
			list = append(list, member.Candidate{ID: s.ID})
		}
	}
	r.members.SetCandidates(list)
	if r.cfg.Sharing == config.SharingAlone {
		r.sharer.SetSplit(len(l.Routers))
	}
}

// membersChanged gives the new view to the sharing. It is called under the
// membership's lock.
func (r *Router) membersChanged(view []member.Member) {
	if r.cfg.Sharing == config.SharingAlone {
		return
	}
	list := make([]share.Member, 0, len(view))
	for _, m := range view {
		list = append(list, share.Member{
			ID:          m.ID,
			Incarnation: m.Incarnation,
			DataCentre:  m.DataCentre,
			Leaving:     m.State == member.Leaving,
		})
	}
	r.sharer.SetMembers(list)
}

// superseded ends this process: the fleet knows a later incarnation of the
// router, so another process has its identity, or the clock went back.
func (r *Router) superseded(incarnation uint64) {
	events.Superseded.Log(r.ctx, r.log, slog.LevelError, "incarnation", incarnation)
	r.drain.start()
}

// membersView is the members as operators see them.
func (r *Router) membersView() []admin.Member {
	view, _ := r.members.View()
	list := make([]admin.Member, 0, len(view))
	for _, m := range view {
		list = append(list, admin.Member{
			ID:          m.ID,
			DataCentre:  m.DataCentre,
			State:       m.State.String(),
			Incarnation: m.Incarnation,
		})
	}
	return list
}

// liveRouters are the routers that may be given the work of the fleet.
func (r *Router) liveRouters() []msg.RouterID {
	view, _ := r.members.View()
	var live []msg.RouterID
	for _, m := range view {
		if m.State != member.Leaving {
			live = append(live, m.ID)
		}
	}
	return live
}

// membersState is the membership and the host list as the metrics show them.
func (r *Router) membersState() metrics.MembersState {
	view, changes := r.members.View()
	list := r.hosts.Stats()
	s := metrics.MembersState{Changes: changes, ListAge: metrics.InSeconds(list.Age), ListErrs: list.Errors}
	for _, m := range view {
		switch m.State {
		case member.Alive:
			s.Alive++
		case member.Suspect:
			s.Suspect++
		default:
			s.Left++
		}
	}
	return s
}
