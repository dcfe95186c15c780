package router

import (
	"context"
	"log/slog"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/events"
)

// The kinds of message on the link.
const (
	kindShare    uint8 = 1 // share.Message
	kindMember   uint8 = 2 // member.Message
	kindSettings uint8 = 3 // conversation: the asker's version; the newer settings, if any
	kindMembers  uint8 = 4 // conversation: the asker's view; what it lacks
)

// sendShare sends a message of the sharing to a peer. It is called under the
// sharer's lock; the link does not block.
func (r *Router) sendShare(to msg.RouterID, m *share.Message) {
	body, err := share.Encode(m)
	if err != nil {
		events.MessageMalformed.Log(r.ctx, r.log, slog.LevelError, "peer", to, "err", err)
		return
	}
	r.metrics.Sharing.Sent(len(body))
	r.link.Send(to, kindShare, body)
}

// receive takes a peer's message, on one of the link's goroutines.
func (r *Router) receive(from msg.RouterID, kind uint8, body []byte) {
	switch kind {
	case kindShare:
		r.receiveShare(from, body)
	case kindMember:
		r.receiveMember(from, body)
	default:
		events.MessageUnknown.Log(r.ctx, r.log, slog.LevelDebug, "peer", from, "kind", kind)
	}
}

// receiveShare gives a peer's message to the sharing.
func (r *Router) receiveShare(from msg.RouterID, body []byte) {
	m, err := share.Decode(body)
	if err != nil {
		events.MessageMalformed.Log(r.ctx, r.log, slog.LevelWarn, "peer", from, "err", err)
		return
	}
	r.metrics.Sharing.Received(len(body))
	r.sharer.Step(from, m)
}

// receiveMember gives a peer's message to the membership.
func (r *Router) receiveMember(from msg.RouterID, body []byte) {
	if err := r.members.Step(from, body); err != nil {
		events.MessageMalformed.Log(r.ctx, r.log, slog.LevelWarn, "peer", from, "err", err)
	}
}

// syncMembers exchanges views with a peer.
func (r *Router) syncMembers(ctx context.Context, to msg.RouterID, req []byte) ([]byte, error) {
	return r.link.Fetch(ctx, to, kindMembers, req)
}

// resolve finds a peer's link address in the host list, else in the seeds.
func (r *Router) resolve(id msg.RouterID) (string, bool) {
	if h, ok := r.hosts.Current().Routers[id]; ok {
		return h.Addr, true
	}
	for _, s := range r.cfg.Seeds {
		if s.ID == id {
			return s.Addr, true
		}
	}
	return "", false
}

// probe asks a server for its load. It is called under the sharer's lock.
func (r *Router) probe(id msg.ServerID) {
	if addr, ok := r.serverAddr(id); ok {
		r.prober.Ask(r.ctx, id, addr)
	}
}

// serverAddr returns a server's address by the host list.
func (r *Router) serverAddr(id msg.ServerID) (string, bool) {
	h, ok := r.hosts.Current().Servers[id]
	return h.Addr, ok
}

// answer serves the conversations that peers begin.
func (r *Router) answer(_ context.Context, _ msg.RouterID, kind uint8, req []byte) ([]byte, error) {
	switch kind {
	case kindSettings:
		return r.answerSettings(req)
	case kindMembers:
		return r.members.Answer(req)
	}
	return nil, &UnknownKindError{Kind: kind}
}
