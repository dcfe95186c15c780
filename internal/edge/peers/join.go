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
	// joinEvery is how often a router that starts looks what it has to do.
	joinEvery = 25 * time.Millisecond
	// giveMost is to how many routers one gives its view at a time: each takes some milliseconds
	// of a processor, and others that have it can give it too.
	giveMost = 16
	// copiesEach is how many routers of another data centre are given the view from here; the
	// others have it from them.
	copiesEach = 2
	// sourcesMost is how many routers that have the view are named at a time, and remembered
	// of each data centre sourcesKept, for sourceFor.
	sourcesMost = 4
	sourcesKept = 64
	sourceFor   = 10 * time.Second
	// referredFor is how long a router that was sent here for its view may take to fetch it.
	referredFor = time.Second
	// offersEach is how many routers are told at a time that this one has its view.
	offersEach = 64
)

// joinView is what a router that starts is given by another: all that it needs to
// serve. It spares the store two reads and two calls that wait.
type joinView struct {
	_       struct{}         `cbor:",toarray"`
	Raw     []byte           // the configuration as the operator wrote it
	List    cbor.RawMessage  // listChange, whole
	AgeMs   int64            // of the store's last answer on which it rests
	Routers []memberList     // live ones, the sender among them
	Ends    []contentCrashes // blocked contents, and those that may be soon
	AllEnds bool             // the sender knows what the store had of them when it started
	// Evacuations are the sender's, as of the stamp.
	Evacuations   evacuation.Snapshot
	EvacuationsAs roster.Stamp
	Rollouts      []wireRollout
}

// NoViewError says that a router has no view that is young enough to be given.
type NoViewError struct{ AgeMs int64 }

// Error implements error.
func (e *NoViewError) Error() string { return "no view, or an old one" }

// source is a router that has the view.
type source struct {
	addr string
	at   time.Time // when it was given it, or said that it has it
}

// giving is what a router remembers of those that ask it for a view.
type giving struct {
	active   int                    // fetches in progress
	sources  map[string][]source    // by data centre
	referred map[string][]time.Time // when routers of another data centre were sent here
	waiting  map[string]string      // routers that were told of no view, and their data centres
	mu       sync.Mutex
	rendered []byte // the whole list as of renderedAs
	as       roster.Stamp
}

func newGiving() giving {
	return giving{sources: map[string][]source{}, referred: map[string][]time.Time{}, waiting: map[string]string{}}
}

// has notes that a router has the view.
func (g *giving) has(dataCentre, addr string, now time.Time) {
	list := slices.DeleteFunc(g.sources[dataCentre], func(s source) bool { return s.addr == addr || now.Sub(s.at) > sourceFor })
	if len(list) >= sourcesKept {
		list = list[1:]
	}
	g.sources[dataCentre] = append(list, source{addr, now})
}

// some returns a few routers of the data centre that have the view, drawn at random.
func (g *giving) some(dataCentre, but string, rng *rand.Rand, now time.Time) (addrs []string) {
	for _, s := range g.sources[dataCentre] {
		if s.addr != but && now.Sub(s.at) <= sourceFor {
			addrs = append(addrs, s.addr)
		}
	}
	rng.Shuffle(len(addrs), func(a, b int) { addrs[a], addrs[b] = addrs[b], addrs[a] })
	return addrs[:min(len(addrs), sourcesMost)]
}

// refer reports whether one more router of another data centre may fetch the view from here.
func (g *giving) refer(dataCentre string, now time.Time) bool {
	list := slices.DeleteFunc(g.referred[dataCentre], func(at time.Time) bool { return now.Sub(at) > referredFor })
	if len(list) >= copiesEach {
		g.referred[dataCentre] = list
		return false
	}
	g.referred[dataCentre] = append(list, now)
	return true
}

// hasView returns nil if this router has a view that is young enough to be given.
func (p *Peers) hasView() error {
	_, age := p.State.Table()
	if !p.State.Ready() || age > viewOld {
		return &NoViewError{AgeMs: min(age, time.Hour).Milliseconds()}
	}
	return nil
}

// Joined returns once the first view has been sought from other routers, found or not.
func (p *Peers) Joined(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.joined:
	}
}

