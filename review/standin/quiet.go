package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

func init() { cases["quiet"] = playQuiet }

// The times of the play with quiet far ends.
const (
	oneWay       = 20 * time.Millisecond   // between the agent and a far end
	quietTime    = 6500 * time.Millisecond // between two calls to a far end
	busyTime     = 1300 * time.Millisecond // the same without the trouble
	quietHold    = 3 * time.Second
	quietFarEnds = 8
	quietPlayEnd = 80 * time.Second
)

// out is the time during which an attempt of a call was out at a far end, or its call stood there.
type out struct {
	farEnd     string
	from, till time.Duration
}

// attempts holds when the attempts of each call were out.
type attempts struct {
	mu   sync.Mutex
	outs map[string][]*out
}

func (a *attempts) begin(call, farEnd string, at time.Duration) *out {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := &out{farEnd: farEnd, from: at}
	a.outs[call] = append(a.outs[call], o)
	return o
}

func (a *attempts) end(o *out, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.till == 0 {
		o.till = at
	}
}

// playQuiet plays far ends that hear of a call now and then only. A call must not have two attempts out at once.
func playQuiet(r *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	log, err := newChangeLog(r, 1)
	if err != nil {
		return cannotRun, err
	}
	seen := &attempts{outs: map[string][]*out{}}
	list, exchanges := []*farEnd{}, []int{}
	for i := range quietFarEnds {
		f, err := newFarEnd(r, uint32(i+1), i+1)
		if err != nil {
			return cannotRun, err
		}
		f.hold = func(string) time.Duration { return quietHold }
		f.seen = seen
		p, err := newSlowProxy(f.addr)
		if err != nil {
			return cannotRun, err
		}
		p.setDelay(oneWay)
		p.setRequestDelay(oneWay)
		f.addr = p.addr
		list, exchanges = append(list, f), append(exchanges, i+1)
	}
	listen, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	management, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	a, err := startAgent(r, agentOptions{name: "n0", listen: listen, management: management, dir: dir, config: configuration(log.addr, 1, list)})
	if err != nil {
		return cannotRun, err
	}
	if err := a.waitReady(30 * time.Second); err != nil {
		return cannotRun, err
	}
	begun := r.now()
	s := newCallers(r, listen)
	between := busyTime
	if trouble {
		between = quietTime + quietHold
	}
	for i := range quietFarEnds {
		go func() {
			time.Sleep(time.Duration(i) * 137 * time.Millisecond)
			s.traffic(exchanges[i:i+1], between+time.Duration(i)*11*time.Millisecond, begun+quietPlayEnd-4*time.Second, 3*time.Second)
		}()
	}
	r.sleepUntil(begun + quietPlayEnd)
	return judgeAttempts(r, s, seen), nil
}

// judgeAttempts checks that no call had two attempts out at once.
func judgeAttempts(r *record, s *callers, seen *attempts) int {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	stood, twice, broken := 0, 0, 0
	for _, k := range s.all() {
		outs := slices.Clone(seen.outs[k.id])
		if k.status == 200 {
			stood++
		}
		if len(outs) > 1 {
			twice++
		}
		for i := 1; i < len(outs); i++ {
			before, now := outs[i-1], outs[i]
			if before.till == 0 || before.till > now.from+50*time.Millisecond {
				broken++
				till := "the end of the play"
				if before.till > 0 {
					till = fmt.Sprintf("%.3f", before.till.Seconds())
				}
				r.add("judge", "broken: call %s was out at %s from %.3f to %s, and at %s from %.3f", k.id, before.farEnd, before.from.Seconds(),
					till, now.farEnd, now.from.Seconds())
			}
		}
	}
	r.add("judge", "%d calls stood, %d had several attempts, %d times two were out at once", stood, twice, broken)
	switch {
	case broken > 0:
		return ruleBroken
	case stood < 20:
		return cannotRun
	}
	return ruleHeld
}
