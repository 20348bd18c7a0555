package main

import (
	"os"
	"time"
)

// The times of the play with a gateway whose machine vanishes.
const (
	vanishAt      = 6 * time.Second
	vanishLastNew = 12 * time.Second
	vanishPlayEnd = 22 * time.Second
)

func init() { cases["vanish"] = playVanish }

// playVanish plays a gateway whose machine vanishes while calls stand there. These calls are over, and have to be released towards
// their callers.
func playVanish(r *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	log, err := newChangeLog(r, 1)
	if err != nil {
		return cannotRun, err
	}
	f, err := newFarEnd(r, 1, 1)
	if err != nil {
		return cannotRun, err
	}
	f.hold = func(string) time.Duration { return 2 * time.Second }
	mgcpAddr, err := freeAddress("udp")
	if err != nil {
		return cannotRun, err
	}
	g, err := newGateway(r, mgcpAddr)
	if err != nil {
		return cannotRun, err
	}
	g.hold = 8 * time.Second
	operator, err := g.operatorFile(dir)
	if err != nil {
		return cannotRun, err
	}
	listen, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	management, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	a, err := startAgent(r, agentOptions{name: "n0", listen: listen, management: management, dir: dir, operator: operator,
		config: configuration(log.addr, 1, []*farEnd{f})})
	if err != nil {
		return cannotRun, err
	}
	if err := a.waitReady(30 * time.Second); err != nil {
		return cannotRun, err
	}
	begun := r.now()
	s := newCallers(r, listen)
	go s.traffic([]int{gatewayExchange, 1}, 900*time.Millisecond, begun+vanishLastNew, 3*time.Second)
	r.sleepUntil(begun + vanishAt)
	if trouble {
		g.vanish()
	}
	r.sleepUntil(begun + vanishPlayEnd)
	return judgeGateway(r, s, g), nil
}

// vanish ends the gateway as if its machine had gone: its calls are cut, and nothing is said.
func (g *gateway) vanish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = true
	at := g.record.add("gateway", "the machine vanishes")
	for endpoint, call := range g.connected {
		g.record.add("gateway", "call %s on %s is cut with it", call, endpoint)
		g.over.first(call, at)
		delete(g.connected, endpoint)
	}
}
