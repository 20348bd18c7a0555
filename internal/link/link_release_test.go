//go:build !debug

package link

import (
	"net"
	"testing"
	"time"
)

// faultyHandler fails on its first input.
type faultyHandler struct{ closed chan struct{} }

func (faultyHandler) Data(*Conn, []byte) (int, error) { panic("fault") }
func (h faultyHandler) Closed(*Conn)                  { close(h.closed) }

// Guards against a process that ends by itself, or a connection that is stuck: a fault in the handling of input must be reported,
// and its connection closed.
func TestFaultyHandler(t *testing.T) {
	reported := make(chan any, 1)
	SetPanicHandler(func(value any, _ []byte) { reported <- value })
	defer SetPanicHandler(nil)
	handler := faultyHandler{make(chan struct{})}
	l, err := Listen("127.0.0.1:0", 10, maxQueued, func(*Conn) Handler { return handler })
	if err != nil {
		t.Fatal(err)
	}
	l.Serve()
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("x"))
	timeout := time.After(10 * time.Second)
	select {
	case <-reported:
	case <-timeout:
		t.Fatal("the fault was not reported")
	}
	select {
	case <-handler.closed:
	case <-timeout:
		t.Fatal("the connection was not closed")
	}
}
