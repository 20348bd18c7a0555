package platform

import (
	"time"

	"tinbeam/internal/agent"
)

// This file opens a connection to a far end after another one was lost. A far end sends the release of a call on the connection of its
// set-up, and once more on the next connection that is opened. If the first was lost, and others stay open, nothing else brings it.

// lostReleaseTime is within how long a call that has ended has to be released towards its caller, if its release was lost.
const lostReleaseTime = 8 * time.Second

// freshConn is a connection that is to be opened although there may be enough.
type freshConn struct {
	since time.Duration // a dial counts that was started since then; 0: none is due
	again *agent.Timer  // asks for another one, since the far end may have noticed the loss late
}

// opened records that a connection was opened whose dial was started at a time. One of before the loss does not count: the far end
// may have accepted it before it sent the release that was lost.
func (f *freshConn) opened(dialedAt time.Duration) {
	if dialedAt >= f.since {
		f.since = 0
	}
}

// replaceLostConn opens a connection in the place of one that was lost: one more than there are, if calls of lost connections stand.
// Until the far end notices the loss, it may send releases that are lost too, so another one follows. The loss is noticed within
// agent.UnresponsiveTimeout, or the calls are given up.
func (x *farEnd) replaceLostConn() {
	x.requestFreshConn()
	core := x.farEnds.core
	core.Stop(x.freshConn.again)
	x.freshConn.again = core.After(agent.UnresponsiveTimeout, x.requestFreshConn)
}

// requestFreshConn opens one more connection if calls of lost connections stand, and otherwise keeps the usual number.
func (x *farEnd) requestFreshConn() {
	if x.farEnds.byID[x.id] != x {
		return
	}
	x.freshConn.since = x.farEnds.core.Now()
	if x.hasCallsOfLostConns() {
		x.farEnds.core.Metrics.FreshLinks.Inc()
	}
	x.dial(x.wantedConns())
}

// wantedConns returns how many connections to the far end there are to be.
func (x *farEnd) wantedConns() int {
	since := x.freshConn.since
	if since == 0 || x.farEnds.core.Now()-since > lostReleaseTime || !x.hasCallsOfLostConns() {
		return connsWanted
	}
	return max(connsWanted, min(len(x.conns)+1, maxConnsPerFarEnd))
}

// hasCallsOfLostConns reports whether a call stands whose set-up was sent on a connection that has been lost.
func (x *farEnd) hasCallsOfLostConns() bool {
	for _, a := range x.attempts {
		if a.Established() && a.Leg.(*attemptLeg).conn.closed {
			return true
		}
	}
	return false
}
