package agent

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Timer is something due on the core's goroutine.
type Timer struct {
	at    time.Duration
	seq   uint64
	index int
	fn    func()
}

type timers []*Timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i]; t[i].index, t[j].index = i, j }
func (t *timers) Push(x any)   { x.(*Timer).index = len(*t); *t = append(*t, x.(*Timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*t, x.index = old[:len(old)-1], -1
	return x
}

// Loop is the one goroutine on which the core and all that the fronts know live: a queue of events that
// callbacks fill, and one heap of timers. Nothing in it is locked, since nothing else touches it.
type Loop struct {
	clock  func() time.Duration
	now    time.Duration
	queue  chan func()
	timers timers
	seq    uint64

	mu   sync.Mutex
	ends []func() // what found the queue full and cannot wait for it
}

// queueMost bounds the queue of events. A callback that finds it full waits, and so its peer does: a flood is
// held back by the sockets' own buffers and no event is lost.
const queueMost = 4096

// NewLoop makes a loop on a clock, which counts from the Unix epoch.
func NewLoop(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, now: clock(), queue: make(chan func(), queueMost)}
}

// SystemClock is the system's clock at its start carried on by the monotonic one: it never steps back.
func SystemClock() func() time.Duration {
	start := time.Now()
	unix := time.Duration(start.UnixNano())
	return func() time.Duration { return unix + time.Since(start) }
}

// Post queues an event. It is the only method that other goroutines may call.
func (l *Loop) Post(fn func()) { l.queue <- fn }

// PostNonBlocking queues the end of something that has one end, as a connection. It never waits. Guards against a loop that waits
// for itself: it may be the loop that closed the connection, with the queue full. What is queued there comes ahead.
func (l *Loop) PostNonBlocking(fn func()) {
	select {
	case l.queue <- fn:
	default:
		l.mu.Lock()
		l.ends = append(l.ends, fn)
		l.mu.Unlock()
	}
}

// late handles the ends that the queue had no room for, once it is empty.
func (l *Loop) late() bool {
	l.mu.Lock()
	ends := l.ends
	l.ends = nil
	l.mu.Unlock()
	for _, fn := range ends {
		fn()
	}
	return len(ends) > 0
}

// Queued is how many events wait.
func (l *Loop) Queued() int { return len(l.queue) }

// Now is the time of the event being handled.
func (l *Loop) Now() time.Duration { return l.now }

// At asks for fn at a time.
func (l *Loop) At(at time.Duration, fn func()) *Timer {
	l.seq++
	t := &Timer{at: at, seq: l.seq, fn: fn}
	heap.Push(&l.timers, t)
	return t
}

// After asks for fn in a while.
func (l *Loop) After(d time.Duration, fn func()) *Timer { return l.At(l.now+d, fn) }

// Stop takes a timer back; a nil or spent one is left alone.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Step handles what is queued and due now, and tells when the next timer is due.
func (l *Loop) Step() (next time.Duration, any bool) {
	for {
		l.now = max(l.now, l.clock())
		if len(l.timers) > 0 && l.timers[0].at <= l.now {
			heap.Pop(&l.timers).(*Timer).fn()
			continue
		}
		select {
		case fn := <-l.queue:
			fn()
			continue
		default:
		}
		if l.late() {
			continue
		}
		if len(l.timers) == 0 {
			return 0, false
		}
		return l.timers[0].at, true
	}
}

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for ctx.Err() == nil {
		wait := time.Second
		if next, ok := l.Step(); ok {
			wait = min(wait, max(next-l.clock(), 0))
		}
		alarm.Reset(wait)
		select {
		case fn := <-l.queue:
			l.now = max(l.now, l.clock())
			fn()
		case <-alarm.C:
		case <-ctx.Done():
		}
	}
}
