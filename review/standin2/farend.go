package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	setUpTime   = 20 * time.Millisecond // from a set-up to its answer
	farConnsFor = 4                     // the state of the group is sent on as many connections at most
)

// line is a message of a far end or to it.
type line struct {
	Kind   string         `json:"kind"`
	UID    string         `json:"uid"`
	Meta   map[string]any `json:"meta"`
	Reason *int           `json:"reason,omitempty"`
	Body   *string        `json:"body,omitempty"`
}

// listing is a far end in the list.
type listing struct {
	id       uint32
	addr     string
	exchange int
	zone     int  // its place in the list of zones; 0, the agent's own zone, stands for 1
	state    byte // as in the change log: 0 ready, 1 draining, 2 gone
	started  int64
}

// farEnd is a stand-in for a far end.
type farEnd struct {
	run      *run
	name     string
	listener *net.TCPListener
	onLaunch func(uid string) // called for each set-up that has come whole, if set

	mu       sync.Mutex
	conns    []*farConn
	calls    map[string]*farConn // that stand, with the connection of their set-up
	pending  map[string]*farConn // set-ups without an answer
	released map[string]bool     // ended calls whose end the agent has not confirmed: told again on the next connection
	hold     time.Duration       // length of a call; 0: until release is called
	circuits int                 // of the group
	quiet    bool                // nothing is recorded of single calls
	gone     bool                // the machine is lost: nothing is read, answered or accepted
	fillers  []net.Conn          // keep new connections from coming up
}

// farConn is a connection from an agent.
type farConn struct {
	net.Conn
	writes sync.Mutex
	dead   bool // guarded by farEnd.mu
}

func (c *farConn) write(m line) {
	raw, _ := json.Marshal(m)
	c.writes.Lock()
	defer c.writes.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.Write(append(raw, '\n'))
}

// newFarEnd starts a far end.
func (r *run) newFarEnd(name string) *farEnd {
	l, err := net.Listen("tcp", newHost()+":0")
	r.need(err == nil, "a far end cannot listen: %v", err)
	f := &farEnd{run: r, name: name, listener: l.(*net.TCPListener), calls: map[string]*farConn{}, pending: map[string]*farConn{},
		released: map[string]bool{}, circuits: 40}
	r.atEnd(func() { l.Close() })
	go f.accept()
	return f
}

// note records something about a single call.
func (f *farEnd) note(format string, args ...any) {
	if !f.quiet {
		f.run.note(format, args...)
	}
}

func (f *farEnd) addr() string { return f.listener.Addr().String() }

func (f *farEnd) accept() {
	for {
		f.mu.Lock()
		gone := f.gone
		f.mu.Unlock()
		if gone {
			time.Sleep(time.Millisecond)
			continue
		}
		_ = f.listener.SetDeadline(time.Now().Add(20 * time.Millisecond))
		c, err := f.listener.Accept()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			continue
		} else if err != nil {
			return
		}
		f.mu.Lock()
		if f.gone { // it was accepted while the machine was lost
			f.fillers = append(f.fillers, c)
			f.mu.Unlock()
			continue
		}
		f.mu.Unlock()
		go f.serve(&farConn{Conn: c})
	}
}

// state is the state of the group. The lock is held.
func (f *farEnd) state() map[string]any {
	return map[string]any{"load": fmt.Sprintf("x0:%d;x1:%d;util:0.2;queue:0", f.circuits-len(f.calls), f.circuits)}
}

// tellState sends the state of the group on the open connections.
func (f *farEnd) tellState() {
	f.mu.Lock()
	state, conns := f.state(), slices.Clone(f.conns[:min(len(f.conns), farConnsFor)])
	f.mu.Unlock()
	for _, c := range conns {
		c.write(line{Kind: "usage", UID: newID(), Meta: state})
	}
}

func (f *farEnd) serve(c *farConn) {
	defer c.Close()
	f.mu.Lock()
	f.conns = append(f.conns, c)
	state := f.state()
	var again []string
	for uid := range f.released {
		again = append(again, uid)
	}
	clear(f.released)
	f.mu.Unlock()
	c.write(line{Kind: "usage", UID: newID(), Meta: state})
	for _, uid := range again {
		c.write(stopLine(uid, 16))
	}
	in := bufio.NewReader(c)
	for {
		raw, err := in.ReadBytes('\n')
		f.mu.Lock()
		gone := c.dead || f.gone
		f.mu.Unlock()
		if err != nil {
			break
		}
		if gone {
			continue // the machine is lost: what arrives is lost too
		}
		var m line
		if json.Unmarshal(raw, &m) == nil {
			f.handle(c, m)
		}
	}
	f.mu.Lock()
	f.conns = slices.DeleteFunc(f.conns, func(o *farConn) bool { return o == c })
	for uid, at := range f.pending {
		if at == c {
			delete(f.pending, uid)
		}
	}
	f.mu.Unlock()
}

