package main

import (
	"net"
	"os"
	"slices"
	"time"
)

func init() { cases["refused"] = playRefused }

// The times and sizes of the play with far ends that hold few connections.
const (
	refusedFarEnds = 4
	refusedHold    = 4 * time.Second
	refusedBetween = 800 * time.Millisecond // between two calls to a far end
	refusedReset   = 6                      // one in so many answers is lost with the far end's connections
	refusedPlayEnd = 40 * time.Second
)

// playRefused plays far ends that hold two connections each, as many as the agent wants, and refuse others. Now and then the network
// resets both connections to a far end under a request, and its answer is lost. A call must not have two attempts out at once.
func playRefused(r *record, trouble bool) (int, error) {
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
	list := []*farEnd{}
	for i := range refusedFarEnds {
		f, err := newFarEnd(r, uint32(i+1), i+1)
		if err != nil {
			return cannotRun, err
		}
		f.hold = func(string) time.Duration { return refusedHold }
		f.seen = seen
		f.connLimit = connsHeld
		if trouble {
			f.resetEvery = refusedReset
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
	s := newCallers(r, listen)
	for i := range refusedFarEnds {
		go func() {
			time.Sleep(time.Duration(i) * 137 * time.Millisecond)
			s.traffic([]int{i + 1}, refusedBetween, begun+refusedPlayEnd-6*time.Second, 3*time.Second)
		}()
	}
	r.sleepUntil(begun + refusedPlayEnd)
	return judgeAttempts(r, s, seen), nil
}

const (
	connsHeld   = 2                     // connections that a far end of this play holds at most
	noticeReset = 20 * time.Millisecond // from a reset by the network until the far end knows of it: its way to another zone
)

// opened counts a connection, and stops listening if it is the last one that the far end may hold.
func (f *farEnd) opened() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held++; f.connLimit > 0 && f.held >= f.connLimit && f.listener != nil {
		_ = f.listener.Close()
		f.listener = nil
		f.record.add(f.name(), "holds %d connections and refuses others", f.held)
	}
}

// ended counts the end of a connection, and listens again if the far end may hold another one.
func (f *farEnd) ended() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held--
	if f.connLimit == 0 || f.held >= f.connLimit || f.listener != nil {
		return
	}
	ln, err := net.Listen("tcp", f.addr)
	if err != nil {
		f.record.add(f.name(), "cannot listen again: %v", err)
		return
	}
	f.listener = ln
	f.record.add(f.name(), "holds %d connections and accepts others", f.held)
	go f.accept(ln)
}

// resetByNetwork resets all connections of the far end. Its process notices that a moment later.
func (f *farEnd) resetByNetwork() {
	f.mu.Lock()
	conns := slices.Clone(f.conns)
	f.mu.Unlock()
	f.record.add("network", "resets the %d connections to %s", len(conns), f.name())
	for _, c := range conns {
		c.wasReset.Store(true)
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
