package platform

import (
	"slices"
	"time"
)

// This file drains callers and closes their connections without losing a set-up.

// DrainSchedule says when the steps of a drain begin, counted from its start. With 0 a step is left out.
type DrainSchedule struct {
	CloseAfter  time.Duration // from then on each connection is closed as soon as no set-up is pending on it
	RefuseAfter time.Duration // from then on set-ups are refused, so that busy connections become idle too
	EndAfter    time.Duration // then the set-ups still pending are failed and all connections closed
}

// Drain starts draining callers, or with nil accepts them again. During a drain health checks fail; connected callers are
// served until their connection can be closed, preferably right after an answer, when no request crosses the close. An
// established call belongs to no connection: its release goes to the caller that connects next.
func (s *Callers) Drain(schedule *DrainSchedule) {
	s.drain = schedule
	s.drainRefusing = false
	if schedule == nil {
		return
	}
	after := func(d time.Duration, do func()) {
		if d > 0 {
			s.core.After(d, func() {
				if s.drain == schedule { // otherwise the drain was cancelled or replaced meanwhile
					do()
				}
			})
		}
	}
	s.drainClosing = false
	after(schedule.CloseAfter, func() {
		s.drainClosing = true
		s.closeIdle()
	})
	after(schedule.RefuseAfter, func() { s.drainRefusing = true })
	after(schedule.EndAfter, func() {
		for _, c := range slices.Clone(s.conns) {
			for _, leg := range c.pendingLegs() {
				s.core.Fail(leg.call)
			}
		}
		s.closeIdle()
	})
}

// closeIdle closes what a drain may close now, and tries again soon as long as the drain closes connections.
func (s *Callers) closeIdle() {
	for _, c := range slices.Clone(s.conns) {
		c.closeIfIdle()
	}
	if s.drain != nil && s.drainClosing && !s.closeScheduled && len(s.conns) > 0 {
		s.closeScheduled = true
		s.core.After(closeRetryInterval, func() {
			s.closeScheduled = false
			s.closeIdle()
		})
	}
}

// closeIfIdle closes a connection with no set-up pending on it, once a drain closes connections.
func (c *callerConn) closeIfIdle() {
	if s := c.callers; s.drain != nil && s.drainClosing && c.gotMessage {
		c.closeWithoutLoss()
	}
}

// closeWithoutLoss begins to close a connection, or closes it, unless a set-up on it is pending, something has been received on it
// that was not handled yet, or an answer is still to be written. It has to be called again until the connection is closed.
func (c *callerConn) closeWithoutLoss() {
	switch {
	case c.closed:
	case c.pending > 0 || c.queued.Load() > 0:
		c.link.ResumeReading()
	case !c.link.ReadingPaused():
		c.link.PauseReading()
	case c.closeIfHandled():
	default:
		c.link.ResumeReading()
	}
}

// closeIfHandled closes a connection at once if all that was received on it has been handled, and reports whether it did.
func (c *callerConn) closeIfHandled() bool {
	if c.pending > 0 || !c.link.CloseIfIdle(c.queueEmpty) {
		return false
	}
	c.tearDown()
	return true
}

// closeFinally reads no further message from a connection, and closes it once what was read has been answered. Set-ups that arrive
// meanwhile cross the close.
func (c *callerConn) closeFinally() {
	c.link.PauseReading()
	if c.pending == 0 && c.link.ReadingPaused() && c.link.CloseIfReadIsHandled(c.queueEmpty) {
		c.tearDown()
	}
}

// queueEmpty reports whether all messages received on the connection have been handled.
func (c *callerConn) queueEmpty() bool { return c.queued.Load() == 0 }

// CloseConnections closes the connections on which nothing is under way, and returns how many are left. A final call also closes
// those on which messages keep arriving, and leaves these unread. It has to be called again until no connection is left.
func (s *Callers) CloseConnections(final bool) int {
	for _, c := range slices.Clone(s.conns) {
		if final {
			c.closeFinally()
		} else {
			c.closeWithoutLoss()
		}
	}
	return len(s.conns)
}

// RefuseNewCalls refuses every further set-up.
func (s *Callers) RefuseNewCalls() { s.stopping = true }

// evict closes the connection that has been idle longest among those that never sent a message, else among those without a
// call. This keeps capacity for regular callers when others only hold connections open. A connection with an established
// call is kept, since the call's release must reach its caller, who may have no other connection.
func (s *Callers) evict() {
	for _, silent := range []bool{true, false} {
		for _, c := range s.conns {
			if c.gotMessage != silent && len(c.legs) == 0 && s.core.Now()-c.lastMessageAt >= minIdleToEvict && c.closeIfHandled() {
				s.core.Metrics.CallersEvicted.Inc()
				return
			}
		}
	}
}
