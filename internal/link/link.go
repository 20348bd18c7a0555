// Package link provides the connection type for all TCP streams of the agent. netpoll reads, one goroutine for each connection
// writes, and a Handler is called with received data and when the connection ends. No goroutine is started per message.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	invariant "tinbeam/internal/debug"
)

const (
	maxQueued        = 256 << 10  // bytes that may be queued for a peer that does not read
	maxInput         = 1<<20 + 64 // bytes buffered of an incomplete message; the parsers' own limits are lower
	maxUnhandled     = 1 << 20    // bytes received that the handler has not consumed, the incomplete message not counted
	maxChunk         = 32 << 10   // bytes of input passed to the handler at once
	maxReceiveBuffer = 64 << 10   // kernel receive buffer of a connection, in bytes
	maxSendBuffer    = 64 << 10   // kernel send buffer of a dialed connection: what is in it cannot be withdrawn
)

// Handler receives the events of a connection. Data consumes complete messages from the start of b and returns the number
// of bytes consumed; if it returns an error, the connection is closed after the queued messages have been written. Closed
// is called once, after the last Data.
type Handler interface {
	Data(c *Conn, b []byte) (int, error)
	Closed(c *Conn)
}

// Conn is a TCP connection.
type Conn struct {
	np           netpoll.Connection
	localAddr    string
	handler      Handler
	input        []byte
	handling     atomic.Bool  // the handler is being called
	flooded      atomic.Bool  // the connection was closed since its peer sent faster than the handler consumes
	pausedAt     atomic.Int64 // time, from clock, since which reading has been paused; 0: it is not
	partialSince atomic.Int64 // time, from clock, since which an incomplete message has been buffered; 0: none

	mu         sync.Mutex
	wake       sync.Cond
	queue      []message
	queued     int
	maxQueued  int  // limit on queued bytes
	writing    bool // the writing goroutine has been started, at the first message
	flushing   bool // the writing goroutine has taken a batch and not finished it
	closing    bool // no more messages are accepted; closes once the queue has been written
	closed     bool
	closedOnce sync.Once

	socketMu   sync.Mutex // guards the descriptor and netpoll's buffers against being released while they are used
	socketGone bool       // netpoll releases them

	// used by the writing goroutine only
	blockedSince time.Duration // time, from clock, since which the kernel has taken nothing; 0: it takes what is written
	writeRetry   time.Duration // until the next try
}

func newConn(np netpoll.Connection, maxQueued int, accept func(*Conn) Handler) *Conn {
	c := &Conn{np: np, maxQueued: maxQueued}
	c.wake.L = &c.mu
	// The owner learns of the connection in accept and may close it at once on another goroutine. Without the lock, that could
	// happen before the handler is set.
	c.mu.Lock()
	c.handler = accept(c)
	c.mu.Unlock()
	// netpoll calls this before it closes the descriptor and frees the buffers.
	_ = np.AddCloseCallback(func(netpoll.Connection) error {
		c.markClosed()
		c.socketMu.Lock()
		c.socketGone = true
		c.socketMu.Unlock()
		return nil
	})
	return c
}

// Dial opens a connection and fails after the timeout. It blocks, so it must not be called on the core's goroutine.
func Dial(addr string, timeout time.Duration, handler Handler) (*Conn, error) {
	np, localAddr, err := dialSocket(addr, timeout)
	if err != nil {
		return nil, err
	}
	c := newConn(np, maxQueued, func(*Conn) Handler { return handler })
	c.localAddr = localAddr
	c.withSocket(func(conn netpoll.Conn) {
		setReceiveBuffer(conn.Fd())
		_ = syscall.SetsockoptInt(conn.Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, maxSendBuffer)
	})
	if err := np.SetOnRequest(c.onRequest); err != nil {
		c.Close()
		return nil, err
	}
	if !np.IsActive() {
		c.Close() // netpoll does not report an end that came before its callbacks were set
	}
	return c, nil
}

