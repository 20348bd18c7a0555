package faultrig

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tinbeam/internal/farend"
)

// linkFault is what a proxy does to the connections that it carries.
type linkFault struct {
	OpenLate     time.Duration // a new connection is served only after this
	CloseEarly   bool          // a new connection is closed or reset at once
	Silent       bool          // nothing is passed on, on old and new connections
	ResetStarted time.Duration // a connection is reset this long after a set-up was passed on; 0: never
	Split        time.Duration // answers are passed on in pieces, with this pause between them
	Doubled      time.Duration // each answer is passed on again after at most this
	Spoilt       float64       // share of the answers that are spoilt
	Delayed      time.Duration // answers are passed on late, by at most this
	MaxConns     int           // connections held at most, others are refused; 0: no limit
	SlowRead     time.Duration // what the agent writes is read a little at a time, with pauses of at most this
}

// proxy carries the connections from agents to one far end and injects faults into them.
type proxy struct {
	farEnd   *farEnd
	recorder *Recorder
	address  string // on which it listens

	mu       sync.Mutex
	changed  *sync.Cond
	rng      *rand.Rand
	listener net.Listener
	fault    linkFault
	links    []*proxyLink

	listening, stopped bool
	unnoticed          *linkLoss // the last loss, until the far end notices it; nil: there is none
	nextLoss           *linkLoss // what the next set-up brings about; nil: nothing
}

// linkLoss is a loss of all connections to a far end, which notices it a while later.
type linkLoss struct {
	unnoticedFor time.Duration
	accepting    bool // it accepts other connections meanwhile
	noticed      chan struct{}
}

// proxyLink is one connection through a proxy.
type proxyLink struct {
	id            uint64
	name          string // of the far end
	proxy         *proxy
	agent, farEnd net.Conn
	launched      map[string]bool // calls with a set-up on it
	closed        bool
	loss          *linkLoss // in which it was lost; nil: it was not
	silent        bool      // nothing is passed on any more
}

// acceptBacklog is the length of the queue of a proxy's listening socket. While the proxy does not accept, connections beyond it
// never come up.
const acceptBacklog = 1

// The connections that fill the queue of a listening socket.
const (
	fillerTimeout = 50 * time.Millisecond // one that has not come up after this finds the queue full
	fillerTime    = 6 * time.Second       // they are kept for so long
)

// newProxy starts a proxy on a free port of the loopback interface.
func newProxy(f *farEnd, seed uint64, recorder *Recorder) (*proxy, error) {
	p := &proxy{farEnd: f, recorder: recorder, address: newLoopbackAddress(), rng: rand.New(rand.NewPCG(seed, 0x9c))}
	p.changed = sync.NewCond(&p.mu)
	return p, p.listen()
}

// listen opens the proxy's socket, at its earlier address if it had one.
func (p *proxy) listen() error {
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), acceptBacklog) })
	}
	p.mu.Lock()
	p.listener, p.address, p.listening, p.stopped = ln, ln.Addr().String(), true, false
	p.mu.Unlock()
	go p.accept(ln)
	return nil
}

func (p *proxy) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

func (p *proxy) accept(ln net.Listener) {
	for {
		p.mu.Lock()
		for p.fault.Silent { // connections beyond the backlog do not come up
			p.changed.Wait()
		}
		p.mu.Unlock()
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		go p.serve(c)
	}
}

// setFault replaces the present fault.
func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	p.fault = fault
	p.changed.Broadcast()
	p.mu.Unlock()
	p.adjustListening()
}

// adjustListening closes the socket while the far end holds all the connections that it accepts, and opens it again afterwards.
func (p *proxy) adjustListening() {
	p.mu.Lock()
	full := p.fault.MaxConns > 0 && len(p.links) >= p.fault.MaxConns
	wanted := !p.stopped && (p.unnoticed == nil || p.unnoticed.accepting) && !full
	open, shut := wanted && !p.listening, !wanted && p.listening
	if shut {
		_ = p.listener.Close()
	}
	p.listening = wanted
	p.mu.Unlock()
	if open {
		if err := p.listen(); err != nil {
			p.mu.Lock()
			p.listening = false
			p.mu.Unlock()
			p.recorder.Add(Event{Kind: FaultInjected, Note: "the rig failed: " + err.Error()})
		}
	}
}

