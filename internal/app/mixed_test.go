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

// world is what the stand-ins of TestMixedTraffic see together: it knows of each call where an attempt is out.
type world struct {
	*testing.T
	mu     sync.Mutex
	out    map[string]string
	finals map[string]int
	offers int
}

// begin notes an attempt that came whole to a far end or a gateway; the call may have no other.
func (w *world) begin(id, at string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if was, ok := w.out[id]; ok {
		w.Errorf("call %s: an attempt comes to %s while one is out at %s", id, at, was)
	}
	w.out[id] = at
}

// end notes that it is over, however.
func (w *world) end(id, at string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out[id] == at {
		delete(w.out, id)
	}
}

func (w *world) final(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finals[id]++; w.finals[id] > 1 {
		w.Errorf("call %s has %d final answers", id, w.finals[id])
	}
}

// fate is what happens to a call at a step: drawn from its id, so that a run is like any other.
func fate(id, step string, n int) int {
	h := fnv.New32a()
	h.Write([]byte(id + step))
	return int(h.Sum32()>>7) % n
}

// farStandIn answers, refuses, stays silent or answers twice.
func farStandIn(w *world, c net.Conn) {
	var mu sync.Mutex
	say := func(l farend.Message) {
		mu.Lock()
		defer mu.Unlock()
		c.Write(l.Append(nil))
	}
	say(farend.Message{Kind: farend.Usage, UID: "1", Meta: map[string]string{"load": "x0:500;x1:500"}})
	tries := map[string]int{}
	in := bufio.NewScanner(c)
	for in.Scan() {
		m, _, err := farend.Parse(append(in.Bytes(), '\n'))
		if err != nil || m == nil {
			w.Errorf("far end: %q: %v", in.Text(), err)
			return
		}
		id := m.UID
		switch m.Kind {
		case farend.Launch:
			w.begin(id, "f1")
			tries[id]++
			run := farend.Message{Kind: farend.Running, UID: id, Body: "v=0 far\r\n"}
			over := func(cause int) {
				w.end(id, "f1")
				say(farend.Message{Kind: farend.Stop, UID: id, Cause: cause})
			}
			switch fate(id, fmt.Sprint("launch", tries[id]), 6) {
			case 0:
				over(farend.CauseBusy)
			case 1:
				over(farend.CauseReset)
			case 2: // silence, until it is given up
			case 3:
				say(run)
				say(run)
				time.AfterFunc(20*time.Millisecond, func() { over(farend.CauseNormal) })
			default:
				say(run)
				time.AfterFunc(40*time.Millisecond, func() { over(farend.CauseNormal); over(farend.CauseNormal) })
			}
		case farend.Stop:
			w.end(id, "f1")
		case farend.Check:
			say(farend.Message{Kind: farend.Checked, UID: id, Cause: farend.CheckPassed})
		}
	}
	for id := range tries {
		w.end(id, "f1") // set-ups that are open on a connection are given up with it
	}
}

// gatewayStandIn keeps the rules of a gateway: a transaction runs once, and an endpoint holds one call.
type gatewayStandIn struct {
	w        *world
	name     string
	conn     *net.UDPConn
	agent    net.Addr
	mu       sync.Mutex
	done     map[uint32][]byte
	seen     map[uint32]int
	held     map[string]string // endpoint: call
	callers  map[string]chan string
	restarts int
	tx       uint32
}

func (g *gatewayStandIn) tell(endpoint, verb string, params ...mgcp.Param) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.say(endpoint, verb, params...)
}

// say is tell for one that holds the lock.
func (g *gatewayStandIn) say(endpoint, verb string, params ...mgcp.Param) {
	g.tx++
	m := mgcp.Message{Verb: verb, Tx: g.tx, Endpoint: endpoint, Params: params}
	b := m.Append(nil)
	g.conn.WriteTo(b, g.agent)
	if fate(fmt.Sprint(endpoint, m.Tx), verb, 3) == 0 {
		g.conn.WriteTo(b, g.agent) // told twice: it is to be done once
	}
}

