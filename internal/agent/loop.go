package agent

import (
	"container/heap"
	"context"
	"runtime/debug"
	"time"

	invariant "tinbeam/internal/debug"
)

// Timer is a function due at a certain time on the loop's goroutine.
type Timer struct {
	at    time.Duration
	seq   uint64
	index int
	fn    func()
}

type timerHeap []*Timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i]; t[i].index, t[j].index = i, j }
func (t *timerHeap) Push(x any)   { x.(*Timer).index = len(*t); *t = append(*t, x.(*Timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*t, x.index = old[:len(old)-1], -1
	return x
}

// Loop runs the core and the handlers of all front ends on a single goroutine: it has a queue of events, filled by callbacks,
// and a heap of timers. Only this goroutine touches their state, so none of it is locked.
type Loop struct {
	clock  func() time.Duration
	now    time.Duration
	queue  *eventQueue
	timers timerHeap
	seq    uint64

	// OnPanic is called with the value and the stack of a panic of an event or timer.
	OnPanic func(value any, stack []byte)
}

// NewLoop returns a loop driven by the given clock, which counts from the Unix epoch.
func NewLoop(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, now: clock(), queue: newEventQueue()}
}

// SystemClock returns a clock that starts at the current system time and advances with the monotonic clock, so that it never
// steps back.
func SystemClock() func() time.Duration {
	start := time.Now()
	unix := time.Duration(start.UnixNano())
	return func() time.Duration { return unix + time.Since(start) }
}

// Post queues an event and never blocks. Other goroutines may call only this method. Who posts events of a peer limits how many
// of them, and how many bytes, are in the queue.
func (l *Loop) Post(fn func()) { l.queue.add(fn) }

// Queued returns the length of the event queue.
func (l *Loop) Queued() int { return l.queue.length() }

// Now returns the time at which the current event is handled.
func (l *Loop) Now() time.Duration { return l.now }

// At schedules fn for a point in time.
func (l *Loop) At(at time.Duration, fn func()) *Timer {
	l.seq++
	t := &Timer{at: at, seq: l.seq, fn: fn}
	heap.Push(&l.timers, t)
	return t
}

// After schedules fn to run after d.
func (l *Loop) After(d time.Duration, fn func()) *Timer { return l.At(l.now+d, fn) }

// Stop cancels a timer. It does nothing if the timer is nil, has fired or was stopped before.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Step handles all queued events and due timers, and returns the time of the next timer, if there is one.
func (l *Loop) Step() (next time.Duration, any bool) {
	for {
		l.now = max(l.now, l.clock())
		if len(l.timers) > 0 && l.timers[0].at <= l.now {
			l.call(heap.Pop(&l.timers).(*Timer).fn)
			continue
		}
		if fn := l.queue.next(); fn != nil {
			l.call(fn)
			continue
		}
		if len(l.timers) == 0 {
			return 0, false
		}
		return l.timers[0].at, true
	}
}

// call calls the function of an event or timer. A panic is reported and ends that function only; in a debug build it ends the
// program.
func (l *Loop) call(fn func()) {
	if invariant.Strict || l.OnPanic == nil {
		fn()
		return
	}
	defer func() {
		if p := recover(); p != nil {
			l.OnPanic(p, debug.Stack())
		}
	}()
	fn()
}

// Run handles events and timers until the context is done.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait := time.Second
		if next, ok := l.Step(); ok {
			wait = min(wait, max(next-l.clock(), 0))
		}
		timer.Reset(wait)
		select {
		case <-l.queue.added:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}
