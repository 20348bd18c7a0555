package main

import (
	"os"
	"time"
)

// The times of discovery's play.
const (
	slowFrom    = 4 * time.Second
	drainAt     = 7 * time.Second
	stopAt      = 21 * time.Second
	slowPlayEnd = 24 * time.Second
	slowBy      = 3 * time.Second
	toldAtLast  = 7 * time.Second               // what the change log has to tell counts as told then
	drainLimit  = (250 + 50) * time.Millisecond // the grace of the settings, and the sockets' slack
)

func init() { cases["discovery"] = playDiscovery }

// playDiscovery plays a slow discovery: what the change log sends arrives late by 3 s, while a far end drains. No set-up may go to
// the far end once the agent counts as told.
func playDiscovery(r *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	log, err := newChangeLog(r, 1)
	if err != nil {
		return cannotRun, err
	}
	proxy, err := newSlowProxy(log.addr)
	if err != nil {
		return cannotRun, err
	}
	arrived := newTimes()
	list := []*farEnd{}
	for i := range 3 {
		f, err := newFarEnd(r, uint32(i+1), i+1)
		if err != nil {
			return cannotRun, err
		}
		f.hold = func(string) time.Duration { return 6 * time.Second }
		list = append(list, f)
	}
	draining := list[1]
	draining.onSetUp = func(id string, at time.Duration) {
		arrived.mu.Lock()
		defer arrived.mu.Unlock()
		arrived.at[id] = at
	}
	listen, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	management, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	a, err := startAgent(r, agentOptions{name: "n0", listen: listen, management: management, dir: dir,
		config: configuration(proxy.addr, 1, list)})
	if err != nil {
		return cannotRun, err
	}
	if err := a.waitReady(30 * time.Second); err != nil {
		return cannotRun, err
	}
	begun := r.now()
	s := newCallers(r, listen)
	for i := range 3 {
		go func() {
			time.Sleep(time.Duration(i) * 210 * time.Millisecond)
			s.traffic([]int{2, 1, 2, 3}, 600*time.Millisecond, begun+slowPlayEnd-2*time.Second, 3*time.Second)
		}()
	}
	r.sleepUntil(begun + slowFrom)
	if trouble {
		r.add("proxy", "what the change log sends arrives late by %v from now on", slowBy)
		proxy.setDelay(slowBy)
	}
	r.sleepUntil(begun + drainAt)
	drained := log.change(draining, stateDraining, "drains")
	r.sleepUntil(begun + stopAt)
	cut := draining.die()
	log.change(draining, stateGone, "has gone")
	r.sleepUntil(begun + slowPlayEnd)
	before, broken := 0, 0
	for _, k := range s.all() {
		at, ok := arrived.get(k.id)
		switch {
		case !ok:
		case at < drained:
			before++
		case at > drained+toldAtLast+drainLimit:
			broken++
			r.add("judge", "broken: call %s arrived at %s at %.3f, %.3f s after the drain", k.id, draining.name(), at.Seconds(),
				(at - drained).Seconds())
		}
	}
	r.add("judge", "%d set-ups before the drain, %d later than %v after it, %d calls cut when the far end stopped", before, broken,
		toldAtLast+drainLimit, len(cut))
	switch {
	case broken > 0:
		return ruleBroken, nil
	case before < 5:
		return cannotRun, nil
	}
	return ruleHeld, nil
}
