package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a call of a caller, with the times of what was seen of it.
type call struct {
	id         string
	dest       int
	sentAt     time.Duration
	deadline   time.Duration
	answeredAt time.Duration // final answer; 0: none
	status     int
	releasedAt time.Duration // release heard; 0: none
	conn       *callerConn
}

// callers are the callers of one agent. What ends a call may come on any of their connections.
type callers struct {
	record *record
	addr   string
	local  net.IP // address of the callers; nil: any
	mu     sync.Mutex
	calls  map[string]*call
	order  []*call
	next   int
}

func newCallers(r *record, addr string) *callers {
	return &callers{record: r, addr: addr, calls: map[string]*call{}}
}

// callerConn is one connection of the callers.
type callerConn struct {
	net.Conn
	owner *callers
	ended chan struct{}
}

// connect opens a connection.
func (s *callers) connect() (*callerConn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if s.local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: s.local}
	}
	raw, err := dialer.Dial("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: raw, owner: s, ended: make(chan struct{})}
	s.record.add("caller", "connection %s opened", raw.LocalAddr())
	go c.read()
	return c, nil
}

// newCall sends a set-up to an exchange.
func (c *callerConn) newCall(dest int, left time.Duration) (*call, error) {
	s := c.owner
	s.mu.Lock()
	s.next++
	k := &call{id: fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), s.next), dest: dest, conn: c}
	s.calls[k.id] = k
	s.order = append(s.order, k)
	s.mu.Unlock()
	body := "v=0 offer of " + k.id + "\r\n"
	text := fmt.Sprintf("INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nP-Kind: order-status\r\n"+
		"P-Time-Left: %d\r\nP-Path: dest:%d;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s",
		0x7f3a9c2100000000+s.next, k.id, left.Milliseconds(), dest, len(body), body)
	at := s.record.add("caller", "call %s to exchange %d on %s", k.id, dest, c.LocalAddr())
	s.mu.Lock()
	k.sentAt, k.deadline = at, at+left
	s.mu.Unlock()
	_, err := io.WriteString(c, text)
	return k, err
}

// busy reports whether a call on the connection waits for its answer or stands.
func (c *callerConn) busy() bool {
	s := c.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.calls {
		if k.conn == c && (k.answeredAt == 0 || k.status == 200 && k.releasedAt == 0) {
			return true
		}
	}
	return false
}

// read handles what the agent sends.
func (c *callerConn) read() {
	defer close(c.ended)
	defer c.Close()
	s := c.owner
	in := bufio.NewReader(c)
	for {
		first, header, body, err := readSIP(in)
		if err != nil {
			s.record.add("caller", "connection %s ended: %v", c.LocalAddr(), err)
			return
		}
		id := header.Get("Call-Id")
		s.mu.Lock()
		k := s.calls[id]
		s.mu.Unlock()
		switch {
		case strings.HasPrefix(first, "BYE "):
			at := s.record.add("caller", "release of call %s on %s", id, c.LocalAddr())
			s.mu.Lock()
			if k != nil && k.releasedAt == 0 {
				k.releasedAt = at
			}
			s.mu.Unlock()
			if k == nil {
				s.record.add("caller", "call %s is not known here: answered with 481", id)
				c.reply(header, "481 Call/Transaction Does Not Exist")
			} else {
				c.reply(header, "200 OK")
			}
		case k != nil && strings.HasPrefix(first, "SIP/2.0 ") && strings.HasSuffix(header.Get("Cseq"), " INVITE"):
			status, _ := strconv.Atoi(strings.Fields(first)[1])
			if status < 200 {
				continue
			}
			at := s.record.add("caller", "answer %d to call %s %q", status, id, body)
			s.mu.Lock()
			if k.answeredAt == 0 {
				k.answeredAt, k.status = at, status
			}
			s.mu.Unlock()
			fmt.Fprintf(c, "ACK sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", id)
		default:
			s.record.add("caller", "received %q for call %s", first, id)
		}
	}
}

// reply answers a request of the agent.
func (c *callerConn) reply(header textproto.MIMEHeader, status string) {
	fmt.Fprintf(c, "SIP/2.0 %s\r\nVia: %s\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: 0\r\n\r\n", status, header.Get("Via"),
		header.Get("Call-Id"), header.Get("Cseq"))
}

// readSIP reads one message.
func readSIP(in *bufio.Reader) (first string, header textproto.MIMEHeader, body string, err error) {
	text := textproto.NewReader(in)
	if first, err = text.ReadLine(); err != nil {
		return
	}
	if header, err = text.ReadMIMEHeader(); err != nil {
		return
	}
	n, err := strconv.Atoi(header.Get("Content-Length"))
	if err != nil {
		return
	}
	b := make([]byte, n)
	_, err = io.ReadFull(in, b)
	return first, header, string(b), err
}

// all returns copies of all calls, oldest first.
func (s *callers) all() []call {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []call{}
	for _, k := range s.order {
		out = append(out, *k)
	}
	return out
}

// traffic makes a caller send a set-up to one exchange after another, one per interval, until the given time. A caller keeps its
// connection while a call is on it and closes it when it has had none for 4 s; if the agent closes it, the caller opens another.
func (s *callers) traffic(exchanges []int, interval, until, left time.Duration) {
	var c *callerConn
	lastBusy := time.Now()
	next := time.Now()
	for i := 0; s.record.now() < until || c != nil; {
		time.Sleep(10 * time.Millisecond)
		if c != nil {
			select {
			case <-c.ended:
				c = nil
			default:
				if c.busy() {
					lastBusy = time.Now()
				} else if time.Since(lastBusy) > 4*time.Second {
					_ = c.Close()
					c = nil
				}
			}
		}
		if s.record.now() >= until || time.Now().Before(next) {
			continue
		}
		if c == nil {
			var err error
			if c, err = s.connect(); err != nil {
				c = nil
				continue
			}
			lastBusy = time.Now()
		}
		next = time.Now().Add(interval)
		_, _ = c.newCall(exchanges[i%len(exchanges)], left)
		i++
	}
}
