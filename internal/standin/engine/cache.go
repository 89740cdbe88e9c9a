package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"zinniapin/target/httpengine"
)

// maxCacheEvents is the number of most recent cache events that are kept.
const maxCacheEvents = 4096

// exportedKV describes the KV cache of one prompt, kept for import by another engine.
type exportedKV struct {
	scope  string // cache scope of the request
	prompt uint64 // hash of the model and the prompt
	tokens int    // length of the prompt
}

// piece identifies a cached piece of a prompt: prefix is a hash of the model and of the
// prompt up to the end of the piece.
type piece struct {
	scope  string
	prefix uint64
}

// prefixCache records which pieces of prompts are cached, and evicts the least recently
// used one when it is full. Requests reuse only pieces of their own cache scope.
type prefixCache struct {
	size     int        // maximum number of pieces
	order    *list.List // of piece, most recently used first
	entries  map[piece]*list.Element
	sequence uint64                  // of the last cache event, lost ones included
	events   []httpengine.CacheEvent // the most recent ones, at most maxCacheEvents
}

// newPrefixCache returns an empty cache that holds up to size pieces.
func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), entries: map[piece]*list.Element{}}
}

// pieceBytes is the number of prompt bytes in one piece.
const pieceBytes = PieceTokens * bytesPerToken

// pieces returns the pieces of a prompt, from its start; an incomplete last piece is left
// out.
func pieces(scope, model, prompt string) []piece {
	var found []piece
	for end := pieceBytes; end <= len(prompt); end += pieceBytes {
		found = append(found, piece{scope, xxhash.Sum64String(model + "\x00" + prompt[:end])})
	}
	return found
}

// match returns how many leading pieces are cached and marks them as used.
func (c *prefixCache) match(prompt []piece) int {
	for i, p := range prompt {
		element, ok := c.entries[p]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(prompt)
}

// add caches pieces. It calls loseEvent for each cache event and, if that returns true,
// does not keep the event.
func (c *prefixCache) add(prompt []piece, loseEvent func() bool) {
	for _, p := range prompt {
		if element, ok := c.entries[p]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[p] = c.order.PushFront(p)
		c.recordEvent(p, false, loseEvent())
		if c.order.Len() > c.size {
			c.evict(loseEvent())
		}
	}
}

// evict removes the least recently used piece; lost tells whether its cache event is lost.
func (c *prefixCache) evict(lost bool) {
	oldest := c.order.Back()
	p := c.order.Remove(oldest).(piece)
	delete(c.entries, p)
	c.recordEvent(p, true, lost)
}

// recordEvent keeps a cache event. A lost event uses up a sequence number, so that readers
// can detect the gap.
func (c *prefixCache) recordEvent(p piece, evicted, lost bool) {
	c.sequence++
	if lost {
		return
	}
	c.events = append(c.events, httpengine.CacheEvent{Sequence: c.sequence, Scope: p.scope, Prefix: p.prefix, Evicted: evicted})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// CacheEvents returns the kept cache events with sequence numbers above after.
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