func (g *gatewayStandIn) serve() {
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

func (g *gatewayStandIn) command(m *mgcp.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen[m.Tx]++
	id, _ := m.Get("C")
	how := fate(id, m.Verb, 5)
	if reply, again := g.done[m.Tx]; again {
		g.conn.WriteTo(reply, g.agent)
		return
	}
	if m.Verb == "CRCX" && how == 0 && g.seen[m.Tx] == 1 {
		return // lost on its way: it runs when it comes again, if it does
	}
	r := mgcp.Message{Code: 200, Tx: m.Tx, Comment: "OK"}
	switch m.Verb {
	case "CRCX":
		mode, _ := m.Get("M")
		if was := g.held[m.Endpoint]; was != "" {
			g.w.Errorf("%s: a connection for %s while it holds %s", m.Endpoint, id, was)
		}
		if mode != "recvonly" {
			g.w.begin(id, g.name)
			if how == 1 {
				g.w.end(id, g.name)
				r.Code = 401
				break
			}
		}
		g.held[m.Endpoint] = id
		r.Params, r.SDP = []mgcp.Param{{Name: "I", Value: "1"}}, "v=0 gateway\r\n"
		if mode != "recvonly" {
			endpoint := m.Endpoint
			time.AfterFunc(time.Duration(10*how)*time.Millisecond, func() {
				g.tell(endpoint, "NTFY", mgcp.Param{Name: "X", Value: "0"}, mgcp.Param{Name: "O", Value: "L/hu"})
			})
		}
	case "DLCX":
		if was := g.held[m.Endpoint]; was != "" && (id == "" || was == id) {
			delete(g.held, m.Endpoint)
			g.w.end(was, g.name)
		}
		r.Code = 250
	}
	g.done[m.Tx] = r.Append(nil)
	g.conn.WriteTo(g.done[m.Tx], g.agent)
	if s, ok := m.Get("S"); ok && g.callers[m.Endpoint] != nil {
		select {
		case g.callers[m.Endpoint] <- s:
		default:
		}
	}
	if mode, _ := m.Get("M"); m.Verb == "MDCX" && mode == "sendrecv" && g.callers[m.Endpoint] != nil {
		g.w.final(id)
		select {
		case g.callers[m.Endpoint] <- "answered":
		default:
		}
	}
}

// restart loses all connections and says so before it does anything else: a connection made in between would be taken
// for one that is lost.
func (g *gatewayStandIn) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for endpoint, id := range g.held {
		delete(g.held, endpoint)
		g.w.end(id, g.name)
	}
	g.say("*@"+g.name, "RSIP", mgcp.Param{Name: "RM", Value: "restart"})
}

// desk lifts the receiver at an endpoint, dials, hears the call out, and hangs up; again and again.
func (g *gatewayStandIn) desk(endpoint string, calls int) {
	heard := g.callers[endpoint]
	notify := func(o string) {
		g.tell(endpoint, "NTFY", mgcp.Param{Name: "X", Value: "0"}, mgcp.Param{Name: "O", Value: o})
	}
	until := func(want ...string) bool {
		deadline := time.After(patience)
		for {
			select {
			case s := <-heard:
				for _, x := range want {
					if s == x {
						return true
					}
				}
			case <-deadline:
				g.w.Errorf("%s waits for %q in vain", endpoint, want)
				return false
			}
		}
	}
	for range calls {
		notify("L/hd")
		if !until("L/dl") {
			return
		}
		notify("D/7,D/1")
		if !until("answered", "L/ro") {
			return
		}
		notify("L/hu")
		if !until("") { // armed anew, with no signal
			return
		}
	}
}

