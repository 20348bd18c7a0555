package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// The times of the upgrade's play.
const (
	upgradeAt      = 6 * time.Second
	killAfterTerm  = 5700 * time.Millisecond // the longest deadline, 5 s at most, and 0.7 s
	lastSetUpAt    = 14 * time.Second
	upgradePlayEnd = 34 * time.Second
	releaseLimit   = 8*time.Second + 50*time.Millisecond // a release that could not be sent at once, and the sockets' slack
	releaseAtOnce  = time.Second + 50*time.Millisecond   // a release by the far end, and the sockets' slack
)

// holds are how long the calls stand, in turn.
var holds = []time.Duration{1500 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond, 6 * time.Second, 2 * time.Second, 9 * time.Second}

func init() { cases["upgrade"] = playUpgrade }

// playUpgrade plays an upgrade under load: the platform holds the callers' socket, starts the program again beside the old process,
// and ends the old one. Each call that the far end releases has to be released towards its caller.
func playUpgrade(r *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	log, err := newChangeLog(r, 1)
	if err != nil {
		return cannotRun, err
	}
	released := newTimes()
	list := []*farEnd{}
	for i := range 3 {
		f, err := newFarEnd(r, uint32(i+1), i+1)
		if err != nil {
			return cannotRun, err
		}
		n := 0
		f.hold = func(id string) time.Duration {
			released.mu.Lock()
			defer released.mu.Unlock()
			n++
			hold := holds[n%len(holds)]
			released.at[id] = r.now() + hold
			return hold
		}
		list = append(list, f)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannotRun, err
	}
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		return cannotRun, err
	}
	start := func() (*agent, error) {
		management, err := freeAddress("tcp")
		if err != nil {
			return nil, err
		}
		tmp := filepath.Join(dir, "tmp")
		if err := os.MkdirAll(tmp, 0o700); err != nil {
			return nil, err
		}
		a, err := startAgent(r, agentOptions{name: "n0", listen: ln.Addr().String(), management: management, dir: tmp,
			config: configuration(log.addr, 1, list), passed: socket})
		if err != nil {
			return nil, err
		}
		return a, a.waitReady(6 * time.Second)
	}
	old, err := start()
	if err != nil {
		return cannotRun, err
	}
	s := newCallers(r, ln.Addr().String())
	begun := r.now()
	for i := range 6 {
		go func() {
			time.Sleep(time.Duration(i) * 170 * time.Millisecond)
			s.traffic([]int{1 + i%3, 1 + (i+1)%3}, 1200*time.Millisecond, begun+lastSetUpAt, 3*time.Second)
		}()
	}
	r.sleepUntil(begun + upgradeAt)
	oldEndedAt := time.Duration(0)
	if trouble {
		if _, err := start(); err != nil {
			return cannotRun, err
		}
		old.signal(syscall.SIGTERM)
		select {
		case <-old.ended:
		case <-time.After(killAfterTerm):
			old.signal(syscall.SIGKILL)
			<-old.ended
		}
		oldEndedAt = old.endedAt
	}
	r.sleepUntil(begun + upgradePlayEnd)
	return judgeReleases(r, s, released, oldEndedAt), nil
}

// judgeReleases checks that each call that stood and was released by its far end was released towards its caller in time. Calls that
// stood when the old process ended are excused, and those released by the far end less than a second before that.
func judgeReleases(r *record, s *callers, released *times, oldEndedAt time.Duration) int {
	end, broken, stood, excused := r.now(), 0, 0, 0
	for _, k := range s.all() {
		at, known := released.get(k.id)
		if k.status != 200 || !known {
			continue
		}
		stood++
		switch {
		case k.answeredAt < oldEndedAt && at > oldEndedAt-releaseAtOnce && k.releasedAt == 0:
			excused++
		case k.releasedAt == 0 && at+releaseLimit < end, k.releasedAt > at+releaseLimit:
			broken++
			heard := "never released towards its caller"
			if k.releasedAt > 0 {
				heard = fmt.Sprintf("released towards its caller at %.3f", k.releasedAt.Seconds())
			}
			r.add("judge", "broken: call %s answered at %.3f, released by its far end at %.3f, %s", k.id, k.answeredAt.Seconds(),
				at.Seconds(), heard)
		}
	}
	r.add("judge", "%d calls stood, %d excused, %d not released in time", stood, excused, broken)
	switch {
	case broken > 0:
		return ruleBroken
	case stood < 20:
		return cannotRun
	}
	return ruleHeld
}
