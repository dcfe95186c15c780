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
	bearing = routing.SlowStart{For: 3 * time.Second, PerSecond: 9.8}
	bound   = slowstart.Bound{Over: 1.5, Slack: 5}
)

const allowed = 19 // requests a second by these

// warming is the picker of one of n routers before engines of which some are bounded.
func warming(router, routers, engines int) *Picker {
	p := New("dc0", rand.New(rand.NewPCG(uint64(router), 9)))
	p.SetBound(bound)
	p.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 232000, FetchPerToken: 2383}, SlowStart: bearing}})
	p.SetServers(enginesOf(engines, 0, 0), start)
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

// enginesOf lists n engines of which the first ones are cold.
func enginesOf(n, cold int, left time.Duration) (list []routing.Server) {
	for i := range n {
		s := routing.Server{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Addr: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%3), Slots: 64, State: routing.ServerReady}
		if i < cold {
			s.Warmup = left
		}
		list = append(list, s)
	}
	return list
}

// mostInASecond is the most of the times, in ms, within one second.
func mostInASecond(times []int) (most int) {
	slices.Sort(times)
	first := 0
	for i, ms := range times {
		for ms-times[first] >= 1000 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// coldDay is a fleet before engines of which some become cold after a second. An engine reads
// one prompt after the other; routers hear each 80 ms what waits at each.
type coldDay struct {
	pickers []*Picker
	rng     *rand.Rand
	ms      int
	freeAt  map[string]int // when an engine has read what it has
	begun   []begun
	sent    map[string][]int // when each engine got its requests, from its turning cold on
	refused int
}

// begun is a request at an engine.
type begun struct {
	p   *Picker
	job *Job
	due int
}

const (
	turnMs  = 1000
	coldMs  = 4000
	readMs  = 38.7 // tokens a millisecond
	perS    = 15   // requests a second for each engine
	heardMs = 80
)

func newColdDay(routers, engines int) *coldDay {
	d := &coldDay{rng: rand.New(rand.NewPCG(1, 1)), freeAt: map[string]int{}, sent: map[string][]int{}}
	for i := range routers {
		d.pickers = append(d.pickers, warming(i, routers, engines))
	}
	return d
}

// play lets the engines get their requests until the cold ones are warm.
func (d *coldDay) play(engines, cold int) {
	for ; d.ms < coldMs; d.ms++ {
		if d.ms == turnMs {
			for _, p := range d.pickers {
				p.SetServers(enginesOf(engines, cold, bearing.For), at(d.ms))
			}
		}
		for d.rng.Float64() < float64(engines*perS)/1000/(1+float64(engines*perS)/1000) {
			d.place(d.pickers[d.rng.IntN(len(d.pickers))])
		}
		d.end()
		if d.ms%heardMs == 0 {
			d.report()
		}
	}
}

func (d *coldDay) place(p *Picker) {
	req := Request{Service: "llm", Prompt: prompt(d.rng.IntN(200), d.rng.IntN(1<<30))}
	c, ok := p.Choose(req, at(d.ms))
	if !ok {
		d.refused++
		return
	}
	id := c.Server.ID
	d.freeAt[id] = max(d.freeAt[id], d.ms) + int(float64(c.Missing)/readMs)
	d.begun = append(d.begun, begun{p, p.Begin(req, c, at(d.ms)), d.freeAt[id]})
	if d.ms >= turnMs {
		d.sent[id] = append(d.sent[id], d.ms)
	}
}

// end ends what has been read.
func (d *coldDay) end() {
	d.begun = slices.DeleteFunc(d.begun, func(b begun) bool {
		if b.due > d.ms {
			return false
		}
		b.p.First(b.job, at(d.ms))
		b.p.End(b.job, Succeeded, at(d.ms))
		return true
	})
}

// report tells every router what all others have waiting.
func (d *coldDay) report() {
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
			others[key] = l.Less(own[key])
		}
		p.PeerLoad("others", others, at(d.ms))
	}
}

// No router sees more than a part of what a server gets: one that has turned cold after it got
// its usual 15 requests a second, a third of all, or all at once.
func TestColdServersGetWhatTheyBearFromAllRouters(t *testing.T) {
	const engines = 60
	for _, routers := range []int{8, 91, 295} {
		for _, cold := range []int{1, 20, engines} {
			d := newColdDay(routers, engines)
			d.play(engines, cold)
			most, all := 0, 0
			for i := range cold {
				times := d.sent[fmt.Sprintf("i-%03d", i)]
				most = max(most, mostInASecond(times))
				all += len(times)
			}
			t.Logf("%d routers, %d of %d cold: at most %d in a second of %d allowed, %.1f a second each on average, %d refused",
				routers, cold, engines, most, allowed, float64(all)/float64(cold)/3, d.refused)
			assert.Assert(t, most <= allowed)
			assert.Assert(t, all > 0, "nothing of the allowance is used")
		}
	}
}

