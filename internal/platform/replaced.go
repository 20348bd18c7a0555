package platform

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
)

// This file notices that a far end's process was replaced, if the list does not tell in time. A connection that is opened proves nothing
// about the process that was there before. It leads to the same one if an earlier connection brings a line afterwards, or a call of an
// earlier one is released on it. It leads to another one if the circuit group's state has fewer circuits taken than the calls need: a
// call keeps its circuits until its end.

// lateReleaseTime is how long after a state of the group the releases of calls that had ended may come.
const lateReleaseTime = time.Second

// maxDoubts is the maximum number of doubts that are kept for a far end.
const maxDoubts = 16

// processDoubt is the doubt whether the connections from a generation on lead to the process that the earlier ones led to.
type processDoubt struct {
	generation int           // of the connection that was opened
	openedAt   time.Duration // when that was
	heardAt    time.Duration // last line on an earlier connection
}

// groupEvidence is a state of the circuit group that is compared with the calls a while later.
type groupEvidence struct {
	taken      float64       // circuits
	generation int           // of the connection that brought it
	before     time.Duration // calls that were established before this time are part of it
}

// startGeneration gives a connection that was opened a generation. If calls stand, it is in doubt whose process it leads to.
func (x *farEnd) startGeneration(c *farConn) {
	x.generation++
	c.generation = x.generation
	if !x.hasStandingCalls() {
		x.doubts, x.evidence = nil, nil
		return
	}
	if len(x.doubts) >= maxDoubts {
		x.doubts = slices.Delete(x.doubts, 0, 1)
	}
	x.doubts = append(x.doubts, processDoubt{generation: c.generation, openedAt: x.farEnds.core.Now(), heardAt: x.heardAt})
}

// noteLine ends the doubts about connections that were opened before a line came on an earlier one, unless it may have been on its way.
func (c *farConn) noteLine() {
	x := c.farEnd
	if c.generation == 0 {
		return // its dial was not handled yet
	}
	now := x.farEnds.core.Now()
	x.heardAt = now
	x.doubts = slices.DeleteFunc(x.doubts, func(d processDoubt) bool {
		return d.generation > c.generation && now-d.openedAt >= stallTimeout
	})
	for i := range x.doubts {
		if d := &x.doubts[i]; d.generation > c.generation {
			d.heardAt = now
		}
	}
}

// noteKnownCall ends the doubts between the connection of a call's set-up and the one on which the far end has released the call.
func (c *farConn) noteKnownCall(a *agent.Attempt) {
	first := a.Leg.(*attemptLeg).conn.generation
	c.farEnd.doubts = slices.DeleteFunc(c.farEnd.doubts, func(d processDoubt) bool {
		return d.generation > first && d.generation <= c.generation
	})
}

// noteGroupState compares the circuits that are taken with the calls, if a doubt is open, once late releases have come and earlier
// connections have had their time to bring something. Of several states the one with the fewest circuits taken counts.
// The first state on a connection was sent after its dial had begun, a later one at an unknown time not long ago.
func (c *farConn) noteGroupState(report []float32, first bool) {
	x := c.farEnd
	taken, ok := takenCircuits(x.farEnds.core.Settings.ReportFields, report)
	if !ok || c.generation == 0 {
		return
	}
	doubt := x.firstDoubt(c.generation)
	if doubt == nil {
		return
	}
	now := x.farEnds.core.Now()
	evidence := &groupEvidence{taken: taken, generation: c.generation, before: now - lateReleaseTime}
	if first {
		evidence.before = c.dialedAt
	}
	if x.evidence != nil {
		if evidence.taken < x.evidence.taken {
			*x.evidence = *evidence
		}
		return
	}
	x.evidence = evidence
	x.weighAt(max(now+lateReleaseTime, doubt.heardAt+agent.UnresponsiveTimeout), evidence)
}

// weighAt weighs the evidence at a time, unless it is dropped before.
func (x *farEnd) weighAt(at time.Duration, evidence *groupEvidence) {
	x.farEnds.core.At(at, func() {
		if x.evidence == evidence {
			x.weigh(evidence)
		}
	})
}

