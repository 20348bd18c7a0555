package platform

import (
	"slices"

	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
)

// This file ends attempts and calls at far ends.

// queuedRelease is the release of an attempt or call that could not be sent yet.
type queuedRelease struct {
	leg  *attemptLeg
	line []byte
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

// sendStop ends an attempt or a call at the far end: on the connection of its set-up, else on any other, else on the next one
// opened.
func (x *farEnd) sendStop(a *agent.Attempt, cause int) {
	l, line := a.Leg.(*attemptLeg), stopLine(a, cause)
	for _, c := range []*farConn{l.conn, x.leastLoaded()} {
		if c != nil && !c.closed && c.link.Send(line, nil) {
			l.stopConn = c
			return
		}
	}
	if len(x.queuedReleases) < maxQueuedReleases {
		x.queuedReleases = append(x.queuedReleases, queuedRelease{l, line})
	}
}

func stopLine(a *agent.Attempt, cause int) []byte {
	return (&farend.Message{Kind: farend.Stop, UID: a.Call.ID, Cause: cause}).Append(nil)
}

// repeatStops sends the stop lines of the call's earlier attempts again if their connection has closed: they may not have arrived.
func (c *farConn) repeatStops(a *agent.Attempt) {
	for p := a.Previous; p != nil; p = p.Previous {
		l, ok := p.Leg.(*attemptLeg)
		if ok && p.Switch == a.Switch && l.stopConn != nil && l.stopConn != c && !l.ended {
			c.link.Send(stopLine(p, farend.CauseNormal), nil)
			l.stopConn = c
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
