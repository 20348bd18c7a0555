// Package link provides the connection type for all TCP streams of the agent. netpoll reads, one goroutine for each connection
// writes, and a Handler is called with received data and when the connection ends. No goroutine is started per message.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
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
	maxWrite         = 32 << 10   // bytes handed to the kernel at once; messages queued behind them can still be withdrawn
	maxInput         = 1<<20 + 64 // bytes buffered of an incomplete message; the parsers' own limits are lower
	maxUnhandled     = 1 << 20    // bytes received that the handler has not consumed, the incomplete message not counted
	maxChunk         = 32 << 10   // bytes of input passed to the handler at once
	maxReceiveBuffer = 64 << 10   // kernel receive buffer of a connection, in bytes
	// receive low-water mark of a socket whose reading is paused, in bytes; the kernel allows up to half of the buffer
	pausedLowWaterMark = maxReceiveBuffer / 2
	pauseLimit         = 50 * time.Millisecond // reading is resumed after this
	readTime           = 2 * time.Millisecond  // netpoll has ended a read that was under way after this
	writeTimeout       = 3 * time.Second       // a peer that reads nothing for this long is considered gone
)

// SendHandle allows a sent message to be withdrawn until it has been handed to the kernel. Counter, if set, is incremented
// when that happens.
type SendHandle struct {
	Counter interface{ Inc() }
	state   atomic.Int32
}

const (
	waiting int32 = iota
	written
	withdrawn
)

// Withdraw prevents the message from being written, and reports whether it was still in time.
func (h *SendHandle) Withdraw() bool { return h.state.CompareAndSwap(waiting, withdrawn) }

// Written reports whether the message has been handed to the kernel.
func (h *SendHandle) Written() bool { return h.state.Load() == written }

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

	outputMu   sync.Mutex // guards netpoll's output buffer and descriptor against being released while they are used
	outputGone bool       // netpoll releases them
}

type message struct {
	bytes  []byte
	handle *SendHandle
}

func newConn(np netpoll.Connection, maxQueued int, accept func(*Conn) Handler) *Conn {
	c := &Conn{np: np, maxQueued: maxQueued}
	c.wake.L = &c.mu
	// The owner learns of the connection in accept and may close it at once on another goroutine. Without the lock, that could
	// happen before the handler is set.
	c.mu.Lock()
	c.handler = accept(c)
	c.mu.Unlock()
	_ = np.SetWriteTimeout(writeTimeout)
	// netpoll calls this before it frees the buffers.
	_ = np.AddCloseCallback(func(netpoll.Connection) error {
		c.markClosed()
		c.outputMu.Lock()
		c.outputGone = true
		c.outputMu.Unlock()
		return nil
	})
	return c
}

// Dial opens a connection and fails after the timeout. It blocks, so it must not be called on the core's goroutine.
func Dial(addr string, timeout time.Duration, handler Handler) (*Conn, error) {
	np, err := netpoll.DialConnection("tcp", addr, timeout)
	if errors.Is(err, netpoll.ErrConnClosed) {
		// netpoll 0.7 returns this error for a refused connection and also, about one time in 50, for one that was reset
		// while it was being set up. Taking such a reset for a refusal would end the established calls, so a plain socket
		// is used to get the system's own error.
		if plain, e := net.DialTimeout("tcp", addr, timeout); e == nil {
			plain.Close()
		} else {
			err = e
		}
	}
	if err != nil {
		return nil, err
	}
	c := newConn(np, maxQueued, func(*Conn) Handler { return handler })
	c.withSocket(func(conn netpoll.Conn) { setReceiveBuffer(conn.Fd()) })
	if err := np.SetOnRequest(c.onRequest); err != nil {
		c.Close()
		return nil, err
	}
	if !np.IsActive() {
		c.Close() // netpoll does not report an end that came before its callbacks were set
	}
	return c, nil
}

// Refused reports whether a dial failed because nothing listens at the address, although the machine is reachable.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Listener accepts connections.
type Listener struct {
	openConns atomic.Int64
	maxConns  atomic.Int64
	ln        *stoppableListener
	eventLoop netpoll.EventLoop
	serveOnce sync.Once
	inherited bool
}

