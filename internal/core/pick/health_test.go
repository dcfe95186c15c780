package pick

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// Regression: a server that was cleared while its last suspicion had not expired, and then failed
// again, crashed the process by a shift by a negative count.
func TestFailureAfterClearingDuringSuspicion(t *testing.T) {
	now := time.Unix(100, 0)
	var h health
	assert.Assert(t, h.recordFailure(now))
	for range successesToClear {
		h.recordSuccess()
	}
	assert.Equal(t, h.failures, 0)
	assert.Assert(t, !h.recordFailure(now.Add(time.Millisecond)), "it is already suspected")
	assert.Equal(t, h.rank(now.Add(2*time.Millisecond)), rankBad)
}

// Guards against every router finding a failed engine by itself: of 295 routers in front of 160
// engines, each sends to a given engine once in 25 s. Two suspicions are enough, one alone may
// come from a router that is cut off, and if all servers seem to have failed all are tried.
func TestServerSuspectedByTwoRoutersIsPassedOver(t *testing.T) {
	chosen := func(suspects map[routing.ServerKey]Load) map[string]int {
		p := newPicker(12)
		p.SetPeerLoad("total", suspects, at(0))
		count := map[string]int{}
		for i := range 300 {
			count[choose(t, p, Request{Service: "llm", Prompt: prompt(i, i)}, 10).Server.ID]++
		}
		return count
	}
	dead := routing.Identity{ID: "i-003"}.Key()
	assert.Assert(t, chosen(map[routing.ServerKey]Load{dead: {Suspicions: 1}})["i-003"] > 0)
	assert.Equal(t, chosen(map[routing.ServerKey]Load{dead: {Suspicions: 2}})["i-003"], 0)
	all := map[routing.ServerKey]Load{}
	for i := range 5 {
		all[routing.Identity{ID: fmt.Sprintf("i-%03d", i)}.Key()] = Load{Suspicions: 60}
	}
	assert.Assert(t, chosen(all)["i-003"] > 0)
}

// A suspicion is reported until it expires, even if no requests run at the server.
func TestSuspicionIsReportedUntilItExpires(t *testing.T) {
	p := newPicker(3)
	c := choose(t, p, Request{Service: "llm", Prompt: prompt(1, 1)}, 0)
	j := p.Begin(Request{Service: "llm", Prompt: prompt(1, 1)}, c, at(0))
	p.End(j, Failed, at(10))
	assert.DeepEqual(t, p.Loads(at(20)), map[routing.ServerKey]Load{routing.Identity{ID: c.Server.ID}.Key(): {Suspicions: 1}})
	assert.Equal(t, len(p.Loads(at(20).Add(firstSuspicion))), 0)
}

// Regression: a request that may crash servers ran at the home of the requests that share parts
// with it, so that these always crashed too. Isolated, it goes to any healthy server.
func TestIsolatedRequestAvoidsItsHome(t *testing.T) {
	p := newPicker(18)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	home := choose(t, p, req, 0)
	job := p.Begin(req, choose(t, p, Request{Service: "llm", Prompt: prompt(2, 1)}, 0), at(0))
	p.End(job, Failed, at(10))
	suspected := job.s.ID
	req.Isolated = true
	seen := map[string]int{}
	for range 200 {
		seen[choose(t, p, req, 20).Server.ID]++
	}
	assert.Assert(t, len(seen) > 12, "%v", seen)
	assert.Assert(t, seen[home.Server.ID] < 40, "%v", seen)
	assert.Equal(t, seen[suspected], 0)
}

// The time of the last answer belongs to one start of a server. A refusal counts as an answer, a
// broken connection does not.
func TestLastAnswerIsKeptPerServerStart(t *testing.T) {
	p := newPicker(1)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	c := choose(t, p, req, 0)
	id := c.Server.Identity()
	assert.Assert(t, p.LastAnswer(id).IsZero())
	p.End(p.Begin(req, c, at(0)), Failed, at(10))
	assert.Assert(t, p.LastAnswer(id).IsZero())
	p.NoteFirstEvent(p.Begin(req, c, at(20)), at(30))
	assert.Equal(t, p.LastAnswer(id), at(30))
	p.End(p.Begin(req, c, at(40)), Full, at(50))
	assert.Equal(t, p.LastAnswer(id), at(50))
	id.Born++
	assert.Assert(t, p.LastAnswer(id).IsZero(), "another start")
}

// A server whose response has ended has room for another request before the outcome is known, and its
// load is counted down once.
func TestReleasedJobIsNoLoad(t *testing.T) {
	p := newPicker(3)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	j := p.Begin(req, choose(t, p, req, 0), at(0))
	p.NoteFirstEvent(j, at(5))
	before := j.s.ownLoad
	assert.Equal(t, before.Running, 1)
	for range 2 {
		p.Release(j)
		assert.Equal(t, j.s.ownLoad.Running, 0)
		assert.Equal(t, j.s.ownLoad.MemoryTokens, int64(0))
	}
	assert.Equal(t, p.End(j, Failed, at(20)), Suspected)
	assert.Equal(t, j.s.ownLoad.Running, 0)
	assert.Equal(t, j.s.ownLoad.MemoryTokens, int64(0))
}
