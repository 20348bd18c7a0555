package faultrig

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"
)

var testListingAddr = netip.MustParseAddrPort("127.0.0.1:1")

// writeHookConn is a TCP connection that calls a function after each write.
type writeHookConn struct {
	*net.TCPConn
	afterWrite func()
}

func (c *writeHookConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.afterWrite()
	return n, err
}

// tcpPair returns both sides of a TCP connection.
func tcpPair(t *testing.T) (client, server *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func deliveries(recorder *Recorder) []Event {
	return slices.DeleteFunc(recorder.Events(), func(e Event) bool { return e.Kind != ListDelivered })
}

// newServedLog returns a server of a change log that holds no event after number 7, and the request for what follows.
func newServedLog(recorder *Recorder) (d *discovery, request []byte) {
	d = &discovery{agent: "n", log: newChangeLog(7, recorder)}
	return d, binary.BigEndian.AppendUint64(nil, 7)
}

// An agent may act on an event before the write that brought it returns: recorded later, its action would break a rule.
func TestDeliveryIsRecordedFromTheWrite(t *testing.T) {
	for name, mode := range map[string]discoveryMode{"at once": discoveryServes, "slowly": discoverySlow} {
		recorder := NewRecorder()
		d, request := newServedLog(recorder)
		d.mode = mode
		d.log.add(listing{ID: 1, Addr: testListingAddr, State: stateGone})
		agent, server := tcpPair(t)
		if _, err := agent.Write(request); err != nil {
			t.Fatal(err)
		}
		var written []time.Duration
		hooked := &writeHookConn{TCPConn: server, afterWrite: func() { written = append(written, recorder.Now()) }}
		served := make(chan struct{})
		go func() {
			defer close(served)
			d.serve(hooked)
		}()
		frame := make([]byte, 4+frameHeaderSize)
		if _, err := io.ReadFull(agent, frame); err != nil {
			t.Fatal(err)
		}
		for len(deliveries(recorder)) == 0 {
			time.Sleep(time.Millisecond)
		}
		agent.Close()
		<-served
		pieces := 1
		if mode == discoverySlow {
			pieces = 10
		}
		delivered := deliveries(recorder)[0].At
		if delivered > written[pieces-1] || pieces > 1 && delivered < written[pieces-2] {
			t.Errorf("%s: written at %v, recorded as delivered at %v", name, written, delivered)
		}
	}
}

// An event that is written to a connection which its agent has closed is not told: the agent would break the rule on drains.
func TestEventOnLeftConnectionIsNotDelivered(t *testing.T) {
	recorder := NewRecorder()
	d, request := newServedLog(recorder)
	agent, server := tcpPair(t)
	if _, err := agent.Write(request); err != nil {
		t.Fatal(err)
	}
	agent.Close()
	for established(server) {
		time.Sleep(time.Millisecond)
	}
	d.log.add(listing{ID: 1, Addr: testListingAddr, State: stateDraining})
	d.log.add(listing{ID: 1, Addr: testListingAddr, State: stateGone})
	d.serve(server) // until a write fails
	if told := deliveries(recorder); len(told) > 0 {
		t.Errorf("recorded as delivered: %+v", told)
	}
}
