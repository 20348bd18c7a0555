// Package link has the connection object that every stream of the agent uses: netpoll reads, one goroutine a
// connection writes, and callbacks tell of what came and of the end. Nothing is started for a message.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	maxQueued    = 256 << 10       // bytes that may wait for a peer that does not read
	maxWrite     = 32 << 10        // bytes handed to the kernel at once: what is behind them can still be taken back
	maxInput     = 1<<20 + 64      // bytes kept of a message that is not whole; the parsers' own bounds are lower
	maxBite      = 32 << 10        // bytes of input shown at once
	maxKernel    = 64 << 10        // bytes that the kernel keeps of a caller's input
	writeTimeout = 3 * time.Second // a peer that reads nothing for so long is gone
)

// SendHandle lets a message be taken back as long as it has not been handed to the kernel.
// Counter, where there is one, counts it then.
type SendHandle struct {
	Counter interface{ Inc() }
	state   atomic.Int32
}

const (
	waiting int32 = iota
	written
	withdrawn
)

// Withdraw takes the message back, and tells whether that came in time.
func (t *SendHandle) Withdraw() bool { return t.state.CompareAndSwap(waiting, withdrawn) }

// Written tells whether the message has been handed to the kernel.
func (t *SendHandle) Written() bool { return t.state.Load() == written }

// Handler is what a connection tells of itself. Data takes whole messages from the front of b and tells how
// many bytes they had; an error closes the connection after what is queued has been written. Closed
// comes once, after the last Data.
type Handler interface {
	Data(c *Conn, b []byte) (int, error)
	Closed(c *Conn)
}

// Conn is one connection.
type Conn struct {
	np     netpoll.Connection
	events Handler
	in     []byte
	part   atomic.Int64 // since when the start of a message has waited for its rest, on the clock of clock; 0: none

	mu      sync.Mutex
	wake    sync.Cond
	queue   []message
	queued  int
	most    int  // bytes that may be queued
	writing bool // the writing goroutine runs, from the first message on
	closing bool // nothing more is queued; closed when all is written
	closed  bool
	told    sync.Once
}

type message struct {
	bytes  []byte
	ticket *SendHandle
}

func attach(np netpoll.Connection, most int, events func(*Conn) Handler) *Conn {
	c := &Conn{np: np, most: most}
	c.wake.L = &c.mu
	// Guards against an owner that learns of the connection in events, on another goroutine, and closes it at once.
	c.mu.Lock()
	c.events = events(c)
	c.mu.Unlock()
	_ = np.SetWriteTimeout(writeTimeout)
	_ = np.AddCloseCallback(func(netpoll.Connection) error {
		c.stop()
		return nil
	})
	return c
}

// Dial opens a connection, or gives up after the timeout. It blocks: never call it on the core's goroutine.
func Dial(addr string, timeout time.Duration, ev Handler) (*Conn, error) {
	np, err := netpoll.DialConnection("tcp", addr, timeout)
	if errors.Is(err, netpoll.ErrConnClosed) {
		// Guards the calls that stand: netpoll 0.7 says the same of a refused connection and, one time in fifty, of one
		// that was reset as it came up. A plain socket has the system's own word.
		if plain, e := net.DialTimeout("tcp", addr, timeout); e == nil {
			plain.Close()
		} else {
			err = e
		}
	}
	if err != nil {
		return nil, err
	}
	c := attach(np, maxQueued, func(*Conn) Handler { return ev })
	if err := np.SetOnRequest(c.onRequest); err != nil {
		c.Close()
		return nil, err
	}
	if !np.IsActive() {
		c.Close() // netpoll tells of no end that came before its callbacks were set
	}
	return c, nil
}

// Refused tells whether a dial met a machine on which nothing listens.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Listener takes connections in.
type Listener struct {
	open   atomic.Int64
	most   atomic.Int64
	door   *door
	loop   netpoll.EventLoop
	serve  sync.Once
	passed bool
}

