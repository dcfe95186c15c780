package emulator

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// engine is one engine's state. It reads prompts in the order in which they came.
type engine struct {
	Engine
	id      string
	addr    string
	freeAt  time.Time // when it has read what it has
	running int
	cache   map[string]cached
	kept    int64
	lost    bool
	silent  bool
	backAt  time.Time // when it started again; zero: it was never lost
}

// cached is a shared part in an engine's memory.
type cached struct {
	tokens int
	used   time.Time
}

// slowdown is how much slower an engine reads when all its slots run.
const slowdown = 0.5

// accept takes a request that arrives at now and returns when its first and its last
// token come, and what it read: all, and of that shared. What the holder keeps of the shared parts is
// fetched; nil: there is none.
func (e *engine) accept(ask *routing.RequestMeta, holder *engine, now time.Time) (first, last time.Time, read, shared int) {
	for i, part := range ask.Prompt {
		own := i == len(ask.Prompt)-1
		if _, ok := e.cache[part.ID]; ok && !own {
			e.keep(part, now)
			continue
		}
		if !own {
			e.keep(part, now)
		}
		if holder != nil && !own && holder.keeps(part) {
			continue
		}
		read += part.Tokens
		if !own {
			shared += part.Tokens
		}
	}
	e.freeAt = latest(e.freeAt, now).Add(e.reading(read))
	first = e.freeAt.Add(e.Base)
	last = first.Add(time.Duration(ask.TokensOut) * e.Step)
	e.running++
	return first, last, read, shared
}

// reading is how long so many tokens take beside what runs.
func (e *engine) reading(tokens int) time.Duration {
	rate := e.TokensPerMs / (1 + slowdown*float64(e.running)/float64(e.Slots))
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// keeps reports whether the part is in the memory.
func (e *engine) keeps(part routing.PromptPart) bool {
	_, ok := e.cache[part.ID]
	return ok && !e.lost
}

// keep puts a part into the memory, and the least recently used ones out.
func (e *engine) keep(part routing.PromptPart, now time.Time) {
	if old, ok := e.cache[part.ID]; ok {
		e.kept -= int64(old.tokens)
	}
	e.cache[part.ID] = cached{part.Tokens, now}
	e.kept += int64(part.Tokens)
	for e.kept > e.CacheTokens/2 {
		oldest := ""
		for id, c := range e.cache {
			if oldest == "" || c.used.Before(e.cache[oldest].used) || c.used.Equal(e.cache[oldest].used) && id < oldest {
				oldest = id
			}
		}
		e.kept -= int64(e.cache[oldest].tokens)
		delete(e.cache, oldest)
	}
}