// Sought returns a channel that is closed then.
func (p *Peers) Sought() <-chan struct{} { return p.joined }

// Join begins to ask the seeds for a view. firstStart says that the whole fleet starts for the
// first time.
func (p *Peers) Join(seeds []string, firstStart bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join = join.New(p.Self.Addr, seeds, firstStart, p.rng, p.Now())
}

// stepJoin does what is due of a start, and reports whether it goes on.
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
	ask, from := p.join.NextSeed(now), p.join.NextFetch()
	p.mu.Unlock()
	if ask != "" {
		w := p.heartbeat(kindOwn, state.NewReport(), nil)
		w.Joining = true
		p.send([]string{ask}, w)
	}
	if from != "" {
		p.fetchView(from)
	}
	return true
}

// fetchView fetches a router's view.
func (p *Peers) fetchView(from string) {
	began := p.Now()
	query := url.Values{"dc": {p.Self.DataCentre}, "addr": {p.Self.Addr}}
	p.Net.Fetch(from, pathJoin+"?"+query.Encode(), func(text []byte, err error) {
		if isMissing(err) { // a router of the release before
			p.Net.Fetch(from, pathView, func(text []byte, err error) {
				if err == nil {
					err = p.takeOlderView(text, p.Now().Sub(began))
				}
				p.viewFetched(from, began, err)
			})
			return
		}
		p.Stats.fetched.add(1, len(text))
		if err == nil {
			err = p.takeView(text, p.Now().Sub(began))
		}
		p.viewFetched(from, began, err)
	})
}