// Listen opens addr; accept gives each new connection its events. More connections than most are closed at once: the
// descriptors that are left belong to the far ends. On each at most queued bytes wait for a peer that does not read.
// Nothing is taken in before Serve.
func Listen(addr string, most, queued int, accept func(*Conn) Handler) (*Listener, error) {
	conf := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return narrow(raw) }}
	ln, err := conf.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return listener(ln, false, most, queued, accept)
}

// Inherit is Listen on a socket that listens already and was passed to this process as a descriptor. Other processes hold
// it too, so it is never shut down here: what this one does not take in is theirs.
func Inherit(fd, most, queued int, accept func(*Conn) Handler) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "passed socket")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, os.ErrInvalid)
	}
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d does not listen for TCP", fd)
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = narrow(raw)
	}
	return listener(ln, true, most, queued, accept)
}

// narrow guards the memory: netpoll reads whatever the kernel has, whether or not it is handled, in ever larger blocks.
// What the kernel has is bounded here, for all connections taken in.
func narrow(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, maxKernel)
	})
}

func listener(ln net.Listener, passed bool, most, queued int, accept func(*Conn) Handler) (*Listener, error) {
	type key struct{}
	np, err := netpoll.ConvertListener(ln)
	if err != nil {
		ln.Close()
		return nil, err
	}
	l := &Listener{door: &door{Listener: np, plain: ln, passed: passed}, passed: passed}
	l.most.Store(int64(most))
	loop, err := netpoll.NewEventLoop(
		func(ctx context.Context, np netpoll.Connection) error {
			c, ok := ctx.Value(key{}).(*Conn)
			if !ok {
				return errors.New("link: a connection without its object")
			}
			return c.onRequest(ctx, np)
		},
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			l.open.Add(1)
			_ = np.AddCloseCallback(func(netpoll.Connection) error {
				l.open.Add(-1)
				return nil
			})
			if l.open.Load() > l.most.Load() {
				_ = np.Close()
				return context.Background()
			}
			return context.WithValue(context.Background(), key{}, attach(np, queued, accept))
		}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	l.loop = loop
	return l, nil
}

// Serve begins to take connections in.
func (l *Listener) Serve() {
	l.serve.Do(func() { go func() { _ = l.loop.Serve(l.door) }() })
}

// door is a listener that can be left: what netpoll is told of as closed it takes off its poller, and what it has taken in
// stays open.
type door struct {
	netpoll.Listener
	plain  net.Listener
	passed bool
	left   atomic.Bool
}

// Accept guards a passed socket's other holders: what comes to one that is left waits for them.
func (d *door) Accept() (net.Conn, error) {
	if d.left.Load() {
		return nil, net.ErrClosed
	}
	return d.Listener.Accept()
}

// Close guards other descriptors of the process: netpoll 0.7 closes a listener's twice by number, and what has been opened in
// between under that number is closed with it. Here the socket is shut, unless others hold it, and the file that netpoll
// holds of it closes it once, when it is collected.
func (d *door) Close() error {
	if !d.passed {
		_ = syscall.Shutdown(d.Fd(), syscall.SHUT_RDWR)
	}
	return d.plain.Close()
}

// Addr is where it listens.
func (l *Listener) Addr() string { return l.door.Addr().String() }

// Inherited tells whether the socket is held by other processes too.
func (l *Listener) Inherited() bool { return l.passed }

// StopAccepting takes nothing more from a passed socket, which is for its other holders; those that are open stay.
func (l *Listener) StopAccepting() { l.door.left.Store(true) }

// RejectNew has every further connection closed as it comes; those that are open stay.
func (l *Listener) RejectNew() { l.most.Store(0) }

// Close stops listening and closes what it took in.
func (l *Listener) Close() {
	l.serve.Do(func() {})
	l.StopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = l.loop.Shutdown(ctx)
	_ = l.door.Close()
}

