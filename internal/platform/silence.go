package platform

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
)

// This file notices a far end that says nothing although it has something to answer: its machine is gone or cut off.

// extraConnDelay is the silence with a set-up pending before an extra connection is opened.
const extraConnDelay = 400 * time.Millisecond

// restartSilence counts the silence of the far end from now.
func (x *farEnd) restartSilence() { x.silence.Restart(x.farEnds.core.Now()) }

// discountPause takes a time in which the agent itself did not run off the silence of all far ends.
func (f *FarEnds) discountPause() {
	pause := f.pauses.Discount(f.core.Now(), func(yield func(*agent.Silence) bool) {
		for _, x := range f.byID {
			if !yield(&x.silence) {
				return
			}
			for _, c := range x.conns {
				if !yield(&c.silence.Silence) {
					return
				}
			}
		}
	})
	if pause > 0 {
		f.log.Warn("the agent did not run", zap.Duration("for", pause))
	}
}

// checkSilence examines a far end that has said nothing for a while although it has attempts or calls, or a health check to answer.
func (x *farEnd) checkSilence() {
	if len(x.attempts) == 0 && !x.silence.Checked() {
		return
	}
	now := x.farEnds.core.Now()
	silent := now - x.silence.Since()
	switch {
	case x.silence.Expired(now):
		x.giveUp(silent)
	case x.silence.CheckDue(now):
		x.startHealthCheck()
	case x.silence.Checked():
		x.repeatHealthCheck(now)
		x.dial(maxConnsPerFarEnd) // the far end may be back with another process, whose state of the group tells
	case silent > extraConnDelay && x.pendingLongerThan(extraConnDelay):
		// All its connections may be stalled. On a new one the far end first sends its group's state, which shows it is alive.
		x.dial(maxConnsPerFarEnd - 1) // one is left for a health check
	}
}

// repeatHealthCheck sends the next health check on another connection, since the first may have fallen silent alone.
func (x *farEnd) repeatHealthCheck(now time.Duration) {
	for _, c := range x.conns {
		if c.silence.Checked() && c.silence.CheckAge(now) < healthCheckInterval {
			return
		}
	}
	if c := x.healthCheckConn(); c != nil && !c.silence.Checked() {
		c.sendHealthCheck()
	}
}

// startHealthCheck sends a health check, and opens a connection.
func (x *farEnd) startHealthCheck() {
	x.silence.CheckSent(x.farEnds.core.Now())
	if c := x.healthCheckConn(); c != nil {
		c.sendHealthCheck()
	}
	x.openTestConn()
}

// refusedWithConns handles a connection that was refused while others are open. As the result of a health check it shows that the machine
// is there; a process that has ended takes its connections with it, so this one hangs and holds all the connections that it accepts. If
// another machine has the address now, it resets the open connections once something is sent on them.
func (x *farEnd) refusedWithConns() {
	if !x.silence.Checked() {
		return
	}
	x.restartSilence()
	for _, c := range slices.Clone(x.conns) {
		c.sendCheck()
	}
}

// giveUp ends the attempts and calls at a far end that has neither answered a health check nor accepted a connection, and closes its
// connections. A machine that is gone or cut off does that; its connections stay open, and no new one comes up.
func (x *farEnd) giveUp(silent time.Duration) {
	x.farEnds.log.Warn("far end is unresponsive",
		zap.String("id", changelog.FormatID(x.id)), zap.Int("calls", len(x.attempts)), zap.Duration("silent", silent),
		zap.Duration("oldest attempt", x.oldestAttemptAge()), zap.Duration("health check sent before", x.silence.CheckAge(x.farEnds.core.Now())))
	x.farEnds.core.Metrics.IdleLinks.Inc()
	x.restartSilence()
	// The connections come first: a release must not be written to one that leads nowhere.
	x.closeConns()
	x.endAttempts(func(a *agent.Attempt) bool { return a.Leg.(*attemptLeg).conn != nil })
}

// oldestAttemptAge returns the age of the oldest attempt or call at the far end; 0 without any.
func (x *farEnd) oldestAttemptAge() time.Duration {
	oldest := x.farEnds.core.Now()
	for _, a := range x.attempts {
		oldest = min(oldest, a.SentAt)
	}
	return x.farEnds.core.Now() - oldest
}

// pendingLongerThan reports whether a set-up has been pending for longer than age.
func (x *farEnd) pendingLongerThan(age time.Duration) bool {
	for _, a := range x.attempts {
		if !a.Established() && x.farEnds.core.Now()-a.SentAt > age {
			return true
		}
	}
	return false
}

// openTestConn opens one more connection to an unresponsive far end, in the place of another one if there are too many. This keeps
// the established calls of a far end that only hangs: its machine still accepts connections, while one to a machine that is gone or
// cut off is never opened.
func (x *farEnd) openTestConn() {
	if len(x.conns) >= maxConnsPerFarEnd {
		c := x.spareConn()
		if c == nil {
			c = x.leastLoaded()
		}
		c.link.Close()
		c.tearDown()
	}
	x.dial(maxConnsPerFarEnd)
}