// callerStandIn sends calls on one connection; some it gives up at once, some it releases, some come twice.
func callerStandIn(w *world, addr string, conn, calls int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		w.Error(err)
		return
	}
	defer c.Close()
	var mu sync.Mutex
	say := func(m *sip.Message) {
		mu.Lock()
		defer mu.Unlock()
		c.Write(m.Append(nil))
	}
	request := func(method, id string, more ...sip.Header) *sip.Message {
		return &sip.Message{Method: method, URI: "sip:77@net", Headers: append([]sip.Header{{Name: "Call-ID", Value: id},
			{Name: "CSeq", Value: "1 " + method}}, more...)}
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
				sip.Header{Name: "P-Path", Value: fmt.Sprintf("dest:%d;width:1;via:-1", 1+4*fate(id, "dest", 2))})
			m.Body = "v=0 caller\r\n"
			say(m)
			switch fate(id, "caller", 6) {
			case 0:
				say(m)
			case 1:
				say(request("CANCEL", id))
			case 2:
				time.AfterFunc(25*time.Millisecond, func() { say(request("CANCEL", id)) })
			}
			time.Sleep(3 * time.Millisecond)
		}
	}()
	var in []byte
	buf := make([]byte, 1<<14)
	c.SetReadDeadline(time.Now().Add(patience))
	for len(open) > 0 {
		n, err := c.Read(buf)
		if err != nil {
			w.Errorf("caller %d: %d calls have no answer: %v", conn, len(open), err)
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
				say(m.Response(200, "OK", ""))
			case m.CSeqMethod() == "INVITE" && m.Status >= 200:
				w.final(id)
				delete(open, id)
				say(request("ACK", id))
				if m.Status == 200 && fate(id, "bye", 3) == 0 {
					say(request("BYE", id))
				}
			}
		}
	}
}

// TestMixedTraffic plays SIP and MGCP together against stand-ins that lose, repeat, refuse and restart, and checks that no
// call is answered twice, no attempts of a call overlap, no endpoint holds two calls, and that in the end nothing stands.
func TestMixedTraffic(t *testing.T) {
	p := newPlayer(t)
	w := &world{T: t, out: map[string]string{}, finals: map[string]int{}}
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
			go farStandIn(w, c)
		}
	}()
	p.known = append(p.known, map[string]any{"instanceId": "s-00000001", "hostPort": far.Addr().String(), "zone": "east",
		"cell": 1, "lifecycle": "active", "weight": 1})
	var gateways []*gatewayStandIn
	for i, lines := range []int{8, 3} {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		g := &gatewayStandIn{w: w, name: fmt.Sprintf("g%d", i+1), conn: conn, done: map[uint32][]byte{},
			seen: map[uint32]int{}, held: map[string]string{}, callers: map[string]chan string{}}
		var names []string
		for l := range lines {
			names = append(names, fmt.Sprintf("aaln/%d", l+1))
			if i == 1 {
				g.callers[fmt.Sprintf("aaln/%d@g2", l+1)] = make(chan string, 64)
			}
		}
		p.gateways = append(p.gateways, map[string]any{"name": g.name, "address": conn.LocalAddr().String(),
			"id": fmt.Sprintf("s-%08x", 0x9000+i), "place": 5 + i, "answer": "connect", "lines": names, "class": "pull"})
		gateways = append(gateways, g)
	}
	p.routes = append(p.routes, map[string]any{"prefix": "7", "place": 1})
	p.start()
	var work sync.WaitGroup
	for _, g := range gateways {
		g.agent, _ = net.ResolveUDPAddr("udp", p.app.GatewayAddr())
		go g.serve()
		for endpoint := range g.callers {
			work.Add(1)
			go func() { defer work.Done(); g.desk(endpoint, 8) }()
		}
	}
	for conn := range 3 {
		work.Add(1)
		go func() { defer work.Done(); callerStandIn(w, p.app.Addr(), conn, 60) }()
	}
	time.AfterFunc(150*time.Millisecond, gateways[0].restart)
	work.Wait()
	p.count("tinbeam_calls_pending", 0)
	p.count("tinbeam_calls_standing", 0)
	w.mu.Lock()
	if n := len(w.finals); n < 180 {
		t.Errorf("%d calls were answered", n)
	}
	w.mu.Unlock()
	// What the agent has deleted is deleted at the gateways too, some time.
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		held := 0
		for _, g := range gateways {
			g.mu.Lock()
			held += len(g.held)
			g.mu.Unlock()
		}
		w.mu.Lock()
		out := len(w.out)
		w.mu.Unlock()
		if held == 0 && out == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("gateways still hold %d connections, %d attempts are out", held, out)
		}
	}
}
