package main

import (
	"sync"
	"time"
)

func init() { cases["slowlist"] = slowChangeLog }

// slowChangeLog tells of a drain in a frame that takes 5 s to be written, while calls to the far end go on.
func slowChangeLog(r *run) {
	const frameTime = 5 * time.Second
	// What the change log has to tell counts as told 7 s later at the latest; the grace of the settings is 0.25 s; 50 ms more.
	const bound = 7*time.Second + 250*time.Millisecond + 50*time.Millisecond
	draining, other := r.newFarEnd("far end 1"), r.newFarEnd("far end 2")
	draining.hold, other.hold = 500*time.Millisecond, 500*time.Millisecond
	var mu sync.Mutex
	var arrivals []time.Time
	draining.onLaunch = func(string) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	log := r.newChangeLog()
	if r.trouble {
		log.slow = frameTime
	}
	addr := r.freeAddr()
	list := []listing{{id: 1, addr: draining.addr(), exchange: 1}, {id: 2, addr: other.addr(), exchange: 2}}
	r.start("agent", configuration(addr, r.freeAddr(), log.addr(), list), nil)
	desk := r.newCaller("caller", addr)
	conn := desk.connect()
	conn.stand(1)
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				conn.setUp(1 + i%2)
			}
		}
	}()
	time.Sleep(2 * time.Second)
	changed := time.Now()
	log.add(listing{id: 1, addr: draining.addr(), exchange: 1, state: 1})
	time.Sleep(14 * time.Second)
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	last := time.Duration(0)
	for _, at := range arrivals {
		last = max(last, at.Sub(changed))
		if at.Sub(changed) > bound {
			r.breaks("a set-up came to the draining far end %v after the change stood in the change log, the bound is %v", at.Sub(changed).Round(time.Millisecond), bound)
		}
	}
	r.note("the last of %d set-ups came %v after the change", len(arrivals), last.Round(time.Millisecond))
}
