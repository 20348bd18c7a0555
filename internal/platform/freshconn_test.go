package platform

import (
	"net"
	"testing"
	"time"

	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
)

// newConnWithin returns the connection that is opened within a time while the far end goes on sending on another one, so that no silence
// is a cause. It fails the test if there is none.
func (f *steppedFixture) newConnWithin(limit time.Duration, open *peerConn) *peerConn {
	f.Helper()
	for range limit / sweepInterval {
		open.send(farend.Staging, "", 0)
		f.waitFor("a line is not handled", false, func(x *farEnd) bool { return x.silence.Since() == f.core.Now() })
		f.advance(sweepInterval)
		if len(f.conns) > 0 {
			return <-f.conns
		}
	}
	f.Fatalf("no connection was opened within %v", limit)
	return nil
}

// releaseStandingCall releases the standing call on a connection, and checks that its caller is told.
func (f *steppedFixture) releaseStandingCall(c *peerConn) {
	f.Helper()
	_, _ = c.Write((&farend.Message{Kind: farend.Stop, UID: standingCallID, Cause: farend.CauseNormal}).Append(nil))
	if got := f.nextAnswer(); got != "released 16" {
		f.Errorf("the caller got %q", got)
	}
}

// Guards against a call left standing towards its caller: its release is lost with one of several connections. The far end sends it
// again on the next one, which has to be opened although enough others are open.
func TestReleaseLostWithOneOfSeveralConnections(t *testing.T) {
	f := newSteppedFixture(t)
	f.open()
	carrier := f.standingCall()
	f.offer()
	slow := f.next(farend.Launch)
	f.advance(extraConnDelay + sweepInterval)
	open := f.nextConn() // an extra one, since the set-up is pending for long
	slow.conn.send(farend.Running, "v=0 slow", 0)
	f.nextAnswer()
	f.onLoop(func() {
		_ = carrier.Conn.(*net.TCPConn).SetLinger(0)
		carrier.Close()
	})
	f.releaseStandingCall(f.newConnWithin(lostReleaseTime-time.Second, open))
}

// Guards against a call left standing towards its caller: a far end that does not know yet that its connections are lost sends the
// release there, after others have been opened. A later one brings it.
func TestReleaseSentOnLostConnection(t *testing.T) {
	f := newSteppedFixture(t)
	conns := f.open()
	f.standingCall()
	f.listener.Close()
	f.loseConnections(conns)
	f.listenAgain()
	f.nextConn()
	f.releaseStandingCall(f.newConnWithin(lostReleaseTime-time.Second, f.nextConn()))
}

// Guards against connections without end: those that are opened for lost releases stay within the limit.
func TestFreshConnectionsAreLimited(t *testing.T) {
	f := newSteppedFixture(t)
	f.open()
	f.standingCall()
	for range 2 * maxConnsPerFarEnd {
		open := 0
		f.onLoop(func() {
			x := f.farEnds.byID[7]
			open = len(x.conns)
			x.conns[0].link.Close()
		})
		if open > maxConnsPerFarEnd {
			t.Fatalf("%d connections are open", open)
		}
		f.advance(agent.UnresponsiveTimeout + time.Second)
	}
}
