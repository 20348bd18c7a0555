package app

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"sync"
	"testing"
	"time"

	"tinbeam/internal/farend"
	"tinbeam/internal/mgcp"
	"tinbeam/internal/sip"
)

// callTracker is shared by the fake peers of TestMixedTraffic. It records at which peer each call has an outstanding attempt.
type callTracker struct {
	*testing.T
	mu           sync.Mutex
	outstanding  map[string]string // name of the peer by call ID
	finalAnswers map[string]int    // by call ID
}

// attemptStarted records a complete attempt that arrived at a far end or a gateway. The call must have no other attempt.
func (w *callTracker) attemptStarted(id, peer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if other, ok := w.outstanding[id]; ok {
		w.Errorf("call %s: an attempt arrived at %s while one was outstanding at %s", id, peer, other)
	}
	w.outstanding[id] = peer
}

// attemptEnded records the end of an attempt, whatever its result.
func (w *callTracker) attemptEnded(id, peer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outstanding[id] == peer {
		delete(w.outstanding, id)
	}
}

// recordFinalAnswer records the final answer of a call. A call must have only one.
func (w *callTracker) recordFinalAnswer(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finalAnswers[id]++; w.finalAnswers[id] > 1 {
		w.Errorf("call %s has %d final answers", id, w.finalAnswers[id])
	}
}

// choose returns a number below n that decides what happens to a call at a step. It depends only on the ID and the step, so
// that every run makes the same choices.
func choose(id, step string, n int) int {
	h := fnv.New32a()
	h.Write([]byte(id + step))
	return int(h.Sum32()>>7) % n
}

// fakeFarEnd is a far end that answers, refuses, resets, gives no answer or answers twice.
func fakeFarEnd(w *callTracker, c net.Conn) {
	var mu sync.Mutex
	send := func(m farend.Message) {
		mu.Lock()
		defer mu.Unlock()
		c.Write(m.Append(nil))
	}
	send(farend.Message{Kind: farend.Usage, UID: "1", Meta: map[string]string{"load": "x0:500;x1:500"}})
	attempts := map[string]int{}
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		m, _, err := farend.Parse(append(lines.Bytes(), '\n'))
		if err != nil || m == nil {
			w.Errorf("far end: %q: %v", lines.Text(), err)
			return
		}
		id := m.UID
		switch m.Kind {
		case farend.Launch:
			w.attemptStarted(id, "f1")
			attempts[id]++
			running := farend.Message{Kind: farend.Running, UID: id, Body: "v=0 far\r\n"}
			stop := func(cause int) {
				w.attemptEnded(id, "f1")
				send(farend.Message{Kind: farend.Stop, UID: id, Cause: cause})
			}
			switch choose(id, fmt.Sprint("launch", attempts[id]), 6) {
			case 0:
				stop(farend.CauseBusy)
			case 1:
				stop(farend.CauseReset)
			case 2: // no answer until the attempt is cancelled
			case 3:
				send(running)
				send(running)
				time.AfterFunc(20*time.Millisecond, func() { stop(farend.CauseNormal) })
			default:
				send(running)
				time.AfterFunc(40*time.Millisecond, func() { stop(farend.CauseNormal); stop(farend.CauseNormal) })
			}
		case farend.Stop:
			w.attemptEnded(id, "f1")
		case farend.Check:
			send(farend.Message{Kind: farend.Checked, UID: id, Cause: farend.CheckPassed})
		}
	}
	for id := range attempts {
		w.attemptEnded(id, "f1") // set-ups that are pending on a connection end with it
	}
}

// fakeGateway follows the rules of a gateway: it executes a transaction once, and an endpoint has one call at a time.
type fakeGateway struct {
	w           *callTracker
	name        string
	conn        *net.UDPConn
	agent       net.Addr
	mu          sync.Mutex
	replies     map[uint32][]byte      // by transaction number
	received    map[uint32]int         // how often each transaction number was received
	connections map[string]string      // call ID by endpoint
	signals     map[string]chan string // signals requested at the endpoints of simulated users, and "answered"
	tx          uint32
}

// send sends a command to the agent, some of them twice.
func (g *fakeGateway) send(endpoint, verb string, params ...mgcp.Param) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendLocked(endpoint, verb, params...)
}

// sendLocked is send for callers that hold the lock.
func (g *fakeGateway) sendLocked(endpoint, verb string, params ...mgcp.Param) {
	g.tx++
	m := mgcp.Message{Verb: verb, Tx: g.tx, Endpoint: endpoint, Params: params}
	b := m.Append(nil)
	g.conn.WriteTo(b, g.agent)
	if choose(fmt.Sprint(endpoint, m.Tx), verb, 3) == 0 {
		g.conn.WriteTo(b, g.agent) // a retransmission, which must be executed once
	}
}

