package main

import (
	"sync"
	"time"
)

func init() { cases["busyline"] = busyGateway }

// busyGateway calls a gateway whose only line has a call. No other exchange has a way to that gateway.
func busyGateway(r *run) {
	far := r.newFarEnd("far end 1")
	addr, listen := r.freeAddr(), r.freeAddr()
	g := r.newGateway("desk.example")
	operator := g.operatorFile(listen, []string{"aaln/1"})
	var mu sync.Mutex
	arrived := map[string]bool{}
	far.onLaunch = func(uid string) {
		mu.Lock()
		defer mu.Unlock()
		arrived[uid] = true
	}
	r.start("agent", configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: far.addr(), exchange: 1}}), nil, "TINBEAM_OPERATOR="+operator)
	time.Sleep(300 * time.Millisecond)
	desk := r.newCaller("caller", addr)
	conn := desk.connect()
	if r.trouble {
		conn.stand(101)
	}
	call := conn.setUp(101)
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if arrived[call.id] {
		r.breaks("the set-up %s for the gateway came to far end 1; its answer was %d", call.id, desk.look(call).status)
	}
}
