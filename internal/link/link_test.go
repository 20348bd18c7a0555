package link

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// discardHandler consumes all input, and closes its channel when the connection ends.
type discardHandler struct{ closed chan struct{} }

func (h discardHandler) Data(_ *Conn, b []byte) (int, error) { return len(b), nil }
func (h discardHandler) Closed(*Conn)                        { close(h.closed) }

// pair returns a connection, its peer and its handler.
func pair(t *testing.T) (*Conn, net.Conn, discardHandler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	handler := discardHandler{make(chan struct{})}
	c, err := Dial(ln.Addr().String(), 10*time.Second, handler)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return c, peer, handler
}

// A process that died must be told apart from a machine that cannot be reached: only the former refuses connections.
func TestRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	c, err := Dial(addr, 10*time.Second, discardHandler{make(chan struct{})})
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	ln.Close()
	if _, err = Dial(addr, 10*time.Second, nil); !Refused(err) {
		t.Errorf("%v is not reported as refused", err)
	}
}

// A connection that is reset while it is being set up must not count as refused, and its end must be reported however early
// it came.
func TestResetIsNotRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	for i := 0; i < 200; i++ {
		handler := discardHandler{make(chan struct{})}
		if _, err := Dial(ln.Addr().String(), 10*time.Second, handler); err == nil {
			<-handler.closed
		} else if Refused(err) {
			t.Fatalf("try %d: %v is reported as refused", i, err)
		}
	}
}

// A message that was withdrawn before it was written must never be sent; the one behind it must be, and the end of the
// connection must be reported once.
func TestWithdraw(t *testing.T) {
	c, peer, handler := pair(t)
	var a, b SendHandle
	if !a.Withdraw() || a.Withdraw() {
		t.Error("withdrawing a waiting message twice did not succeed exactly once")
	}
	c.Send([]byte("withdrawn"), &a)
	c.Send([]byte("sent"), &b)
	got := make([]byte, 16)
	n, err := peer.Read(got)
	if string(got[:n]) != "sent" || err != nil || !b.Written() || b.Withdraw() || a.Written() {
		t.Errorf("read %q %v", got[:n], err)
	}
	peer.Close()
	<-handler.closed
	if c.Send([]byte("x"), nil) {
		t.Error("a closed connection accepted a message")
	}
}

// A listener that closes its file descriptor twice would close another file of the process that got the same number in
// between.
func TestListenerClosesDescriptorOnce(t *testing.T) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			r, w, err := os.Pipe()
			if err != nil {
				t.Error(err)
				return
			}
			_, err = w.Write([]byte("x"))
			if e := errors.Join(err, r.Close(), w.Close()); e != nil {
				t.Error(e)
				return
			}
		}
	}()
	for i := 0; i < 300; i++ {
		l, err := Listen("127.0.0.1:0", 1, maxQueued, func(*Conn) Handler { return discardHandler{make(chan struct{})} })
		if err != nil {
			t.Fatal(err)
		}
		l.Serve()
		addr := l.Addr()
		first, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		for l.openConns.Load() != 1 { // the listener is serving
			time.Sleep(time.Millisecond)
		}
		l.Close()
		first.Close()
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			t.Fatal("a closed listener still listens")
		}
	}
	close(stop)
	<-done
}

// Guards against a crash: the owner may close a connection on another goroutine as soon as it learns of it. If netpoll registered it with
// its poller only then, it would use what the close has released.
func TestOwnerLearnsOfRegisteredConnection(t *testing.T) {
	registered := make(chan bool, 1)
	l, err := Listen("127.0.0.1:0", 1, maxQueued, func(c *Conn) Handler {
		registered <- isPolled(c.np.(netpoll.Conn).Fd())
		return discardHandler{make(chan struct{})}
	})
	if err != nil {
		t.Fatal(err)
	}
	l.Serve()
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if !<-registered {
		t.Error("the owner learned of a connection that was not registered")
	}
}

// isPolled reports whether an epoll instance of the process waits for events of a file descriptor.
func isPolled(fd int) bool {
	files, _ := filepath.Glob("/proc/self/fdinfo/*")
	for _, file := range files {
		info, _ := os.ReadFile(file) // a file that was closed meanwhile has no information
		for line := range strings.Lines(string(info)) {
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "tfd:" && fields[1] == strconv.Itoa(fd) {
				return true
			}
		}
	}
	return false
}

// Guards against a crash, and in a race build against a race: connections are closed as soon as their owner learns of them.
func TestCloseAsSoonAsAccepted(t *testing.T) {
	accepted := make(chan *Conn, 1)
	closed := make(chan struct{}, 1)
	l, err := Listen("127.0.0.1:0", 1000, maxQueued, func(c *Conn) Handler {
		accepted <- c
		return notifyingHandler{closed}
	})
	if err != nil {
		t.Fatal(err)
	}
	l.Serve()
	defer l.Close()
	for range 200 {
		peer, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		(<-accepted).Close()
		<-closed
		if _, err := peer.Read(make([]byte, 1)); err == nil {
			t.Error("read from a closed connection")
		}
		peer.Close()
	}
}

