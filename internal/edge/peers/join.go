package peers

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/join"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

const (
	// joinInterval is the time between two steps of a router that joins.
	joinInterval = 25 * time.Millisecond
	// maxActiveViews is the number of routers to which this one sends its view at a time: each
	// takes some milliseconds of processor time, and other routers that have the view can serve it
	// too.
	maxActiveViews = 16
	// maxReferrals is the number of routers of another data centre that are sent the view from here
	// within referralTimeout. The other routers there get it from them.
	maxReferrals = 2
	// maxSourcesNamed is the number of routers with the view that are named at a time. For each
	// data centre maxSourcesKept of them are remembered, for sourceLifetime.
	maxSourcesNamed = 4
	maxSourcesKept  = 64
	sourceLifetime  = 10 * time.Second
	// referralTimeout is how long a router that was referred to this one may take to fetch its
	// view.
	referralTimeout = time.Second
	// maxOffersPerStep is the number of routers to which this one offers its view in one step.
	maxOffersPerStep = 64
)

// joinView is the view that a joining router gets from another one: everything it needs to serve.
// It saves the store two reads and two long polls.
type joinView struct {
	_          struct{}         `cbor:",toarray"`
	Raw        []byte           // the configuration as the operator wrote it
	List       cbor.RawMessage  // a full listChange
	AgeMs      int64            // of the store answer that the view is based on
	Routers    []memberList     // live routers, including the sender
	Crashes    []contentCrashes // contents that are blocked or may be soon
	AllCrashes bool             // the sender has read the blocked contents from the store
	// Evacuations are those of the sender, as of EvacuationsStamp.
	Evacuations      evacuation.Snapshot
	EvacuationsStamp roster.Stamp
	Rollouts         []wireRollout
}

// extendedView is the view for routers that ask for queryExtended. Earlier releases get and send a
// joinView alone, which can't have more fields.
type extendedView struct {
	View        cbor.RawMessage `cbor:"1,keyasint"` // a joinView
	PartCrashes []partCrashes   `cbor:"2,keyasint,omitempty"`
}

// queryExtended is the query parameter with which a joining router asks for an extendedView.
const queryExtended = "extended"

// NoViewError means that a router has no view, or one that is too old to be served.
type NoViewError struct{ AgeMs int64 }

// Error implements error.
func (e *NoViewError) Error() string { return "no view, or an old one" }

// source is a router that has the view.
type source struct {
	addr     string
	servedAt time.Time // when it was sent the view
}

// viewServing tracks the routers that ask this one for a view.
type viewServing struct {
	active       int                    // views being sent
	sources      map[string][]source    // by data centre
	referrals    map[string][]time.Time // by data centre: when its routers were referred to this one
	waiting      map[string]string      // joining routers without a source, and their data centres
	listMu       sync.Mutex             // guards encodedList and encodedStamp
	encodedList  []byte                 // the whole server list as of encodedStamp
	encodedStamp roster.Stamp
}

func newViewServing() viewServing {
	return viewServing{sources: map[string][]source{}, referrals: map[string][]time.Time{}, waiting: map[string]string{}}
}

// addSource records that a router has the view.
func (v *viewServing) addSource(dataCentre, addr string, now time.Time) {
	list := slices.DeleteFunc(v.sources[dataCentre], func(s source) bool { return s.addr == addr || now.Sub(s.servedAt) > sourceLifetime })
	if len(list) >= maxSourcesKept {
		list = list[1:]
	}
	v.sources[dataCentre] = append(list, source{addr, now})
}

// randomSources returns up to maxSourcesNamed random routers of the data centre that have the view.
func (v *viewServing) randomSources(dataCentre, except string, rng *rand.Rand, now time.Time) (addrs []string) {
	for _, s := range v.sources[dataCentre] {
		if s.addr != except && now.Sub(s.servedAt) <= sourceLifetime {
			addrs = append(addrs, s.addr)
		}
	}
	rng.Shuffle(len(addrs), func(a, b int) { addrs[a], addrs[b] = addrs[b], addrs[a] })
	return addrs[:min(len(addrs), maxSourcesNamed)]
}

