package pick

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/routing"
)

// distance is what a server in another data centre costs.
func (p *Picker) distance(s *server, req Request) float64 {
	switch {
	case s.DataCentre == p.dataCentre:
		return 0
	case s.engine == nil:
		return otherCentrePlainMs
	case !p.hasNearHomes(req.Service):
		return otherCentreMs
	}
	return nearMs + perKBMs*float64(req.Bytes+answerPerToken*req.Out)/1024
}

// expect works out what the request would find at the server.
func (p *Picker) expect(s *server, req Request, at homes, now time.Time) Choice {
	if s.engine == nil {
		return p.expectPlain(s, now)
	}
	learnt := p.rate(s.Service)
	rate, base := learnt.first.fit()
	slowness := s.slowness(learnt.slow, now)
	rate /= slowness
	need := p.need(s, req, at, rate, now)
	work := need.cost(rate)
	ahead := s.backlog(now, rate)
	ms := ahead / rate
	ahead = (ahead + need.first + need.again) * slowness
	if need.fetched > 0 {
		ahead = -1
	}
	if over := s.own.Running + s.peers.Running + 1 - s.engine.Slots; over > 0 {
		ms += float64(over) * slotWaitMs
		ahead = -1
	}
	size := int64(routing.PromptSize(req.Prompt) + req.Out)
	if float64(s.own.Memory+s.peers.Memory+size) > memoryFull*float64(s.engine.CacheTokens) {
		ms += memoryWaitMs
		ahead = -1
	}
	return Choice{
		Server:  s.Server,
		Cold:    s.onPermits(now),
		Wait:    millis(ms),
		Own:     millis(base + need.time(rate)),
		ahead:   ahead,
		Missing: int(need.first + need.again),
		FetchAt: need.fetchAt,
		work:    work,
	}
}

// slowness is how much slower than its service the server counts.
func (s *server) slowness(usual float64, now time.Time) float64 {
	x := max(s.slow/usual, 1)
	if s.cold.Is(now) {
		x = max(x, warmupX)
	}
	return x
}

// expectPlain does so for a plain service: its slots work side by side.
func (p *Picker) expectPlain(s *server, now time.Time) Choice {
	work := p.rate(s.Service).workMs * s.slowness(p.rate(s.Service).slow, now)
	load := float64(s.own.Running + s.peers.Running)
	slots := float64(max(s.Slots, 1))
	// A server with free slots answers at once; that with most of them free is
	// the least likely to be full when the request comes.
	ms := work * max(0, load-slots+1) / slots
	return Choice{
		Server: s.Server,
		Cold:   s.onPermits(now),
		Wait:   millis(ms),
		Own:    millis(work),
		work:   work * (1 + load/slots/4),
		Full:   load >= slots*(1+plainQueue),
	}
}

// backlog is how many tokens of prompts the server has still to read: this
// router's, less what it has read since the last sign of progress, and the
// other routers'.
func (s *server) backlog(now time.Time, rate float64) float64 {
	total := float64(s.own.Waiting)
	if len(s.waiting) > 0 {
		done := rate * float64(now.Sub(s.progress)) / float64(time.Millisecond)
		total -= min(done, float64(s.waiting[0].missing))
	}
	return max(total, 0) + float64(s.peers.Waiting)
}

// need is what a server would have to do for a prompt, in tokens.
type need struct {
	first   float64 // read for the first time
	again   float64 // shared ones read though another server has read them
	fetched float64 // fetched from another server
	perMs   float64 // tokens fetched in a millisecond
	fetchAt string
	stays   bool // the copy is at a home, where the next request finds it
}

// time is how long the server works on it, in milliseconds.
func (n need) time(rate float64) float64 {
	ms := (n.first + n.again) / rate
	if n.fetched > 0 {
		ms += fetchSetupMs + n.fetched/n.perMs
	}
	return ms
}

// cost is the same with what the work costs beside its time.
func (n need) cost(rate float64) float64 {
	ms := (n.first + n.again*rereadX) / rate
	x := fetchX
	if n.stays {
		x = 1
	}
	if n.fetched > 0 {
		ms += fetchSetupMs + x*n.fetched/n.perMs
	}
	return ms
}

