package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
)

var (
	coldRate   = routing.SlowStart{For: 3 * time.Second, PerSecond: 9.8}
	fleetBound = slowstart.RateBound{Factor: 1.5, ExtraPerSecond: 5}
)

const allowedPerSecond = 19 // requests per second by coldRate and fleetBound

// pickerInFleet returns the picker of one of several routers in front of engines whose request
// rate is limited while they are cold.
func pickerInFleet(router, routers, engines int) *Picker {
	p := New("dc0", rand.New(rand.NewPCG(uint64(router), 9)))
	p.SetColdRateBound(fleetBound)
	p.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 232000, FetchPerToken: 2383}, SlowStart: coldRate}})
	p.SetServers(engineList(engines, 0, 0), start)
	f := slowstart.NewFleet(fmt.Sprint("r", router))
	var others []string
	for i := range routers {
		if i != router {
			others = append(others, fmt.Sprint("r", i))
		}
	}
	f.Set(others, true)
	p.SetFleet(f)
	return p
}

// engineList lists n engines, the first of which are cold.
func engineList(n, cold int, warmup time.Duration) (list []routing.Server) {
	for i := range n {
		s := routing.Server{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Addr: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%3), Slots: 64, State: routing.ServerReady}
		if i < cold {
			s.Warmup = warmup
		}
		list = append(list, s)
	}
	return list
}

