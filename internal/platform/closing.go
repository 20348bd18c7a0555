package platform

import (
	"slices"
	"time"
)

// This file drains callers and closes their connections without losing a set-up.

// settleTime is the time from a pause of reading until what was being read at that moment is certain to be visible.
const settleTime = 3 * time.Millisecond

// DrainSchedule says when the steps of a drain begin, counted from its start. With 0 a step is left out.
type DrainSchedule struct {
	CloseAfter  time.Duration // from then on each connection is closed as soon as no set-up is pending on it
	RefuseAfter time.Duration // from then on set-ups are refused, so that busy connections become idle too
	EndAfter    time.Duration // then the set-ups still pending are failed and all connections closed

	// While calls are established, connections stay open for their releases: no caller will connect to this agent again.
	KeepForReleases bool
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
	s.releaseConns = s.chooseReleaseConns()
	for _, c := range slices.Clone(s.conns) {
		c.closeIfIdle()
	}
	s.scheduleClosing()
}

// scheduleClosing calls closeIdle again soon if a drain closes connections and there are any. A caller whose connection was closed may
// have opened another one since.
func (s *Callers) scheduleClosing() {
	if s.drain == nil || !s.drainClosing || s.closeScheduled || len(s.conns) == 0 {
		return
	}
	s.closeScheduled = true
	s.core.After(closeRetryInterval, func() {
		s.closeScheduled = false
		s.closeIdle()
	})
}

// closeIfIdle closes a connection with no set-up pending on it, once a drain closes connections.
func (c *callerConn) closeIfIdle() {
	if s := c.callers; s.drain != nil && s.drainClosing && c.gotMessage && !s.releaseConns[c] {
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

// closeSoon pauses reading, and closes the connection a little later if the condition still holds and nothing has arrived on it that
// was read and not dealt with. A set-up that arrives in between is served, or stays unread. closed is called if it was closed.
func (c *callerConn) closeSoon(condition func() bool, closed func()) {
	if c.closeTrying {
		return
	}
	c.closeTrying = true
	c.link.PauseReading()
	c.callers.core.After(settleTime, func() {
		c.closeTrying = false
		if c.closed {
			return
		}
		closeNow := c.link.CloseIfIdle
		if c.link.StalledFor() > 0 { // what is left of a message may trickle in forever
			closeNow = c.link.CloseIfReadIsHandled
		}
		if c.pending > 0 || !condition() || !c.link.ReadingPaused() || !closeNow(c.queueEmpty) {
			c.link.ResumeReading()
			return
		}
		c.tearDown()
		closed()
	})
}

// closeTimedOut frees the file descriptors of peers that open a connection, or begin a message, and send nothing more.
func (s *Callers) closeTimedOut() {
	for _, c := range slices.Clone(s.conns) {
		if c.pending == 0 && c.timedOut() {
			c.closeSoon(c.timedOut, s.core.Metrics.CallersTimedOut.Inc)
		}
	}
}

// timedOut reports whether the first message, or the rest of a message, has not come in time.
func (c *callerConn) timedOut() bool {
	stalled := c.link.StalledFor()
	return !c.gotMessage && stalled == 0 && c.idleFor() > readTimeout || stalled > readTimeout
}

// idleFor returns the time since the last message, or since the accept.
func (c *callerConn) idleFor() time.Duration { return c.callers.core.Now() - c.lastMessageAt }

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
			if c.gotMessage != silent && c.evictable() && !c.closeTrying {
				c.closeSoon(c.evictable, s.core.Metrics.CallersEvicted.Inc)
				return
			}
		}
	}
}

// evictable reports whether a connection has no call and has been idle for long enough to be closed for another one.
func (c *callerConn) evictable() bool {
	return len(c.legs) == 0 && c.idleFor() >= minIdleToEvict && c.link.StalledFor() == 0
}
