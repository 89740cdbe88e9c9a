package node

import (
	"sync"

	"zinniapin/event"
	"zinniapin/store"
)

// storeEra is the latest era of the store that this host knows.
type storeEra struct {
	mu    sync.Mutex
	era   uint64
	known bool
}

// current returns the latest known era.
func (e *storeEra) current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// observe takes in an era and returns the one before if a later one has begun.
func (e *storeEra) observe(era uint64) (before uint64, begun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.era {
		return 0, false
	}
	before, begun = e.era, e.known
	e.era, e.known = era, true
	return before, begun
}

// observeEra takes in the era of a revision that the store, or a peer, has shown. When a later era has
// begun, the collections are listed again, the holder of the duties reads its record, and histories that were lost
// are written again.
func (n *Node) observeEra(revision uint64, from string) {
	if revision == 0 {
		return
	}
	before, begun := n.era.observe(store.EraOf(revision))
	if !begun {
		return
	}
	event.StoreRewound.Log(n.log).Uint64("era", store.EraOf(revision)).Uint64("before", before).Str("from", from).Send()
	n.targetsStore.requestRelist()
	n.configurationStore.requestRelist()
	n.duties.requestConfirm()
	n.streams.requestSync()
}