// maxPerSecond returns the highest number of the times, in ms, within one second.
func maxPerSecond(times []int) (highest int) {
	slices.Sort(times)
	first := 0
	for i, ms := range times {
		for ms-times[first] >= 1000 {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// coldFleet simulates routers and engines of which some become cold after a second. An engine
// processes one prompt after the other, and the routers exchange their loads every 80 ms.
type coldFleet struct {
	pickers []*Picker
	rng     *rand.Rand
	ms      int
	idleAt  map[string]int // when each engine has finished its queue
	running []runningRequest
	sent    map[string][]int // when each engine got its requests since coldAtMs
	refused int
}

// runningRequest is a request at an engine.
type runningRequest struct {
	picker *Picker
	job    *Job
	endsAt int
}

const (
	coldAtMs          = 1000
	endMs             = 4000
	tokensPerMs       = 38.7
	requestsPerSecond = 15 // for each engine
	reportIntervalMs  = 80
)

func newColdFleet(routers, engines int) *coldFleet {
	d := &coldFleet{rng: rand.New(rand.NewPCG(1, 1)), idleAt: map[string]int{}, sent: map[string][]int{}}
	for i := range routers {
		d.pickers = append(d.pickers, pickerInFleet(i, routers, engines))
	}
	return d
}

// run sends requests until the cold engines are warm.
func (d *coldFleet) run(engines, cold int) {
	for ; d.ms < endMs; d.ms++ {
		if d.ms == coldAtMs {
			for _, p := range d.pickers {
				p.SetServers(engineList(engines, cold, coldRate.For), at(d.ms))
			}
		}
		for d.rng.Float64() < float64(engines*requestsPerSecond)/1000/(1+float64(engines*requestsPerSecond)/1000) {
			d.place(d.pickers[d.rng.IntN(len(d.pickers))])
		}
		d.endFinished()
		if d.ms%reportIntervalMs == 0 {
			d.exchangeReports()
		}
	}
}

func (d *coldFleet) place(p *Picker) {
	req := Request{Service: "llm", Prompt: prompt(d.rng.IntN(200), d.rng.IntN(1<<30))}
	c, ok := p.Choose(req, at(d.ms))
	if !ok {
		d.refused++
		return
	}
	id := c.Server.ID
	d.idleAt[id] = max(d.idleAt[id], d.ms) + int(float64(c.UncachedTokens)/tokensPerMs)
	d.running = append(d.running, runningRequest{p, p.Begin(req, c, at(d.ms)), d.idleAt[id]})
	if d.ms >= coldAtMs {
		d.sent[id] = append(d.sent[id], d.ms)
	}
}

// endFinished ends the requests whose prompts have been processed.
func (d *coldFleet) endFinished() {
	d.running = slices.DeleteFunc(d.running, func(b runningRequest) bool {
		if b.endsAt > d.ms {
			return false
		}
		b.picker.NoteFirstEvent(b.job, at(d.ms))
		b.picker.End(b.job, Succeeded, at(d.ms))
		return true
	})
}

// exchangeReports gives every router the total load of the others.
func (d *coldFleet) exchangeReports() {
	total := map[routing.ServerKey]Load{}
	for _, p := range d.pickers {
		for key, l := range p.Loads(at(d.ms)) {
			total[key] = total[key].Plus(l)
		}
	}
	for _, p := range d.pickers {
		others := map[routing.ServerKey]Load{}
		own := p.Loads(at(d.ms))
		for key, l := range total {
			others[key] = l.Minus(own[key])
		}
		p.SetPeerLoad("others", others, at(d.ms))
	}
}

// Guards against overloading cold servers, since each router sees only a part of the requests that
// a server gets: one server, a third of them, or all become cold after getting their usual 15
// requests a second.
func TestColdServersStayWithinBoundAcrossRouters(t *testing.T) {
	const engines = 60
	for _, routers := range []int{8, 91, 295} {
		for _, cold := range []int{1, 20, engines} {
			d := newColdFleet(routers, engines)
			d.run(engines, cold)
			highest, total := 0, 0
			for i := range cold {
				sentAt := d.sent[fmt.Sprintf("i-%03d", i)]
				highest = max(highest, maxPerSecond(sentAt))
				total += len(sentAt)
			}
			t.Logf("%d routers, %d of %d cold: at most %d in a second of %d allowed, %.1f a second each on average, %d refused",
				routers, cold, engines, highest, allowedPerSecond, float64(total)/float64(cold)/3, d.refused)
			assert.Assert(t, highest <= allowedPerSecond)
			assert.Assert(t, total > 0, "cold servers get no requests")
		}
	}
}

// A server to which several routers failed to connect may be cold when it answers again, whatever
// its entry says. One that is only late, or that a single router cannot reach, is not marked.
func TestUnreachableServerIsMarkedCold(t *testing.T) {
	p := pickerInFleet(0, 91, 9)
	s := p.servers["i-004"]
	p.SetPeerLoad("a", map[routing.ServerKey]Load{s.key: {Suspicions: 4}}, at(0))
	p.sumPeerLoads(at(0))
	p.updateHealth(s, ConnectFailed, at(0))
	p.markUnreachableCold(at(0))
	assert.Assert(t, !s.cold.IsCold(at(1)))
	p.SetPeerLoad("a", map[routing.ServerKey]Load{s.key: {ConnectFailures: 1}}, at(10))
	p.sumPeerLoads(at(10))
	assert.Assert(t, s.cold.IsCold(at(11)))
	assert.Assert(t, s.cold.IsCold(at(3900)) && !s.cold.IsCold(at(4100)))
	for _, s := range p.servers {
		p.updateHealth(s, ConnectFailed, at(9000))
		s.peerLoad.ConnectFailures = 5
	}
	p.markUnreachableCold(at(9000))
	assert.Equal(t, p.Cold(at(9001)), 0, "this router is cut off")
}

// The warm-up in an entry counts from when the entry is new; reading it again does not extend it.
func TestEntryWarmupSetsColdPeriod(t *testing.T) {
	p := pickerInFleet(0, 1, 9)
	p.SetServers(engineList(9, 1, time.Second), at(0))
	p.SetServers(engineList(9, 1, time.Second), at(900))
	assert.Equal(t, p.Cold(at(999)), 1)
	assert.Equal(t, p.Cold(at(1000)), 0)
	p.SetServers(engineList(9, 1, 5*time.Second), at(2000))
	p.SetServers(engineList(9, 0, 0), at(2500))
	assert.Equal(t, p.Cold(at(2501)), 0, "the entry has no warm-up")
}

// The servers of a data centre are cold for their full warm-up after its evacuation is cancelled.
func TestServersAreColdAfterEvacuationIsCancelled(t *testing.T) {
	p := pickerInFleet(0, 1, 9)
	p.SetEvacuated([]string{"dc1"})
	p.SetServers(engineList(9, 0, 0), at(0))
	assert.Assert(t, !p.Accepts(routing.Identity{ID: "i-001"}))
	p.SetEvacuated(nil)
	p.SetServers(engineList(9, 0, 0), at(1000))
	p.EvacuationCancelled("dc1", at(1000), at(1000))
	assert.Equal(t, p.Cold(at(1001)), 3)
	assert.Equal(t, p.Cold(at(4001)), 0)
}

// A placed request is not sent if its server has become cold since, unless it has a permit.
func TestPlacedRequestIsRecheckedBeforeSending(t *testing.T) {
	p := pickerInFleet(0, 1, 1)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	warm := choose(t, p, req, 0)
	assert.Assert(t, !warm.Cold && p.MaySend(warm.Server.Identity(), warm.Cold, at(0), at(10)))
	p.SetServers(engineList(1, 1, time.Second), at(20))
	assert.Assert(t, !p.MaySend(warm.Server.Identity(), warm.Cold, at(0), at(30)))
	cold := choose(t, p, req, 30)
	assert.Assert(t, cold.Cold && p.MaySend(cold.Server.Identity(), cold.Cold, at(30), at(100)))
	assert.Assert(t, !p.MaySend(cold.Server.Identity(), cold.Cold, at(30), at(900)), "its permit has expired")
	for range 9 {
		p.Begin(req, cold, at(40))
	}
	_, ok := p.Choose(req, at(50))
	assert.Assert(t, !ok)
	reason, wait := p.WhyUnavailable(req, at(50))
	assert.Equal(t, reason, AllCold)
	assert.Equal(t, wait, 970*time.Millisecond)
}

// A request is served only in its allowed regions, and fetches parts only from there.
func TestAllowedRegionsRestrictChoiceAndFetch(t *testing.T) {
	p := pickerInFleet(0, 1, 9)
	p.SetRegions(map[string]string{"dc0": "east", "dc1": "west", "dc2": "west"})
	p.SetServers(engineList(9, 0, 0), at(0))
	for i := range 50 {
		req := Request{Service: "llm", Prompt: prompt(1, i)}
		p.Begin(req, choose(t, p, req, i), at(i))
		req.AllowedRegions = routing.Regions{"east"}
		c := choose(t, p, req, i)
		assert.Equal(t, c.Server.DataCentre, "dc0")
		for _, s := range p.servers {
			assert.Assert(t, s.Addr != c.FetchFrom || s.region == "east")
		}
	}
	reason, _ := p.WhyUnavailable(Request{Service: "llm", AllowedRegions: routing.Regions{}}, at(0))
	assert.Equal(t, reason, NoneInRegion)
	_, ok := p.Choose(Request{Service: "llm", AllowedRegions: routing.Regions{}}, at(0))
	assert.Assert(t, !ok)
}
