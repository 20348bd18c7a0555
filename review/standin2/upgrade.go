package main

import (
	"net"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgradeTwoCallers }

// upgradeTwoCallers replaces the process while a call of each of two callers stands that share a host. The calls end 1 s after SIGTERM.
func upgradeTwoCallers(r *run) {
	far := r.newFarEnd("far end 1")
	list := []listing{{id: 1, addr: far.addr(), exchange: 1}}
	log := r.newChangeLog()
	listener, err := net.Listen("tcp", newHost()+":0")
	r.need(err == nil, "the platform cannot listen: %v", err)
	socket, err := listener.(*net.TCPListener).File()
	r.need(err == nil, "the platform's socket: %v", err)
	listener.Close() // only the descriptor that is passed on remains
	r.atEnd(func() { socket.Close() })
	addr := listener.Addr().String()
	old := r.start("old process", configuration(addr, r.freeAddr(), log.addr(), list), socket)
	names := []string{"caller A", "caller B"}
	var callers []*caller
	var calls []*callState
	for _, name := range names {
		c := r.newCaller(name, addr)
		callers, calls = append(callers, c), append(calls, c.connect().stand(1))
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		r.start("new process", configuration(addr, r.freeAddr(), log.addr(), list), socket)
		old.signal(syscall.SIGTERM)
		// SIGKILL comes after the longest deadline, 5 s at most, and 0.7 s. It does nothing if the process has ended.
		time.AfterFunc(5700*time.Millisecond, old.stop)
	}
	time.Sleep(400 * time.Millisecond)
	for _, c := range callers { // a caller whose connection was closed opens another one: its call may be released on any
		c.keepConnected()
	}
	time.Sleep(600 * time.Millisecond)
	ended := time.Now()
	for _, call := range calls {
		far.release(call.id)
	}
	time.Sleep(lostReleaseBound)
	for i, call := range calls {
		switch now := callers[i].look(call); {
		case now.stands:
			r.breaks("call %s of %s is left standing %v after the far end released it", call.id, names[i], lostReleaseBound)
		default:
			r.note("call %s of %s was released %v after the far end released it", call.id, names[i], now.releasedAt.Sub(ended).Round(time.Millisecond))
		}
	}
}

// keepConnected opens a connection if none is open, and sees to it that there is one from then on.
func (c *caller) keepConnected() {
	c.mu.Lock()
	var last *callerConn
	for _, conn := range c.conns {
		last = conn
	}
	c.mu.Unlock()
	go func() {
		for conn := last; ; {
			<-conn.ended
			raw, err := net.DialTimeout("tcp", c.addr, time.Second)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			next := &callerConn{Conn: raw, caller: c, ended: make(chan struct{})}
			c.run.note("%s: connected again from %v", c.name, raw.LocalAddr())
			c.run.atEnd(func() { raw.Close() })
			go next.read()
			conn = next
		}
	}()
}