func stopLine(uid string, cause int) line {
	return line{Kind: "stop", UID: uid, Meta: map[string]any{}, Reason: &cause}
}

func (f *farEnd) handle(c *farConn, m line) {
	switch m.Kind {
	case "launch":
		f.note("%s: set-up %s arrived", f.name, m.UID)
		if f.onLaunch != nil {
			f.onLaunch(m.UID)
		}
		f.mu.Lock()
		f.pending[m.UID] = c
		f.mu.Unlock()
		time.AfterFunc(setUpTime, func() { f.answer(c, m.UID) })
	case "stop":
		f.mu.Lock()
		_, stood := f.calls[m.UID]
		delete(f.calls, m.UID)
		delete(f.pending, m.UID)
		delete(f.released, m.UID)
		f.mu.Unlock()
		f.note("%s: stop %s from the agent (stood: %t)", f.name, m.UID, stood)
		c.write(line{Kind: "stopped", UID: m.UID, Meta: map[string]any{}})
		if stood {
			f.tellState()
		}
	case "stopped":
		f.mu.Lock()
		delete(f.released, m.UID)
		f.mu.Unlock()
	case "check":
		f.mu.Lock()
		state, passed := f.state(), 1
		f.mu.Unlock()
		c.write(line{Kind: "checked", UID: m.UID, Meta: state, Reason: &passed})
	}
}

// answer answers a set-up, unless it was given up.
func (f *farEnd) answer(c *farConn, uid string) {
	f.mu.Lock()
	if f.pending[uid] != c || c.dead || f.gone {
		f.mu.Unlock()
		return
	}
	delete(f.pending, uid)
	if len(f.calls) >= f.circuits {
		f.mu.Unlock()
		full := stopLine(uid, 34)
		full.Meta["note"] = "blocked"
		c.write(full)
		return
	}
	f.calls[uid] = c
	hold := f.hold
	f.mu.Unlock()
	body := fmt.Sprintf("v=0 %s %s\r\n", f.name, uid)
	c.write(line{Kind: "running", UID: uid, Meta: map[string]any{}, Body: &body})
	f.note("%s: call %s stands", f.name, uid)
	f.tellState()
	if hold > 0 {
		time.AfterFunc(hold, func() { f.release(uid) })
	}
}

// release ends a call: it tells so on the connection of the set-up, else on any open one, and also on the next one opened.
func (f *farEnd) release(uid string) {
	f.mu.Lock()
	c, stands := f.calls[uid]
	if !stands || f.gone {
		f.mu.Unlock()
		return
	}
	delete(f.calls, uid)
	f.released[uid] = true
	if !slices.Contains(f.conns, c) && len(f.conns) > 0 {
		c = f.conns[0]
	}
	f.mu.Unlock()
	f.note("%s: call %s ends, cause 16", f.name, uid)
	c.write(stopLine(uid, 16))
	f.tellState()
}

// backlog sets the length of the queue of connections that are not accepted yet.
func (f *farEnd) backlog(n int) {
	raw, err := f.listener.SyscallConn()
	f.run.need(err == nil, "the far end's socket: %v", err)
	_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) })
	f.run.need(err == nil, "the far end's socket: %v", err)
}

// vanish loses the machine: open connections stay open and silent, new ones never come up, and its calls are cut.
func (f *farEnd) vanish() {
	f.mu.Lock()
	f.gone = true
	cut := len(f.calls)
	clear(f.calls)
	clear(f.pending)
	clear(f.released)
	for _, c := range f.conns {
		c.dead = true
	}
	f.mu.Unlock()
	f.run.note("%s: its machine is lost, %d calls are cut", f.name, cut)
	time.Sleep(25 * time.Millisecond) // until no accept is under way
	f.backlog(0)
	for filled := false; !filled; { // until the queue is full, so that no connection comes up
		c, err := net.DialTimeout("tcp", f.addr(), 50*time.Millisecond)
		filled = err != nil
		if err == nil {
			f.fillers = append(f.fillers, c)
		}
	}
}

// comeBack starts the machine and a new process, which knows nothing of before: the old connections are reset.
func (f *farEnd) comeBack() {
	f.mu.Lock()
	old := f.conns
	f.conns = nil
	for _, c := range f.fillers {
		_ = c.Close()
	}
	f.fillers = nil
	f.mu.Unlock()
	f.backlog(128)
	for _, c := range old {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	f.mu.Lock()
	f.gone = false
	f.mu.Unlock()
	f.run.note("%s: its machine is back with a new process", f.name)
}

// newID returns a new id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