// Listen opens addr; accept returns the handler of each new connection. If more than maxConns connections are open, new ones
// are closed at once, because the remaining file descriptors are needed for the far ends. For each connection at most
// maxQueued bytes are queued for a peer that does not read. No connection is accepted before Serve.
func Listen(addr string, maxConns, maxQueued int, accept func(*Conn) Handler) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return limitReceiveBuffer(raw) }}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newListener(ln, false, maxConns, maxQueued, accept)
}

// Inherit is like Listen for a socket that already listens and was passed to this process as a file descriptor. Other
// processes hold the same socket, so it is never shut down here: connections that this process does not accept are left to
// them.
func Inherit(fd, maxConns, maxQueued int, accept func(*Conn) Handler) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "passed socket")
	if f == nil {
		return nil, fmt.Errorf("file descriptor %d: %w", fd, os.ErrInvalid)
	}
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		return nil, fmt.Errorf("file descriptor %d: %w", fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("file descriptor %d is not a TCP listener", fd)
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = limitReceiveBuffer(raw)
	}
	return newListener(ln, true, maxConns, maxQueued, accept)
}

// limitReceiveBuffer limits the kernel's receive buffer of a listening socket, and so of all connections accepted from it: netpoll
// reads everything that the kernel has, in ever larger blocks, even if earlier data has not been handled yet.
func limitReceiveBuffer(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setReceiveBuffer(int(fd)) })
}

func setReceiveBuffer(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, maxReceiveBuffer)
}

func newListener(ln net.Listener, inherited bool, maxConns, maxQueued int, accept func(*Conn) Handler) (*Listener, error) {
	type key struct{}
	np, err := netpoll.ConvertListener(ln)
	if err != nil {
		ln.Close()
		return nil, err
	}
	l := &Listener{ln: &stoppableListener{Listener: np, socket: ln, inherited: inherited}, inherited: inherited}
	l.maxConns.Store(int64(maxConns))
	loop, err := netpoll.NewEventLoop(
		func(ctx context.Context, np netpoll.Connection) error {
			c, ok := ctx.Value(key{}).(*Conn)
			if !ok {
				return errors.New("link: accepted connection has no Conn in its context")
			}
			return c.onRequest(ctx, np)
		},
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			l.openConns.Add(1)
			_ = np.AddCloseCallback(func(netpoll.Connection) error {
				l.openConns.Add(-1)
				return nil
			})
			if l.openConns.Load() > l.maxConns.Load() {
				_ = np.Close()
				return context.Background()
			}
			return context.WithValue(context.Background(), key{}, newConn(np, maxQueued, accept))
		}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	l.eventLoop = loop
	return l, nil
}

// Serve starts to accept connections.
func (l *Listener) Serve() {
	l.serveOnce.Do(func() { go func() { _ = l.eventLoop.Serve(l.ln) }() })
}

// stoppableListener is a listener that can stop accepting: it reports itself closed, so that netpoll removes it from its
// poller, while connections that it has already accepted stay open.
type stoppableListener struct {
	netpoll.Listener
	socket    net.Listener
	inherited bool
	stopped   atomic.Bool
}

// Accept accepts nothing once the listener has been stopped, so that new connections to an inherited socket are left to the
// other processes that hold it.
func (s *stoppableListener) Accept() (net.Conn, error) {
	if s.stopped.Load() {
		return nil, net.ErrClosed
	}
	return s.Listener.Accept()
}

// Close closes the socket without closing netpoll's file descriptor by number. netpoll 0.7 closes the descriptor of a
// listener twice, and the second time could close another file that got the same number in between. Here the socket is shut
// down, unless other processes hold it, and netpoll's copy of it is closed once, when its file object is garbage collected.
func (s *stoppableListener) Close() error {
	if !s.inherited {
		_ = syscall.Shutdown(s.Fd(), syscall.SHUT_RDWR)
	}
	return s.socket.Close()
}

// Addr returns the address on which the listener accepts connections.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Inherited reports whether the socket was passed to this process, so that other processes may hold it too.
func (l *Listener) Inherited() bool { return l.inherited }

