package platform

import (
	"slices"
	"time"

	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
)

// This file ends attempts and calls at far ends.

const (
	confirmTime       = 10 * time.Second // a release not confirmed within this is not sent again
	maxUnconfirmed    = 1024             // releases remembered for each connection
	maxQueuedReleases = 1024             // releases kept for a far end that cannot be reached
)

// release is the stop line of an attempt or call. It does not hold the call, whose description may be long.
type release struct {
	leg    *attemptLeg
	callID string
	line   []byte
	sentAt time.Duration
}

func newRelease(a *agent.Attempt, cause int) release {
	line := (&farend.Message{Kind: farend.Stop, UID: a.Call.ID, Cause: cause}).Append(nil)
	return release{leg: a.Leg.(*attemptLeg), callID: a.Call.ID, line: line}
}

// Cancel withdraws a set-up that has not been written, or cancels it at the far end.
func (f *FarEnds) Cancel(a *agent.Attempt) {
	l := a.Leg.(*attemptLeg)
	x := f.byID[a.Switch]
	if x == nil {
		return
	}
	x.removeAttempt(a)
	if l.conn == nil || l.handle.Withdraw() {
		f.core.Metrics.AttemptsWithdrawn.Inc()
		return
	}
	x.sendStop(a, farend.CauseNormal)
}

// Release releases an established call.
func (f *FarEnds) Release(a *agent.Attempt, cause int) {
	x := f.byID[a.Switch]
	if x == nil {
		return
	}
	x.removeAttempt(a)
	x.sendStop(a, cause)
}

// sendStop ends an attempt or a call at the far end.
func (x *farEnd) sendStop(a *agent.Attempt, cause int) { x.sendRelease(newRelease(a, cause)) }

// sendRelease sends a release on the connection of its set-up, else on any other, else on the next one opened.
func (x *farEnd) sendRelease(r release) {
	for _, c := range []*farConn{r.leg.conn, x.leastLoaded()} {
		if c != nil && !c.closed && c.sendRelease(r) {
			return
		}
	}
	r.leg.releaseWaits = true
	if len(x.queuedReleases) >= maxQueuedReleases {
		x.farEnds.core.Metrics.ReleasesDropped.Inc()
		return
	}
	x.queuedReleases = append(x.queuedReleases, r)
}

// sendQueuedReleases sends the releases that wait for a connection, which has been opened.
func (x *farEnd) sendQueuedReleases() {
	if len(x.queuedReleases) == 0 {
		return
	}
	queued := x.queuedReleases
	x.queuedReleases = nil
	for _, r := range queued {
		x.sendRelease(r)
	}
	x.farEnds.core.ReleasesSent()
}

// dropQueuedReleases forgets the releases that wait for a connection, since what they would end is known to be gone.
func (x *farEnd) dropQueuedReleases() {
	for _, r := range x.queuedReleases {
		r.leg.releaseWaits = false
	}
	x.queuedReleases = nil
	x.farEnds.core.ReleasesSent()
}

// ReleasedAt returns when the release of an attempt that has ended was sent; 0 if it needed none. It reports false while the release
// waits for a connection: until then the far end may have answered, and its call may stand.
func (f *FarEnds) ReleasedAt(a *agent.Attempt) (at time.Duration, released bool) {
	l := a.Leg.(*attemptLeg)
	return l.releasedAt, !l.releaseWaits
}

// Sent reports whether the set-up of an attempt was written, or a part of it.
func (f *FarEnds) Sent(a *agent.Attempt) bool {
	l, ok := a.Leg.(*attemptLeg)
	return ok && l.handle.Written()
}

// sendRelease sends a release on the connection, and remembers it until the far end confirms it.
func (c *farConn) sendRelease(r release) bool {
	if !c.link.Send(r.line, nil) {
		return false
	}
	r.sentAt = c.farEnd.farEnds.core.Now()
	r.leg.stopConn, r.leg.releasedAt, r.leg.releaseWaits = c, r.sentAt, false
	c.unconfirmed = append(slices.DeleteFunc(c.unconfirmed, func(o release) bool { return r.sentAt-o.sentAt >= confirmTime }), r)
	if len(c.unconfirmed) > maxUnconfirmed {
		c.unconfirmed = slices.Delete(c.unconfirmed, 0, 1)
	}
	return true
}

// confirmRelease forgets the releases of a call, which the far end has heard.
func (x *farEnd) confirmRelease(uid string) {
	for _, c := range x.conns {
		c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r release) bool { return r.callID == uid })
	}
}

// answerLate handles an answer to a set-up that is over. It crossed the release, which may also have been lost: then its call would
// stand, so a release that the far end has not confirmed is sent once more.
func (c *farConn) answerLate(uid string) {
	for _, o := range c.farEnd.conns {
		if i := slices.IndexFunc(o.unconfirmed, func(r release) bool { return r.callID == uid }); i >= 0 {
			c.link.Send(o.unconfirmed[i].line, nil)
			return
		}
	}
}

// repeatReleases sends the releases that a closed connection may have taken with it on another one, or the next one opened. A call
// with an attempt at the far end is left out: the release would end that one.
func (c *farConn) repeatReleases() {
	x := c.farEnd
	for _, r := range c.unconfirmed {
		recent := x.farEnds.core.Now()-r.sentAt < confirmTime
		if recent && r.leg.stopConn == c && x.attempts[r.callID] == nil {
			x.sendRelease(r)
		}
	}
	c.unconfirmed = nil
}

// repeatStops sends the stop lines of the call's earlier attempts again if their connection has closed: they may not have arrived.
func (c *farConn) repeatStops(a *agent.Attempt) {
	for p := a.Previous; p != nil; p = p.Previous {
		l, ok := p.Leg.(*attemptLeg)
		if ok && p.Switch == a.Switch && l.stopConn != nil && l.stopConn != c && !l.ended {
			c.sendRelease(newRelease(p, farend.CauseNormal))
		}
	}
}

// connFor returns the connection for the launch of an attempt; nil: none is open. The stop line of an earlier attempt of the call
// must not arrive after the launch, which it would end: so the launch follows it on the same connection.
func (x *farEnd) connFor(a *agent.Attempt) *farConn {
	for p := a.Previous; p != nil; p = p.Previous {
		if l, ok := p.Leg.(*attemptLeg); ok && p.Switch == a.Switch && slices.Contains(x.conns, l.stopConn) {
			return l.stopConn
		}
	}
	return x.leastLoaded()
}
