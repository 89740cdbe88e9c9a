package engine

import (
	"container/heap"
	"context"
	"sync"
)

// prioritySemaphore limits how many attempts proceed at once. Waiting attempts proceed by
// priority, the highest first, then in the order of arrival.
type prioritySemaphore struct {
	mu    sync.Mutex
	free  int    // free slots
	count uint64 // calls of acquire that had to wait; numbers the waiters
	queue waiterHeap
}

// waiter is a waiting call of acquire.
type waiter struct {
	priority int
	arrival  uint64        // rises with each waiter
	granted  chan struct{} // closed when the waiter gets a slot
	index    int           // index in the heap; -1 when not in it
}

// newPrioritySemaphore returns a semaphore with n slots.
func newPrioritySemaphore(n int) *prioritySemaphore {
	return &prioritySemaphore{free: n}
}

// acquire waits for a slot, which release frees, or until ctx is cancelled.
func (s *prioritySemaphore) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.count++
	w := &waiter{priority: priority, arrival: s.count, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return s.cancelWait(w, ctx.Err())
	}
}

// cancelWait removes a waiter from the queue, or frees the slot that it was granted in the
// meantime.
func (s *prioritySemaphore) cancelWait(w *waiter, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return err
	}
	s.grantNext()
	return err
}

// release frees a slot.
func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantNext()
}

// grantNext grants a freed slot to the first waiter, if there is one. The caller holds the
// lock.
func (s *prioritySemaphore) grantNext() {
	if s.queue.Len() == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.queue).(*waiter).granted)
}

// waiting returns the number of waiters.
func (s *prioritySemaphore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// waiterHeap implements heap.Interface; the next waiter to proceed is first.
type waiterHeap []*waiter

func (w waiterHeap) Len() int { return len(w) }

func (w waiterHeap) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waiterHeap) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiterHeap) Pop() any {
	last := len(*w) - 1
	popped := (*w)[last]
	popped.index = -1
	*w = (*w)[:last]
	return popped
}

// inUse returns how many of a semaphore's size slots are in use.
func (s *prioritySemaphore) inUse(size int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return size - s.free
}
