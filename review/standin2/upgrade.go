package main

import (
	"net"
	"syscall"
	"time"
)

// killAfter is when SIGKILL follows SIGTERM in an upgrade: the longest deadline, 5 s at most, and 0.7 s.
const killAfter = 5700 * time.Millisecond

func init() {
	cases["upgrade"] = upgradeOneCaller
	cases["upgradehost"] = upgradeSharedHost
}

// upgradeSite is an agent whose callers' socket the platform holds, with one far end.
type upgradeSite struct {
	run         *run
	far         *farEnd
	addr        string
	old         *process
	startSecond func()
}

func (r *run) newUpgradeSite() *upgradeSite {
	far := r.newFarEnd("far end 1")
	list := []listing{{id: 1, addr: far.addr(), exchange: 1}}
	log := r.newChangeLog()
	listener, err := net.Listen("tcp", newHost()+":0")
	r.need(err == nil, "the platform cannot listen: %v", err)
	socket, err := listener.(*net.TCPListener).File()
	r.need(err == nil, "the platform's socket: %v", err)
	listener.Close() // only the descriptor that is passed on remains
	r.atEnd(func() { socket.Close() })
	s := &upgradeSite{run: r, far: far, addr: listener.Addr().String()}
	s.old = r.start("old process", configuration(s.addr, r.freeAddr(), log.addr(), list), socket)
	s.startSecond = func() {
		r.start("new process", configuration(s.addr, r.freeAddr(), log.addr(), list), socket)
	}
	return s
}

// upgrade starts the new process, waits for its yes, and sends SIGTERM to the old one. It returns the time.
func (s *upgradeSite) upgrade() time.Time {
	if s.run.trouble {
		s.startSecond()
		s.old.signal(syscall.SIGTERM)
		time.AfterFunc(killAfter, s.old.stop) // it does nothing if the process has ended
	}
	return time.Now()
}

// judge checks that a call was released towards its caller.
func (c *caller) judge(call *callState, ended time.Time) {
	if now := c.look(call); now.stands {
		c.run.breaks("call %s of %s is left standing %v after the far end released it", call.id, c.name, time.Since(ended).Round(time.Millisecond))
	} else {
		c.run.note("call %s of %s was released %v after the far end released it", call.id, c.name, now.releasedAt.Sub(ended).Round(time.Millisecond))
	}
}

// upgradeOneCaller replaces the process while a caller has a call on its first connection, which ends 4.8 s after SIGTERM, and two on its
// second one, which end 0.3 s after it. It closes the second one when that has had no call for 4 s, as the page says, and opens another one
// whenever it has none.
func upgradeOneCaller(r *run) {
	s := r.newUpgradeSite()
	desk := r.newCaller("caller", s.addr)
	long := desk.connect().stand(1)
	second := desk.connect()
	short := []*callState{second.stand(1), second.stand(1)}
	time.Sleep(500 * time.Millisecond)
	terminated := s.upgrade()
	at := func(d time.Duration) { time.Sleep(time.Until(terminated.Add(d))) }
	desk.keepConnected()
	at(300 * time.Millisecond)
	for _, call := range short {
		s.far.release(call.id)
	}
	at(4300 * time.Millisecond)
	r.note("caller: its second connection has had no call for 4 s, and is closed")
	second.Close()
	at(4800 * time.Millisecond)
	ended := time.Now()
	s.far.release(long.id)
	time.Sleep(lostReleaseBound)
	desk.judge(long, ended)
}

// upgradeSharedHost replaces the process while a call of each of two callers stands that share a host. The calls end 1 s after SIGTERM.
func upgradeSharedHost(r *run) {
	s := r.newUpgradeSite()
	a, b := r.newCaller("caller A", s.addr), r.newCaller("caller B", s.addr)
	callA, callB := a.connect().stand(1), b.connect().stand(1)
	time.Sleep(500 * time.Millisecond)
	terminated := s.upgrade()
	a.keepConnected()
	b.keepConnected()
	time.Sleep(time.Until(terminated.Add(time.Second)))
	ended := time.Now()
	s.far.release(callA.id)
	s.far.release(callB.id)
	time.Sleep(lostReleaseBound)
	a.judge(callA, ended)
	b.judge(callB, ended)
}

// keepConnected sees to it from now on that the caller has an open connection.
func (c *caller) keepConnected() {
	stop := make(chan struct{})
	c.run.atEnd(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if c.connected() {
				continue
			}
			raw, err := net.DialTimeout("tcp", c.addr, time.Second)
			if err != nil {
				continue
			}
			next := &callerConn{Conn: raw, caller: c, ended: make(chan struct{})}
			c.run.note("%s: connected again from %v", c.name, raw.LocalAddr())
			c.run.atEnd(func() { raw.Close() })
			c.mu.Lock()
			c.conns = append(c.conns, next)
			c.mu.Unlock()
			go next.read()
		}
	}()
}

// connected reports whether the caller has an open connection.
func (c *caller) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		select {
		case <-conn.ended:
		default:
			return true
		}
	}
	return false
}
