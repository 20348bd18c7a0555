package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = silentCallerConn }

// relay carries connections to an address. One that falls silent stays open on both sides, and nothing passes any more in either
// direction, not even its end.
type relay struct {
	listener net.Listener
	mu       sync.Mutex
	links    []*relayLink
}

// relayLink is a connection through a relay.
type relayLink struct {
	near, far net.Conn
	silent    atomic.Bool
}

// pass carries what is read on one side to the other.
func (l *relayLink) pass(from, to net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			to.Close()
			return
		}
		_, _ = to.Write(b[:n])
	}
}

// newRelay starts a relay to an address.
func (r *run) newRelay(to string) *relay {
	l, err := net.Listen("tcp", newHost()+":0")
	r.need(err == nil, "a relay cannot listen: %v", err)
	x := &relay{listener: l}
	r.atEnd(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.DialTimeout("tcp", to, time.Second)
			if err != nil {
				c.Close()
				continue
			}
			link := &relayLink{near: c, far: far}
			r.atEnd(func() { c.Close(); far.Close() })
			x.mu.Lock()
			x.links = append(x.links, link)
			x.mu.Unlock()
			go link.pass(c, far)
			go link.pass(far, c)
		}
	}()
	return x
}

func (x *relay) addr() string { return x.listener.Addr().String() }

// silence lets the connection fall silent whose far side has the address; "" means all.
func (x *relay) silence(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, link := range x.links {
		if address == "" || link.far.LocalAddr().String() == address {
			link.silent.Store(true)
		}
	}
}

// silentCallerConn lets the connection of a caller fall silent on which calls stand, while it has another one in use.
func silentCallerConn(r *run) {
	far := r.newFarEnd("far end 1")
	addr := r.freeAddr()
	r.start("agent", configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: far.addr(), exchange: 1}}), nil)
	way := r.newRelay(addr)
	desk := r.newCaller("caller", way.addr())
	first := desk.connect()
	var calls []*callState
	for range 3 {
		calls = append(calls, first.stand(1))
	}
	desk.addr = addr
	second := desk.connect()
	second.stand(1)
	if r.trouble {
		way.silence("")
		r.note("caller: its first connection falls silent")
	}
	time.Sleep(500 * time.Millisecond)
	ended := time.Now()
	for _, call := range calls {
		far.release(call.id)
	}
	for time.Since(ended) < lostReleaseBound-time.Second { // the second connection is in use meanwhile
		second.stand(1)
		time.Sleep(time.Second)
	}
	time.Sleep(time.Until(ended.Add(lostReleaseBound)))
	for _, call := range calls {
		if now := desk.look(call); now.stands {
			r.breaks("call %s is left standing %v after the far end released it", call.id, lostReleaseBound)
		} else {
			r.note("call %s was released %v after the far end released it", call.id, now.releasedAt.Sub(ended).Round(time.Millisecond))
		}
	}
}
