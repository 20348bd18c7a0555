package link

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

type quiet struct{ closed chan struct{} }

func (q quiet) Data(_ *Conn, b []byte) (int, error) { return len(b), nil }
func (q quiet) Closed(*Conn)                        { close(q.closed) }

// pair is a connection and its other side.
func pair(t *testing.T) (*Conn, net.Conn, quiet) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ev := quiet{make(chan struct{})}
	c, err := Dial(ln.Addr().String(), 10*time.Second, ev)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return c, peer, ev
}

// Guards what tells a process that died from a machine that is cut off: only the first refuses connections.
func TestRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	c, err := Dial(addr, 10*time.Second, quiet{make(chan struct{})})
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	ln.Close()
	if _, err = Dial(addr, 10*time.Second, nil); !Refused(err) {
		t.Errorf("%v is not told as refused", err)
	}
}

// A connection that is reset as it comes up is no refused one, and its end is told however early it came.
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
		ev := quiet{make(chan struct{})}
		if _, err := Dial(ln.Addr().String(), 10*time.Second, ev); err == nil {
			<-ev.closed
		} else if Refused(err) {
			t.Fatalf("try %d: %v is told as refused", i, err)
		}
	}
}

// What is withdrawn before it is written never leaves; what is behind it does, and the end is told once.
func TestWithdraw(t *testing.T) {
	c, peer, ev := pair(t)
	var a, b SendHandle
	if !a.Withdraw() || a.Withdraw() {
		t.Error("a waiting message is withdrawn once")
	}
	c.Send([]byte("withdrawn"), &a)
	c.Send([]byte("sent"), &b)
	got := make([]byte, 16)
	n, err := peer.Read(got)
	if string(got[:n]) != "sent" || err != nil || !b.Written() || b.Withdraw() || a.Written() {
		t.Errorf("read %q %v", got[:n], err)
	}
	peer.Close()
	<-ev.closed
	if c.Send([]byte("x"), nil) {
		t.Error("a closed connection took a message")
	}
}

// Guards other descriptors of the process against a listener that closes its own twice.
func TestListenerClosesItsDescriptorOnce(t *testing.T) {
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
		l, err := Listen("127.0.0.1:0", 1, maxQueued, func(*Conn) Handler { return quiet{make(chan struct{})} })
		if err != nil {
			t.Fatal(err)
		}
		l.Serve()
		addr := l.Addr()
		first, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		for l.open.Load() != 1 { // it serves
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

// Guards the descriptors: more connections than allowed are closed at once, and the others go on.
func TestConnectionsBounded(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1, maxQueued, func(*Conn) Handler { return quiet{make(chan struct{})} })
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
	for l.open.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	second, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if n, err := second.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d from a connection too many", n)
	}
	first.Close()
	for l.open.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// A peer that does not read must not hold more than its share of memory: the connection is ended.
func TestPeerThatDoesNotRead(t *testing.T) {
	c, _, ev := pair(t)
	block := make([]byte, 64<<10)
	for i := 0; c.Send(block, nil); i++ {
		if i > 1000 {
			t.Fatal("64 MB were taken for a peer that reads nothing")
		}
	}
	<-ev.closed
}

// A passed socket belongs to others too: one that leaves takes nothing more from it, keeps what it took in, and closes it for
// nobody else.
func TestPassedSocket(t *testing.T) {
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
		l, err := Inherit(fd, 100, maxQueued, func(*Conn) Handler { return quiet{make(chan struct{})} })
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
	for old.open.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	old.StopAccepting()
	next := inherit()
	defer next.Close()
	for i := int64(1); i <= 20; i++ {
		dial()
		for next.open.Load() != i {
			time.Sleep(time.Millisecond)
		}
	}
	if n := old.open.Load(); n != 1 {
		t.Errorf("the one that left holds %d connections, want the one it took in", n)
	}
	old.Close()
	dial()
	for next.open.Load() != 21 {
		time.Sleep(time.Millisecond)
	}
}