// serve handles the commands of the agent.
func (g *fakeGateway) serve() {
	buf := make([]byte, 1<<16)
	for {
		n, err := g.conn.Read(buf)
		if err != nil {
			return
		}
		list, err := mgcp.Parse(buf[:n])
		if err != nil {
			g.w.Errorf("gateway: %q", buf[:n])
		}
		for _, m := range list {
			if m.Verb != "" {
				g.command(m)
			}
		}
	}
}

// command executes a command of the agent and responds. A repeated command gets the same response again.
func (g *fakeGateway) command(m *mgcp.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received[m.Tx]++
	id, _ := m.Get("C")
	variant := choose(id, m.Verb, 5)
	if reply, repeated := g.replies[m.Tx]; repeated {
		g.conn.WriteTo(reply, g.agent)
		return
	}
	if m.Verb == "CRCX" && variant == 0 && g.received[m.Tx] == 1 {
		return // the request is lost; it is executed if it is retransmitted
	}
	r := mgcp.Message{Code: 200, Tx: m.Tx, Comment: "OK"}
	switch m.Verb {
	case "CRCX":
		mode, _ := m.Get("M")
		if held := g.connections[m.Endpoint]; held != "" {
			g.w.Errorf("%s: a connection was created for %s while one for %s existed", m.Endpoint, id, held)
		}
		if mode != "recvonly" {
			g.w.attemptStarted(id, g.name)
			if variant == 1 {
				g.w.attemptEnded(id, g.name)
				r.Code = 401
				break
			}
		}
		g.connections[m.Endpoint] = id
		r.Params, r.SDP = []mgcp.Param{{Name: "I", Value: "1"}}, "v=0 gateway\r\n"
		if mode != "recvonly" {
			endpoint := m.Endpoint
			time.AfterFunc(time.Duration(10*variant)*time.Millisecond, func() {
				g.send(endpoint, "NTFY", mgcp.Param{Name: "X", Value: "0"}, mgcp.Param{Name: "O", Value: "L/hu"})
			})
		}
	case "DLCX":
		if held := g.connections[m.Endpoint]; held != "" && (id == "" || held == id) {
			delete(g.connections, m.Endpoint)
			g.w.attemptEnded(held, g.name)
		}
		r.Code = 250
	}
	g.replies[m.Tx] = r.Append(nil)
	g.conn.WriteTo(g.replies[m.Tx], g.agent)
	if s, ok := m.Get("S"); ok && g.signals[m.Endpoint] != nil {
		select {
		case g.signals[m.Endpoint] <- s:
		default:
		}
	}
	if mode, _ := m.Get("M"); m.Verb == "MDCX" && mode == "sendrecv" && g.signals[m.Endpoint] != nil {
		g.w.recordFinalAnswer(id)
		select {
		case g.signals[m.Endpoint] <- "answered":
		default:
		}
	}
}

// restart drops all connections and reports the restart before the gateway does anything else. Otherwise the agent would
// take a connection created in between for one that is lost.
func (g *fakeGateway) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for endpoint, id := range g.connections {
		delete(g.connections, endpoint)
		g.w.attemptEnded(id, g.name)
	}
	g.sendLocked("*@"+g.name, "RSIP", mgcp.Param{Name: "RM", Value: "restart"})
}

// simulateUser makes calls from an endpoint one after another: it lifts the receiver, dials, waits for the result and hangs up.
func (g *fakeGateway) simulateUser(endpoint string, calls int) {
	signals := g.signals[endpoint]
	notify := func(event string) {
		g.send(endpoint, "NTFY", mgcp.Param{Name: "X", Value: "0"}, mgcp.Param{Name: "O", Value: event})
	}
	waitFor := func(want ...string) bool {
		deadline := time.After(testTimeout)
		for {
			select {
			case s := <-signals:
				for _, x := range want {
					if s == x {
						return true
					}
				}
			case <-deadline:
				g.w.Errorf("%s: timed out waiting for %q", endpoint, want)
				return false
			}
		}
	}
	for range calls {
		notify("L/hd")
		if !waitFor("L/dl") {
			return
		}
		notify("D/7,D/1")
		if !waitFor("answered", "L/ro") {
			return
		}
		notify("L/hu")
		if !waitFor("") { // the endpoint is requested to notify again, with no signal
			return
		}
	}
}