// allowReferral reports whether one more router of another data centre may fetch the view from
// here, and counts it.
func (v *viewServing) allowReferral(dataCentre string, now time.Time) bool {
	list := slices.DeleteFunc(v.referrals[dataCentre], func(at time.Time) bool { return now.Sub(at) > referralTimeout })
	if len(list) >= maxReferrals {
		v.referrals[dataCentre] = list
		return false
	}
	v.referrals[dataCentre] = append(list, now)
	return true
}

// checkView returns nil if this router has a view that is recent enough to be served.
func (p *Peers) checkView() error {
	_, age := p.State.Table()
	if !p.State.Ready() || age > maxViewAge {
		return &NoViewError{AgeMs: min(age, time.Hour).Milliseconds()}
	}
	return nil
}

// WaitJoined blocks until the search for a first view ends, successful or not, or ctx ends.
func (p *Peers) WaitJoined(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.joined:
	}
}

// JoinDone returns a channel that is closed when the search for a first view ends.
func (p *Peers) JoinDone() <-chan struct{} { return p.joined }

// Join begins to ask the seeds for a view. firstStart means that the whole fleet starts for the
// first time.
func (p *Peers) Join(seeds []string, firstStart bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join = join.New(p.Self.Addr, seeds, firstStart, p.rng, p.Now())
}

// stepJoin does the work of a join that is due, and reports whether the join is still in progress.
func (p *Peers) stepJoin(now time.Time) bool {
	p.mu.Lock()
	if p.join == nil {
		p.mu.Unlock()
		return false
	}
	if p.join.Finished(now) {
		p.join = nil
		p.mu.Unlock()
		close(p.joined)
		return false
	}
	seed, from := p.join.NextSeed(now), p.join.NextFetch()
	p.mu.Unlock()
	if seed != "" {
		w := p.newHeartbeat(kindOwn, state.NewReport(), nil)
		w.Joining = true
		p.send([]string{seed}, w)
	}
	if from != "" {
		p.fetchView(from)
	}
	return true
}

// fetchView fetches the view of a router.
func (p *Peers) fetchView(from string) {
	began := p.Now()
	query := url.Values{"dc": {p.Self.DataCentre}, "addr": {p.Self.Addr}, queryExtended: {"1"}}
	p.Net.Fetch(from, pathJoin+"?"+query.Encode(), func(data []byte, err error) {
		if isNotFound(err) { // a router of the previous release
			p.Net.Fetch(from, pathView, func(data []byte, err error) {
				if err == nil {
					err = p.applyOlderView(data, p.Now().Sub(began))
				}
				p.onViewFetched(from, began, err)
			})
			return
		}
		p.Stats.fetched.add(1, len(data))
		if err == nil {
			err = p.applyView(data, p.Now().Sub(began))
		}
		p.onViewFetched(from, began, err)
	})
}

