package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"zinniapin/target/httpengine"
)

// maxCacheEvents bounds the cache events that are kept.
const maxCacheEvents = 4096

// export is a KV cache kept for another engine.
type export struct {
	scope  string
	prompt uint64
	tokens int
}

// piece names a cached piece of a prompt.
type piece struct {
	scope  string
	prefix uint64
}

// prefixCache holds the pieces of prompts that were seen, the least recently
// used ones going first. Scopes share nothing.
type prefixCache struct {
	size     int
	order    *list.List // of piece, most recently used first
	held     map[piece]*list.Element
	sequence uint64
	events   []httpengine.CacheEvent
}

// newPrefixCache returns an empty cache of a size in pieces.
func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), held: map[piece]*list.Element{}}
}

// pieceBytes is the number of prompt bytes in one piece.
const pieceBytes = PieceTokens * bytesPerToken

// pieces returns the names of a prompt's whole leading pieces.
func pieces(scope, model, prompt string) []piece {
	var found []piece
	for end := pieceBytes; end <= len(prompt); end += pieceBytes {
		found = append(found, piece{scope, xxhash.Sum64String(model + "\x00" + prompt[:end])})
	}
	return found
}

// match returns how many leading pieces are held.
func (c *prefixCache) match(prompt []piece) int {
	for i, p := range prompt {
		element, ok := c.held[p]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(prompt)
}

// add holds pieces; lose tells for each event whether it is lost.
func (c *prefixCache) add(prompt []piece, lose func() bool) {
	for _, p := range prompt {
		if element, ok := c.held[p]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.held[p] = c.order.PushFront(p)
		c.event(p, false, lose())
		if c.order.Len() > c.size {
			c.evict(lose())
		}
	}
}

// evict drops the least recently used piece.
func (c *prefixCache) evict(lost bool) {
	oldest := c.order.Back()
	p := c.order.Remove(oldest).(piece)
	delete(c.held, p)
	c.event(p, true, lost)
}

// event notes a change; a lost one leaves a gap in the sequence.
func (c *prefixCache) event(p piece, evicted, lost bool) {
	c.sequence++
	if lost {
		return
	}
	c.events = append(c.events, httpengine.CacheEvent{Sequence: c.sequence, Scope: p.scope, Prefix: p.prefix, Evicted: evicted})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// CacheEvents returns the cache events after a sequence number.
func (e *Engine) CacheEvents(after uint64) []httpengine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := []httpengine.CacheEvent{}
	for _, event := range e.cache.events {
		if event.Sequence > after {
			found = append(found, event)
		}
	}
	return found
}
