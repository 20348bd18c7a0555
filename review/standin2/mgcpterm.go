package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["mgcpterm"] = restartBeforeConnection }

// restartBeforeConnection sends SIGTERM, and 0.5 s later the digits of a call from a gateway, which takes 0.5 s to create its connection.
func restartBeforeConnection(r *run) {
	far := r.newFarEnd("far end 1")
	addr, listen := r.freeAddr(), r.freeAddr()
	g := r.newGateway("desk.example")
	g.slow = 500 * time.Millisecond
	operator := g.operatorFile(listen, []string{"aaln/1", "aaln/2"})
	agent := r.start("agent", configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: far.addr(), exchange: 1}}), nil, "TINBEAM_OPERATOR="+operator)
	time.Sleep(500 * time.Millisecond)
	line := "aaln/1@" + g.name
	g.notify(line, "L/hd")
	time.Sleep(200 * time.Millisecond)
	terminated := time.Now()
	if r.trouble {
		agent.signal(syscall.SIGTERM)
	}
	time.Sleep(500 * time.Millisecond)
	g.mu.Lock()
	before := len(g.heard)
	g.mu.Unlock()
	g.notify(line, "D/7,D/1,D/2,D/3")
	r.note("%s: the agent has taken the digits", g.name)
	// SIGKILL comes no sooner than 3.7 s after SIGTERM.
	time.Sleep(time.Until(terminated.Add(3700 * time.Millisecond)))
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, command := range g.heard[before:] {
		if strings.HasPrefix(command, "MDCX") || strings.Contains(command, "S: L/ro") || strings.Contains(command, "S: L/bz") {
			r.note("the call got its answer: %s", command)
			return
		}
	}
	r.breaks("the call was taken and got neither an answer nor a refusal")
	r.note("%d connections stand at the gateway", len(g.conns))
}

// notify tells the agent of events on a line.
func (g *gateway) notify(line, events string) {
	g.mu.Lock()
	id := g.requests[line]
	g.mu.Unlock()
	g.command("NTFY", line, "X: "+id, "O: "+events)
}