// firstDoubt returns the first doubt about a generation that concerns a call; nil: there is none.
func (x *farEnd) firstDoubt(generation int) *processDoubt {
	for i := range x.doubts {
		d := &x.doubts[i]
		for _, a := range x.attempts {
			if d.generation <= generation && a.Established() && a.Leg.(*attemptLeg).conn.generation < d.generation {
				return d
			}
		}
	}
	return nil
}

// weigh ends the calls of processes that the evidence shows to be gone: those before the first doubt, and so on, until there are circuits
// enough for the others. A state that has not even enough for the calls of the process that sent it shows nothing.
func (x *farEnd) weigh(evidence *groupEvidence) {
	x.evidence = nil
	if len(x.doubts) == 0 || x.circuitsNeeded(evidence, x.doubts[len(x.doubts)-1].generation) > evidence.taken {
		return
	}
	for _, d := range slices.Clone(x.doubts) {
		if d.generation > evidence.generation || x.circuitsNeeded(evidence, 0) <= evidence.taken {
			return
		}
		if due := d.heardAt + agent.UnresponsiveTimeout; x.farEnds.core.Now() < due {
			x.evidence = evidence
			x.weighAt(due, evidence)
			return
		}
		lost := func(a *agent.Attempt) bool {
			return a.Established() && a.Leg.(*attemptLeg).conn.generation < d.generation
		}
		x.reportReplaced(lost, evidence, d)
		x.doubts = slices.DeleteFunc(x.doubts, func(o processDoubt) bool { return o.generation <= d.generation })
		x.endAttempts(lost)
	}
}

// reportReplaced logs that a process was replaced, if it had calls.
func (x *farEnd) reportReplaced(lost func(*agent.Attempt) bool, evidence *groupEvidence, d processDoubt) {
	calls := 0
	for _, a := range x.attempts {
		if lost(a) {
			calls++
		}
	}
	if calls == 0 {
		return
	}
	now := x.farEnds.core.Now()
	x.farEnds.core.Metrics.FarEndsReplaced.Inc()
	x.farEnds.log.Info("far end was replaced, as far as its free circuits show", zap.String("id", changelog.FormatID(x.id)),
		zap.Int("calls", calls), zap.Float64("circuits taken", evidence.taken), zap.Float64("circuits needed", x.circuitsNeeded(evidence, 0)),
		zap.Duration("last line before", now-d.heardAt), zap.Duration("connection opened before", now-d.openedAt))
}

// circuitsNeeded returns how many circuits the calls of the generations take, from one to that of the evidence, that stand now and stood
// when the state was sent.
func (x *farEnd) circuitsNeeded(evidence *groupEvidence, from int) (circuits float64) {
	for _, a := range x.attempts {
		if !a.Established() {
			continue
		}
		l := a.Leg.(*attemptLeg)
		generation := l.conn.generation
		if l.establishedAt < evidence.before && generation >= from && generation <= evidence.generation {
			circuits += a.Call.Width
		}
	}
	return circuits
}

// takenCircuits returns how many circuits of a group are taken, if a load report has its state.
func takenCircuits(fields []string, report []float32) (taken float64, ok bool) {
	idle, circuits := slices.Index(fields, "idle"), slices.Index(fields, "circuits")
	if idle < 0 || circuits < 0 || max(idle, circuits) >= len(report) || report[circuits] <= 0 || report[idle] < 0 {
		return 0, false
	}
	return float64(report[circuits] - report[idle]), true
}

// askForState asks for the group's state on the latest connection while calls are in doubt, so that the doubt does not last.
func (x *farEnd) askForState() {
	if len(x.doubts) == 0 || len(x.conns) == 0 || x.mode == tinbeam.Gone || x.evidence != nil {
		return
	}
	now, latest := x.farEnds.core.Now(), x.conns[len(x.conns)-1]
	if x.firstDoubt(latest.generation) == nil {
		return
	}
	if now-x.stateAskedAt >= agent.HealthCheckDelay && now-latest.connectedAt >= agent.HealthCheckDelay {
		x.stateAskedAt = now
		latest.sendCheck()
	}
}
