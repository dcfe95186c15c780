package pick

import (
	"container/list"

	"github.com/windscale/windscale/internal/core/routing"
)

// cache is what a server is thought to keep of the prompts that this router
// sent there: parts, the least recently used going first.
type cache struct {
	room  int64
	used  int64
	order *list.List // of *kept, the most recently used first
	parts map[string]*list.Element
}

// kept is one part that is kept.
type kept struct {
	id     string
	tokens int64
}

func newCache(room int64) *cache {
	return &cache{room: room, order: list.New(), parts: map[string]*list.Element{}}
}

// kept returns how many tokens of the prompt, from its start, are kept, and
// how many it has.
func (c *cache) kept(prompt []routing.Part) (tokens, all int) {
	whole := true
	for _, part := range prompt {
		all += part.Tokens
		if whole && c.parts[part.ID] == nil {
			whole = false
		}
		if whole {
			tokens += part.Tokens
		}
	}
	return tokens, all
}

// add notes that the prompt was read, its first part last: that is used most.
func (c *cache) add(prompt []routing.Part) {
	for i := len(prompt) - 1; i >= 0; i-- {
		part := prompt[i]
		if e := c.parts[part.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[part.ID] = c.order.PushFront(&kept{id: part.ID, tokens: int64(part.Tokens)})
		c.used += int64(part.Tokens)
	}
	for c.used > c.room && c.order.Len() > 0 {
		last := c.order.Back()
		k := c.order.Remove(last).(*kept)
		delete(c.parts, k.id)
		c.used -= k.tokens
	}
}
