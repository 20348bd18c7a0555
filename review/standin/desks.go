package main

import (
	"net"
	"os"
	"time"
)

// The times of the play with two desks.
const (
	deskHold    = 4 * time.Second
	deskLastNew = 24 * time.Second
	deskPlayEnd = 38 * time.Second
)

// deskEnds are when the connection of the first desk ends.
var deskEnds = []time.Duration{6 * time.Second, 12 * time.Second, 18 * time.Second}

func init() { cases["desks"] = playDesks }

// playDesks plays two desks, each with its own address, connection and calls. The connection of the first one is reset a few times while calls stand,
// and it opens another one at once. A desk answers a release of a call that is not its own with 481. Each call has to be released
// towards the desk that made it.
func playDesks(r *record, trouble bool) (int, error) {
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
		f.hold = func(id string) time.Duration {
			released.first(id, r.now()+deskHold)
			return deskHold
		}
		list = append(list, f)
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
	first, second := newCallers(r, listen), newCallers(r, listen)
	first.local, second.local = net.IPv4(127, 0, 0, 2), net.IPv4(127, 0, 0, 3)
	first.next = 1 << 20 // so that their calls have other numbers
	go first.traffic([]int{1, 2, 3}, 700*time.Millisecond, begun+deskLastNew, 3*time.Second)
	time.Sleep(100 * time.Millisecond)
	go second.traffic([]int{1, 2, 3}, 300*time.Millisecond, begun+deskLastNew+deskHold, 3*time.Second)
	for _, at := range deskEnds {
		r.sleepUntil(begun + at)
		if trouble {
			first.reset()
		}
	}
	r.sleepUntil(begun + deskPlayEnd)
	return max(judgeReleases(r, first, released, 0), judgeReleases(r, second, released, 0)), nil
}

// reset resets the present connection.
func (s *callers) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.order); n > 0 {
		c := s.order[n-1].conn
		s.record.add("network", "resets the connection %s", c.LocalAddr())
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