// onViewFetched handles the result of a fetch of a view.
func (p *Peers) onViewFetched(from string, began time.Time, err error) {
	now := p.Now()
	var others []string
	if refused, ok := err.(*StatusError); ok && refused.Status == http.StatusServiceUnavailable {
		// A router that names no others no longer has a view.
		_ = cbor.Unmarshal(refused.Body, &others)
	}
	if err == nil {
		events.ViewFound.Log(context.Background(), p.Log, slog.LevelInfo, "peer", from, "config", p.State.Version(), "servers", p.State.ServerCount(), "tookMs", now.Sub(began).Milliseconds())
	} else {
		events.PeerPullFailed.Log(context.Background(), p.Log, slog.LevelInfo, "peer", from, "what", "first view", "err", err, "others", len(others))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.join != nil {
		p.join.FetchEnded(err == nil, others, now)
	}
}

// handleJoinRequest answers a router that joins.
func (p *Peers) handleJoinRequest(w heartbeat, now time.Time) {
	hasView := p.checkView() == nil
	p.mu.Lock()
	p.spread.ObserveDirect(w.sender(), now)
	var sources []string
	if hasView {
		sources = p.sourcesFor(w, now)
	}
	if len(sources) == 0 {
		p.serving.waiting[w.ControlAddr] = w.DataCentre
	}
	p.mu.Unlock()
	p.sendAnswer(w.ControlAddr, sources)
}

// sourcesFor returns the routers that may serve their views to a joining router, or this one. It
// prefers routers of the same data centre, so that a view is sent to another data centre only once
// or twice. The caller must hold p.mu.
func (p *Peers) sourcesFor(w heartbeat, now time.Time) []string {
	isLocal := w.DataCentre == p.Self.DataCentre
	sources := p.serving.randomSources(w.DataCentre, w.ControlAddr, p.rng, now)
	if isLocal && p.serving.active < maxActiveViews/2 {
		sources = append([]string{p.Self.Addr}, sources...)
	}
	if len(sources) > 0 {
		return sources[:min(len(sources), maxSourcesNamed)]
	}
	if isLocal || p.serving.allowReferral(w.DataCentre, now) {
		return []string{p.Self.Addr}
	}
	return nil
}

// sendOffers offers this router's view to the joining routers that had no source so far.
func (p *Peers) sendOffers(now time.Time) {
	p.mu.Lock()
	hasWaiting := len(p.serving.waiting) > 0
	p.mu.Unlock()
	if !hasWaiting || p.checkView() != nil {
		return
	}
	type offer struct {
		to      string
		sources []string
	}
	var offers []offer
	p.mu.Lock()
	for _, addr := range slices.Sorted(maps.Keys(p.serving.waiting)) {
		if len(offers) == maxOffersPerStep {
			break
		}
		if sources := p.sourcesFor(heartbeat{ControlAddr: addr, DataCentre: p.serving.waiting[addr]}, now); len(sources) > 0 {
			offers = append(offers, offer{addr, sources})
		}
		delete(p.serving.waiting, addr) // a router that still has no view asks again
	}
	p.mu.Unlock()
	for _, o := range offers {
		p.sendAnswer(o.to, o.sources)
	}
}

// handleOffer handles the answer of a router that was asked for a view.
func (p *Peers) handleOffer(w heartbeat, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.join == nil {
		return
	}
	p.spread.SetFleetSize(w.FleetSize)
	p.join.HandleOffer(join.Offer{From: w.ControlAddr, HasView: w.ConfigVersion != 0 && w.ListVersion != 0, Sources: w.Sources}, now)
}

// serveView returns this router's view, or other sources if it is serving too many.
func (p *Peers) serveView(query url.Values) fetchResponse {
	now := p.Now()
	if p.checkView() != nil {
		return fetchResponse{status: http.StatusServiceUnavailable}
	}
	dataCentre, addr := query.Get("dc"), query.Get("addr")
	p.mu.Lock()
	if p.serving.active >= maxActiveViews {
		others := p.serving.randomSources(dataCentre, addr, p.rng, now)
		p.mu.Unlock()
		resp := p.bodyResponse(cbor.Marshal(others))
		resp.status = http.StatusServiceUnavailable
		return resp
	}
	p.serving.active++
	p.mu.Unlock()
	resp := p.bodyResponse(p.encodeView(query.Has(queryExtended)))
	resp.onWritten = func() { p.viewServed(dataCentre, addr) }
	return resp
}

// viewServed records that a router was sent this one's view.
func (p *Peers) viewServed(dataCentre, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving.active--
	p.serving.addSource(dataCentre, addr, p.Now())
}

// encodeView encodes this router's view, as an extendedView or a joinView.
func (p *Peers) encodeView(extended bool) ([]byte, error) {
	view, err := p.encodeJoinView()
	if err != nil || !extended {
		return view, err
	}
	return cbor.Marshal(extendedView{View: view, PartCrashes: partCrashesToWire(p.State.CrashesToRepeat(poison.Parts))})
}

// encodeJoinView encodes this router's view as a joinView.
func (p *Peers) encodeJoinView() ([]byte, error) {
	_, age := p.State.Table()
	v := joinView{Raw: p.State.Raw(), AgeMs: age.Milliseconds(), Crashes: crashesToWire(p.State.CrashesToRepeat(poison.Contents)), AllCrashes: p.State.HasReadCrashes()}
	list, err := p.encodeServerList()
	if err != nil {
		return nil, err
	}
	v.List = list
	v.Evacuations, v.EvacuationsStamp = p.State.EvacuationSnapshot()
	v.Rollouts = rolloutsToWire(p.State.Rollouts())
	p.mu.Lock()
	for dataCentre := range p.spread.Digests() {
		v.Routers = append(v.Routers, packMembers(dataCentre, p.spread.Members(dataCentre)))
	}
	p.mu.Unlock()
	return cbor.Marshal(v)
}

// encodeServerList encodes the server list. The result is cached, since all routers of a data
// centre may ask for the same list.
func (p *Peers) encodeServerList() ([]byte, error) {
	p.serving.listMu.Lock()
	defer p.serving.listMu.Unlock()
	if stamp := p.State.Stamp(); p.serving.encodedList != nil && stamp == p.serving.encodedStamp {
		return p.serving.encodedList, nil
	}
	snapshot, stamp := p.State.ServerSnapshot()
	data, err := cbor.Marshal(packFullList(snapshot, stamp))
	if err != nil {
		return nil, err
	}
	p.serving.encodedList, p.serving.encodedStamp = nil, stamp
	if len(snapshot.Held)+len(snapshot.Doubtful) == 0 { // otherwise it contains remaining times, which change
		p.serving.encodedList = data
	}
	return data, nil
}

// applyView applies another router's view, which took the elapsed time to arrive.
func (p *Peers) applyView(data []byte, elapsed time.Duration) error {
	var extended extendedView
	if cbor.Unmarshal(data, &extended) != nil {
		extended = extendedView{View: data} // from an earlier release
	}
	var v joinView
	if err := cbor.Unmarshal(extended.View, &v); err != nil {
		return err
	}
	var list listChange
	if err := cbor.Unmarshal(v.List, &list); err != nil {
		return err
	}
	c, err := p.Decode(v.Raw)
	if err != nil {
		return err
	}
	now := p.Now()
	p.mu.Lock()
	for _, l := range v.Routers {
		for _, m := range l.unpack() {
			p.spread.Observe(m, elapsed, now)
		}
	}
	p.mu.Unlock()
	p.applyRollouts("first view", v.Rollouts, elapsed)
	p.applyFirstView(decodedView{
		config: c, raw: v.Raw, servers: list.snapshot(), stamp: list.To, age: time.Duration(v.AgeMs)*time.Millisecond + elapsed,
		evacuated: v.Evacuations, evacuatedStamp: v.EvacuationsStamp, crashes: crashesFromWire(v.Crashes, elapsed), allCrashes: v.AllCrashes,
		partCrashes: partCrashesFromWire(extended.PartCrashes, elapsed),
	})
	return nil
}

// decodedView is the decoded view of another router.
type decodedView struct {
	config         *routing.Config
	raw            []byte
	servers        roster.Snapshot
	stamp          roster.Stamp
	age            time.Duration // of the store answer that the view is based on
	evacuated      evacuation.Snapshot
	evacuatedStamp roster.Stamp
	crashes        []poison.Record
	partCrashes    []poison.Record
	allCrashes     bool
}

// applyFirstView puts a first view in force.
func (p *Peers) applyFirstView(v decodedView) {
	const from = "first view"
	p.applyEra(from, v.stamp.Era)
	p.State.ApplyConfig(v.config, v.raw)
	p.State.MergeEvacuations(v.evacuated, v.evacuatedStamp).Log(p.Log, from, v.evacuatedStamp)
	p.State.ReplaceServersFromPeer(v.servers, v.stamp)
	p.State.ConfirmConfig(v.age)
	p.applyCrashes(from, poison.Contents, v.crashes)
	p.applyCrashes(from, poison.Parts, v.partCrashes)
	if v.allCrashes {
		p.State.MarkCrashesRead()
	}
}
