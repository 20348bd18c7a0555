package faultrig

import (
	"net"
	"slices"
	"testing"
	"time"
)

// closeHookConn is a TCP connection that calls a function just before it is closed.
type closeHookConn struct {
	*net.TCPConn
	beforeClose func()
}

func (c *closeHookConn) Close() error {
	c.beforeClose()
	return c.TCPConn.Close()
}

// newHookedConn returns a caller's connection to a peer that accepts and never answers.
func newHookedConn(t *testing.T, recorder *Recorder) (*callerConn, *closeHookConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	hooked := &closeHookConn{TCPConn: raw.(*net.TCPConn)}
	crowd := newCrowd("n", ln.Addr().String(), traffic{Destinations: 1, Interval: time.Second}, 1, recorder)
	return &callerConn{Conn: hooked, crowd: crowd, ended: make(chan struct{})}, hooked
}

// A caller that retries while it closes its connection must not count as cut off by the agent: the rig would report its own close.
func TestRetryDuringOwnCloseIsNotLost(t *testing.T) {
	for name, closeConn := range map[string]func(*callerConn){"dropped": (*callerConn).drop, "idle": (*callerConn).closeIfIdle} {
		recorder := NewRecorder()
		conn, hooked := newHookedConn(t, recorder)
		hooked.beforeClose = func() { conn.crowd.newCall(conn, true) }
		closeConn(conn)
		conn.finish()
		if events := recorder.Events(); slices.ContainsFunc(events, func(e Event) bool { return e.Kind == ConnectionEnded }) {
			t.Errorf("%s: %+v", name, events)
		}
	}
}