// loseUnderSetUp loses all connections a moment after the next set-up, without the far end's notice for a while.
func (p *proxy) loseUnderSetUp(unnoticedFor time.Duration, accepting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextLoss = &linkLoss{unnoticedFor: unnoticedFor, accepting: accepting, noticed: make(chan struct{})}
}

// silenceOne lets one connection fall silent. The far end takes it for open for a time, also when the agent has closed it.
func (p *proxy) silenceOne(unnoticedFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := slices.DeleteFunc(slices.Clone(p.links), func(l *proxyLink) bool { return l.silent || l.loss != nil })
	if len(links) == 0 {
		return
	}
	l := links[p.rng.IntN(len(links))]
	loss := &linkLoss{unnoticedFor: unnoticedFor, noticed: make(chan struct{})}
	l.silent, l.loss = true, loss
	p.recorder.Add(Event{Kind: FaultInjected, FarEnd: p.farEnd.name(), Note: fmt.Sprintf("connection %d silent for %v", l.id, unnoticedFor)})
	time.AfterFunc(unnoticedFor, func() {
		close(loss.noticed)
		l.reset()
	})
}

// vanish lets nothing pass on the open connections any more, and keeps others from coming up until the fault is lifted. It returns the open
// ones, which the far end does not know any longer.
func (p *proxy) vanish() (old []*proxyLink) {
	p.setFault(linkFault{Silent: true})
	p.mu.Lock()
	old = slices.Clone(p.links)
	for _, l := range old {
		l.silent = true
	}
	p.mu.Unlock()
	for range 2 * (acceptBacklog + 1) { // until the queue of the socket is full
		filler, err := net.DialTimeout("tcp", p.addr(), fillerTimeout)
		if err != nil {
			break
		}
		time.AfterFunc(fillerTime, func() { _ = filler.Close() })
	}
	return old
}

func (l *proxyLink) isSilent() bool {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return l.silent
}

// setUpPassed loses the connections if loseUnderSetUp asks for it.
func (p *proxy) setUpPassed() {
	p.mu.Lock()
	loss := p.nextLoss
	p.nextLoss = nil
	p.mu.Unlock()
	if loss != nil {
		time.AfterFunc(p.random(2*setUpTime), func() { p.lose(loss) })
	}
}

// lose resets the agent's side of all connections. The far end goes on holding its side until it notices after a while, and until then
// accepts no others if the loss says so.
func (p *proxy) lose(loss *linkLoss) {
	p.mu.Lock()
	if p.unnoticed != nil || p.stopped {
		p.mu.Unlock()
		return
	}
	p.unnoticed = loss
	links := slices.Clone(p.links)
	for _, l := range links {
		l.loss = loss
	}
	p.mu.Unlock()
	p.recorder.Add(Event{Kind: FaultInjected, FarEnd: p.farEnd.name(), Note: fmt.Sprintf("%d connections lost, unnoticed for %v, others accepted: %t",
		len(links), loss.unnoticedFor, loss.accepting)})
	p.adjustListening()
	for _, l := range links {
		resetConn(l.agent)
	}
	time.AfterFunc(loss.unnoticedFor, func() {
		p.mu.Lock()
		p.unnoticed = nil
		p.mu.Unlock()
		close(loss.noticed)
		for _, l := range links {
			l.reset()
		}
		p.adjustListening()
	})
}

