package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/events"
)

// Paths of the previous release, which are needed during an update while routers of both releases
// run. The next release removes them.
const (
	pathServers = "/fleet/servers" // the whole server list
	pathView    = "/fleet/view"
)

// olderView is the view that a router of the previous release serves to a joining one.
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

// olderList is the server list of the previous release.
type olderList struct {
	Stamp roster.Stamp
	roster.Snapshot
}

// serveOlderView returns this router's view in the older encoding.
func (p *Peers) serveOlderView() fetchResponse {
	if err := p.checkView(); err != nil {
		return fetchResponse{status: http.StatusServiceUnavailable, body: []byte(err.Error())}
	}
	now := p.Now()
	_, age := p.State.Table()
	v := olderView{Raw: p.State.Raw(), AgeMs: age.Milliseconds(), Ends: crashesToWire(p.State.CrashesToRepeat(poison.Contents)), AllEnds: p.State.HasReadCrashes()}
	v.Snapshot, v.Stamp = p.State.ServerSnapshot()
	v.Evacuations, v.EvacuationsAs = p.State.EvacuationSnapshot()
	p.mu.Lock()
	v.Routers = append(p.liveRouters(now).all, knownRouter{Addr: p.Self.Addr, DataCentre: p.Self.DataCentre, Cores: p.Self.Cores})
	p.mu.Unlock()
	return p.bodyResponse(cbor.Marshal(v))
}

// applyOlderView applies an older view, which took the elapsed time to arrive.
func (p *Peers) applyOlderView(data []byte, elapsed time.Duration) error {
	var v olderView
	if err := cbor.Unmarshal(data, &v); err != nil {
		return err
	}
	c, err := p.Decode(v.Raw)
	if err != nil {
		return err
	}
	now := p.Now()
	p.mu.Lock()
	for _, k := range v.Routers {
		p.spread.Observe(spread.Member{Addr: k.Addr, DataCentre: k.DataCentre, Cores: k.Cores}, k.age()+elapsed, now)
	}
	p.mu.Unlock()
	p.applyFirstView(decodedView{
		config: c, raw: v.Raw, servers: v.Snapshot, stamp: v.Stamp, age: time.Duration(v.AgeMs)*time.Millisecond + elapsed,
		evacuated: v.Evacuations, evacuatedStamp: v.EvacuationsAs, crashes: crashesFromWire(v.Ends, elapsed), allCrashes: v.AllEnds,
	})
	return nil
}

// serveOlderList returns the whole server list in the older encoding.
func (p *Peers) serveOlderList() fetchResponse {
	list, stamp := p.State.ServerSnapshot()
	return p.bodyResponse(json.Marshal(olderList{Stamp: stamp, Snapshot: list}))
}

// fetchOlderList fetches the server list in the older encoding.
func (p *Peers) fetchOlderList(from string) {
	p.Net.Fetch(from, pathServers, func(data []byte, err error) {
		if err != nil {
			p.logPullFailed(from, "servers", err)
			return
		}
		var v olderList
		if err := json.Unmarshal(data, &v); err != nil {
			events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", from, "err", err)
			return
		}
		p.applyListChange(from, packFullList(v.Snapshot, v.Stamp))
	})
}
