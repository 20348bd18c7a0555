package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

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
			}
			return context.Background()
		}),
		// The owner learns of the connection here and not in OnPrepare, since it may close it at once on another goroutine. Between the
		// two, netpoll registers the connection with its poller, and would use what the close has released.
		netpoll.WithOnConnect(func(ctx context.Context, np netpoll.Connection) context.Context {
			return context.WithValue(ctx, key{}, newConn(np, maxQueued, accept))
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
