package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/events"
)

const (
	// joinTimeout bounds one try to fetch a view at the start: a peer in another data
	// centre answers in some milliseconds, one that has no power never.
	joinTimeout = 150 * time.Millisecond
	// joinPause is about the pause between two rounds of tries while the whole fleet
	// starts for the first time, and joinMost how long that lasts: nothing is asked of
	// the fleet yet, and what each reads from the store costs calls.
	joinPause = 300 * time.Millisecond
	joinMost  = 3 * time.Second
)

// firstView is what a router that starts is given by another: all that it needs to
// serve. It spares the store two reads and two calls that wait.
type firstView struct {
	Raw   []byte // the configuration as the operator wrote it
	Stamp roster.Stamp
	roster.Told
	AgeMs   int64         // of the store's last answer on which it rests
	Routers []knownRouter // live ones, the sender among them
	Ends    []contentEnds // blocked contents, and those that may be soon
	// Evacuations are the sender's, as of the stamp.
	Evacuations   evacuation.Told
	EvacuationsAs roster.Stamp
	AllEnds       bool // the sender knows what the store had of them when it started
}

// NoViewError says that a peer has no view that is young enough to be given.
type NoViewError struct{ AgeMs int64 }

// Error implements error.
func (e *NoViewError) Error() string { return "no view, or an old one" }

// firstView returns this router's view for one that starts.
func (p *Peers) firstView(now time.Time) (firstView, error) {
	_, age := p.State.Table()
	if !p.State.Ready() || age > viewOld {
		return firstView{}, &NoViewError{AgeMs: min(age, time.Hour).Milliseconds()}
	}
	v := firstView{Raw: p.State.Raw(), AgeMs: age.Milliseconds()}
	v.Told, v.Stamp = p.State.ServersTold()
	v.Evacuations, v.EvacuationsAs = p.State.EvacuationsTold()
	v.Ends = wireEnds(p.State.RepeatEnds())
	v.AllEnds = p.State.KnowsEnds()
	p.mu.Lock()
	defer p.mu.Unlock()
	v.Routers = append(p.known(now).all, knownRouter{Addr: p.Self.Addr, DataCentre: p.Self.DataCentre, Cores: float32(p.Self.Cores)})
	return v, nil
}

// serveView answers a router that starts.
func (p *Peers) serveView(w http.ResponseWriter, _ *http.Request) {
	v, err := p.firstView(p.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	text, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A peer that has gone asks another router.
	_, _ = w.Write(text)
}

// Joined returns once the first view has been sought from the seeds, found or not.
func (p *Peers) Joined(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.joined:
	}
}

// Join asks the seeds for a view. At the first start of the whole fleet all but the
// seeds ask until one of them has read the store; later a router whose seeds don't
// answer at once reads the store itself.
func (p *Peers) Join(ctx context.Context, seeds []string, firstStart bool) {
	defer close(p.joined)
	if slices.Contains(seeds, p.Self.Addr) && firstStart {
		return
	}
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == p.Self.Addr })
	until := p.Now().Add(joinMost)
	for ctx.Err() == nil {
		if p.askSeeds(ctx, seeds) || !firstStart || p.Now().After(until) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPause/2 + rand.N(joinPause)):
		}
	}
}

// askSeeds asks one seed after the other, in any order, and reports whether one gave
// its view.
func (p *Peers) askSeeds(ctx context.Context, seeds []string) bool {
	for _, i := range rand.Perm(len(seeds)) {
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		began := p.Now()
		text, err := p.get(ctx, seeds[i], pathView)
		cancel()
		if err == nil {
			err = p.takeView(text, p.Now().Sub(began))
		}
		if err == nil {
			events.ViewFound.Log(ctx, p.Log, slog.LevelInfo, "peer", seeds[i], "config", p.State.Version(), "tookMs", p.Now().Sub(began).Milliseconds())
			return true
		}
		events.PeerPullFailed.Log(ctx, p.Log, slog.LevelInfo, "peer", seeds[i], "what", "first view", "err", err)
	}
	return false
}

// takeView takes a peer's view, which took so long to come.
func (p *Peers) takeView(text []byte, took time.Duration) error {
	var v firstView
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
		p.spread.Heard(spread.Member{Addr: k.Addr, DataCentre: k.DataCentre, Cores: float64(k.Cores)}, time.Duration(k.AgeMs)*time.Millisecond+took, now)
	}
	p.mu.Unlock()
	p.takeEra("first view", v.Stamp.Era)
	p.State.TakeConfig(c, v.Raw)
	p.State.EvacuationsToldBy(v.Evacuations, v.EvacuationsAs).Log(p.Log, "first view", v.EvacuationsAs)
	p.State.ServersToldBy(v.Told, v.Stamp)
	p.State.Confirm(time.Duration(v.AgeMs)*time.Millisecond + took)
	p.takeEnds("first view", readEnds(v.Ends, took))
	if v.AllEnds {
		p.State.EndsRead()
	}
	return nil
}