// StopAccepting accepts no more connections from an inherited socket and leaves them to the other processes that hold it;
// open connections stay.
func (l *Listener) StopAccepting() { l.ln.stopped.Store(true) }

// RejectNew stops listening, so that new connections are refused, or left to the other processes that hold an inherited socket.
// Open connections stay.
func (l *Listener) RejectNew() {
	l.maxConns.Store(0)
	l.StopAccepting()
	if !l.inherited {
		_ = syscall.Shutdown(l.ln.Fd(), syscall.SHUT_RDWR)
	}
}

// Close stops listening and closes all accepted connections.
func (l *Listener) Close() {
	l.serveOnce.Do(func() {})
	l.StopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = l.eventLoop.Shutdown(ctx)
	_ = l.ln.Close()
}

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

// Send queues a message and never blocks. It returns false if the connection is closed, or if the queue is full because the
// peer has not read for too long; the latter closes the connection. A message with a nil handle cannot be withdrawn.
func (c *Conn) Send(b []byte, handle *SendHandle) bool {
	c.mu.Lock()
	if c.closing || c.closed {
		c.mu.Unlock()
		return false
	}
	if c.queued+len(b) > c.maxQueued {
		c.mu.Unlock()
		c.Close()
		return false
	}
	c.queue = append(c.queue, message{b, handle})
	c.queued += len(b)
	c.wakeWriter()
	c.mu.Unlock()
	return true
}

// wakeWriter wakes the writing goroutine, and starts it at the first message. Until then there is none, so that connections
// on which nothing is sent need few resources.
func (c *Conn) wakeWriter() {
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
	c.wake.Signal()
}

// CloseAfterFlush closes the connection once all queued messages have been written.
func (c *Conn) CloseAfterFlush() {
	c.mu.Lock()
	c.closing = true
	if !c.closed {
		c.wakeWriter()
	}
	c.mu.Unlock()
}

// CloseIfIdle closes the connection at once if nothing is under way on it: all queued messages have been written, nothing has
// been received that the handler has not consumed, and handled, which is called last, reports that what the handler has consumed
// was dealt with. CloseIfIdle reports whether it closed the connection. What arrives after the check stays unread, so that the
// peer gets a reset for it: it can tell that nobody acted on it. Without an earlier PauseReading, a message that is being read
// at that moment can be missed.
func (c *Conn) CloseIfIdle(handled func() bool) bool {
	if !c.outputWritten() || c.inputUnread() || c.inputBuffered() || c.partialSince.Load() != 0 || !handled() {
		return false
	}
	c.Close()
	return true
}

// CloseIfReadIsHandled is like CloseIfIdle but leaves unread what the kernel holds, and drops an incomplete message.
func (c *Conn) CloseIfReadIsHandled(handled func() bool) bool {
	if !c.outputWritten() || c.inputBuffered() || !handled() {
		return false
	}
	c.Close()
	return true
}

// outputWritten reports whether all messages have been handed to the kernel, and the connection is open.
func (c *Conn) outputWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.flushing && len(c.queue) == 0
}

// inputUnread reports whether the kernel holds input that netpoll has not read.
func (c *Conn) inputUnread() bool {
	unread := false
	c.withSocket(func(conn netpoll.Conn) { unread = unreadBytes(conn) > 0 })
	return unread
}

// inputBuffered reports whether input has been read that the handler has not seen. It checks in the order in which bytes move, so
// that they cannot pass by the checks.
func (c *Conn) inputBuffered() bool {
	buffered := false
	c.withSocket(func(netpoll.Conn) { buffered = c.np.Reader().Len() > 0 || c.handling.Load() })
	return buffered
}

// PauseReading leaves what arrives from now on in the kernel, until ResumeReading or pauseLimit. What netpoll is reading at this
// moment becomes visible to CloseIfIdle within readTime.
func (c *Conn) PauseReading() {
	c.withSocket(func(conn netpoll.Conn) {
		if c.pausedAt.Load() != 0 {
			return
		}
		at := int64(clock())
		c.pausedAt.Store(at)
		// With a high mark the socket does not become readable for what is as short as a message.
		setLowWaterMark(conn, pausedLowWaterMark)
		time.AfterFunc(pauseLimit, func() { c.endPause(at) })
	})
}