func (c *Conn) onRequest(_ context.Context, np netpoll.Connection) error {
	r := np.Reader()
	n := r.Len()
	if n == 0 {
		return nil
	}
	b, err := r.Next(n)
	if err != nil {
		return nil // the close callback tells
	}
	// Shown bite by bite, so that what is kept of a message stays small however much has come.
	for len(b) > 0 && !c.ended() {
		n := min(len(b), maxBite)
		c.in = append(c.in, b[:n]...)
		b = b[n:]
		used, err := c.events.Data(c, c.in)
		used = min(max(used, 0), len(c.in))
		c.in = append(c.in[:0], c.in[used:]...)
		if err != nil || len(c.in) > maxInput {
			c.CloseAfterFlush()
		}
		if len(c.in) == 0 {
			c.part.Store(0)
		} else if used > 0 || c.part.Load() == 0 {
			c.part.Store(int64(clock()))
		}
	}
	if c.ended() || len(c.in) == 0 && cap(c.in) > 2*maxBite {
		c.in = nil
	}
	_ = r.Release()
	return nil
}

func (c *Conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.closed
}

// clock only ever grows, from 1.
var clock = func() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + 1 }
}()

// StalledFor is how long the start of a message has waited for its rest; 0: there is none.
func (c *Conn) StalledFor() time.Duration {
	if at := c.part.Load(); at != 0 {
		return clock() - time.Duration(at)
	}
	return 0
}

// Send queues a message; it never blocks. It tells false where the connection is closed or its peer has not
// read for so long that the queue is full, which ends the connection. A nil ticket cannot be withdrawn.
func (c *Conn) Send(b []byte, t *SendHandle) bool {
	c.mu.Lock()
	if c.closing || c.closed {
		c.mu.Unlock()
		return false
	}
	if c.queued+len(b) > c.most {
		c.mu.Unlock()
		c.Close()
		return false
	}
	c.queue = append(c.queue, message{b, t})
	c.queued += len(b)
	c.write()
	c.mu.Unlock()
	return true
}

// write has the writing goroutine go on; it is there from the first message on, so that peers to whom nothing is said
// cost little.
func (c *Conn) write() {
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
	c.wake.Signal()
}

// CloseAfterFlush closes the connection once all that is queued has been written.
func (c *Conn) CloseAfterFlush() {
	c.mu.Lock()
	c.closing = true
	if !c.closed {
		c.write()
	}
	c.mu.Unlock()
}

// Close closes the connection at once.
func (c *Conn) Close() {
	c.stop()
	_ = c.np.Close()
}

// Peer is the other side's address.
func (c *Conn) Peer() string { return c.np.RemoteAddr().String() }

func (c *Conn) stop() {
	c.mu.Lock()
	c.closed = true
	c.queue, c.queued = nil, 0
	c.wake.Signal()
	c.mu.Unlock()
	c.told.Do(func() { c.events.Closed(c) })
}

// take is the next batch to write; nil: the connection is over.
func (c *Conn) take() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		var batch []byte
		n := 0
		for _, m := range c.queue {
			if len(batch) > 0 && len(batch)+len(m.bytes) > maxWrite {
				break
			}
			n++
			c.queued -= len(m.bytes)
			if m.ticket == nil || m.ticket.state.CompareAndSwap(waiting, written) {
				batch = append(batch, m.bytes...)
				if m.ticket != nil && m.ticket.Counter != nil {
					m.ticket.Counter.Inc()
				}
			}
		}
		c.queue = append(c.queue[:0], c.queue[n:]...)
		switch {
		case c.closed:
			return nil
		case len(batch) > 0:
			return batch
		case len(c.queue) > 0:
			continue
		case c.closing:
			return nil
		}
		c.wake.Wait()
	}
}

func (c *Conn) writeLoop() {
	w := c.np.Writer()
	for {
		b := c.take()
		if b == nil {
			break
		}
		if _, err := w.WriteBinary(b); err != nil {
			break
		}
		if err := w.Flush(); err != nil {
			break
		}
	}
	c.Close()
}

func init() {
	// One core: one poller is enough, and a second one would only trade the core with the first. What netpoll logs of
	// each reset and early close is counted by the owners of the connections.
	_ = netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: io.Discard})
}
