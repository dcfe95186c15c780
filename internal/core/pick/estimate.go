package pick

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/routing"
)

// distanceCost returns the cost of sending the request to the server if it is in another data
// centre, in milliseconds.
func (p *Picker) distanceCost(s *server, req Request) float64 {
	switch {
	case s.DataCentre == p.dataCentre:
		return 0
	case s.engine == nil:
		return otherCentrePlainMs
	case !p.hasLocalHomes(req.Service):
		return otherCentreMs
	}
	return localHomesDistanceMs + localHomesPerKBMs*float64(req.BodyBytes+answerBytesPerToken*req.MaxOutput)/1024
}

// estimate returns the expected waiting and processing time and the cost of the request at the
// server.
func (p *Picker) estimate(s *server, req Request, promptHomes homes, now time.Time) Choice {
	if s.engine == nil {
		return p.estimatePlain(s, now)
	}
	estimates := p.speedOf(s.Service)
	medianRate, base := p.fit(estimates)
	slowness := p.relativeSlowness(s, now)
	rate := medianRate / slowness
	work := p.prefillWork(s, req, promptHomes, rate, now)
	costMs := work.cost(rate)
	tokensAhead := p.backlog(s, now, rate)
	waitMs := tokensAhead / rate
	tokensAhead += work.newTokens + work.recomputedTokens
	medianMs := base + tokensAhead/medianRate
	tokensAhead *= slowness
	if work.fetchedTokens > 0 {
		tokensAhead = -1
	}
	if excess := s.ownLoad.Running + s.peerLoad.Running + s.assignedLoad.Running + 1 - s.engine.Slots; excess > 0 {
		waitMs += float64(excess) * slotWaitMs
		tokensAhead = -1
	}
	size := int64(routing.PromptSize(req.Prompt) + req.MaxOutput)
	if float64(s.ownLoad.MemoryTokens+s.peerLoad.MemoryTokens+s.assignedLoad.MemoryTokens+size) > maxMemoryShare*float64(s.engine.CacheTokens) {
		waitMs += memoryWaitMs
		tokensAhead = -1
	}
	if tokensAhead < 0 {
		medianMs = -1
	}
	return Choice{
		Server:         s.Server,
		Cold:           s.needsPermit(now),
		Wait:           millis(waitMs),
		Processing:     millis(base + work.time(rate)),
		Speed:          1 / slowness,
		tokensAhead:    tokensAhead,
		medianMs:       medianMs,
		UncachedTokens: int(work.newTokens + work.recomputedTokens),
		FetchFrom:      work.fetchFrom,
		costMs:         costMs,
	}
}

// fit returns the speed of a service's engines and the fixed delay before a first token. While a
// scheduler decides for this router, and for some time after, it is the bounded one.
func (p *Picker) fit(estimates *speed) (rate, base float64) {
	if p.exact || !p.scheduledUntil.IsZero() {
		return estimates.firstToken.boundedFit()
	}
	return estimates.firstToken.fit()
}

// estimatePlain is estimate for a plain service, whose slots work in parallel.
func (p *Picker) estimatePlain(s *server, now time.Time) Choice {
	estimates := p.speedOf(s.Service)
	slowness := p.relativeSlowness(s, now)
	processingMs := estimates.processingMs * slowness
	load := float64(s.ownLoad.Running + s.peerLoad.Running)
	slots := float64(max(s.Slots, 1))
	// A server with free slots answers at once. Among several of these, the one with the most free
	// slots is least likely to be full when the request arrives.
	queued := max(0, load-slots+1) / slots
	waitMs := processingMs * queued
	return Choice{
		Server:     s.Server,
		Cold:       s.needsPermit(now),
		Wait:       millis(waitMs),
		Processing: millis(processingMs),
		Speed:      1 / slowness,
		medianMs:   estimates.processingMs * (1 + queued),
		costMs:     processingMs * (1 + load/slots/4),
		Full:       load >= slots*(1+plainQueuePerSlot),
	}
}

