package faultrig

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tinbeam/internal/farend"
)

// The behaviour of a stand-in far end.
const (
	setUpTime        = 25 * time.Millisecond // mean time from a set-up to its answer
	shareOfErrors    = 0.03                  // of the set-ups, those that end with an error
	shareOfRepeats   = 0.7                   // of the set-ups cut with their connection, those released on the next one
	shareOfLongCalls = 0.05
	longCall         = 14 * time.Second
	circuitsPerSide  = 40
)

// farEnd is a stand-in for a far end: it accepts set-ups, answers them, and releases the calls after a while.
type farEnd struct {
	id       atomic.Pointer[string] // as ListChanged events name it; another process at the address has another one
	recorder *Recorder
	listener net.Listener

	mu          sync.Mutex
	rng         *rand.Rand
	conns       []*farConn
	attempts    map[*farAttempt]bool
	free        int
	made        int               // descriptions made
	repeats     [][]byte          // releases of set-ups to send on the next connection that is opened
	unheard     map[string][]byte // releases of calls that the agent has not confirmed, sent on each new connection, by call
	hangUntil   time.Time
	errorsUntil time.Time
}

// farConn is a connection from an agent.
type farConn struct {
	net.Conn
	id     uint64 // the proxy's number of the connection
	writes sync.Mutex
}

func (c *farConn) writeLine(m *farend.Message) error {
	c.writes.Lock()
	defer c.writes.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := c.Write(m.Append(nil))
	return err
}

// farAttempt is a set-up from its arrival to the end of its call.
type farAttempt struct {
	call        string
	conn        *farConn
	description string // of an established call
	established bool
	over        bool
}

// newFarEnd starts a far end on a free port of the loopback interface.
func newFarEnd(id string, seed uint64, recorder *Recorder) (*farEnd, error) {
	f := &farEnd{recorder: recorder, rng: rand.New(rand.NewPCG(seed, 0xfa)), attempts: map[*farAttempt]bool{},
		free: circuitsPerSide, unheard: map[string][]byte{}}
	f.setName(id)
	return f, f.listen(newLoopbackAddress())
}

func (f *farEnd) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	f.listener = ln
	go f.accept(ln)
	return nil
}

func (f *farEnd) name() string { return *f.id.Load() }

func (f *farEnd) setName(id string) { f.id.Store(&id) }

func (f *farEnd) addr() string { return f.listener.Addr().String() }

func (f *farEnd) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go f.serve(c)
	}
}

// groupState is the report on the circuits, which is sent first on each connection. The lock is held.
func (f *farEnd) groupState() *farend.Message {
	return &farend.Message{Kind: farend.Usage, UID: fmt.Sprintf("%016x", f.rng.Uint64()), Meta: map[string]string{
		"load": fmt.Sprintf("x0:%d;x1:%d;queue:0", max(f.free, 0), circuitsPerSide)}}
}

// serve handles a connection. The proxy writes its number of the connection first, as a line.
func (f *farEnd) serve(raw net.Conn) {
	defer raw.Close()
	in := bufio.NewReaderSize(raw, farend.MaxLine)
	c := &farConn{Conn: raw}
	if _, err := fmt.Fscanf(in, "%d\n", &c.id); err != nil {
		return
	}
	f.waitWhileHanging()
	f.mu.Lock()
	repeats := slices.AppendSeq(f.repeats, maps.Values(f.unheard))
	f.repeats = nil
	f.conns = append(f.conns, c)
	state := f.groupState()
	f.mu.Unlock()
	_ = c.writeLine(state)
	for _, line := range repeats {
		c.writes.Lock()
		_, _ = c.Write(line)
		c.writes.Unlock()
	}
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			break
		}
		f.waitWhileHanging()
		if m, _, err := farend.Parse(line); err == nil && m != nil {
			f.handle(c, m)
		}
	}
	f.connectionEnded(c)
}

// waitWhileHanging blocks while the far end hangs.
func (f *farEnd) waitWhileHanging() {
	for {
		f.mu.Lock()
		wait := time.Until(f.hangUntil)
		f.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(min(wait, 20*time.Millisecond))
	}
}

func (f *farEnd) handle(c *farConn, m *farend.Message) {
	switch m.Kind {
	case farend.Launch:
		a := &farAttempt{call: m.UID, conn: c}
		f.mu.Lock()
		f.attempts[a] = true
		wait := time.Duration((0.5 + f.rng.Float64()) * float64(setUpTime))
		f.mu.Unlock()
		f.recorder.Add(Event{Kind: SetUpArrived, FarEnd: f.name(), Call: m.UID, Connection: c.id})
		time.AfterFunc(wait, func() { f.complete(a) })
	case farend.Stopped:
		f.mu.Lock()
		delete(f.unheard, m.UID)
		f.mu.Unlock()
	case farend.Stop:
		f.stop(c, m)
	case farend.Check:
		f.mu.Lock()
		state := f.groupState()
		f.mu.Unlock()
		_ = c.writeLine(&farend.Message{Kind: farend.Checked, UID: m.UID, Cause: farend.CheckPassed, Meta: state.Meta})
	}
}

// stop ends all attempts and calls with the message's ID, which may have come on any connection.
func (f *farEnd) stop(c *farConn, m *farend.Message) {
	f.mu.Lock()
	delete(f.unheard, m.UID)
	for a := range f.attempts {
		if a.call != m.UID {
			continue
		}
		if a.established {
			f.recorder.Add(Event{Kind: AgentReleased, FarEnd: f.name(), Call: a.call, Connection: a.conn.id})
		} else {
			f.recorder.Add(Event{Kind: AttemptEnded, FarEnd: f.name(), Call: a.call, Connection: a.conn.id, Note: "given up"})
		}
		f.remove(a)
	}
	f.mu.Unlock()
	_ = c.writeLine(&farend.Message{Kind: farend.Stopped, UID: m.UID})
}

