package router

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/settingsstore"
	"github.com/windscale/windscale/internal/wire"
)

const (
	// peersAsked bounds how many peers a router without settings asks at once.
	peersAsked = 5
	// maxSettings bounds a peer's answer, in bytes.
	maxSettings = 8 << 20
)

// settingsRequest asks a peer for the settings, if it has newer ones.
type settingsRequest struct {
	Have uint64 `cbor:"1,keyasint"` // version
}

// settingsAnswer has Version 0 when the peer has nothing newer.
type settingsAnswer struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  []byte `cbor:"2,keyasint,omitempty"` // SHA-256 of Source
	Source  []byte `cbor:"3,keyasint,omitempty"`
}

// newFollower connects the settings with the platform and the peers.
func (r *Router) newFollower() *settingsstore.Follower {
	return settingsstore.NewFollower(settingsstore.Config{
		Table:   r.platform,
		Objects: r.platform,
		Peers:   peers{r},
		Log:     r.log,
	})
}

// newerSettings is told by peers' messages. A hint makes the follower read the
// head soon; when the store is down it asks the peers.
func (r *Router) newerSettings(version uint64) { r.follower.Hint(version) }

// answerSettings gives a peer the settings in force here, when they are newer.
func (r *Router) answerSettings(req []byte) ([]byte, error) {
	var q settingsRequest
	if err := wire.Unmarshal(req, maxSettings, &q); err != nil {
		return nil, err
	}
	s := r.follower.Current()
	if s == nil || s.Version <= q.Have {
		return wire.Marshal(settingsAnswer{})
	}
	return wire.Marshal(settingsAnswer{Version: s.Version, Digest: s.Digest[:], Source: s.Source})
}

// peers implements settingsstore.PeerSource over the link.
type peers struct{ r *Router }

// Highest implements settingsstore.PeerSource: it asks a few peers at once and
// returns the highest version that one of them has.
func (p peers) Highest(ctx context.Context) (uint64, [32]byte, []byte, error) {
	ids := p.some()
	answers := make(chan settingsAnswer, len(ids))
	for _, id := range ids {
		go func() { answers <- p.ask(ctx, id) }()
	}
	var best settingsAnswer
	for range ids {
		if a := <-answers; a.Version > best.Version {
			best = a
		}
	}
	if best.Version == 0 || len(best.Digest) != 32 {
		return 0, [32]byte{}, nil, &NoPeerError{Asked: len(ids)}
	}
	return best.Version, [32]byte(best.Digest), best.Source, nil
}

// some picks peers at random out of the members, the host list and the seeds.
func (p peers) some() []msg.RouterID {
	known := map[msg.RouterID]bool{}
	view, _ := p.r.members.View()
	for _, m := range view {
		known[m.ID] = true
	}
	for id := range p.r.hosts.Current().Routers {
		known[id] = true
	}
	for _, s := range p.r.cfg.Seeds {
		known[s.ID] = true
	}
	delete(known, p.r.cfg.ID)
	var ids []msg.RouterID
	for id := range known {
		ids = append(ids, id)
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), peersAsked)]
}

// ask returns a zero answer when the peer gives none.
func (p peers) ask(ctx context.Context, id msg.RouterID) settingsAnswer {
	var a settingsAnswer
	have := uint64(0)
	if s := p.r.follower.Current(); s != nil {
		have = s.Version
	}
	req, err := wire.Marshal(settingsRequest{Have: have})
	if err != nil {
		return a
	}
	answer, err := p.r.link.Fetch(ctx, id, kindSettings, req)
	if err == nil {
		err = wire.Unmarshal(answer, maxSettings, &a)
	}
	if err != nil {
		events.PeerGaveNoSettings.Log(ctx, p.r.log, slog.LevelDebug, "peer", id, "err", err)
		return settingsAnswer{}
	}
	return a
}