// A server that nobody could connect to may be cold when it answers again, whatever its entry
// says; one that is only late, or that one router alone can't reach, is not taken for it.
func TestAServerThatCouldNotBeReachedComesBackCold(t *testing.T) {
	p := warming(0, 91, 9)
	s := p.servers["i-004"]
	p.PeerLoad("a", map[routing.ServerKey]Load{s.key: {Suspects: 4}}, at(0))
	p.sumPeers(at(0))
	p.judge(s, Unreached, at(0))
	p.noteUnreached(at(0))
	assert.Assert(t, !s.cold.Is(at(1)))
	p.PeerLoad("a", map[routing.ServerKey]Load{s.key: {Unreached: 1}}, at(10))
	p.sumPeers(at(10))
	assert.Assert(t, s.cold.Is(at(11)))
	assert.Assert(t, s.cold.Is(at(3900)) && !s.cold.Is(at(4100)))
	for _, s := range p.servers {
		p.judge(s, Unreached, at(9000))
		s.peers.Unreached = 5
	}
	p.noteUnreached(at(9000))
	assert.Equal(t, p.Cold(at(9001)), 0, "this router is cut off")
}

// What its entry says counts from when it is news; an entry read again says nothing new.
func TestAServersEntrySaysHowLongItIsCold(t *testing.T) {
	p := warming(0, 1, 9)
	p.SetServers(enginesOf(9, 1, time.Second), at(0))
	p.SetServers(enginesOf(9, 1, time.Second), at(900))
	assert.Equal(t, p.Cold(at(999)), 1)
	assert.Equal(t, p.Cold(at(1000)), 0)
	p.SetServers(enginesOf(9, 1, 5*time.Second), at(2000))
	p.SetServers(enginesOf(9, 0, 0), at(2500))
	assert.Equal(t, p.Cold(at(2501)), 0, "it says that it is warm")
}

// A data centre that was evacuated comes back cold, for as long as its servers may be.
func TestServersOfADataCentreThatIsBackAreCold(t *testing.T) {
	p := warming(0, 1, 9)
	p.SetEvacuated([]string{"dc1"})
	p.SetServers(enginesOf(9, 0, 0), at(0))
	assert.Assert(t, !p.Takes(routing.Identity{ID: "i-001"}))
	p.SetEvacuated(nil)
	p.SetServers(enginesOf(9, 0, 0), at(1000))
	p.TakenBack("dc1", at(1000), at(1000))
	assert.Equal(t, p.Cold(at(1001)), 3)
	assert.Equal(t, p.Cold(at(4001)), 0)
}

// A placed request is not sent once its server has become cold, unless it has a permit.
func TestAPlacedRequestIsAskedAgainBeforeItIsSent(t *testing.T) {
	p := warming(0, 1, 1)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	warm := choose(t, p, req, 0)
	assert.Assert(t, !warm.Cold && p.May(warm.Server.Identity(), warm.Cold, at(0), at(10)))
	p.SetServers(enginesOf(1, 1, time.Second), at(20))
	assert.Assert(t, !p.May(warm.Server.Identity(), warm.Cold, at(0), at(30)))
	cold := choose(t, p, req, 30)
	assert.Assert(t, cold.Cold && p.May(cold.Server.Identity(), cold.Cold, at(30), at(100)))
	assert.Assert(t, !p.May(cold.Server.Identity(), cold.Cold, at(30), at(900)), "its permit is used up by then")
	for range 9 {
		p.Begin(req, cold, at(40))
	}
	_, ok := p.Choose(req, at(50))
	assert.Assert(t, !ok)
	lack, back := p.Lacks(req, at(50))
	assert.Equal(t, lack, LackCold)
	assert.Equal(t, back, 970*time.Millisecond)
}

// Prompts keep to their homes, and fetch nothing from elsewhere.
func TestHomesBindChoiceAndFetch(t *testing.T) {
	p := warming(0, 1, 9)
	p.SetRegions(map[string]string{"dc0": "east", "dc1": "west", "dc2": "west"})
	p.SetServers(enginesOf(9, 0, 0), at(0))
	for i := range 50 {
		req := Request{Service: "llm", Prompt: prompt(1, i)}
		p.Begin(req, choose(t, p, req, i), at(i))
		req.Homes = routing.Regions{"east"}
		c := choose(t, p, req, i)
		assert.Equal(t, c.Server.DataCentre, "dc0")
		for _, s := range p.servers {
			assert.Assert(t, s.Addr != c.FetchAt || s.region == "east")
		}
	}
	lack, _ := p.Lacks(Request{Service: "llm", Homes: routing.Regions{}}, at(0))
	assert.Equal(t, lack, LackHome)
	_, ok := p.Choose(Request{Service: "llm", Homes: routing.Regions{}}, at(0))
	assert.Assert(t, !ok)
}
