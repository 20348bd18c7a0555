package main

import (
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = silentCallerConn }

// relay carries connections to an address until it falls silent: then they stay open, and nothing passes in either direction.
type relay struct {
	listener net.Listener
	silent   atomic.Bool
}

func (r *run) newRelay(to string) *relay {
	l, err := net.Listen("tcp", newHost()+":0")
	r.need(err == nil, "a relay cannot listen: %v", err)
	x := &relay{listener: l}
	r.atEnd(func() { l.Close() })
	pass := func(from, to net.Conn) {
		b := make([]byte, 16<<10)
		for {
			n, err := from.Read(b)
			if err != nil {
				if !x.silent.Load() {
					to.Close()
				}
				return
			}
			if !x.silent.Load() {
				_, _ = to.Write(b[:n])
			}
		}
	}
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
			r.atEnd(func() { c.Close(); far.Close() })
			go pass(c, far)
			go pass(far, c)
		}
	}()
	return x
}

// silentCallerConn lets the connection of a caller fall silent on which calls stand, while it has another one in use.
func silentCallerConn(r *run) {
	far := r.newFarEnd("far end 1")
	addr := r.freeAddr()
	r.start("agent", configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: far.addr(), exchange: 1}}), nil)
	way := r.newRelay(addr)
	desk := r.newCaller("caller", way.listener.Addr().String())
	first := desk.connect()
	var calls []*callState
	for range 3 {
		calls = append(calls, first.stand(1))
	}
	desk.addr = addr
	second := desk.connect()
	second.stand(1)
	if r.trouble {
		way.silent.Store(true)
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
