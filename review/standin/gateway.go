package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// gatewayLines are the endpoints of the gateway, without its name.
var gatewayLines = []string{"aaln/1", "aaln/2", "aaln/3", "aaln/4"}

// gatewayExchange is the exchange number of the gateway.
const gatewayExchange = 101

// gateway is a stand-in for a gateway that speaks MGCP (RFC 3435).
type gateway struct {
	name   string
	record *record
	conn   *net.UDPConn
	agent  *net.UDPAddr
	over   *times        // when each call's connection was deleted by the agent, or the called side hung up
	hold   time.Duration // until the called side hangs up

	mu        sync.Mutex
	lastID    int
	answered  map[string]string        // responses by transaction, since each command is executed once
	waiting   map[string]chan struct{} // own commands that have no response yet
	connected map[string]string        // call by endpoint
	requests  map[string]string        // request identifier by endpoint
	events    map[string]string        // events that the agent wants to be told of, by endpoint
	cut       bool                     // the gateway is cut off: nothing arrives and nothing leaves
}

func newGateway(r *record, agentAddr string) (*gateway, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp", agentAddr)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: "desk-birmingham.example", record: r, conn: conn, agent: to, lastID: int(time.Now().Unix() % 100000000),
		answered: map[string]string{}, waiting: map[string]chan struct{}{}, connected: map[string]string{}, requests: map[string]string{},
		events: map[string]string{}, over: newTimes()}
	go g.serve()
	return g, nil
}

