package platform

import (
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
)

// A line from a far end names its call but not the attempt. This file decides which attempt a line is about.

// staleCopyTime is how long after a far end ended an attempt a copy of that end may still arrive.
const staleCopyTime = time.Second

// stopMeaning says what a Stop line is about.
type stopMeaning int

const (
	stopsAttempt stopMeaning = iota // the present attempt, or the established call
	stopsEarlier                    // an earlier attempt of the call
	stopsEither                     // the present attempt or an earlier one
)

// carries reports whether the attempt's launch was written to the connection. Until a far end has answered a set-up, it sends
// what concerns it on the connection of the set-up only.
func (c *farConn) carries(a *agent.Attempt) bool {
	l := a.Leg.(*attemptLeg)
	return l.conn == c && !c.closed && l.handle.Written()
}

// meaningOfStop says which attempt a Stop line ends that arrives for the call of a.
func (c *farConn) meaningOfStop(a *agent.Attempt, m *farend.Message) stopMeaning {
	earlier := earlierStopPossible(a, c.farEnd.farEnds.core.Now())
	switch {
	case !a.Established() && !c.carries(a):
		return stopsEarlier
	case !earlier:
		return stopsAttempt
	case a.Established() && !m.EndsCall(), !a.Established() && !m.EndsSetUp():
		return stopsEarlier
	}
	return stopsEither
}

// earlierStopPossible reports whether the far end may still send a Stop line for an earlier attempt of the call: one whose end it
// has not sent, which may also be sent again on the next connection, or one that it has just ended, of which a copy may follow.
func earlierStopPossible(a *agent.Attempt, now time.Duration) bool {
	for p := a.Previous; p != nil; p = p.Previous {
		if p.Switch != a.Switch {
			continue
		}
		l, ok := p.Leg.(*attemptLeg)
		if ok && l.handle.Written() && (!l.ended || now-p.EndedAt < staleCopyTime) {
			return true
		}
	}
	return false
}

// handleStop handles a Stop line for a call with an attempt at this far end. If it may be about an earlier attempt, the present
// one may still be running, or its call may stand: then the far end is told that it is over, and for the core it was reset, so
// that the next attempt waits for the release.
func (c *farConn) handleStop(a *agent.Attempt, m *farend.Message) {
	x := c.farEnd
	core := x.farEnds.core
	if a.Established() {
		c.noteKnownCall(a)
	}
	report := m.Report(core.Settings.ReportFields)
	switch c.meaningOfStop(a, m) {
	case stopsEarlier:
		x.ignoreStale(a, m)
	case stopsEither:
		core.Metrics.AttemptsAmbiguous.Inc()
		x.log("attempt given up: the release may be its own or an earlier attempt's", a, m)
		established := a.Established()
		x.removeAttempt(a)
		x.sendStop(a, farend.CauseNormal)
		code, note := tinbeam.Reset, uint32(tinbeam.NoteLinkLost)
		if established {
			code, note = m.OutcomeCode(established), m.Note()
		}
		core.Ended(a, code, note, report, m.Cause)
	case stopsAttempt:
		a.Leg.(*attemptLeg).ended = true
		if a.Established() {
			c.link.Send((&farend.Message{Kind: farend.Stopped, UID: m.UID}).Append(nil), nil)
		}
		x.removeAttempt(a)
		core.Ended(a, m.OutcomeCode(a.Established()), m.Note(), report, m.Cause)
	}
}

// ignoreStale counts a line about an earlier attempt of the call.
func (x *farEnd) ignoreStale(a *agent.Attempt, m *farend.Message) {
	x.farEnds.core.Metrics.StaleLines.Inc()
	x.log("line about an earlier attempt ignored", a, m)
}

func (x *farEnd) log(text string, a *agent.Attempt, m *farend.Message) {
	x.farEnds.log.Info(text, zap.String("far", x.addr), zap.String("call", m.UID), zap.Int("try", a.Try()),
		zap.String("kind", m.Kind), zap.Int("cause", m.Cause), zap.Bool("established", a.Established()))
}
