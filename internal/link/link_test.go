package link

import (
	"net"
	"testing"
	"time"
)

type quiet struct{ closed chan struct{} }

func (q quiet) Data(_ *Conn, b []byte) (int, error) { return len(b), nil }
func (q quiet) Closed(*Conn)                        { close(q.closed) }

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

// What is withdrawn before it is written never leaves; what is behind it does, and the end is told once.
func TestWithdraw(t *testing.T) {
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
	var a, b Ticket
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

// A peer that does not read must not hold more than its share of memory: the connection is ended.
func TestPeerThatDoesNotRead(t *testing.T) {
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
	block := make([]byte, 64<<10)
	for i := 0; c.Send(block, nil); i++ {
		if i > 1000 {
			t.Fatal("64 MB were taken for a peer that reads nothing")
		}
	}
	<-ev.closed
}
