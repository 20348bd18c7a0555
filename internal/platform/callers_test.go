package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/link"
	"tinbeam/internal/metrics"
	"tinbeam/internal/sip"
)

func side() *Callers { return sideOn(agent.SystemClock(), 100) }

func sideOn(clock func() time.Duration, room int) *Callers {
	set := tinbeam.Settings{Classes: []tinbeam.Class{{Name: "check", AnswerTarget: 5 * time.Second, HardLimit: 9 * time.Second}}}
	core := agent.New(agent.NewLoop(clock), set, 1, 64<<20, metrics.New(), zap.NewNop(), nil)
	return NewCallers(core, zap.NewNop(), "here", room, 64<<20)
}

// dialer opens the side to callers, and gives what connects one.
func dialer(t *testing.T, s *Callers) func() net.Conn {
	l, err := link.Listen("127.0.0.1:0", 10, 64<<10, s.Accept)
	if err != nil {
		t.Fatal(err)
	}
	l.Serve()
	t.Cleanup(l.Close)
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

func invite(id, kind, left, path, body string) *sip.Message {
	return &sip.Message{Method: "INVITE", URI: "sip:7f3a9c21e0b4d655@net", Body: body, Headers: []sip.Header{
		{Name: "Call-ID", Value: id}, {Name: "P-Kind", Value: kind}, {Name: "P-Time-Left", Value: left},
		{Name: "P-Path", Value: path}}}
}

// What a far end could not read would make it close a connection that others' calls are on, and a figure that is none
// would be reckoned with.
func TestSetUpsThatMakeNoSense(t *testing.T) {
	const id, path = "9b1f03aa5c7e2d41", "dest:1;width:1;via:-1"
	for _, c := range []struct {
		m  *sip.Message
		ok bool
	}{
		{invite(id, "check", "1500", path, "v=0"), true},
		{invite(id, "check", "1500", path, strings.Repeat("x", 15<<10)), true},
		{invite(id, "check", "1500", path, strings.Repeat("\r\n", 7<<10)), false}, // longer as JSON than a line may be
		{invite(id, "check", "1500", path, "v=\xff"), false},
		{invite("", "check", "1500", path, "v=0"), false},
		{invite("9b1f03aa5c7e2d4", "check", "1500", path, "v=0"), false},
		{invite("9b1f03aa5c7e2d4g", "check", "1500", path, "v=0"), false},
		{invite(id, "gold", "1500", path, "v=0"), false},
		{invite(id, "check", "NaN", path, "v=0"), false},
		{invite(id, "check", "-1", path, "v=0"), false},
		{invite(id, "check", "1e300", path, "v=0"), false},
		{invite(id, "check", "1500", "dest:-1", "v=0"), false},
		{invite(id, "check", "1500", "dest:NaN", "v=0"), false},
		{invite(id, "check", "1500", "dest:1;width:0", "v=0"), false},
		{invite(id, "check", "1500", "dest:1;width:Inf", "v=0"), false},
	} {
		if _, err := side().parseInvite(c.m.Get("Call-ID"), c.m); (err == nil) != c.ok {
			t.Errorf("%.200q: %v", c.m.Append(nil), err)
		}
	}
}

// Guards the queue: with nothing handled, what is beyond the bound of a connection is refused at the door.
func TestFlood(t *testing.T) {
	s := side()
	c := dialer(t, s)()
	const beyond = 40
	var b []byte
	for i := 0; i < maxQueuedPerConn+beyond; i++ {
		b = invite(fmt.Sprintf("%016x", i), "check", "1500", "dest:1", "v=0").Append(b)
	}
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	var got []byte
	for buf := make([]byte, 4096); bytes.Count(got, []byte("SIP/2.0 503 ")) < beyond; {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("%v after %q", err, got)
		}
		got = append(got, buf[:n]...)
	}
	if n := s.core.Queued(); n != maxQueuedPerConn+1 { // and the connection's own event
		t.Errorf("%d events wait, want %d", n, maxQueuedPerConn+1)
	}
}