// waitUntilNoticed blocks while the far end does not know that the connection was lost.
func (l *proxyLink) waitUntilNoticed() {
	l.proxy.mu.Lock()
	loss := l.loss
	l.proxy.mu.Unlock()
	if loss != nil {
		<-loss.noticed
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// waitWhileSilent blocks while nothing may pass.
func (p *proxy) waitWhileSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.fault.Silent {
		p.changed.Wait()
	}
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	links := slices.Clone(p.links)
	p.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
}

// stop closes the socket and resets all connections: from now on new ones are refused.
func (p *proxy) stop() {
	p.mu.Lock()
	ln := p.listener
	p.listening, p.stopped = false, true
	p.mu.Unlock()
	_ = ln.Close()
	p.resetAll()
}

// serve carries one connection.
func (p *proxy) serve(agent net.Conn) {
	fault := p.currentFault()
	if fault.CloseEarly {
		p.closeEarly(agent)
		return
	}
	l := &proxyLink{id: p.recorder.NextID(), name: p.farEnd.name(), proxy: p, agent: agent, launched: map[string]bool{}}
	lines := make(chan []byte, 1024)
	go l.carryRequests(lines)
	time.Sleep(fault.OpenLate)
	p.waitWhileSilent()
	farSide, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.farEnd.addr())
	if err != nil {
		resetConn(agent)
		for range lines { // until the reader has seen the reset
		}
		return
	}
	l.farEnd = farSide
	_, _ = fmt.Fprintf(farSide, "%d\n", l.id)
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	p.adjustListening()
	go l.carryAnswers()
	l.forward(lines)
}

func (p *proxy) closeEarly(c net.Conn) {
	p.mu.Lock()
	reset := p.rng.IntN(2) == 0
	p.mu.Unlock()
	if reset {
		resetConn(c)
		return
	}
	_ = c.Close()
}

// reset resets both sides of the connection.
func (l *proxyLink) reset() { l.end(true) }

// end closes both sides, and takes the connection off the proxy's list.
func (l *proxyLink) end(reset bool) {
	p := l.proxy
	p.mu.Lock()
	if l.closed {
		p.mu.Unlock()
		return
	}
	l.closed = true
	p.links = slices.DeleteFunc(p.links, func(o *proxyLink) bool { return o == l })
	p.mu.Unlock()
	defer p.adjustListening()
	if reset {
		resetConn(l.agent)
		resetConn(l.farEnd)
		return
	}
	_ = l.agent.Close()
	_ = l.farEnd.Close()
}

// carryRequests reads what the agent sends. It reads also while nothing may pass, to record when the agent wrote or closed.
func (l *proxyLink) carryRequests(lines chan<- []byte) {
	defer close(lines)
	early := unreadBytes(l.agent) // written before the connection was accepted, nobody saw when
	reader := &slowReader{link: l}
	in := bufio.NewReaderSize(reader, 64<<10)
	for {
		if _, err := in.ReadByte(); err != nil {
			break
		}
		firstByteAt, unseen := l.proxy.recorder.Now(), reader.behind || early > 0
		_ = in.UnreadByte()
		line, err := in.ReadBytes('\n')
		if err != nil {
			break
		}
		l.recordRequest(line, firstByteAt, unseen)
		early -= len(line)
		lines <- line
	}
	for call := range l.launched {
		l.proxy.recorder.Add(Event{Kind: AttemptGivenUp, FarEnd: l.name, Call: call, Connection: l.id, Note: "closed"})
	}
}

// slowReadSize is how many bytes are read at a time from an agent whose far end reads slowly.
const slowReadSize = 100

// slowReader reads what the agent writes, slowly if the present fault says so.
type slowReader struct {
	link   *proxyLink
	behind bool // what is being read was written at an unknown earlier time
}

func (r *slowReader) Read(b []byte) (int, error) {
	if pause := r.link.proxy.currentFault().SlowRead; pause > 0 {
		r.behind = true
		time.Sleep(r.link.random(pause))
		b = b[:min(len(b), slowReadSize)]
	} else if unreadBytes(r.link.agent) == 0 {
		r.behind = false // it has caught up
	}
	return r.link.agent.Read(b)
}

// unreadBytes returns how many bytes have arrived on a connection and were not read.
func unreadBytes(c net.Conn) (n int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	return n
}

