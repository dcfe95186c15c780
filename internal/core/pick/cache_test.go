package pick

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// send places the request at the server of the ID, whatever the choice were.
func send(p *Picker, id string, req Request, ms int) {
	c := Choice{Server: p.servers[id].Server}
	p.End(p.Begin(req, c, at(ms)), Succeeded, at(ms))
}

// other returns an engine that is neither of the prompt's homes.
func other(p *Picker, prompt []routing.PromptPart) *server {
	at := p.homes(Request{Prompt: prompt}, p.services["llm"], start)
	for _, s := range p.services["llm"] {
		if !slices.Contains(at.each(), s) {
			return s
		}
	}
	return nil
}

// The pattern: a subject's home was passed over, another engine has read it. A router
// that heard of it has the home fetch the shared parts there. Before routers told
// each other, of the shared tokens that were read again some two thirds were read at a
// home, or after a fetch from a home, that had never been sent them (a log of 7,300
// prompts of 9 engines and 8 routers).
func TestAHomeThatNeverReadAPartFetchesIt(t *testing.T) {
	a, b := picker(9), pickerOf(9, 5)
	first := Request{Service: "llm", Prompt: prompt(1, 1)}
	holder := other(a, first.Prompt)
	send(a, holder.ID, first, 0)
	b.Merge(a.TakePending(), at(20))
	home := b.homes(first, b.services["llm"], start).first
	next := Request{Service: "llm", Prompt: prompt(1, 2)}
	b.keys = keys(nil, next.Prompt)
	n := b.need(home, next, homes{first: home}, firstTokensPerMs, at(30))
	assert.Equal(t, n.fetchAt, holder.Addr)
	assert.Equal(t, n.fetched, 6300.0)
	n = b.need(b.servers[holder.ID], next, homes{first: home}, firstTokensPerMs, at(30))
	assert.Equal(t, n.fetchAt, "", "the holder has them")
	assert.Equal(t, n.first+n.again, 2900.0)
}

// A router tells of a part when it is new at a server, and again while it is in use:
// a part of what each request would take.
func TestPartsAreReportedAgainAQuarterOfALifeLater(t *testing.T) {
	p := picker(9)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	told := 0
	const every, over = 100, 60_000
	for ms := 0; ms < over; ms += every {
		send(p, "i-003", req, ms)
		told += len(p.TakePending()[routing.Identity{ID: "i-003"}.Key()])
	}
	assert.Equal(t, told, 2*advertiseAgain, "both shared parts, at the start and after each quarter of %s", mostLife)
	small := Request{Service: "llm", Prompt: []routing.PromptPart{{ID: "x", Tokens: 100}, {ID: "y", Tokens: 5000}}}
	send(p, "i-004", small, over)
	assert.Equal(t, len(p.TakePending()), 0, "what is not worth a fetch is not worth a report")
}

// What one router heard it does not tell again.
func TestWhatWasHeardIsNotReportedAgain(t *testing.T) {
	a, b := picker(9), picker(9)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	send(a, "i-003", req, 0)
	b.Merge(a.TakePending(), at(20))
	send(b, "i-003", req, 40)
	assert.Equal(t, len(b.TakePending()), 0)
}

// Engines that are filled fast keep a part for less time. 9 engines of 232,000 tokens
// that one of two routers fills with 87,000 tokens a second keep what they read for 12 s.
func TestTheLifeOfAPartFollowsTheFilling(t *testing.T) {
	p := picker(9)
	for ms := 0; ms < 20_000; ms += 100 {
		req := Request{Service: "llm", Prompt: []routing.PromptPart{{ID: "shared", Tokens: 500}, {ID: "o", Tokens: 8000}}, Out: 200}
		j := p.Begin(req, Choice{Server: p.servers["i-001"].Server, Missing: 8500}, at(ms))
		p.PeerLoad("other", map[routing.ServerKey]Load{routing.Identity{ID: "i-001"}.Key(): {Running: 1}}, at(ms))
		p.Tick(at(ms))
		p.End(j, Succeeded, at(ms))
	}
	life := p.rate("llm").life
	assert.Assert(t, life > 10*time.Second && life < 14*time.Second, "%s", life)
	req := Request{Service: "llm", Prompt: prompt(1, 1)}
	send(p, "i-002", req, 20_000)
	p.keys = keys(p.keys[:0], req.Prompt)
	kept := func(ms int) int {
		n, _ := p.servers["i-002"].cache.kept(req.Prompt, p.keys, life, at(ms))
		return n
	}
	assert.Equal(t, kept(29_000), 9200)
	assert.Equal(t, kept(35_000), 0)
	p.forgetParts(at(35_000))
	assert.Equal(t, len(p.servers["i-002"].cache), 0, "what is not kept is not remembered")
}

// What waits to be told is bounded, also while nobody takes it.
func TestPendingPartsAreBounded(t *testing.T) {
	p := picker(9)
	for i := range 2 * pendingMost {
		send(p, "i-003", Request{Service: "llm", Prompt: prompt(i, i)}, 0)
	}
	assert.Assert(t, len(p.TakePending()[routing.Identity{ID: "i-003"}.Key()]) <= pendingMost)
}

// Whether a fetch is worth its setting up depends on how fast the engine reads. The
// engines move 0.25 to 2.4 us a token.
func TestFetchesAreWorthMoreAtSlowEngines(t *testing.T) {
	e := &routing.Engine{FetchPerToken: 250 * time.Nanosecond}
	slow, fast := leastFetch(e, 38.7), leastFetch(e, 112)
	assert.Assert(t, slow > 50 && slow < 150, "%g", slow)
	assert.Assert(t, fast > 250 && fast < 450, "%g", fast)
	assert.Assert(t, math.IsInf(leastFetch(&routing.Engine{FetchPerToken: 10 * time.Microsecond}, 112), 1), "a slow link")
	assert.Assert(t, math.IsInf(leastFetch(&routing.Engine{}, 112), 1), "no fetches")
}