// ResumeReading ends a pause.
func (c *Conn) ResumeReading() { c.endPause(c.pausedAt.Load()) }

// endPause ends the pause that began at the given time, if it still lasts.
func (c *Conn) endPause(began int64) {
	c.withSocket(func(conn netpoll.Conn) {
		if began != 0 && c.pausedAt.CompareAndSwap(began, 0) {
			setLowWaterMark(conn, 1)
		}
	})
}

// ReadingPaused reports whether reading has been paused for so long that nothing is being read any more.
func (c *Conn) ReadingPaused() bool {
	at := c.pausedAt.Load()
	return at != 0 && clock()-time.Duration(at) >= readTime
}

// setLowWaterMark sets how many bytes must have arrived for the socket to become readable. It has no effect where the system does
// not support it.
func setLowWaterMark(conn netpoll.Conn, bytes int) {
	_ = unix.SetsockoptInt(conn.Fd(), unix.SOL_SOCKET, unix.SO_RCVLOWAT, bytes)
}

// withSocket calls fn unless the socket has been closed, and keeps netpoll from closing it meanwhile.
func (c *Conn) withSocket(fn func(netpoll.Conn)) {
	c.outputMu.Lock()
	defer c.outputMu.Unlock()
	if conn, ok := c.np.(netpoll.Conn); ok && !c.outputGone {
		fn(conn)
	}
}

// unreadBytes returns how many bytes the kernel holds that netpoll has not read.
func unreadBytes(conn netpoll.Conn) int {
	n, err := unix.IoctlGetInt(conn.Fd(), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// Close closes the connection at once and drops queued messages.
func (c *Conn) Close() {
	c.markClosed()
	_ = c.np.Close()
}

// Peer returns the remote address.
func (c *Conn) Peer() string { return c.np.RemoteAddr().String() }

func (c *Conn) markClosed() {
	c.mu.Lock()
	c.closed = true
	c.queue, c.queued = nil, 0
	c.wake.Signal()
	c.mu.Unlock()
	c.closedOnce.Do(func() { c.handler.Closed(c) })
}

// nextBatch waits for the next batch of messages to write; nil means that the connection is to be closed.
func (c *Conn) nextBatch() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushing = false
	for {
		var batch []byte
		n := 0
		for _, m := range c.queue {
			if len(batch) > 0 && len(batch)+len(m.bytes) > maxWrite {
				break
			}
			n++
			c.queued -= len(m.bytes)
			if m.handle == nil || m.handle.state.CompareAndSwap(waiting, written) {
				batch = append(batch, m.bytes...)
				if m.handle != nil && m.handle.Counter != nil {
					m.handle.Counter.Inc()
				}
			}
		}
		c.queue = append(c.queue[:0], c.queue[n:]...)
		switch {
		case c.closed:
			return nil
		case len(batch) > 0:
			c.flushing = true
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
	for b := c.nextBatch(); b != nil; b = c.nextBatch() {
		if err := c.write(b); err != nil {
			break
		}
	}
	c.Close()
}

// write hands b to the kernel and waits while the peer does not read, for writeTimeout at most.
func (c *Conn) write(b []byte) error {
	if err := c.appendOutput(b); err != nil {
		return err
	}
	return c.np.Writer().Flush()
}

// appendOutput adds b to netpoll's output buffer, unless the connection is being closed. Unlike Flush, netpoll 0.7's WriteBinary
// does not notice a close: without the lock, it would use a buffer that has been freed.
func (c *Conn) appendOutput(b []byte) error {
	c.outputMu.Lock()
	defer c.outputMu.Unlock()
	if c.outputGone {
		return net.ErrClosed
	}
	_, err := c.np.Writer().WriteBinary(b)
	return err
}

func init() {
	// The program is meant for one CPU core: a second poller would only compete with the first for it. netpoll's log of each
	// reset and early close is discarded, because the owners of the connections count these events.
	_ = netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: io.Discard})
}
