package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is how many prompt tokens one block of the prefix cache holds.
const blockTokens = 16

// prefixCache remembers the prefixes of recent prompts, in blocks, dropping
// the least recently used.
type prefixCache struct {
	limit int // blocks
	order *list.List
	held  map[uint64]*list.Element // values are uint64 block hashes
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), held: map[uint64]*list.Element{}}
}

// admit returns how many of the prompt's tokens are cached, and caches all of
// its whole blocks.
func (c *prefixCache) admit(prompt string) (cached int) {
	hit := true
	for _, block := range blocks(prompt) {
		elem, ok := c.held[block]
		hit = hit && ok
		if hit {
			cached += blockTokens
		}
		if ok {
			c.order.MoveToFront(elem)
			continue
		}
		c.held[block] = c.order.PushFront(block)
	}
	c.evict()
	return cached
}

func (c *prefixCache) evict() {
	for c.order.Len() > c.limit {
		last := c.order.Back()
		c.order.Remove(last)
		if block, ok := last.Value.(uint64); ok {
			delete(c.held, block)
		}
	}
}

// blocks returns a hash for each whole block, which covers all that is before
// it too.
func blocks(prompt string) []uint64 {
	words := strings.Fields(prompt)
	hash := xxhash.New()
	var out []uint64
	for i, word := range words {
		_, _ = hash.WriteString(word) // never fails
		_, _ = hash.WriteString(" ")
		if (i+1)%blockTokens == 0 {
			out = append(out, hash.Sum64())
		}
	}
	return out
}
