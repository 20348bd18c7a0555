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

// gateway is a stand-in for a gateway that speaks MGCP (RFC 3435). Its lines answer at once.
type gateway struct {
	run   *run
	name  string
	conn  *net.UDPConn
	agent *net.UDPAddr

	mu        sync.Mutex
	lastTx    int
	responses map[string][]byte // to commands of the agent, by transaction
	answered  map[int]chan struct{}
	conns     map[string]string // connections: their endpoint, by identifier
	creations []time.Time
	requests  map[string]string // identifier of the last notification request, by endpoint
	slow      time.Duration     // a connection takes as long to be created
	heard     []string          // commands executed: verb and parameters
}

func (r *run) newGateway(name string) *gateway {
	at, _ := net.ResolveUDPAddr("udp", newHost()+":0")
	conn, err := net.ListenUDP("udp", at)
	r.need(err == nil, "the gateway cannot listen: %v", err)
	g := &gateway{run: r, name: name, conn: conn, responses: map[string][]byte{}, answered: map[int]chan struct{}{}, conns: map[string]string{}, requests: map[string]string{}}
	r.atEnd(func() { conn.Close() })
	return g
}

// operatorFile writes an operator's file with the gateway and returns its path.
func (g *gateway) operatorFile(listen string, lines []string) string {
	g.agent, _ = net.ResolveUDPAddr("udp", listen)
	raw, _ := json.Marshal(object{"mgcp": object{"listen": listen, "digit_map": "(7xxx|8xxx)",
		"gateways": []object{{"name": g.name, "address": g.conn.LocalAddr().String(), "id": "s-0000d001", "place": 101,
			"zone": "birmingham", "lines": lines, "answer": "connect", "class": "order-status"}},
		"routes": []object{{"prefix": "7", "place": 1}}}})
	path := filepath.Join(g.run.folder, "operator.json")
	g.run.need(os.WriteFile(path, raw, 0o600) == nil, "the operator's file cannot be written")
	go g.serve()
	return path
}

func (g *gateway) serve() {
	b := make([]byte, 16<<10)
	for {
		n, from, err := g.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		g.handle(string(b[:n]), from)
	}
}

func (g *gateway) handle(text string, from *net.UDPAddr) {
	head, rest, _ := strings.Cut(text, "\r\n")
	f := strings.Fields(head)
	if len(f) < 2 {
		return
	}
	if len(f[0]) == 3 { // a response
		tx := 0
		fmt.Sscan(f[1], &tx)
		g.mu.Lock()
		defer g.mu.Unlock()
		if done := g.answered[tx]; done != nil {
			close(done)
			delete(g.answered, tx)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if stored, again := g.responses[f[1]]; again {
		_, _ = g.conn.WriteToUDP(stored, from)
		return
	}
	response := fmt.Sprintf("200 %s OK\r\n", f[1])
	switch f[0] {
	case "CRCX":
		id := newID()
		g.conns[id] = f[2]
		g.creations = append(g.creations, time.Now())
		response += "I: " + id + "\r\n\r\nv=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 0\r\n"
	case "DLCX":
		response = fmt.Sprintf("250 %s deleted\r\n", f[1])
		for id, endpoint := range g.conns {
			if strings.HasPrefix(f[2], "*") || endpoint == f[2] && (!strings.Contains(rest, "\r\nI: ") || strings.Contains(rest, id)) {
				delete(g.conns, id)
			}
		}
	}
	params := strings.Join(strings.Fields(strings.SplitN(rest, "\r\n\r\n", 2)[0]), " ")
	for _, line := range strings.Split(rest, "\r\n") {
		if id, ok := strings.CutPrefix(line, "X: "); ok {
			g.requests[f[2]] = id
		}
	}
	g.heard = append(g.heard, f[0]+" "+params)
	g.run.note("%s: %s %s %s %s", g.name, f[0], f[1], f[2], params)
	if f[0] == "CRCX" && g.slow > 0 {
		g.responses[f[1]] = fmt.Appendf(nil, "100 %s pending\r\n", f[1])
		time.AfterFunc(g.slow, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.run.note("%s: the connection of CRCX %s is created", g.name, f[1])
			g.responses[f[1]] = []byte(response)
			_, _ = g.conn.WriteToUDP([]byte(response), from)
		})
		return
	}
	g.responses[f[1]] = []byte(response)
	_, _ = g.conn.WriteToUDP([]byte(response), from)
}

// command sends a command and sends it again until it is answered.
func (g *gateway) command(verb, endpoint string, params ...string) {
	g.mu.Lock()
	g.lastTx++
	tx, done := 5000+g.lastTx, make(chan struct{})
	g.answered[tx] = done
	g.mu.Unlock()
	text := fmt.Sprintf("%s %d %s MGCP 1.0\r\n%s\r\n", verb, tx, endpoint, strings.Join(params, "\r\n"))
	g.run.note("%s: sends %s %d %s %s", g.name, verb, tx, endpoint, strings.Join(params, ", "))
	for range 10 {
		_, _ = g.conn.WriteToUDP([]byte(text), g.agent)
		select {
		case <-done:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
	g.run.need(false, "the agent does not answer %s of the gateway", verb)
}

func init() { cases["gateway"] = gatewayDrainsByLine }

// gatewayDrainsByLine lets a gateway drain, with one message for each of its lines, while calls to it go on.
func gatewayDrainsByLine(r *run) {
	const bound = 250*time.Millisecond + 50*time.Millisecond
	far := r.newFarEnd("far end 1")
	addr, listen := r.freeAddr(), r.freeAddr()
	g := r.newGateway("desk.example")
	lines := []string{"aaln/1", "aaln/2", "aaln/3", "aaln/4"}
	operator := g.operatorFile(listen, lines)
	config := configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: far.addr(), exchange: 1}})
	r.start("agent", config, nil, "TINBEAM_OPERATOR="+operator)
	time.Sleep(300 * time.Millisecond)
	desk := r.newCaller("caller", addr)
	conn := desk.connect()
	conn.hangUp(conn.stand(101))
	time.Sleep(300 * time.Millisecond)
	// With TROUBLE=0 the gateway does not drain: that it gets calls then is no fault.
	told := time.Now()
	if r.trouble {
		for _, l := range lines {
			g.command("RSIP", l+"@"+g.name, "RM: graceful")
		}
		told = time.Now()
		r.note("%s: the agent has answered that all lines drain", g.name)
	}
	for range 12 {
		call := conn.setUp(101)
		time.Sleep(200 * time.Millisecond)
		if desk.look(call).stands {
			conn.hangUp(call)
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range g.creations {
		if r.trouble && at.Sub(told) > bound {
			r.breaks("a call came to the draining gateway %v after the agent knew, the bound is %v", at.Sub(told).Round(time.Millisecond), bound)
		}
	}
	r.note("%d calls came to the gateway", len(g.creations))
}

// hangUp releases a call that stands.
func (conn *callerConn) hangUp(call *callState) {
	c := conn.caller
	c.mu.Lock()
	call.stands = false
	c.mu.Unlock()
	c.run.note("%s: hangs up %s", c.name, call.id)
	conn.write(newRequest("BYE", "peer", call.id, [2]string{"Reason", "Q.850;cause=16"}))
}
