package engine

import (
	"container/heap"
	"context"
	"sync"
)

// turnstile lets a number of runs pass at once, by priority and then by
// order of arrival.
type turnstile struct {
	mu    sync.Mutex
	free  int
	count uint64
	queue waiters
}

// waiter is a run that waits.
type waiter struct {
	priority int
	arrival  uint64
	pass     chan struct{}
	index    int // in the heap; -1 when not there
}

// newTurnstile returns a turnstile for n runs at once.
func newTurnstile(n int) *turnstile {
	return &turnstile{free: n}
}

// enter waits for a place, which leave gives back.
func (t *turnstile) enter(ctx context.Context, priority int) error {
	t.mu.Lock()
	if t.free > 0 {
		t.free--
		t.mu.Unlock()
		return nil
	}
	t.count++
	w := &waiter{priority: priority, arrival: t.count, pass: make(chan struct{})}
	heap.Push(&t.queue, w)
	t.mu.Unlock()
	select {
	case <-w.pass:
		return nil
	case <-ctx.Done():
		return t.withdraw(w, ctx.Err())
	}
}

// withdraw takes a waiter out, or gives back the place that it just got.
func (t *turnstile) withdraw(w *waiter, err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&t.queue, w.index)
		return err
	}
	t.next()
	return err
}

// leave gives a place back.
func (t *turnstile) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next()
}

// next hands a place to the first waiter. The lock is held.
func (t *turnstile) next() {
	if t.queue.Len() == 0 {
		t.free++
		return
	}
	close(heap.Pop(&t.queue).(*waiter).pass)
}

// waiting returns the number of waiters.
func (t *turnstile) waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Len()
}

// waiters is a heap of waiters, the next one first.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	last := len(*w) - 1
	popped := (*w)[last]
	popped.index = -1
	*w = (*w)[:last]
	return popped
}

// taken returns how many of size places are taken.
func (t *turnstile) taken(size int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return size - t.free
}
