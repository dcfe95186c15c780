package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// pickerInDataCentre returns a picker in the data centre with n engines in three data centres.
func pickerInDataCentre(dataCentre string, n int) *Picker {
	p := New(dataCentre, rand.New(rand.NewPCG(3, 4)))
	p.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 232000, FetchPerToken: 2383}}})
	p.SetServers(engineList(n, 0, 0), start)
	return p
}

// Callers in three data centres ask about the same subjects, and traffic between the data centres
// is expensive. A data centre with enough engines has the parts locally after one fetch; where
// each has only a few, all share the homes.
func TestPromptsStayInDataCentreWithLocalHomes(t *testing.T) {
	for _, c := range []struct {
		engines int
		local   bool
	}{{60, true}, {9, false}} {
		p := pickerInDataCentre("dc1", c.engines)
		remote := 0
		for i := range 300 {
			req := Request{Service: "llm", Prompt: prompt(i%20, i), MaxOutput: 50, BodyBytes: 4000}
			choice := choose(t, p, req, i*10)
			j := p.Begin(req, choice, at(i*10))
			p.NoteFirstEvent(j, at(i*10+5))
			p.End(j, Succeeded, at(i*10+5))
			if choice.Server.DataCentre != "dc1" {
				remote++
			}
		}
		t.Logf("%d engines: %d of 300 went to other data centres", c.engines, remote)
		assert.Equal(t, remote < 60, c.local, "%d engines", c.engines)
	}
}

// If the local homes are overloaded, a prompt goes to its home among all servers, or to a random
// server.
func TestLoadedDataCentreSendsPromptsElsewhere(t *testing.T) {
	p := pickerInDataCentre("dc1", 60)
	loads := map[routing.ServerKey]Load{}
	for _, s := range p.servers {
		if s.DataCentre == "dc1" {
			loads[s.key] = Load{PendingTokens: 40000, Running: 20}
		}
	}
	p.SetPeerLoad("others", loads, at(0))
	for i := range 40 {
		c := choose(t, p, Request{Service: "llm", Prompt: prompt(i, i), MaxOutput: 50, BodyBytes: 4000}, 10)
		assert.Assert(t, c.Server.DataCentre != "dc1" || len(p.homes(Request{Prompt: prompt(i, i), Service: "llm"}, p.services["llm"], at(10)).list()) < 3)
	}
}

// The cost of a remote server grows with the length of the answer.
func TestDistanceCostGrowsWithBytes(t *testing.T) {
	p := pickerInDataCentre("dc1", 60)
	far := p.servers["i-000"]
	assert.Equal(t, p.distanceCost(p.servers["i-001"], Request{Service: "llm", BodyBytes: 9000}), 0.0)
	short := p.distanceCost(far, Request{Service: "llm", BodyBytes: 1024})
	long := p.distanceCost(far, Request{Service: "llm", BodyBytes: 1024, MaxOutput: 280})
	assert.Equal(t, short, 6.0)
	assert.Assert(t, long > short+10)
}

// Most engines have a short queue and a few have none. A long prompt, which needs most of its
// target time for processing, must find one of the idle engines; short prompts, which meet the
// target at their homes, stay there.
func TestLongPromptExaminesMoreEnginesToMeetTarget(t *testing.T) {
	const target = 600 * time.Millisecond
	countInTime := func(tokens int, requestTarget time.Duration) (n, moved int) {
		p := pickerInDataCentre("dc1", 60)
		loads := map[routing.ServerKey]Load{}
		for i, s := range engineList(60, 0, 0) {
			if i%4 != 0 {
				loads[p.servers[s.ID].key] = Load{PendingTokens: 8000, Running: 3}
			}
		}
		p.SetPeerLoad("others", loads, at(0))
		for i := range 200 {
			parts := []routing.PromptPart{{ID: fmt.Sprint("s", i%20), Tokens: 400}, {ID: fmt.Sprint("o", i), Tokens: tokens}}
			req := Request{Service: "llm", Prompt: parts, MaxOutput: 50, BodyBytes: 4000, FirstTokenTarget: requestTarget}
			c := choose(t, p, req, 10)
			if c.Wait+c.Processing <= target {
				n++
			}
			if h := p.homes(req, p.services["llm"], at(10)); c.Server.ID != h.first.ID && c.Server.ID != h.second.ID {
				moved++
			}
		}
		return n, moved
	}
	longInTime, _ := countInTime(30000, target)
	longWithoutTarget, _ := countInTime(30000, 0)
	t.Logf("long prompts in time: %d of 200, %d without a target", longInTime, longWithoutTarget)
	assert.Assert(t, longInTime > 170 && longInTime > longWithoutTarget, "%d, %d", longInTime, longWithoutTarget)
	_, moved := countInTime(3000, target)
	_, movedWithoutTarget := countInTime(3000, 0)
	assert.Equal(t, moved, movedWithoutTarget, "short prompts")
}