func (l *proxyLink) recordRequest(line []byte, firstByteAt time.Duration, early bool) {
	m, _, err := farend.Parse(line)
	if err != nil || m == nil {
		return
	}
	switch m.Kind {
	case farend.Launch:
		l.launched[m.UID] = true
		e := Event{At: firstByteAt, Kind: SetUpWritten, FarEnd: l.name, Call: m.UID, Connection: l.id,
			Agent: agentOfCall(m.Body)}
		if early {
			e.Note = writtenEarlier
		}
		l.proxy.recorder.Add(e)
	case farend.Stop:
		l.proxy.recorder.Add(Event{Kind: AttemptGivenUp, FarEnd: l.name, Call: m.UID, Connection: anyConnection,
			Note: "stop"})
	}
}

// forward writes the agent's lines to the far end.
func (l *proxyLink) forward(lines <-chan []byte) {
	for line := range lines {
		l.proxy.waitWhileSilent()
		if l.isSilent() {
			continue
		}
		if _, err := l.farEnd.Write(line); err != nil {
			break
		}
		fault := l.proxy.currentFault()
		if !bytes.Contains(line, []byte(`"launch"`)) {
			continue
		}
		l.proxy.setUpPassed()
		if fault.ResetStarted > 0 {
			time.AfterFunc(l.random(fault.ResetStarted), l.reset)
		}
	}
	l.proxy.waitWhileSilent()
	l.waitUntilNoticed()
	l.end(false)
	for range lines { // the reader must not block
	}
}

// random returns a random duration below limit.
func (p *proxy) random(limit time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(limit) + 1))
}

func (l *proxyLink) random(limit time.Duration) time.Duration { return l.proxy.random(limit) }

func (l *proxyLink) chance(share float64) bool {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return l.proxy.rng.Float64() < share
}

// carryAnswers passes on what the far end sends, line by line.
func (l *proxyLink) carryAnswers() {
	in := bufio.NewReaderSize(l.farEnd, 64<<10)
	write := func(b []byte) error {
		_, err := l.agent.Write(b)
		return err
	}
	var writes sync.Mutex // a line that is passed on in pieces must not be mixed with the copy of another
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break
		}
		l.proxy.waitWhileSilent()
		if l.isSilent() {
			continue
		}
		fault := l.proxy.currentFault()
		time.Sleep(l.random(fault.Delayed))
		if fault.Spoilt > 0 && l.chance(fault.Spoilt) {
			_ = write(l.spoil(line))
			break
		}
		writes.Lock()
		err = write(l.splitOff(line, fault.Split, write))
		writes.Unlock()
		if err != nil {
			break
		}
		l.recordRelease(line)
		if fault.Doubled > 0 {
			time.AfterFunc(l.random(fault.Doubled), func() {
				writes.Lock()
				defer writes.Unlock()
				_ = write(line)
			})
		}
	}
	l.waitUntilNoticed()
	l.end(l.chance(0.5))
}

// splitOff writes the first half of a line, if answers are split, waits, and returns what is left to write.
func (l *proxyLink) splitOff(line []byte, pause time.Duration, write func([]byte) error) []byte {
	if pause <= 0 {
		return line
	}
	middle := len(line) / 2
	_ = write(line[:middle])
	time.Sleep(l.random(pause))
	return line[middle:]
}

// deliveryTime is how long a connection has to stay open for what was written to it to count as delivered: a reset takes with
// it what has not been read yet.
const deliveryTime = 100 * time.Millisecond

// recordRelease records that a release was passed on to the agent, if the connection stays open.
func (l *proxyLink) recordRelease(line []byte) {
	m, _, err := farend.Parse(line)
	if err != nil || m == nil || m.Kind != farend.Stop {
		return
	}
	passedAt := l.proxy.recorder.Now()
	time.AfterFunc(deliveryTime, func() {
		l.proxy.mu.Lock()
		closed := l.closed
		l.proxy.mu.Unlock()
		if !closed {
			l.proxy.recorder.Add(Event{At: passedAt, Kind: FarReleased, FarEnd: l.name, Call: m.UID, Connection: l.id})
		}
	})
}

// spoil returns a line that cannot be read: cut short, or with other bytes in it.
func (l *proxyLink) spoil(line []byte) []byte {
	out := slices.Clone(line[:len(line)/2])
	if l.chance(0.5) {
		return out
	}
	return append(out, "\xff\x00{}\n"...)
}
