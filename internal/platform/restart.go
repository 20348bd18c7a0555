package platform

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
)

// This file notices that a far end's process was replaced while its connections were refused, if the list does not tell in time.

// lateReleaseTime is how long after a new connection the releases of calls that ended meanwhile may come on it.
const lateReleaseTime = time.Second

// checkForRestart examines the first state of the circuit group that is received after connections were refused. An established call
// keeps its circuits until its end, so if no circuit is taken, the calls of before have ended. Those that are not released soon were
// lost with their process, and are ended in time.
func (x *farEnd) checkForRestart(groupState []float32) {
	if !x.refused || groupState == nil {
		return
	}
	x.refused = false
	if !allCircuitsFree(x.farEnds.core.Settings.ReportFields, groupState) {
		return
	}
	var suspects []*agent.Attempt
	for a := range x.sortedAttempts() {
		if a.Established() && a.Leg.(*attemptLeg).conn.closed {
			suspects = append(suspects, a)
		}
	}
	if len(suspects) == 0 {
		return
	}
	x.farEnds.log.Info("far end was replaced, as far as its free circuits show",
		zap.String("id", changelog.FormatID(x.id)), zap.Int("calls", len(suspects)))
	core := x.farEnds.core
	core.At(max(core.Now()+lateReleaseTime, x.lostAt+agent.UnresponsiveTimeout), func() {
		x.endAttempts(func(a *agent.Attempt) bool { return slices.Contains(suspects, a) })
	})
}

// allCircuitsFree reports whether a load report has the state of a circuit group and no circuit of it is taken.
func allCircuitsFree(fields []string, report []float32) bool {
	idle, circuits := slices.Index(fields, "idle"), slices.Index(fields, "circuits")
	if idle < 0 || circuits < 0 || max(idle, circuits) >= len(report) {
		return false
	}
	return report[circuits] > 0 && report[idle] >= report[circuits]
}