// dialSocket opens a connection with the standard library and hands its socket to netpoll. netpoll 0.7 itself returns the same error
// for a refused connection and for one that is reset as it opens; taking a reset for a refusal would end the established calls.
func dialSocket(addr string, timeout time.Duration) (np netpoll.Connection, localAddr string, err error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, "", err
	}
	fd, dupErr := -1, error(nil)
	if err := raw.Control(func(s uintptr) { fd, dupErr = unix.FcntlInt(s, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return nil, "", err
	}
	if dupErr != nil {
		return nil, "", fmt.Errorf("duplicate the socket: %w", dupErr)
	}
	np, err = netpoll.NewFDConnection(fd)
	if err != nil {
		_ = unix.Close(fd)
	}
	return np, conn.LocalAddr().String(), err
}

// Refused reports whether a dial failed because nothing listens at the address, although the machine is reachable.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (c *Conn) onRequest(_ context.Context, np netpoll.Connection) error {
	c.handling.Store(true)
	defer c.handling.Store(false)
	r := np.Reader()
	n := r.Len()
	if n == 0 {
		return nil
	}
	b, err := r.Next(n)
	if err != nil {
		return nil // the close callback reports it
	}
	// The handler gets the input in chunks, so that the buffer stays small however much was read.
	for len(b) > 0 && !c.isClosing() {
		// netpoll goes on reading while the handler works, and cannot be told to wait.
		if len(b)+r.Len() > maxUnhandled {
			c.CloseFlooded()
			break
		}
		n := min(len(b), maxChunk)
		c.handle(b[:n])
		b = b[n:]
	}
	if c.isClosing() || len(c.input) == 0 && cap(c.input) > 2*maxChunk {
		c.input = nil
	}
	_ = r.Release()
	return nil
}

// handle adds b to the input and passes it to the handler.
func (c *Conn) handle(b []byte) {
	defer c.closeOnPanic()
	c.input = append(c.input, b...)
	used, err := c.handler.Data(c, c.input)
	used = min(max(used, 0), len(c.input))
	c.input = append(c.input[:0], c.input[used:]...)
	if err != nil || len(c.input) > maxInput {
		c.CloseAfterFlush()
	}
	if len(c.input) == 0 {
		c.partialSince.Store(0)
	} else if used > 0 || c.partialSince.Load() == 0 {
		c.partialSince.Store(int64(clock()))
	}
}

// RemoteHost returns the peer's address without its port.
func (c *Conn) RemoteHost() string {
	host, _, err := net.SplitHostPort(c.np.RemoteAddr().String())
	if err != nil {
		return c.np.RemoteAddr().String()
	}
	return host
}

// LocalAddr returns the agent's own address of a connection that Dial has opened, which names it at both ends.
func (c *Conn) LocalAddr() string { return c.localAddr }

// Flooded reports whether the connection was closed because its peer sends faster than the handler consumes.
func (c *Conn) Flooded() bool { return c.flooded.Load() }

// CloseFlooded closes the connection because its peer sends faster than its messages are handled.
func (c *Conn) CloseFlooded() {
	c.flooded.Store(true)
	c.Close()
}

// closeOnPanic is deferred around calls of the handler. A panic is reported and ends the connection only; in a debug build it ends
// the program.
func (c *Conn) closeOnPanic() {
	if p := recover(); p != nil {
		if invariant.Strict {
			go panic(fmt.Sprintf("%v\n%s", p, debug.Stack())) // on this goroutine netpoll's pool would recover it
		}
		if report := panicHandler.Load(); report != nil && *report != nil {
			(*report)(p, debug.Stack())
		}
		c.Close()
	}
}

// panicHandler is what SetPanicHandler was called with.
var panicHandler atomic.Pointer[func(value any, stack []byte)]

// SetPanicHandler sets what is called with the value and the stack of a panic in a Handler's Data; nil: nothing.
func SetPanicHandler(report func(value any, stack []byte)) { panicHandler.Store(&report) }

func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.closed
}

// clock is monotonic and starts at 1 so that 0 can mean that no time is set.
var clock = func() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + 1 }
}()

// StalledFor returns how long an incomplete message has been waiting for its remaining bytes; 0 if there is none.
func (c *Conn) StalledFor() time.Duration {
	if at := c.partialSince.Load(); at != 0 {
		return clock() - time.Duration(at)
	}
	return 0
}

// Close closes the connection at once and drops queued messages.
func (c *Conn) Close() {
	c.markClosed()
	_ = c.np.Close()
}

func (c *Conn) markClosed() {
	c.mu.Lock()
	c.closed = true
	c.queue, c.queued = nil, 0
	c.wake.Signal()
	c.mu.Unlock()
	c.closedOnce.Do(func() { c.handler.Closed(c) })
}

func init() {
	// The program is meant for one CPU core: a second poller would only compete with the first for it. netpoll's log of each
	// reset and early close is discarded, because the owners of the connections count these events.
	_ = netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: io.Discard})
}
