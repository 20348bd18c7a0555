package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// line is one JSON line between the agent and a far end.
type line struct {
	Kind   string         `json:"kind"`
	UID    string         `json:"uid"`
	Meta   map[string]any `json:"meta"`
	Reason *int           `json:"reason,omitempty"`
	Body   *string        `json:"body,omitempty"`
}

func (l line) bytes() []byte {
	if l.Meta == nil {
		l.Meta = map[string]any{}
	}
	b, _ := json.Marshal(l)
	return append(b, '\n')
}

// farEnd is a stand-in for a far end.
type farEnd struct {
	id       uint32
	exchange int
	addr     string
	record   *record
	hold     func(call string) time.Duration // how long a call stands
	onSetUp  func(call string, at time.Duration)
	seen     *attempts // when attempts were out; nil: not noted
	full     bool      // it tells that no circuit is free

	listener net.Listener
	mu       sync.Mutex
	conns    []*farConn
	calls    map[*farCall]bool
	repeats  [][]byte // releases to send again on the next connection

	connLimit, held int // connections that it may hold (0: no limit), and holds
	resetEvery      int // one in so many answers is lost with all connections; 0: none
	answers         int
}

type farConn struct {
	net.Conn
	writes   sync.Mutex
	wasReset atomic.Bool // by the network; the far end notices that a moment later
}

func (c *farConn) writeLine(b []byte) error {
	c.writes.Lock()
	defer c.writes.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.Write(b)
	return err
}

// farCall is a set-up, and the call that came of it.
type farCall struct {
	id     string
	conn   *farConn
	stands bool
	over   bool
	out    *out // nil: not noted
}

// circuits is the size of the group between the agent and a far end.
const circuits = 60

func newFarEnd(r *record, id uint32, exchange int) (*farEnd, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &farEnd{id: id, exchange: exchange, addr: ln.Addr().String(), record: r, listener: ln, calls: map[*farCall]bool{}}
	go f.accept(ln)
	return f, nil
}

// accept serves connections until the listener is closed.
func (f *farEnd) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		f.opened()
		go f.serve(&farConn{Conn: c})
	}
}

func (f *farEnd) name() string { return fmt.Sprintf("s-%08x", f.id) }

// state returns the state of the group. The lock is held.
func (f *farEnd) state() line {
	free := circuits
	for c := range f.calls {
		if c.stands {
			free--
		}
	}
	if f.full {
		free = 0
	}
	return line{Kind: "usage", UID: "0000000000000001", Meta: map[string]any{"load": fmt.Sprintf("x0:%d;x1:%d", free, circuits)}}
}

// tellState sends the state of the group on all open connections.
func (f *farEnd) tellState() {
	f.mu.Lock()
	b, conns := f.state().bytes(), slices.Clone(f.conns)
	f.mu.Unlock()
	for _, c := range conns {
		_ = c.writeLine(b)
	}
}

func (f *farEnd) serve(c *farConn) {
	defer f.ended()
	defer c.Close()
	f.mu.Lock()
	state, repeats := f.state().bytes(), f.repeats
	f.repeats = nil
	_ = c.writeLine(state) // before anything else
	f.conns = append(f.conns, c)
	f.mu.Unlock()
	for _, b := range repeats {
		_ = c.writeLine(b)
	}
	in := bufio.NewReaderSize(c, 16<<10)
	for {
		b, err := in.ReadSlice('\n')
		if err != nil {
			break
		}
		var l line
		if json.Unmarshal(b, &l) == nil {
			f.handle(c, l)
		}
	}
	if c.wasReset.Load() {
		time.Sleep(noticeReset)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = slices.DeleteFunc(f.conns, func(o *farConn) bool { return o == c })
	for call := range f.calls {
		if call.conn == c && !call.stands {
			f.remove(call, f.record.add(f.name(), "the set-up of call %s was given up with its connection", call.id))
		}
	}
}

func (f *farEnd) handle(c *farConn, l line) {
	switch l.Kind {
	case "launch":
		at := f.record.add(f.name(), "set-up of call %s arrived", l.UID)
		if f.onSetUp != nil {
			f.onSetUp(l.UID, at)
		}
		call := &farCall{id: l.UID, conn: c}
		if f.seen != nil {
			call.out = f.seen.begin(l.UID, f.name(), at)
		}
		f.mu.Lock()
		f.calls[call] = true
		f.mu.Unlock()
		time.AfterFunc(15*time.Millisecond, func() { f.answer(call) })
	case "stop":
		at := f.record.add(f.name(), "the agent released call %s", l.UID)
		f.mu.Lock()
		for call := range f.calls {
			if call.id == l.UID {
				f.remove(call, at)
			}
		}
		f.mu.Unlock()
		_ = c.writeLine(line{Kind: "stopped", UID: l.UID}.bytes())
		f.tellState()
	case "check":
		f.mu.Lock()
		m := f.state()
		f.mu.Unlock()
		one := 1
		_ = c.writeLine(line{Kind: "checked", UID: l.UID, Reason: &one, Meta: m.Meta}.bytes())
	}
}

// remove ends a set-up or a call. The lock is held.
func (f *farEnd) remove(call *farCall, at time.Duration) {
	call.over = true
	delete(f.calls, call)
	if call.out != nil {
		f.seen.end(call.out, at)
	}
}

// answer answers a set-up.
func (f *farEnd) answer(call *farCall) {
	f.mu.Lock()
	if call.over {
		f.mu.Unlock()
		return
	}
	call.stands = true
	f.answers++
	lost := f.resetEvery > 0 && f.answers%f.resetEvery == 0
	f.mu.Unlock()
	body := "v=0 made by " + f.name() + " for " + call.id + "\r\n"
	f.record.add(f.name(), "answered call %s", call.id)
	if lost {
		f.record.add(f.name(), "the answer to call %s is lost", call.id)
		f.resetByNetwork()
	} else {
		_ = call.conn.writeLine(line{Kind: "running", UID: call.id, Body: &body}.bytes())
		f.tellState()
	}
	if f.hold != nil {
		time.AfterFunc(f.hold(call.id), func() { f.release(call) })
	}
}

// release ends a call that stands: on the connection of its set-up, or else on any open one, and also on the next one opened.
func (f *farEnd) release(call *farCall) {
	f.mu.Lock()
	if call.over {
		f.mu.Unlock()
		return
	}
	f.remove(call, f.record.add(f.name(), "call %s is over and released", call.id))
	cause := 16
	b := line{Kind: "stop", UID: call.id, Reason: &cause}.bytes()
	f.repeats = append(f.repeats, b)
	conns := []*farConn{}
	if slices.Contains(f.conns, call.conn) {
		conns = append(conns, call.conn)
	}
	conns = append(conns, f.conns...)
	f.mu.Unlock()
	for _, c := range conns {
		if c.writeLine(b) == nil {
			break
		}
	}
	f.tellState()
}

// die ends the far end's process: its connections are reset and its calls cut. It returns the calls that stood.
func (f *farEnd) die() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		_ = f.listener.Close()
	}
	cut := []string{}
	for c := range f.calls {
		if c.stands {
			cut = append(cut, c.id)
		}
		f.remove(c, f.record.now())
	}
	for _, c := range f.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	f.record.add(f.name(), "stopped; calls cut: %v", cut)
	return cut
}