// remove ends an attempt. The lock is held.
func (f *farEnd) remove(a *farAttempt) {
	a.over = true
	delete(f.attempts, a)
	if a.established {
		f.free++
	}
}

// complete answers a set-up.
func (f *farEnd) complete(a *farAttempt) {
	f.waitWhileHanging()
	f.mu.Lock()
	if a.over {
		f.mu.Unlock()
		return
	}
	answer := &farend.Message{UID: a.call}
	hold := time.Duration((0.1 + 1.5*f.rng.Float64()) * float64(time.Second))
	if f.rng.Float64() < shareOfLongCalls {
		hold = longCall
	}
	switch {
	case f.free <= 0:
		answer.Kind, answer.Cause, answer.Meta = farend.Stop, farend.CauseFull, map[string]string{"note": "blocked"}
	case f.rng.Float64() < shareOfErrors || time.Now().Before(f.errorsUntil):
		answer.Kind, answer.Cause = farend.Stop, farend.CauseBusy
	default:
		f.made++
		answer.Kind, answer.Body = farend.Running, fmt.Sprintf("v=0 %s %s %d\r\n", f.name(), a.call, f.made)
		f.recorder.Add(Event{Kind: DescribedBy, FarEnd: f.name(), Call: a.call, Note: answer.Body})
		a.established, a.description = true, answer.Body
		f.free--
	}
	if !a.established {
		f.remove(a)
	}
	// The end is recorded before it is written, since the agent may act on it at once.
	f.recorder.Add(Event{Kind: AttemptEnded, FarEnd: f.name(), Call: a.call, Connection: a.conn.id, Note: answer.Kind,
		Value: int64(answer.Cause)})
	f.mu.Unlock()
	_ = a.conn.writeLine(answer)
	if a.established {
		time.AfterFunc(hold, func() { f.release(a) })
	}
}

// release ends an established call: on the connection of its set-up, else on any open one, and also on the next one opened. If
// that one is lost as well, an agent has no means to ask, so it goes on until the agent confirms it.
func (f *farEnd) release(a *farAttempt) {
	f.waitWhileHanging()
	f.mu.Lock()
	if a.over {
		f.mu.Unlock()
		return
	}
	f.remove(a)
	f.recorder.Add(Event{Kind: CallEnded, FarEnd: f.name(), Call: a.call, Connection: a.conn.id, Note: a.description})
	line := &farend.Message{Kind: farend.Stop, UID: a.call, Cause: farend.CauseNormal}
	conns := slices.Clone(f.conns)
	if i := slices.Index(conns, a.conn); i > 0 {
		conns[0], conns[i] = conns[i], conns[0]
	}
	f.unheard[a.call] = line.Append(nil)
	f.mu.Unlock()
	for _, c := range conns {
		if c.writeLine(line) == nil {
			return
		}
	}
}

// connectionEnded gives up the set-ups that are open on a closed connection. The release of some of them is repeated on the
// next connection that is opened.
func (f *farEnd) connectionEnded(c *farConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = slices.DeleteFunc(f.conns, func(o *farConn) bool { return o == c })
	causes := []int{farend.CauseReset, farend.CauseFull, farend.CauseBusy, farend.CauseTimerExpiry, farend.CauseNormal}
	for a := range f.attempts {
		if a.conn != c || a.established {
			continue
		}
		f.remove(a)
		f.recorder.Add(Event{Kind: AttemptEnded, FarEnd: f.name(), Call: a.call, Connection: c.id, Note: "connection lost"})
		if f.rng.Float64() < shareOfRepeats {
			line := &farend.Message{Kind: farend.Stop, UID: a.call, Cause: causes[f.rng.IntN(len(causes))]}
			f.repeats = append(f.repeats, line.Append(nil))
		}
	}
}

// hang makes the far end neither read nor answer for a while.
func (f *farEnd) hang(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangUntil = time.Now().Add(d)
}

// failFor makes the far end answer set-ups with errors for a while.
func (f *farEnd) failFor(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errorsUntil = time.Now().Add(d)
}

// die loses all calls, as a process that is killed does.
func (f *farEnd) die() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.attempts {
		if a.established {
			f.recorder.Add(Event{Kind: CallEnded, FarEnd: f.name(), Call: a.call, Connection: a.conn.id, Note: a.description})
		} else {
			f.recorder.Add(Event{Kind: AttemptEnded, FarEnd: f.name(), Call: a.call, Connection: a.conn.id, Note: "died"})
		}
		f.remove(a)
	}
	f.repeats, f.hangUntil, f.free = nil, time.Time{}, circuitsPerSide
	clear(f.unheard)
	for _, c := range f.conns {
		resetConn(c.Conn)
	}
	f.conns = nil
}

// lose loses all calls and connections without a sign, as a machine that is cut off does.
func (f *farEnd) lose() {
	f.mu.Lock()
	f.conns = nil
	f.mu.Unlock()
	f.die()
}

// flood sends valid group states as fast as the agent reads them, for a while, on one connection.
func (f *farEnd) flood(d time.Duration) {
	f.mu.Lock()
	var c *farConn
	if len(f.conns) > 0 {
		c = f.conns[f.rng.IntN(len(f.conns))]
	}
	state := f.groupState()
	f.mu.Unlock()
	if c == nil {
		return
	}
	state.Meta["filler"] = fmt.Sprintf("%015000d", 0)
	for end := time.Now().Add(d); time.Now().Before(end); {
		if c.writeLine(state) != nil {
			return
		}
	}
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