// fakeCaller sends calls on one connection. It cancels some at once or after a delay, releases some, and sends some twice.
func fakeCaller(w *callTracker, addr string, conn, calls int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		w.Error(err)
		return
	}
	defer c.Close()
	var mu sync.Mutex
	send := func(m *sip.Message) {
		mu.Lock()
		defer mu.Unlock()
		c.Write(m.Append(nil))
	}
	request := func(method, id string, extra ...sip.Header) *sip.Message {
		return &sip.Message{Method: method, URI: "sip:77@net", Headers: append([]sip.Header{{Name: "Call-ID", Value: id},
			{Name: "CSeq", Value: "1 " + method}}, extra...)}
	}
	open := map[string]bool{}
	for i := range calls {
		id := fmt.Sprintf("%08x%08x", conn+1, i)
		open[id] = true
	}
	go func() {
		for i := range calls {
			id := fmt.Sprintf("%08x%08x", conn+1, i)
			m := request("INVITE", id, sip.Header{Name: "P-Kind", Value: "pull"},
				sip.Header{Name: "P-Time-Left", Value: "1500"},
				sip.Header{Name: "P-Path", Value: fmt.Sprintf("dest:%d;width:1;via:-1", 1+4*choose(id, "dest", 2))})
			m.Body = "v=0 caller\r\n"
			send(m)
			switch choose(id, "caller", 6) {
			case 0:
				send(m)
			case 1:
				send(request("CANCEL", id))
			case 2:
				time.AfterFunc(25*time.Millisecond, func() { send(request("CANCEL", id)) })
			}
			time.Sleep(3 * time.Millisecond)
		}
	}()
	var in []byte
	buf := make([]byte, 1<<14)
	c.SetReadDeadline(time.Now().Add(testTimeout))
	for len(open) > 0 {
		n, err := c.Read(buf)
		if err != nil {
			w.Errorf("caller %d: %d calls have no final answer: %v", conn, len(open), err)
			return
		}
		in = append(in, buf[:n]...)
		for {
			m, k, err := sip.Parse(in)
			if err != nil {
				w.Errorf("caller: %v", err)
				return
			}
			in = in[k:]
			if m == nil {
				break
			}
			id := m.Get("Call-ID")
			switch {
			case m.Method == "BYE":
				send(m.Response(200, "OK", ""))
			case m.CSeqMethod() == "INVITE" && m.Status >= 200:
				w.recordFinalAnswer(id)
				delete(open, id)
				send(request("ACK", id))
				if m.Status == 200 && choose(id, "bye", 3) == 0 {
					send(request("BYE", id))
				}
			}
		}
	}
}

// TestMixedTraffic runs SIP and MGCP calls together against fake peers that lose, repeat and refuse messages and restart. It
// checks that no call is answered twice, that the attempts of a call do not overlap, that no endpoint has two calls, and that
// in the end no call is pending or established.
func TestMixedTraffic(t *testing.T) {
	p := newPlayer(t)
	w := &callTracker{T: t, outstanding: map[string]string{}, finalAnswers: map[string]int{}}
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	go func() {
		for {
			c, err := far.Accept()
			if err != nil {
				return
			}
			go fakeFarEnd(w, c)
		}
	}()
	p.instances = append(p.instances, map[string]any{"instanceId": "s-00000001", "hostPort": far.Addr().String(), "zone": "east",
		"cell": 1, "lifecycle": "active", "weight": 1})
	var gateways []*fakeGateway
	for i, lines := range []int{8, 3} {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		g := &fakeGateway{w: w, name: fmt.Sprintf("g%d", i+1), conn: conn, replies: map[uint32][]byte{},
			received: map[uint32]int{}, connections: map[string]string{}, signals: map[string]chan string{}}
		var names []string
		for l := range lines {
			names = append(names, fmt.Sprintf("aaln/%d", l+1))
			if i == 1 {
				g.signals[fmt.Sprintf("aaln/%d@g2", l+1)] = make(chan string, 64)
			}
		}
		p.gateways = append(p.gateways, map[string]any{"name": g.name, "address": conn.LocalAddr().String(),
			"id": fmt.Sprintf("s-%08x", 0x9000+i), "place": 5 + i, "answer": "connect", "lines": names, "class": "pull"})
		gateways = append(gateways, g)
	}
	p.routes = append(p.routes, map[string]any{"prefix": "7", "place": 1})
	p.startApp()
	var workers sync.WaitGroup
	for _, g := range gateways {
		g.agent, _ = net.ResolveUDPAddr("udp", p.app.GatewayAddr())
		go g.serve()
		for endpoint := range g.signals {
			workers.Add(1)
			go func() { defer workers.Done(); g.simulateUser(endpoint, 8) }()
		}
	}
	for conn := range 3 {
		workers.Add(1)
		go func() { defer workers.Done(); fakeCaller(w, p.app.Addr(), conn, 60) }()
	}
	time.AfterFunc(150*time.Millisecond, gateways[0].restart)
	workers.Wait()
	p.waitForCounter("tinbeam_calls_pending", 0)
	p.waitForCounter("tinbeam_calls_standing", 0)
	w.mu.Lock()
	if n := len(w.finalAnswers); n < 180 {
		t.Errorf("%d calls were answered", n)
	}
	w.mu.Unlock()
	// Connections that the agent deletes are deleted at the gateways too, but possibly later.
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		held := 0
		for _, g := range gateways {
			g.mu.Lock()
			held += len(g.connections)
			g.mu.Unlock()
		}
		w.mu.Lock()
		outstanding := len(w.outstanding)
		w.mu.Unlock()
		if held == 0 && outstanding == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("gateways still have %d connections, %d attempts are outstanding", held, outstanding)
		}
	}
}
