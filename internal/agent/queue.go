package agent

import "sync"

// eventQueue is a queue of events without a limit: adding to it never blocks, because the loop itself may be the one that adds,
// and a callback that waits leaves its connection's input to pile up. Whoever adds events limits what it has in the queue.
type eventQueue struct {
	mu     sync.Mutex
	events []func()
	head   int           // index of the oldest event
	added  chan struct{} // receives a value when an event was added to an empty queue
}

func newEventQueue() *eventQueue { return &eventQueue{added: make(chan struct{}, 1)} }

// add appends an event.
func (q *eventQueue) add(event func()) {
	q.mu.Lock()
	q.events = append(q.events, event)
	first := len(q.events)-q.head == 1
	q.mu.Unlock()
	if first {
		select {
		case q.added <- struct{}{}:
		default: // the loop has not noticed an earlier one yet
		}
	}
}

// next removes the oldest event and returns it; nil: there is none.
func (q *eventQueue) next() func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.head == len(q.events) {
		return nil
	}
	event := q.events[q.head]
	q.events[q.head] = nil // it may hold a whole message
	q.head++
	if q.head == len(q.events) {
		q.reset()
	}
	return event
}

// maxKeptCapacity is the capacity, in events, up to which the memory of an empty queue is kept.
const maxKeptCapacity = 4096

// reset makes an empty queue use its memory from the start again.
func (q *eventQueue) reset() {
	q.head = 0
	q.events = q.events[:0]
	if cap(q.events) > maxKeptCapacity {
		q.events = nil
	}
}

// length returns the number of events.
func (q *eventQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.events) - q.head
}