// Room is made by a connection that nothing is lost with: not by one with a call that stands, whose release must reach its
// caller, and not by one that has just come, whose set-up may be on its way.
func TestEvict(t *testing.T) {
	now := time.Hour
	s := sideOn(func() time.Duration { return now }, 2)
	connect := dialer(t, s)
	came := uint64(0)
	dial := func() net.Conn {
		c := connect()
		for came++; s.accepted < came; time.Sleep(time.Millisecond) {
			s.core.Step()
		}
		return c
	}
	dial()
	stands := s.conns[0]
	stands.legs["9b1f03aa5c7e2d41"] = &callLeg{conn: stands}
	quiet := dial()
	now += minIdleToEvict
	dial()
	if len(s.conns) != 2 || s.conns[0] != stands || s.core.Metrics.CallersEvicted.Value() != 1 {
		t.Errorf("%d connections, %d closed", len(s.conns), s.core.Metrics.CallersEvicted.Value())
	}
	quiet.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := quiet.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d, %v from the one that made room", n, err)
	}
	dial() // nobody can make room for it
	if len(s.conns) != 3 {
		t.Errorf("%d connections, want 3", len(s.conns))
	}
}

// A set-up that crosses a close of ours is not handled: sent on, its caller would never hear of it.
func TestSetUpBehindAClose(t *testing.T) {
	s := side()
	c := dialer(t, s)()
	for len(s.conns) == 0 {
		s.core.Step()
		time.Sleep(time.Millisecond)
	}
	s.conns[0].tearDown()
	c.Write(invite("9b1f03aa5c7e2d41", "check", "1500", "dest:1", "v=0").Append(nil))
	for s.core.Queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.core.Step()
	if s.core.Metrics.Offered.Value() != 0 || len(s.legs) != 0 {
		t.Error("it was handled")
	}
}

// Callers that are sent away are served until nothing is open on their connection; the last ones are refused and then
// answered, so that every connection comes to its end. Taken again in between, they stay.
func TestSentAway(t *testing.T) {
	now := time.Hour
	s := sideOn(func() time.Duration { return now }, 10)
	connect := dialer(t, s)
	pace := &DrainSchedule{CloseAfter: time.Second, RefuseAfter: 2 * time.Second, EndAfter: 3 * time.Second}
	var peers []net.Conn
	open := func(n int) { // and say something, else they count as silent
		for i := 0; i < n; i++ {
			peers = append(peers, connect())
			for len(s.conns) < i+1 {
				s.core.Step()
			}
		}
		for _, c := range s.conns {
			c.gotMessage = true
		}
	}
	pass := func(d time.Duration) {
		now += d
		s.core.Step()
	}
	offer := func(c *callerConn, id string) {
		s.handleInvite(c, id, invite(id, "check", "9000", "dest:1", "v=0"))
	}
	s.core.UpdateFarEnds(1, tinbeam.ListCached, []tinbeam.Entry{{Switch: 7, ExchangeNumber: 1, Mode: tinbeam.Ready}}, nowhere{})
	open(3)
	busy, last, quiet := s.conns[0], s.conns[1], s.conns[2]
	s.Drain(pace)
	pass(500 * time.Millisecond)
	s.Drain(nil)
	pass(5 * time.Second)
	if quiet.closed || s.drainClosing {
		t.Fatal("callers that are taken again were sent away")
	}
	s.Drain(pace)
	pass(500 * time.Millisecond)
	offer(busy, "9b1f03aa5c7e2d41")
	offer(last, "9b1f03aa5c7e2d42")
	if quiet.closed {
		t.Error("closed too soon")
	}
	pass(500 * time.Millisecond)
	if !quiet.closed || busy.closed || last.closed {
		t.Errorf("closed: %t %t %t", quiet.closed, busy.closed, last.closed)
	}
	s.core.Fail(s.legs["9b1f03aa5c7e2d41"].call)
	if !busy.closed {
		t.Error("not closed behind its answer")
	}
	pass(time.Second)
	offer(last, "9b1f03aa5c7e2d43")
	if s.legs["9b1f03aa5c7e2d43"] != nil {
		t.Error("a set-up was taken when no more should be")
	}
	pass(time.Second)
	if len(s.conns) != 0 || s.core.PendingCalls() != 0 {
		t.Errorf("%d connections, %d answers owed", len(s.conns), s.core.PendingCalls())
	}
	got, err := io.ReadAll(peers[1])
	if n := bytes.Count(got, []byte("SIP/2.0 5")); n != 2 || err != nil {
		t.Errorf("%d answers: %q %v", n, got, err)
	}
}

// nowhere is a far side that answers nothing, and keeps the last attempt for the test where it has room.
type nowhere struct{ last **agent.Attempt }

