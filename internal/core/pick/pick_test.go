package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// picker knows n engines in three data centres, and two plain servers.
func picker(n int) *Picker { return pickerOf(n, 1) }

// pickerOf is a picker with draws of its own.
func pickerOf(n int, seed uint64) *Picker {
	p := New("dc0", rand.New(rand.NewPCG(seed, 2)))
	p.SetServices([]routing.Service{
		{Name: "llm", MaxConnections: 360, Engine: &routing.Engine{Slots: 64, CacheTokens: 232000, FetchPerToken: 2383}},
		{Name: "app", MaxConnections: 96},
	})
	var list []routing.Server
	for i := range n {
		list = append(list, routing.Server{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Addr: fmt.Sprintf("a%d", i),
			DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 64, State: routing.ServerReady})
	}
	for i := range 2 {
		list = append(list, routing.Server{ID: fmt.Sprintf("p-%d", i), Service: "app", DataCentre: fmt.Sprintf("dc%d", i), Slots: 6, State: routing.ServerReady})
	}
	p.SetServers(list, start)
	return p
}

// prompt is one of a subject with a part of its own.
func prompt(subject, own int) []routing.PromptPart {
	return []routing.PromptPart{{ID: "all", Tokens: 300}, {ID: fmt.Sprintf("s%d", subject), Tokens: 6000}, {ID: fmt.Sprintf("o%d", own), Tokens: 2900}}
}

func choose(t *testing.T, p *Picker, req Request, ms int) Choice {
	t.Helper()
	c, ok := p.Choose(req, at(ms))
	assert.Assert(t, ok)
	return c
}

// Routers that never talked send a subject to the same server.
func TestRoutersAgreeOnAHome(t *testing.T) {
	for subject := range 50 {
		a := choose(t, picker(18), Request{Service: "llm", Prompt: prompt(subject, 1)}, 0)
		b := choose(t, picker(18), Request{Service: "llm", Prompt: prompt(subject, 2)}, 0)
		assert.Equal(t, a.Server.ID, b.Server.ID)
	}
}

// What waits at the home, at this router's report or another's, sends a request
// elsewhere, where it fetches the shared parts instead of reading them again.
func TestBusyHomeIsLeftAndFetchedFrom(t *testing.T) {
	p := picker(18)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	home := choose(t, p, req, 0)
	p.PeerLoad("other", map[routing.ServerKey]Load{routing.Identity{ID: home.Server.ID}.Key(): {Waiting: 30000}}, at(0))
	c := choose(t, p, req, 10)
	assert.Assert(t, c.Server.ID != home.Server.ID)
	assert.Equal(t, c.FetchAt, home.Server.Addr)
	assert.Equal(t, c.Missing, 2900)
	p.Tick(at(5000))
	assert.Equal(t, choose(t, p, req, 5000).Server.ID, home.Server.ID, "an old report is forgotten")
}

// A server that fails is passed over, then tried by one request at a time.
func TestFailedServerIsTriedGently(t *testing.T) {
	p := picker(2)
	req := Request{Service: "app"}
	c := choose(t, p, req, 0)
	j := p.Begin(req, c, at(0))
	assert.Equal(t, p.End(j, Failed, at(20)), Suspected)
	assert.Assert(t, choose(t, p, req, 30).Server.ID != c.Server.ID)
	after := int((firstSuspicion + time.Second) / time.Millisecond)
	trial := choose(t, p, req, after)
	assert.Equal(t, trial.Server.ID, c.Server.ID, "its data centre is nearer")
	p.Begin(req, trial, at(after))
	assert.Assert(t, choose(t, p, req, after).Server.ID != c.Server.ID, "one trial at a time")
}

// When all servers are suspected, one is asked all the same.
func TestAllSuspectedAreStillAsked(t *testing.T) {
	p := picker(0)
	req := Request{Service: "app"}
	for range 2 {
		c := choose(t, p, req, 0)
		p.End(p.Begin(req, c, at(0)), Failed, at(0))
	}
	choose(t, p, req, 1)
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	p := picker(0)
	p.SetServers([]routing.Server{{ID: "p-0", Service: "app", State: routing.ServerDraining}}, start)
	_, ok := p.Choose(Request{Service: "app"}, at(0))
	assert.Assert(t, !ok)
}

