package main

import (
	"fmt"
	"time"
)

func init() { cases["stalemgcp"] = staleDelete }

// staleDelete lets a gateway send again, after the caller of a call has hung up, its command that deletes that call's connection. The
// next call stands on the line by then.
func staleDelete(r *run) {
	far := r.newFarEnd("far end 1")
	addr, listen := r.freeAddr(), r.freeAddr()
	g := r.newGateway("desk.example")
	operator := g.operatorFile(listen, []string{"aaln/1"})
	r.start("agent", configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: far.addr(), exchange: 1}}), nil, "TINBEAM_OPERATOR="+operator)
	time.Sleep(300 * time.Millisecond)
	first, second := r.newCaller("caller A", addr), r.newCaller("caller B", addr)
	connA, connB := first.connect(), second.connect()
	a := connA.stand(101)
	idA := g.onlyConnection()
	if r.trouble {
		r.note("%s: sends DLCX for connection %s of call %s, and the datagram is lost", g.name, idA, a.id)
	}
	time.Sleep(100 * time.Millisecond)
	connA.hangUp(a)
	time.Sleep(200 * time.Millisecond)
	b := connB.stand(101)
	idB := g.onlyConnection()
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		g.command("DLCX", "aaln/1@"+g.name, "C: "+a.id, "I: "+idA, "E: 900")
	}
	time.Sleep(2 * time.Second)
	g.mu.Lock()
	_, stands := g.conns[idB]
	g.mu.Unlock()
	r.note("connection %s of call %s stands at the gateway: %t", idB, b.id, stands)
	if now := second.look(b); !now.stands {
		r.breaks("call %s of caller B was cut by a command about call %s of caller A", b.id, a.id)
		if stands {
			r.breaks("the connection of call %s is left standing at the gateway", b.id)
		}
	}
}

// onlyConnection returns the identifier of the gateway's one connection.
func (g *gateway) onlyConnection() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.need(len(g.conns) == 1, "the gateway has %d connections", len(g.conns))
	return fmt.Sprint(first(g.conns))
}

func first(m map[string]string) string {
	for k := range m {
		return k
	}
	return ""
}
