package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/events"
)

// The forms of the release before, for the time of an update in which routers of both run. They go
// with the next release.
const (
	pathServers = "/fleet/servers" // the whole list of servers
	pathView    = "/fleet/view"
)

// olderView is what a router of that release gives one that starts.
type olderView struct {
	Raw   []byte
	Stamp roster.Stamp
	roster.Snapshot
	AgeMs         int64
	Routers       []knownRouter
	Ends          []contentCrashes
	Evacuations   evacuation.Snapshot
	EvacuationsAs roster.Stamp
	AllEnds       bool
}

// olderList is its list of servers.
type olderList struct {
	Stamp roster.Stamp
	roster.Snapshot
}

// giveOlderView gives this router's view.
func (p *Peers) giveOlderView() given {
	if err := p.hasView(); err != nil {
		return given{status: http.StatusServiceUnavailable, text: []byte(err.Error())}
	}
	now := p.Now()
	_, age := p.State.Table()
	v := olderView{Raw: p.State.Raw(), AgeMs: age.Milliseconds(), Ends: wireCrashes(p.State.CrashesToRepeat()), AllEnds: p.State.HasReadCrashes()}
	v.Snapshot, v.Stamp = p.State.ServerSnapshot()
	v.Evacuations, v.EvacuationsAs = p.State.EvacuationSnapshot()
	p.mu.Lock()
	v.Routers = append(p.known(now).all, knownRouter{Addr: p.Self.Addr, DataCentre: p.Self.DataCentre, Cores: p.Self.Cores})
	p.mu.Unlock()
	return p.giveText(cbor.Marshal(v))
}

// takeOlderView takes such a view, which took so long to come.
func (p *Peers) takeOlderView(text []byte, took time.Duration) error {
	var v olderView
	if err := cbor.Unmarshal(text, &v); err != nil {
		return err
	}
	c, err := p.Decode(v.Raw)
	if err != nil {
		return err
	}
	now := p.Now()
	p.mu.Lock()
	for _, k := range v.Routers {
		p.spread.Observe(spread.Member{Addr: k.Addr, DataCentre: k.DataCentre, Cores: k.Cores}, k.age()+took, now)
	}
	p.mu.Unlock()
	p.putInForce(view{
		config: c, raw: v.Raw, servers: v.Snapshot, as: v.Stamp, age: time.Duration(v.AgeMs)*time.Millisecond + took,
		evacuated: v.Evacuations, evacuatedAs: v.EvacuationsAs, crashes: readCrashes(v.Ends, took), allEnds: v.AllEnds,
	})
	return nil
}

// giveOlderList gives the whole list of servers.
func (p *Peers) giveOlderList() given {
	list, stamp := p.State.ServerSnapshot()
	return p.giveText(json.Marshal(olderList{Stamp: stamp, Snapshot: list}))
}

// fetchOlderList fetches such a list.
func (p *Peers) fetchOlderList(from string) {
	p.Net.Fetch(from, pathServers, func(text []byte, err error) {
		if err != nil {
			p.pullFailed(from, "servers", err)
			return
		}
		var v olderList
		if err := json.Unmarshal(text, &v); err != nil {
			events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "err", err)
			return
		}
		p.takeListChange(from, packWhole(v.Snapshot, v.Stamp))
	})
}