// viewFetched notes what came of a fetch.
func (p *Peers) viewFetched(from string, began time.Time, err error) {
	now := p.Now()
	var others []string
	if busy, ok := err.(*StatusError); ok && busy.Status == http.StatusServiceUnavailable {
		// One that names no others has no view any more.
		_ = cbor.Unmarshal(busy.Body, &others)
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

// takeHello answers a router that starts.
func (p *Peers) takeHello(w heartbeat, now time.Time) {
	has := p.hasView() == nil
	p.mu.Lock()
	p.spread.ObserveDirect(w.sender(), now)
	var sources []string
	if has {
		sources = p.sourcesFor(w, now)
	}
	if len(sources) == 0 {
		p.give.waiting[w.Control] = w.DataCentre
	}
	p.mu.Unlock()
	p.answer(w.Control, sources)
}

// sourcesFor returns routers that give their views to one that starts: those of its data centre,
// so that a view crosses to another one once or twice, or this one. The lock is held.
func (p *Peers) sourcesFor(w heartbeat, now time.Time) []string {
	near := w.DataCentre == p.Self.DataCentre
	sources := p.give.some(w.DataCentre, w.Control, p.rng, now)
	if near && p.give.active < giveMost/2 {
		sources = append([]string{p.Self.Addr}, sources...)
	}
	if len(sources) > 0 {
		return sources[:min(len(sources), sourcesMost)]
	}
	if near || p.give.refer(w.DataCentre, now) {
		return []string{p.Self.Addr}
	}
	return nil
}

// giveOffers tells routers that have asked in vain that this one has its view now.
func (p *Peers) giveOffers(now time.Time) {
	p.mu.Lock()
	waits := len(p.give.waiting) > 0
	p.mu.Unlock()
	if !waits || p.hasView() != nil {
		return
	}
	type offer struct {
		to      string
		sources []string
	}
	var offers []offer
	p.mu.Lock()
	for _, addr := range slices.Sorted(maps.Keys(p.give.waiting)) {
		if len(offers) == offersEach {
			break
		}
		if sources := p.sourcesFor(heartbeat{Control: addr, DataCentre: p.give.waiting[addr]}, now); len(sources) > 0 {
			offers = append(offers, offer{addr, sources})
		}
		delete(p.give.waiting, addr) // who has none by then asks again
	}
	p.mu.Unlock()
	for _, o := range offers {
		p.answer(o.to, o.sources)
	}
}

// takeOffer takes the answer of a router that was asked for a view.
func (p *Peers) takeOffer(w heartbeat, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.join == nil {
		return
	}
	p.spread.SetFleetSize(w.Fleet)
	p.join.HandleOffer(join.Offer{From: w.Control, HasView: w.Version != 0 && w.List != 0, Sources: w.Sources}, now)
}

// giveView gives this router's view to one that starts.
func (p *Peers) giveView(query url.Values) given {
	now := p.Now()
	if p.hasView() != nil {
		return given{status: http.StatusServiceUnavailable}
	}
	centre, addr := query.Get("dc"), query.Get("addr")
	p.mu.Lock()
	if p.give.active >= giveMost {
		others := p.give.some(centre, addr, p.rng, now)
		p.mu.Unlock()
		g := p.giveText(cbor.Marshal(others))
		g.status = http.StatusServiceUnavailable
		return g
	}
	p.give.active++
	p.mu.Unlock()
	g := p.giveText(p.ownView())
	g.done = func() { p.gaveView(centre, addr) }
	return g
}

// gaveView notes that a router has this one's view.
func (p *Peers) gaveView(dataCentre, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.give.active--
	p.give.has(dataCentre, addr, p.Now())
}

// ownView renders this router's view.
func (p *Peers) ownView() ([]byte, error) {
	_, age := p.State.Table()
	v := joinView{Raw: p.State.Raw(), AgeMs: age.Milliseconds(), Ends: wireCrashes(p.State.CrashesToRepeat()), AllEnds: p.State.HasReadCrashes()}
	list, err := p.wholeList()
	if err != nil {
		return nil, err
	}
	v.List = list
	v.Evacuations, v.EvacuationsAs = p.State.EvacuationSnapshot()
	v.Rollouts = wireRollouts(p.State.Rollouts())
	p.mu.Lock()
	for centre := range p.spread.Digests() {
		v.Routers = append(v.Routers, packMembers(centre, p.spread.Members(centre)))
	}
	p.mu.Unlock()
	return cbor.Marshal(v)
}

// wholeList renders the list of servers. All routers of a data centre may ask for the same one.
func (p *Peers) wholeList() ([]byte, error) {
	p.give.mu.Lock()
	defer p.give.mu.Unlock()
	if as := p.State.Stamp(); p.give.rendered != nil && as == p.give.as {
		return p.give.rendered, nil
	}
	told, as := p.State.ServerSnapshot()
	text, err := cbor.Marshal(packWhole(told, as))
	if err != nil {
		return nil, err
	}
	p.give.rendered, p.give.as = nil, as
	if len(told.Held)+len(told.Doubtful) == 0 { // else it holds times that pass
		p.give.rendered = text
	}
	return text, nil
}

// takeView takes a router's view, which took so long to come.
func (p *Peers) takeView(text []byte, took time.Duration) error {
	var v joinView
	if err := cbor.Unmarshal(text, &v); err != nil {
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
			p.spread.Observe(m, took, now)
		}
	}
	p.mu.Unlock()
	p.takeRollouts("first view", v.Rollouts, took)
	p.putInForce(view{
		config: c, raw: v.Raw, servers: list.told(), as: list.As, age: time.Duration(v.AgeMs)*time.Millisecond + took,
		evacuated: v.Evacuations, evacuatedAs: v.EvacuationsAs, crashes: readCrashes(v.Ends, took), allEnds: v.AllEnds,
	})
	return nil
}

// view is another router's, decoded.
type view struct {
	config      *routing.Config
	raw         []byte
	servers     roster.Snapshot
	as          roster.Stamp
	age         time.Duration // of the store's last answer on which it rests
	evacuated   evacuation.Snapshot
	evacuatedAs roster.Stamp
	crashes     []poison.Record
	allEnds     bool
}

// putInForce puts a first view in force.
func (p *Peers) putInForce(v view) {
	const from = "first view"
	p.takeEra(from, v.as.Era)
	p.State.ApplyConfig(v.config, v.raw)
	p.State.MergeEvacuations(v.evacuated, v.evacuatedAs).Log(p.Log, from, v.evacuatedAs)
	p.State.ReplaceServersFromPeer(v.servers, v.as)
	p.State.ConfirmConfig(v.age)
	p.takeCrashes(from, v.crashes)
	if v.allEnds {
		p.State.MarkCrashesRead()
	}
}