// operatorFile writes an operator's file that has only this gateway.
func (g *gateway) operatorFile(dir string) (string, error) {
	b, err := json.Marshal(map[string]any{"mgcp": map[string]any{"listen": g.agent.String(), "digit_map": "(7xxx)",
		"gateways": []any{map[string]any{"name": g.name, "address": g.conn.LocalAddr().String(), "id": "s-0000d001",
			"place": gatewayExchange, "zone": "birmingham", "lines": gatewayLines, "answer": "connect", "class": "order-status"}},
		"routes": []any{map[string]any{"prefix": "7", "place": 1}}}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "operator.json")
	return path, os.WriteFile(path, b, 0o600)
}

func (g *gateway) serve() {
	b := make([]byte, 16<<10)
	for {
		n, from, err := g.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		g.handle(from, string(b[:n]))
	}
}

// param returns a parameter of a message.
func param(text, name string) string {
	for _, l := range strings.Split(text, "\r\n") {
		if v, ok := strings.CutPrefix(l, name+":"); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// handle handles a datagram from the agent.
func (g *gateway) handle(from *net.UDPAddr, text string) {
	first := strings.Fields(strings.SplitN(text, "\r\n", 2)[0])
	if len(first) < 2 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		return
	}
	if len(first[0]) == 3 { // a response
		if c := g.waiting[first[1]]; c != nil {
			close(c)
			delete(g.waiting, first[1])
		}
		return
	}
	response, known := g.answered[first[1]]
	if !known {
		response = g.execute(first[0], first[1], first[2], text)
		g.answered[first[1]] = response
	}
	_, _ = g.conn.WriteToUDP([]byte(response), from)
}

// execute executes a command of the agent and returns the response. The lock is held.
func (g *gateway) execute(verb, id, endpoint, text string) string {
	at := g.record.add("gateway", "%s %s %s call %q", verb, id, endpoint, param(text, "C"))
	if x := param(text, "X"); x != "" {
		g.requests[endpoint], g.events[endpoint] = x, param(text, "R")
	}
	switch verb {
	case "CRCX":
		if g.connected[endpoint] != "" {
			return fmt.Sprintf("401 %s Busy\r\n", id)
		}
		call := param(text, "C")
		g.connected[endpoint] = call
		if g.hold > 0 {
			time.AfterFunc(g.hold, func() { g.hangUp(endpoint, call) })
		}
		return fmt.Sprintf("200 %s OK\r\nI: %s\r\n\r\nv=0\r\no=%s for %s\r\n", id, id, g.name, call)
	case "DLCX":
		for e, call := range g.connected {
			if (endpoint == e || endpoint == "*@"+g.name) && (param(text, "C") == "" || param(text, "C") == call) {
				g.record.add("gateway", "the agent deleted the connection of call %s", call)
				g.over.first(call, at)
				delete(g.connected, e)
			}
		}
		return fmt.Sprintf("250 %s Deleted\r\n", id)
	}
	return fmt.Sprintf("200 %s OK\r\n", id)
}

// hangUp makes the called side of a call hang up. The agent is told if it wants to be.
func (g *gateway) hangUp(endpoint, call string) {
	g.mu.Lock()
	stands := g.connected[endpoint] == call
	x, events := g.requests[endpoint], g.events[endpoint]
	g.mu.Unlock()
	if !stands {
		return
	}
	g.over.first(call, g.record.add("gateway", "the called side of call %s hangs up; events wanted: %s", call, events))
	if strings.Contains(strings.ToLower(events), "l/hu") {
		g.command("NTFY", endpoint, "X: "+x+"\r\nO: L/hu\r\n")
	}
}

// cutOff says whether the gateway is cut off.
func (g *gateway) cutOff(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = on
	g.record.add("gateway", "cut off: %v", on)
}

// command sends a command until it is answered, and returns the time of the response; 0: none came.
func (g *gateway) command(verb, endpoint, params string) time.Duration {
	g.mu.Lock()
	g.lastID++
	id := fmt.Sprint(g.lastID)
	done := make(chan struct{})
	g.waiting[id] = done
	g.mu.Unlock()
	text := fmt.Sprintf("%s %s %s MGCP 1.0\r\n%s", verb, id, endpoint, params)
	for wait := 200 * time.Millisecond; wait < 10*time.Second; wait *= 2 {
		g.record.add("gateway", "sends %s %s %s %q", verb, id, endpoint, params)
		_, _ = g.conn.WriteToUDP([]byte(text), g.agent)
		select {
		case <-done:
			return g.record.add("gateway", "%s %s was answered", verb, id)
		case <-time.After(wait):
		}
	}
	return 0
}

// The times of the gateway's play.
const (
	cutOffFor        = 3200 * time.Millisecond // from the start of the agent
	firstGatewayCall = 3500 * time.Millisecond
	lastGatewayCall  = 9 * time.Second
	gatewayPlayEnd   = 26 * time.Second
)

func init() { cases["gateway"] = playGateway }

// playGateway plays a gateway that is cut off while the agent starts. Each call whose connection the agent deletes at the gateway is
// over, and has to be released towards its caller.
func playGateway(r *record, trouble bool) (int, error) {
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
	g.hold = 5 * time.Second
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
	g.cutOff(trouble)
	begun := r.now()
	a, err := startAgent(r, agentOptions{name: "n0", listen: listen, management: management, dir: dir, operator: operator,
		config: configuration(log.addr, 1, []*farEnd{f})})
	if err != nil {
		return cannotRun, err
	}
	if err := a.waitReady(30 * time.Second); err != nil {
		return cannotRun, err
	}
	r.sleepUntil(begun + cutOffFor)
	g.cutOff(false)
	s := newCallers(r, listen)
	r.sleepUntil(begun + firstGatewayCall)
	go s.traffic([]int{gatewayExchange, 1}, 700*time.Millisecond, begun+lastGatewayCall, 3*time.Second)
	r.sleepUntil(begun + gatewayPlayEnd)
	return judgeGateway(r, s, g), nil
}

// judgeGateway checks that each call that stood and was released at the gateway, by the agent or by the called side, was released
// towards its caller in time.
func judgeGateway(r *record, s *callers, g *gateway) int {
	stood, broken := 0, 0
	for _, k := range s.all() {
		at, over := g.over.get(k.id)
		if k.status != 200 || k.dest != gatewayExchange {
			continue
		}
		stood++
		if !over || at+releaseLimit > r.now() || k.releasedAt > 0 && k.releasedAt <= at+releaseLimit {
			continue
		}
		broken++
		heard := "never released towards its caller"
		if k.releasedAt > 0 {
			heard = fmt.Sprintf("released towards its caller at %.3f", k.releasedAt.Seconds())
		}
		r.add("judge", "broken: call %s answered at %.3f, over at the gateway at %.3f, %s", k.id, k.answeredAt.Seconds(), at.Seconds(), heard)
	}
	r.add("judge", "%d calls to the gateway stood, %d not released in time", stood, broken)
	switch {
	case broken > 0:
		return ruleBroken
	case stood < 3:
		return cannotRun
	}
	return ruleHeld
}