// leastFetch is from how many shared tokens on an engine that reads so fast is better
// off to fetch them: their price by the price of reading them again; never if that is
// the cheaper one however many there are.
func leastFetch(e *routing.Engine, rate float64) float64 {
	perToken := float64(e.FetchPerToken) / float64(time.Millisecond)
	gain := rereadX/rate - fetchX*perToken
	if perToken <= 0 || gain <= 0 {
		return math.Inf(1)
	}
	return fetchSetupMs / gain
}

// need works out what the server would have to do for the prompt, whose keys are
// those that p holds.
func (p *Picker) need(s *server, req Request, at homes, rate float64, now time.Time) need {
	prompt := req.Prompt
	life := p.rate(s.Service).life
	kept, all := s.cache.kept(prompt, p.keys, life, now)
	if len(prompt) < 2 {
		return need{first: float64(all - kept)}
	}
	own := prompt[len(prompt)-1].Tokens
	shared := all - own
	if kept >= shared {
		return need{first: float64(all - kept)}
	}
	lack := float64(shared - kept)
	n := need{first: float64(own)}
	from := p.holder(p.keys[len(prompt)-2], s, req.Homes, life, now)
	if from == nil && s != at.first {
		from = at.first
	}
	switch {
	case from != nil && lack >= leastFetch(s.engine, rate):
		n.fetched = lack
		n.perMs = float64(time.Millisecond) / float64(s.engine.FetchPerToken)
		n.fetchAt = from.Addr
		n.stays = s == at.first && p.hasNearHomes(req.Service)
		if s.DataCentre != from.DataCentre {
			n.perMs /= otherCentreFetchX
		}
		return n
	case s == at.first:
		lack *= unknownShare
	case s == at.second, s == at.far:
		lack *= secondShare
	}
	n.again = lack
	return n
}

// homes are the servers that keep a shared prompt, nil where there is none.
type homes struct {
	first  *server // of this router's data centre if that has homes of its own, else of all
	second *server // of the same ones
	far    *server // the first one of all, if that is in another data centre and not among these
}

// each returns those that there are.
func (h homes) each() (list []*server) {
	for _, s := range []*server{h.first, h.second, h.far} {
		if s != nil {
			list = append(list, s)
		}
	}
	return list
}

// homes returns those of a prompt by rendezvous hashing, so that all routers of a data centre
// agree without talking. Suspected and cold servers are passed over. A data centre with
// enough engines has homes of its own: a copy that is fetched once is cheaper than the bodies
// and answers of all requests on the way to another one.
func (p *Picker) homes(req Request, list []*server, now time.Time) (h homes) {
	prompt := req.Prompt
	if len(prompt) < 2 {
		return h
	}
	key := xxhash.Sum64String(prompt[len(prompt)-2].ID)
	far, next := p.topTwo(list, key, req, now)
	h.first, h.second = far, next
	if p.hasNearHomes(req.Service) {
		h.first, h.second = p.topTwo(p.nearby[req.Service], key, req, now)
		if h.first == nil {
			h.first = far
		}
		if h.first != far {
			h.far = far
		}
	}
	return h
}

// topTwo returns the two servers of a list with the highest scores for a key, among those that
// may keep it for long. Only where none of the key's window may, all of the list count.
func (p *Picker) topTwo(list []*server, key uint64, req Request, now time.Time) (first, second *server) {
	near := window(list, key)
	first, second = p.topTwoOf(near, key, req, now)
	if first == nil && len(near) < len(list) {
		return p.topTwoOf(list, key, req, now)
	}
	return first, second
}

func (p *Picker) topTwoOf(list []*server, key uint64, req Request, now time.Time) (first, second *server) {
	var most, next uint64
	for _, s := range list {
		score := mix(key, s.hash)
		if second != nil && score <= next || !p.mayKeep(s, req, now) {
			continue
		}
		switch {
		case first == nil || score > most:
			second, next = first, most
			first, most = s, score
		case second == nil || score > next:
			second, next = s, score
		}
	}
	return first, second
}

// mayKeep reports whether the server may be a home of the request's prompt.
func (p *Picker) mayKeep(s *server, req Request, now time.Time) bool {
	return p.rankOf(s, now) == rankGood && req.Homes.Allows(s.region) && !s.onPermits(now) && !s.inBackoff(now)
}

// mix hashes two hashes into one.
func mix(a, b uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], a)
	binary.LittleEndian.PutUint64(text[8:], b)
	return xxhash.Sum64(text[:])
}

// millis is a duration of ms milliseconds.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