// The sums of a server are those of its jobs, whatever their order of ends.
func TestLoadsReturnToNothing(t *testing.T) {
	p := picker(6)
	var jobs []*Job
	for i := range 200 {
		req := Request{Service: "llm", Prompt: prompt(i%7, i), Out: 50}
		jobs = append(jobs, p.Begin(req, choose(t, p, req, i), at(i)))
	}
	for i, j := range jobs {
		if i%3 != 0 {
			p.First(j, at(300+i))
		}
		p.End(j, Outcome(i%5+1), at(600+i))
		p.End(j, Failed, at(600+i)) // a second end counts for nothing
	}
	assert.Equal(t, len(p.Loads(at(1000*1000))), 0)
}

// A server that takes longer than others of its service counts as slower.
func TestSlowServerIsLearnt(t *testing.T) {
	p := picker(18)
	slow := ""
	for i := range 400 {
		req := Request{Service: "llm", Prompt: prompt(i%60, i)}
		now := i * 900
		c := choose(t, p, req, now)
		j := p.Begin(req, c, at(now))
		if slow == "" {
			slow = c.Server.ID
		}
		took := 100
		if c.Server.ID == slow {
			took = 800
		}
		p.First(j, at(now+took))
		p.End(j, Succeeded, at(now+took))
		p.Tick(at(now))
	}
	assert.Assert(t, p.servers[slow].slow > 1.5*p.median(p.services["llm"]), "%g", p.servers[slow].slow)
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ routers, servers int }{{8, 18}, {64, 90}, {410, 600}, {986, 10000}, {2000, 20000}} {
		b.Run(fmt.Sprintf("routers=%d/servers=%d", size.routers, size.servers), func(b *testing.B) {
			p := picker(size.servers)
			for i := range min(size.routers, 12) {
				p.PeerLoad(fmt.Sprint("r", i), map[routing.ServerKey]Load{routing.Identity{ID: "i-001"}.Key(): {Waiting: 500}}, at(0))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req := Request{Service: "llm", Prompt: prompt(i%263, i), Out: 50}
				c, _ := p.Choose(req, at(0))
				j := p.Begin(req, c, at(0))
				p.First(j, at(0))
				p.End(j, Succeeded, at(0))
			}
		})
	}
}

// Routers that have the same old report of the loads don't all take the server
// that was the least loaded (90 engines, 64 routers: homes that were passed over
// had 638 ms of work waiting by the median, the chosen servers 20 ms).
func TestRoutersDoNotFlockToOneServer(t *testing.T) {
	const routers = 64
	loads := map[routing.ServerKey]Load{}
	for i := range 90 {
		loads[routing.Identity{ID: fmt.Sprintf("i-%03d", i)}.Key()] = Load{Waiting: 2000}
	}
	loads[routing.Identity{ID: "i-042"}.Key()] = Load{}
	taken := map[string]int{}
	for r := range routers {
		p := pickerOf(90, uint64(r))
		p.PeerLoad("others", loads, at(0))
		taken[choose(t, p, Request{Service: "llm", Prompt: prompt(r, 1)[2:]}, 10).Server.ID]++
	}
	assert.Assert(t, taken["i-042"] < routers/4, "%v", taken)
	assert.Assert(t, len(taken) > routers/3, "%v", taken)
}

// One of the servers that are drawn is suspected: any other good one is better.
func TestSuspectedHomesAreLeft(t *testing.T) {
	p := picker(18)
	req := Request{Service: "llm", Prompt: prompt(3, 1)}
	bad := map[string]bool{}
	for range 15 {
		c := choose(t, p, req, 0)
		assert.Assert(t, !bad[c.Server.ID])
		bad[c.Server.ID] = true
		p.End(p.Begin(req, c, at(0)), Failed, at(1))
	}
}

// What is told of is what this router has at servers now.
func TestLoadsAreThoseInUse(t *testing.T) {
	p := picker(18)
	req := Request{Service: "llm", Prompt: prompt(1, 1), Out: 10}
	c := choose(t, p, req, 0)
	a, b := p.Begin(req, c, at(0)), p.Begin(req, c, at(0))
	assert.DeepEqual(t, p.Loads(at(0)), map[routing.ServerKey]Load{routing.Identity{ID: c.Server.ID}.Key(): {Waiting: a.missing + b.missing, Memory: a.memory + b.memory, Running: 2}})
	p.First(a, at(10))
	p.End(a, Succeeded, at(20))
	assert.DeepEqual(t, p.Loads(at(0)), map[routing.ServerKey]Load{routing.Identity{ID: c.Server.ID}.Key(): {Waiting: b.missing, Memory: b.memory, Running: 1}})
	p.SetServers(nil, start) // the one that is left goes on
	assert.Equal(t, len(p.Loads(at(0))), 1)
	p.End(b, Succeeded, at(30))
	p.End(b, Succeeded, at(40))
	assert.Equal(t, len(p.Loads(at(0))), 0)
}