func (n nowhere) SetUp(a *agent.Attempt) {
	if n.last != nil {
		*n.last = a
	}
}
func (nowhere) Cancel(*agent.Attempt)       {}
func (nowhere) Release(*agent.Attempt, int) {}
func (nowhere) Probe(uint32)                {}

// A release whose connection has ended goes to one that brings calls, not to one that tests and is gone behind the answer; it
// goes on to the next as long as it is not sure that it has reached the callers.
func TestReleaseReachesCallers(t *testing.T) {
	now := time.Hour
	s := sideOn(func() time.Duration { return now }, 10)
	s.core.UpdateFarEnds(1, tinbeam.ListCached, []tinbeam.Entry{{Switch: 7, ExchangeNumber: 1, Mode: tinbeam.Ready}}, nowhere{})
	connect := dialer(t, s)
	for i := 1; i <= 3; i++ {
		connect()
		for len(s.conns) < i {
			s.core.Step()
		}
	}
	first, other, tester := s.conns[0], s.conns[1], s.conns[2]
	for _, c := range slices.Clone(s.conns) {
		c.handleMessage(&sip.Message{Method: "OPTIONS", Headers: []sip.Header{{Name: "Call-ID", Value: "0000000000000f01"}}})
	}
	leg := &callLeg{conn: &callerConn{closed: true}, bye: []byte("BYE"), call: &agent.Call{ID: "9b1f03aa5c7e2d41"}}
	s.byes["9b1f03aa5c7e2d41"] = leg
	on := func(what string, want *callerConn) {
		t.Helper()
		if leg.byeConn != want {
			t.Errorf("%s: it is on %+v", what, leg.byeConn)
		}
	}
	s.resendByes()
	on("only testers", nil)
	other.handleMessage(invite("9b1f03aa5c7e2d42", "none", "1", "dest:1", ""))
	on("a set-up that makes no sense", nil)
	s.resendByes()
	on("for want of a better one", other)
	other.handleMessage(invite("9b1f03aa5c7e2d43", "check", "1500", "dest:1", ""))
	on("one that brings a call", other)
	first.handleMessage(invite("9b1f03aa5c7e2d44", "check", "1500", "dest:1", ""))
	on("not confirmed by the first", first)
	k := s.legs["9b1f03aa5c7e2d43"].call
	s.Answer(k, "v=0")
	other.handleMessage(&sip.Message{Method: "ACK", Headers: []sip.Header{{Name: "Call-ID", Value: k.ID}}})
	on("one that takes answers", other)
	s.resendByes()
	on("that is sure", other)
	other.tearDown()
	on("that has ended", first)
	tester.handleMessage(&sip.Message{Method: "OPTIONS", Headers: []sip.Header{{Name: "Call-ID", Value: "0000000000000f02"}}})
	first.tearDown()
	on("only a tester", nil)
}

// A caller whose CANCEL crosses the answer and who acknowledges nothing is told that the call is over: it may have taken it.
func TestCancelCrossesTheAnswer(t *testing.T) {
	now := time.Hour
	s := sideOn(func() time.Duration { return now }, 10)
	var out *agent.Attempt
	s.core.UpdateFarEnds(1, tinbeam.ListCached, []tinbeam.Entry{{Switch: 7, ExchangeNumber: 1, Mode: tinbeam.Ready}},
		nowhere{&out})
	peer := dialer(t, s)()
	for len(s.conns) < 1 {
		s.core.Step()
	}
	c, m := s.conns[0], invite("9b1f03aa5c7e2d41", "check", "9000", "dest:1", "v=0")
	c.handleMessage(m)
	s.core.Answered(out, "v=0")
	m.Method = "CANCEL"
	c.handleMessage(m)
	now += ackTimeout
	s.core.Step()
	peer.SetReadDeadline(time.Now().Add(20 * time.Second))
	var got []byte
	for buf := make([]byte, 4096); !bytes.Contains(got, []byte("BYE sip:")); {
		n, err := peer.Read(buf)
		if err != nil {
			t.Fatalf("%v after %q", err, got)
		}
		got = append(got, buf[:n]...)
	}
	c.handleMessage(&sip.Message{Status: 481, Headers: []sip.Header{{Name: "Call-ID", Value: m.Get("Call-ID")}, {Name: "CSeq", Value: "1 BYE"}}})
	if s.OpenCalls() != 0 || s.core.OpenCalls() != 0 {
		t.Errorf("%d and %d calls are held", s.OpenCalls(), s.core.OpenCalls())
	}
}
