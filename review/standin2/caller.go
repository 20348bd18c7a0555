package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// message is a SIP message.
type message struct {
	start   string
	headers [][2]string
	body    string
}

func (m *message) get(name string) string {
	for _, h := range m.headers {
		if strings.EqualFold(h[0], name) {
			return h[1]
		}
	}
	return ""
}

// request returns the method of a request; "": it is a response, or its first line is none of a request. RFC 3261, section 7.1: a method,
// an address without spaces and the version, with single spaces between them.
func (m *message) request() string {
	f := strings.Split(m.start, " ")
	if len(f) == 3 && f[2] == "SIP/2.0" && f[0] != "" && f[1] != "" {
		return f[0]
	}
	return ""
}

// status returns the status of a response; 0: it is none.
func (m *message) status() int {
	if rest, ok := strings.CutPrefix(m.start, "SIP/2.0 "); ok && len(rest) >= 3 {
		n, _ := strconv.Atoi(rest[:3])
		return n
	}
	return 0
}

func (m *message) bytes() []byte {
	var b strings.Builder
	b.WriteString(m.start + "\r\n")
	for _, h := range m.headers {
		b.WriteString(h[0] + ": " + h[1] + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(m.body), m.body)
	return []byte(b.String())
}

func readMessage(in *bufio.Reader) (*message, error) {
	m := &message{}
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		text = strings.TrimRight(text, "\r\n")
		if m.start == "" {
			m.start = text
			continue
		}
		if text == "" {
			break
		}
		name, value, _ := strings.Cut(text, ":")
		m.headers = append(m.headers, [2]string{strings.TrimSpace(name), strings.TrimSpace(value)})
	}
	n, err := strconv.Atoi(m.get("Content-Length"))
	if err != nil {
		return nil, err
	}
	body := make([]byte, n)
	_, err = io.ReadFull(in, body)
	m.body = string(body)
	return m, err
}

// callState is a call as its caller sees it.
type callState struct {
	id         string
	status     int // of the final answer; 0: none
	stands     bool
	answeredAt time.Time
	releasedAt time.Time // when its release was heard; zero: it was not
}

// caller is a client of the agent. It knows its own calls and no others.
type caller struct {
	run   *run
	name  string
	addr  string
	from  string // value of From, if set
	quiet bool   // nothing is recorded of single calls

	mu    sync.Mutex
	calls map[string]*callState
	conns []*callerConn
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	caller *caller
	ended  chan struct{}
	writes sync.Mutex
}

// note records something about a single call.
func (c *caller) note(format string, args ...any) {
	if !c.quiet {
		c.run.note(format, args...)
	}
}

func (r *run) newCaller(name, addr string) *caller {
	return &caller{run: r, name: name, addr: addr, calls: map[string]*callState{}}
}

// connect opens a connection.
func (c *caller) connect() *callerConn {
	raw, err := net.DialTimeout("tcp", c.addr, time.Second)
	c.run.need(err == nil, "%s cannot connect: %v", c.name, err)
	conn := &callerConn{Conn: raw, caller: c, ended: make(chan struct{})}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	c.run.note("%s: connected from %v", c.name, raw.LocalAddr())
	c.run.atEnd(func() { raw.Close() })
	go conn.read()
	return conn
}

func (conn *callerConn) write(m *message) {
	conn.writes.Lock()
	defer conn.writes.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(m.bytes())
}

func (conn *callerConn) read() {
	defer close(conn.ended)
	in := bufio.NewReader(conn)
	for {
		m, err := readMessage(in)
		if err != nil {
			conn.caller.run.note("%s: connection from %v ended: %v", conn.caller.name, conn.LocalAddr(), err)
			conn.Close()
			return
		}
		conn.handle(m)
	}
}

// respond answers a request of the agent.
func (conn *callerConn) respond(m *message, status string) {
	r := &message{start: "SIP/2.0 " + status}
	for _, h := range m.headers {
		switch strings.ToLower(h[0]) {
		case "via", "from", "to", "call-id", "cseq":
			r.headers = append(r.headers, h)
		}
	}
	conn.write(r)
}

func (conn *callerConn) handle(m *message) {
	c := conn.caller
	id := m.get("Call-ID")
	c.mu.Lock()
	call := c.calls[id]
	c.mu.Unlock()
	switch status, method := m.status(), m.request(); {
	case method == "BYE" && call == nil:
		c.run.note("%s: BYE %s for a call that it does not know", c.name, id)
		conn.respond(m, "481 Call/Transaction Does Not Exist")
	case method == "BYE":
		c.note("%s: BYE %s (%s)", c.name, id, m.get("Reason"))
		c.mu.Lock()
		if call.stands {
			call.stands, call.releasedAt = false, time.Now()
		}
		c.mu.Unlock()
		conn.respond(m, "200 OK")
	case status >= 200 && call != nil && strings.HasSuffix(m.get("CSeq"), " INVITE"):
		c.mu.Lock()
		call.status, call.stands, call.answeredAt = status, status == 200, time.Now()
		c.mu.Unlock()
		c.note("%s: %s answered %d", c.name, id, status)
		conn.write(newRequest("ACK", "peer", id))
	case status != 0:
	default:
		c.run.note("%s: cannot be read as a request: %q", c.name, m.start)
		conn.respond(m, "400 Bad Request")
	}
}

func newRequest(method, user, id string, more ...[2]string) *message {
	return &message{start: method + " sip:" + user + "@net SIP/2.0", headers: append([][2]string{{"Via", "SIP/2.0/TCP peer"},
		{"Call-ID", id}, {"CSeq", "1 " + method}}, more...)}
}

// setUp sends a set-up to an exchange and returns its call.
func (conn *callerConn) setUp(exchange int) *callState {
	c := conn.caller
	call := &callState{id: newID()}
	c.mu.Lock()
	c.calls[call.id] = call
	c.mu.Unlock()
	m := newRequest("INVITE", newID(), call.id, [2]string{"P-Kind", "order-status"}, [2]string{"P-Time-Left", "3000"},
		[2]string{"P-Path", fmt.Sprintf("dest:%d;width:1;via:-1", exchange)})
	if c.from != "" {
		m.headers = append(m.headers, [2]string{"From", c.from}, [2]string{"To", "<sip:desk@net>"})
	}
	m.body = "c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
	c.note("%s: set-up %s to exchange %d", c.name, call.id, exchange)
	conn.write(m)
	return call
}

// look returns a copy of a call's state.
func (c *caller) look(call *callState) callState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *call
}

// stand sets a call up and waits until it stands; a refused one is tried again as a new set-up.
func (conn *callerConn) stand(exchange int) *callState {
	for range 10 {
		call := conn.setUp(exchange)
		for end := time.Now().Add(3200 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if now := conn.caller.look(call); now.stands {
				return call
			} else if now.status != 0 {
				break
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	conn.caller.run.need(false, "no call comes to stand at exchange %d", exchange)
	return nil
}