// backlog returns how many prompt tokens the server has still to process: those of this router,
// those of the other routers, and those that the scheduler has assigned to it since.
func (p *Picker) backlog(s *server, now time.Time, rate float64) float64 {
	if p.exact {
		return s.ownBacklog(now, rate) + s.assignedBacklog(now, rate)
	}
	return s.ownBacklog(now, rate) + float64(s.peerLoad.PendingTokens+s.assignedLoad.PendingTokens)
}

// ownBacklog returns the pending tokens of this router, less what the server can have processed
// since the last progress.
func (s *server) ownBacklog(now time.Time, rate float64) float64 {
	total := float64(s.ownLoad.PendingTokens)
	if len(s.awaitingFirstEvent) > 0 {
		processed := rate * float64(now.Sub(s.lastProgress)) / float64(time.Millisecond)
		total -= min(processed, float64(s.awaitingFirstEvent[0].uncachedTokens))
	}
	return max(total, 0)
}

// prefillWork is the work that a server has to do for a prompt, in tokens.
type prefillWork struct {
	newTokens        float64 // tokens processed for the first time
	recomputedTokens float64 // shared tokens processed again although another server has them cached
	fetchedTokens    float64 // fetched from the cache of another server
	fetchedPerMs     float64 // fetched tokens per millisecond
	fetchFrom        string
	copyStaysAtHome  bool // the fetched copy stays at a home, where the next request finds it
}

// time returns the processing time in milliseconds.
func (n prefillWork) time(rate float64) float64 {
	ms := (n.newTokens + n.recomputedTokens) / rate
	if n.fetchedTokens > 0 {
		ms += fetchSetupMs + n.fetchedTokens/n.fetchedPerMs
	}
	return ms
}

// cost returns the processing time weighted by the cost factors, in milliseconds.
func (n prefillWork) cost(rate float64) float64 {
	ms := (n.newTokens + n.recomputedTokens*recomputeCostFactor) / rate
	if n.fetchedTokens > 0 {
		ms += fetchSetupMs + n.fetchedTokens/n.fetchedPerMs
		if !n.copyStaysAtHome {
			ms += n.fetchedTokens * displacementMs(1/n.fetchedPerMs, rate)
		}
	}
	return ms
}

// displacementMs returns the cost of what each token of a fetched copy displaces, in milliseconds of
// engine time. perToken is the time in which a token is fetched, in milliseconds. The learnt speed
// counts only up to the assumed one, since short queues make it look unlimited.
func displacementMs(perToken, rate float64) float64 {
	return min(fetchDisplacementFactor*perToken, displacedReadFraction/min(rate, initialTokensPerMs))
}

// minFetchTokens returns the number of shared tokens from which fetching is cheaper than
// recomputing on an engine of the given speed, by the weighted costs. It is infinite if
// recomputing is always cheaper.
func minFetchTokens(e *routing.Engine, rate float64) float64 {
	perToken := float64(e.FetchPerToken) / float64(time.Millisecond)
	gain := recomputeCostFactor/rate - perToken - displacementMs(perToken, rate)
	if perToken <= 0 || gain <= 0 {
		return math.Inf(1)
	}
	return fetchSetupMs / gain
}

// prefillWork returns the work that the server would have to do for the prompt, whose keys must be
// in p.promptKeys.
func (p *Picker) prefillWork(s *server, req Request, promptHomes homes, rate float64, now time.Time) prefillWork {
	prompt := req.Prompt
	lifetime := p.speedOf(s.Service).lifetime
	cached, total := s.cache.cachedTokens(prompt, p.promptKeys, lifetime, now)
	if len(prompt) < 2 {
		return prefillWork{newTokens: float64(total - cached)}
	}
	own := prompt[len(prompt)-1].Tokens
	shared := total - own
	if cached >= shared {
		return prefillWork{newTokens: float64(total - cached)}
	}
	missing := float64(shared - cached)
	work := prefillWork{newTokens: float64(own)}
	source := p.findHolder(p.promptKeys[len(prompt)-2], s, req.AllowedRegions, lifetime, now)
	if source == nil && s != promptHomes.first {
		source = promptHomes.first
	}
	switch {
	case source != nil && missing >= minFetchTokens(s.engine, rate):
		work.fetchedTokens = missing
		work.fetchedPerMs = float64(time.Millisecond) / float64(s.engine.FetchPerToken)
		work.fetchFrom = source.Addr
		work.copyStaysAtHome = s == promptHomes.first && p.hasLocalHomes(req.Service)
		if s.DataCentre != source.DataCentre {
			work.fetchedPerMs /= otherCentreFetchFactor
		}
		return work
	case s == promptHomes.first:
		missing *= unknownHomeMissingShare
	case s == promptHomes.second, s == promptHomes.far:
		missing *= secondHomeMissingShare
	}
	work.recomputedTokens = missing
	return work
}

