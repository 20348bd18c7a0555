package platform

import (
	"time"

	"go.uber.org/zap"

	"tinbeam/internal/agent"
)

// This file opens connections to a far end after another one was lost. A far end sends the release of a call on the connection of its
// set-up, and once more on the next connection that is opened. It may take a lost connection for open, for minutes if the loss was
// silent, and goes on sending releases there. So as long as calls of lost connections stand, another connection is opened from time to
// time.

const (
	// lostReleaseTime is within how long a call that has ended has to be released towards its caller, if its release was lost.
	lostReleaseTime = 8 * time.Second
	// freshConnInterval is the time between connections opened for lost releases. It leaves as much again for one that does not come up.
	freshConnInterval = lostReleaseTime / 2
	// makeRoomInterval is the least time between connections that are closed to make room for a fresh one.
	makeRoomInterval = time.Second
)

// freshConn is a connection that is to be opened although there may be enough.
type freshConn struct {
	since      time.Duration // a dial counts that was started since then; 0: none is due
	openedAt   time.Duration // when the last one was opened
	roomMadeAt time.Duration // when a connection was last closed for one
}

// opened records that a connection was opened. One whose dial was started before the loss does not count: the far end may have accepted it
// before it sent the release that was lost.
func (f *freshConn) opened(c *farConn) {
	if f.since != 0 && c.dialedAt >= f.since {
		f.since, f.openedAt = 0, c.connectedAt
	}
}

// replaceLostConn opens a connection in the place of one that was lost: one more than there are, if calls of lost connections stand.
func (x *farEnd) replaceLostConn() {
	x.freshConn.since = 0
	x.requestFreshConn()
	x.dial(x.wantedConns())
}

// requestFreshConn asks for one more connection if calls of lost connections stand.
func (x *farEnd) requestFreshConn() {
	if x.farEnds.byID[x.id] != x || !x.hasCallsOfLostConns() {
		return
	}
	x.freshConn.since = x.farEnds.core.Now()
	x.farEnds.core.Metrics.FreshLinks.Inc()
}

// refreshConns asks for the next fresh connection when it is time. A connection that is more than enough makes room for it.
func (x *farEnd) refreshConns() {
	fresh := &x.freshConn
	if !x.hasCallsOfLostConns() {
		*fresh = freshConn{}
		return
	}
	if fresh.since == 0 && x.farEnds.core.Now()-fresh.openedAt >= freshConnInterval {
		x.requestFreshConn()
		if len(x.conns) > x.usualConns() {
			x.makeRoom()
		}
	}
}

// makeRoom closes a connection if a fresh one is due: the far end may hold all that it accepts, and may count those that are lost. All stay
// if nothing was heard for a while: a far end that is silent may hang, and would not notice.
func (x *farEnd) makeRoom() {
	now := x.farEnds.core.Now()
	if x.freshConn.since == 0 || now-x.freshConn.roomMadeAt < makeRoomInterval || now-x.heardAt > agent.HealthCheckDelay {
		return
	}
	spare := x.spareConn()
	if spare == nil {
		return
	}
	x.farEnds.log.Debug("connection to far end makes room for a fresh one", zap.String("far", x.addr),
		zap.Int("connections", len(x.conns)), zap.Int("calls", x.standingOn(spare)))
	x.freshConn.roomMadeAt = now
	spare.link.Close()
	spare.tearDown()
}

// spareConn returns the connection that is needed least, nil if a set-up waits for its answer on each. Those with calls and the first one,
// which brings the group's state, are the last to go.
func (x *farEnd) spareConn() (spare *farConn) {
	for i := len(x.conns) - 1; i >= 0; i-- {
		if c := x.conns[i]; c.pending == 0 && (spare == nil || x.standingOn(c) < x.standingOn(spare)) {
			spare = c
		}
	}
	return spare
}

// standingOn returns how many calls stand that were set up on a connection.
func (x *farEnd) standingOn(c *farConn) (calls int) {
	for _, a := range x.attempts {
		if a.Established() && a.Leg.(*attemptLeg).conn == c {
			calls++
		}
	}
	return calls
}

// usualConns returns how many connections to the far end there are to be if none was lost.
func (x *farEnd) usualConns() int {
	if len(x.farEnds.byID) > singleConnAbove {
		return 1
	}
	return connsWanted
}

// maxConns returns how many connections to the far end there may be.
func (x *farEnd) maxConns() int {
	switch {
	case len(x.farEnds.byID) <= singleConnAbove:
		return maxConnsPerFarEnd
	case x.freshConn.since != 0 || x.silence.Checked():
		return x.usualConns() + 1
	}
	return x.usualConns()
}

// wantedConns returns how many connections to the far end there are to be.
func (x *farEnd) wantedConns() int {
	if x.freshConn.since == 0 {
		return x.usualConns()
	}
	return max(x.usualConns(), min(len(x.conns)+1, x.maxConns()))
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