// notifyingHandler consumes all input, and sends to its channel when a connection ends.
type notifyingHandler struct{ closed chan struct{} }

func (h notifyingHandler) Data(_ *Conn, b []byte) (int, error) { return len(b), nil }
func (h notifyingHandler) Closed(*Conn)                        { h.closed <- struct{}{} }

// Connections above the limit must be closed at once, or they use up the file descriptors; the others must stay open.
func TestConnectionLimit(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1, maxQueued, func(*Conn) Handler { return discardHandler{make(chan struct{})} })
	if err != nil {
		t.Fatal(err)
	}
	l.Serve()
	defer l.Close()
	first, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	for l.openConns.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	second, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if n, err := second.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes from a connection above the limit", n)
	}
	first.Close()
	for l.openConns.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// A peer that does not read must not use more than its share of memory: the connection is closed.
func TestPeerThatDoesNotRead(t *testing.T) {
	c, _, handler := pair(t)
	block := make([]byte, 64<<10)
	for i := 0; c.Send(block, nil); i++ {
		if i > 1000 {
			t.Fatal("64 MB were queued for a peer that reads nothing")
		}
	}
	<-handler.closed
}

// An inherited socket is shared with other processes. A listener that stops accepting must leave new connections to them, keep
// its open ones, and not close the socket for the others.
func TestInheritedSocket(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	inherit := func() *Listener {
		f, err := held.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd, err := syscall.Dup(int(f.Fd()))
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		l, err := Inherit(fd, 100, maxQueued, func(*Conn) Handler { return discardHandler{make(chan struct{})} })
		if err != nil {
			t.Fatal(err)
		}
		l.Serve()
		return l
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", held.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	old := inherit()
	dial()
	for old.openConns.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	old.StopAccepting()
	next := inherit()
	defer next.Close()
	for i := int64(1); i <= 20; i++ {
		dial()
		for next.openConns.Load() != i {
			time.Sleep(time.Millisecond)
		}
	}
	if n := old.openConns.Load(); n != 1 {
		t.Errorf("the stopped listener has %d open connections, want the 1 that it accepted", n)
	}
	old.Close()
	dial()
	for next.openConns.Load() != 21 {
		time.Sleep(time.Millisecond)
	}
}

// echoHandler answers each input with a message, as fast as it comes.
type echoHandler struct{}

func (echoHandler) Data(c *Conn, b []byte) (int, error) {
	for range b {
		c.Send(make([]byte, 500), nil)
	}
	return len(b), nil
}
func (echoHandler) Closed(*Conn) {}

// Guards against a crash of the process: netpoll frees the buffers of a connection that is closed, by its peer or by the agent,
// while the writing goroutine is adding a message to them.
func TestCloseDuringWrite(t *testing.T) {
	for name, maxQueued := range map[string]int{"by the peer": 1 << 20, "by the agent, whose queue is full": 4000} {
		t.Run(name, func(t *testing.T) { closeDuringWrites(t, 20000, maxQueued) })
	}
}

// closeDuringWrites opens connections whose peers reset them while answers are being written.
func closeDuringWrites(t *testing.T, connections, maxQueued int) {
	const concurrent = 16
	l, err := Listen("127.0.0.1:0", 1000, maxQueued, func(*Conn) Handler { return echoHandler{} })
	if err != nil {
		t.Fatal(err)
	}
	l.Serve()
	defer l.Close()
	var clients sync.WaitGroup
	for i := range concurrent {
		clients.Add(1)
		go func() {
			defer clients.Done()
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for range connections / concurrent {
				c, err := net.Dial("tcp", l.Addr())
				if err != nil {
					continue
				}
				for range 1 + rng.IntN(4) {
					c.Write(make([]byte, 1+rng.IntN(20)))
				}
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond)
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		}()
	}
	clients.Wait()
}

// slowHandler consumes its input slowly, like one that waits for the loop.
type slowHandler struct{ closed chan struct{} }

func (h slowHandler) Data(_ *Conn, b []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return len(b), nil
}
func (h slowHandler) Closed(*Conn) { close(h.closed) }

// Guards against memory without a bound: a peer that sends faster than the handler consumes must not fill the memory, on a
// connection that was dialed as little as on one that was accepted.
func TestMemoryOfUnhandledInput(t *testing.T) {
	const floodTime, limit = time.Second, 24 << 20
	flood := func(c net.Conn) {
		defer c.Close()
		b := make([]byte, 64<<10)
		for end := time.Now().Add(floodTime); time.Now().Before(end); {
			_ = c.SetWriteDeadline(end)
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	peak := func(before uint64, done chan struct{}) uint64 {
		highest := before
		for {
			select {
			case <-done:
				return highest - before
			case <-time.After(5 * time.Millisecond):
				highest = max(highest, heap())
			}
		}
	}
	for name, connect := range map[string]func(Handler) net.Conn{
		"dialed": func(handler Handler) net.Conn {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			if _, err := Dial(ln.Addr().String(), time.Second, handler); err != nil {
				t.Fatal(err)
			}
			peer, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			return peer
		},
		"accepted": func(handler Handler) net.Conn {
			l, err := Listen("127.0.0.1:0", 10, 64<<10, func(*Conn) Handler { return handler })
			if err != nil {
				t.Fatal(err)
			}
			l.Serve()
			t.Cleanup(l.Close)
			c, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			return c
		},
	} {
		runtime.GC()
		before, done := heap(), make(chan struct{})
		peer := connect(slowHandler{make(chan struct{})})
		go func() {
			flood(peer)
			close(done)
		}()
		if used := peak(before, done); used > limit {
			t.Errorf("%s: %d MB used for the input of one connection, want at most %d", name, used>>20, limit>>20)
		}
	}
}

// Guards against set-ups that leave long after they were given up: of the messages that wait for a peer which does not read, one
// of which no byte has left can still be withdrawn, and is then never written.
func TestWithdrawWhilePeerDoesNotRead(t *testing.T) {
	const messages, size = 2000, 4 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := Dial(ln.Addr().String(), 10*time.Second, discardHandler{make(chan struct{})})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.maxQueued = messages * size
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	counter := new(countedMessages)
	handles := make([]SendHandle, messages)
	for i := range handles {
		handles[i].Counter = counter
		c.Send(bytes.Repeat([]byte{byte(i), byte(i >> 8)}, size/2), &handles[i])
	}
	time.Sleep(100 * time.Millisecond) // what the kernel takes has been written
	inKernel := unsentBytes(c) + receivedBytes(t, peer)
	withdrawn := 0
	for i := range handles {
		if handles[i].Withdraw() {
			withdrawn++
		}
	}
	if most := inKernel/size + 1; messages-withdrawn > most {
		t.Errorf("%d messages could not be withdrawn, %d of them can have left", messages-withdrawn, most)
	}
	c.CloseAfterFlush()
	peer.SetReadDeadline(time.Now().Add(20 * time.Second))
	received, err := io.ReadAll(peer)
	if err != nil {
		t.Fatal(err)
	}
	if len(received) != (messages-withdrawn)*size {
		t.Errorf("%d bytes received, %d of %d messages of %d bytes withdrawn", len(received), withdrawn, messages, size)
	}
	if n := counter.count.Load(); n != int64(messages-withdrawn) {
		t.Errorf("%d messages counted, %d were not withdrawn", n, messages-withdrawn)
	}
}

// unsentBytes returns how many bytes of a connection the kernel has not delivered.
func unsentBytes(c *Conn) (n int) {
	c.withSocket(func(conn netpoll.Conn) { n, _ = unix.IoctlGetInt(conn.Fd(), unix.SIOCOUTQ) })
	return n
}

// receivedBytes returns how many bytes have arrived on a connection and were not read.
func receivedBytes(t *testing.T, c net.Conn) (n int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against messages lost on a connection that nobody reads: a dial opens one connection only, however it ends. A far end sends
// what it could not send before on the next connection that is opened.
func TestDialOpensOneConnection(t *testing.T) {
	const dials = 1000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan int)
	go func() {
		n := 0
		for {
			c, err := ln.Accept()
			if err != nil {
				accepted <- n
				return
			}
			n++
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	for range dials {
		handler := discardHandler{make(chan struct{})}
		if _, err := Dial(ln.Addr().String(), 10*time.Second, handler); err == nil {
			<-handler.closed
		}
	}
	ln.Close()
	if n := <-accepted; n > dials {
		t.Errorf("%d dials opened %d connections", dials, n)
	}
}

// countedMessages counts the messages that were handed to the kernel.
type countedMessages struct{ count atomic.Int64 }

func (c *countedMessages) Add(n int64) { c.count.Add(n) }

// Guards against statistics that lag behind what the peer can see: a message has been counted when it arrives.
func TestMessageIsCountedWhenItArrives(t *testing.T) {
	c, peer, _ := pair(t)
	counter := new(countedMessages)
	sent, received := []byte("x"), make([]byte, 1)
	for i := range int64(20000) {
		c.Send(sent, &SendHandle{Counter: counter})
		if _, err := io.ReadFull(peer, received); err != nil {
			t.Fatal(err)
		}
		if n := counter.count.Load(); n != i+1 {
			t.Fatalf("%d messages counted, %d arrived", n, i+1)
		}
	}
}