// homes are the servers that cache the shared parts of a prompt; nil where there is none.
type homes struct {
	first  *server // in this router's data centre if that has its own homes, else in any
	second *server // second choice among the same servers
	far    *server // first choice among all servers, if it is in another data centre and not one of the above
}

// list returns the homes that exist.
func (h homes) list() (list []*server) {
	for _, s := range []*server{h.first, h.second, h.far} {
		if s != nil {
			list = append(list, s)
		}
	}
	return list
}

// homes returns the homes of a prompt by rendezvous hashing, so that all routers of a data centre
// agree without communicating. Suspected and cold servers are passed over. A data centre with
// enough engines has its own homes, because fetching a copy once is cheaper than sending the
// bodies and answers of all requests to and from another data centre.
func (p *Picker) homes(req Request, list []*server, now time.Time) (h homes) {
	prompt := req.Prompt
	if len(prompt) < 2 {
		return h
	}
	key := xxhash.Sum64String(prompt[len(prompt)-2].ID)
	far, next := p.topTwoInWindow(list, key, req, now)
	h.first, h.second = far, next
	if p.hasLocalHomes(req.Service) {
		h.first, h.second = p.topTwoInWindow(p.nearby[req.Service], key, req, now)
		if h.first == nil {
			h.first = far
		}
		if h.first != far {
			h.far = far
		}
	}
	return h
}

// topTwoInWindow returns the two servers with the highest scores for a key among those that can be
// homes. It considers the servers in the key's window, and the whole list if none of these
// qualifies.
func (p *Picker) topTwoInWindow(list []*server, key uint64, req Request, now time.Time) (first, second *server) {
	candidates := window(list, key)
	first, second = p.topTwo(candidates, key, req, now)
	if first == nil && len(candidates) < len(list) {
		return p.topTwo(list, key, req, now)
	}
	return first, second
}

// topTwo returns the two servers of the list with the highest scores for a key among those that
// can be homes.
func (p *Picker) topTwo(list []*server, key uint64, req Request, now time.Time) (first, second *server) {
	var firstScore, secondScore float64
	for _, s := range list {
		score := p.homeScore(key, s)
		if second != nil && score <= secondScore || !p.canBeHome(s, req, now) {
			continue
		}
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = s, score
		case second == nil || score > secondScore:
			second, secondScore = s, score
		}
	}
	return first, second
}

// homeScore returns the score of the server for a key, by which engines get numbers of homes in
// proportion to the speeds of their classes (R. Schindelhauer and G. Schomaker, Weighted Distributed
// Hash Tables, 2005).
func (p *Picker) homeScore(key uint64, s *server) float64 {
	u := (float64(hashPair(key, s.hash)>>11) + 0.5) / (1 << 53)
	if p.classes.marked == 0 {
		return u // the same order without the logarithm
	}
	return -s.class.speed() / math.Log(u)
}

// canBeHome reports whether the server may be a home of the request's prompt.
func (p *Picker) canBeHome(s *server, req Request, now time.Time) bool {
	return p.rankOf(s, now) == rankGood && req.AllowedRegions.Allows(s.region) && !s.needsPermit(now) && !s.inBackoff(now)
}

// hashPair hashes two hashes into one.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
