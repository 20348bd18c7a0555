package faultrig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tinbeam/internal/farend"
)

// Rule names a rule of the protocol page that a run may break.
type Rule string

// The rules that Check knows.
const (
	OneAttempt     Rule = "one attempt of a call out at a time"
	SingleShot     Rule = "a call that may have run is neither sent again nor refused as harmless"
	OneFinal       Rule = "one final answer in time"
	KnownAnswer    Rule = "an answer holds a description that a far end made for the call"
	DrainedFarEnd  Rule = "nothing is sent to a drained or removed far end"
	ReleaseInTime  Rule = "a release reaches the other side in time"
	HangupInTime   Rule = "a caller's release reaches the far end"
	HasCaller      Rule = "a call that stands at a far end without a caller is released there"
	NotCut         Rule = "a call that stands is not released towards its caller"
	MemoryLimit    Rule = "memory stays under the limit"
	DescriptorsMax Rule = "descriptors stay under the limit"
	ProcessAlive   Rule = "no process ends by itself"
)

// The time limits of the rules, from the protocol page. Every limit is slack longer.
const (
	slack               = 50 * time.Millisecond
	lateAnswer          = 500 * time.Millisecond // an answer this late earns nothing; a later one is lost
	crossing            = 50 * time.Millisecond  // a set-up may cross the close of an idle connection by this much
	releaseTime         = time.Second
	lostCallReleaseTime = 8 * time.Second
	toldAtLatest        = 7 * time.Second // what the change log has to tell counts as told after this
	toldAfterOutage     = 6 * time.Second // after discovery can be reached again
)

// anyConnection is the Connection of an event that concerns all of a call's attempts at a far end: a release names the call only.
const anyConnection = 0

// Violation is one broken rule with the records that show it.
type Violation struct {
	Rule    Rule
	Call    string
	Text    string
	Records []Event
}

// Limits holds what a run allows each process and call.
type Limits struct {
	MemoryBytes int64
	Descriptors int
	DrainGrace  time.Duration
}

// checker holds the records of a run, indexed for the rules.
type checker struct {
	limits     Limits
	events     []Event
	byCall     map[string][]Event
	violations []Violation
	end        time.Duration // end of the run; what was due later is not judged
	leave      time.Duration // when the callers left, or the end; releases that were due later found nobody
}

// Check returns the rules that the records of a run break. It knows the protocol's rules and nothing of the agent.
func Check(events []Event, limits Limits) []Violation {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	c := &checker{limits: limits, events: events, byCall: map[string][]Event{}}
	for _, e := range events {
		c.end = max(c.end, e.At)
		if e.Call != "" {
			c.byCall[e.Call] = append(c.byCall[e.Call], e)
		}
	}
	c.leave = c.end
	if i := slices.IndexFunc(events, func(e Event) bool { return e.Kind == CallersLeave }); i >= 0 {
		c.leave = events[i].At
	}
	calls := make([]string, 0, len(c.byCall))
	for id := range c.byCall {
		calls = append(calls, id)
	}
	slices.Sort(calls)
	for _, id := range calls {
		c.checkAttempts(id)
		c.checkSingleShot(id)
		c.checkAnswers(id)
		c.checkRelease(id)
		c.checkHangup(id)
		c.checkHasCaller(id)
		c.checkNotCut(id)
	}
	c.checkDrains()
	c.checkProcesses()
	return c.violations
}

func (c *checker) report(rule Rule, call string, records []Event, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Call: call, Text: fmt.Sprintf(format, args...), Records: records})
}

// attemptInterval is the time during which an attempt is out.
type attemptInterval struct {
	farEnd     string
	from, till time.Duration
}

// attemptIntervals returns the times during which the attempts of a call were out: from the complete arrival at a far end
// until the far end writes the end, or the agent gives the attempt up. One that was answered is out until its call has ended.
func (c *checker) attemptIntervals(call string) []attemptInterval {
	var intervals []attemptInterval
	events := c.byCall[call]
	for i, e := range events {
		if e.Kind != SetUpArrived {
			continue
		}
		interval := attemptInterval{farEnd: e.FarEnd, from: e.At, till: c.end + 1} // still out at the end
		answered := slices.ContainsFunc(events[i:], func(later Event) bool { return isAnswer(later) && sameAttempt(later, e) })
		written := writtenBefore(events[:i+1], e)
		for _, later := range events {
			if sameAttempt(later, e) && endsAttempt(later, e.At, written, answered) {
				interval.till = min(interval.till, later.At)
			}
		}
		if interval.till > interval.from {
			intervals = append(intervals, interval)
		}
	}
	return intervals
}

// sameAttempt reports whether an event of the call may concern the attempt that arrived.
func sameAttempt(e, arrived Event) bool {
	return e.FarEnd == arrived.FarEnd && (e.Connection == arrived.Connection || e.Connection == anyConnection)
}

func isAnswer(e Event) bool { return e.Kind == AttemptEnded && e.Note == farend.Running }

// endsAttempt reports whether an event ends an attempt that was written and arrived at these times. The set-up may arrive after it was
// given up, so the whole record of its connection counts. A call that stands belongs to no connection: the end of one gives up only
// what was never answered.
func endsAttempt(e Event, arrived, written time.Duration, answered bool) bool {
	switch e.Kind {
	case AttemptEnded:
		return !isAnswer(e) && e.At >= arrived
	case CallEnded, AgentReleased:
		return e.At >= arrived
	case AttemptGivenUp:
		return e.At >= written && (!answered || e.Connection == anyConnection)
	}
	return false
}

// writtenBefore returns when the set-up that arrived was written, or its arrival if that is not known.
func writtenBefore(events []Event, arrived Event) time.Duration {
	for i := len(events) - 1; i >= 0; i-- {
		if e := events[i]; e.Kind == SetUpWritten && e.FarEnd == arrived.FarEnd && e.Connection == arrived.Connection {
			return e.At
		}
	}
	return arrived.At
}

func (c *checker) checkAttempts(call string) {
	intervals := c.attemptIntervals(call)
	slices.SortFunc(intervals, func(a, b attemptInterval) int { return cmp.Compare(a.from, b.from) })
	for i := 1; i < len(intervals); i++ {
		if before, now := intervals[i-1], intervals[i]; now.from < before.till {
			c.report(OneAttempt, call, c.byCall[call], "an attempt at %s from %v to %v, another at %s from %v to %v",
				before.farEnd, before.from, before.till, now.farEnd, now.from, now.till)
		}
	}
}

// checkSingleShot checks calls of a class that may run once: after an attempt that arrived at a far end, and was not refused there
// before it ran, no other may be sent, and the caller must not be told that trying again is harmless.
func (c *checker) checkSingleShot(call string) {
	events := c.byCall[call]
	if !slices.ContainsFunc(events, func(e Event) bool { return e.Kind == RequestTaken && e.Note == singleShotClass }) {
		return
	}
	mayHaveRun := false
	for i, e := range events {
		switch {
		case e.Kind == SetUpArrived && mayHaveRun:
			c.report(SingleShot, call, events, "sent again to %s at %v", e.FarEnd, e.At)
		case e.Kind == SetUpArrived:
			mayHaveRun = !refusedBeforeItRan(events[i:], e)
		case e.Kind == FinalAnswer && e.Value == statusUnavailable && mayHaveRun:
			c.report(SingleShot, call, events, "refused as harmless at %v", e.At)
		}
	}
}

// refusedBeforeItRan reports whether the far end ended the attempt that arrived as one that never ran.
func refusedBeforeItRan(events []Event, arrived Event) bool {
	return slices.ContainsFunc(events, func(e Event) bool {
		return e.Kind == AttemptEnded && e.Connection == arrived.Connection && e.FarEnd == arrived.FarEnd &&
			(e.Value == farend.CauseFull || e.Value == farend.CauseTimerExpiry)
	})
}

// checkAnswers checks that a request that was taken gets exactly one final answer in time, unless its caller gave it up.
func (c *checker) checkAnswers(call string) {
	var taken, moved, gaveUp, connectionEnded *Event
	var finals []Event
	made := map[string]bool{}
	events := c.byCall[call]
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case RequestTaken:
			taken = e
		case RequestMoved:
			moved = e
		case RequestGivenUp:
			gaveUp = e
		case ConnectionEnded:
			connectionEnded = e
		case FinalAnswer:
			finals = append(finals, *e)
			if e.Value == statusOK && !made[e.Note] {
				c.report(KnownAnswer, call, events, "the answer holds %q", e.Note)
			}
		case DescribedBy:
			made[e.Note] = true
		}
	}
	if taken == nil {
		return
	}
	limit := taken.Deadline + lateAnswer + slack
	switch {
	case len(finals) > 1:
		c.report(OneFinal, call, events, "%d final answers", len(finals))
	case len(finals) == 1 && finals[0].At > limit:
		c.report(OneFinal, call, events, "the final answer came %v after the deadline", finals[0].At-taken.Deadline)
	case len(finals) == 1 || gaveUp != nil && gaveUp.At <= limit || c.killed(taken):
	case connectionEnded != nil && (moved == nil || connectionEnded.At > moved.At):
		c.report(OneFinal, call, events, "the connection ended without an answer: %s", connectionEnded.Note)
	case limit < c.end:
		c.report(OneFinal, call, events, "no final answer until %v after the deadline", c.end-taken.Deadline)
	}
}

// killed reports whether the process that took a request was killed without a shutdown before the answer was due. What the end
// of a planned shutdown leaves unanswered is not excused.
func (c *checker) killed(taken *Event) bool {
	for _, e := range c.events {
		if e.Kind == SignalSent && e.Note == signalCrash && e.Agent == taken.Agent && e.At >= taken.At &&
			e.At <= taken.Deadline+lateAnswer+slack {
			return true
		}
	}
	return false
}

// checkRelease checks that the end of an established call reaches its caller in time.
func (c *checker) checkRelease(call string) {
	events := c.byCall[call]
	i := slices.IndexFunc(events, func(e Event) bool { return e.Kind == FinalAnswer && e.Value == statusOK })
	if i < 0 {
		return
	}
	established := events[i]
	j := slices.IndexFunc(events, func(e Event) bool { return e.Kind == CallEnded && e.Note == established.Note })
	if j < 0 {
		return
	}
	ended := events[j]
	due := ended.At + lostCallReleaseTime
	for _, e := range events[j:] {
		if e.Kind == FarReleased && e.FarEnd == ended.FarEnd {
			due = min(due, max(e.At, established.At)+releaseTime)
		}
	}
	due += slack
	heard := slices.IndexFunc(events, func(e Event) bool {
		return (e.Kind == ReleaseHeard || e.Kind == CallerHangup) && e.At <= due
	})
	// A process that is told to end may take the knowledge of its calls with it.
	if heard < 0 && due <= c.leave && !c.stoppedBetween(established.Agent, established.At, due) {
		c.report(ReleaseInTime, call, events, "the call ended at %v and was not released towards its caller by %v", ended.At, due)
	}
}

// checkHangup checks that the release of an established call by its caller, once confirmed, reaches the far end. The page has no
// limit for that; this one is the limit for releases that could not be sent.
func (c *checker) checkHangup(call string) {
	events := c.byCall[call]
	i := slices.IndexFunc(events, func(e Event) bool { return e.Kind == FinalAnswer && e.Value == statusOK })
	j := slices.IndexFunc(events, func(e Event) bool { return e.Kind == HangupHeard })
	if i < 0 || j < 0 {
		return
	}
	due := events[j].At + lostCallReleaseTime + slack
	over := slices.ContainsFunc(events, func(e Event) bool {
		return (e.Kind == AgentReleased || e.Kind == CallEnded) && e.At <= due
	})
	if !over && due <= c.end && !c.stoppedBetween(events[i].Agent, events[i].At, due) {
		c.report(HangupInTime, call, events, "released by its caller at %v, and standing at the far end at %v", events[j].At, due)
	}
}

// stoppedBetween reports whether an agent's process was signalled to end or ended within a period.
func (c *checker) stoppedBetween(agent string, from, till time.Duration) bool {
	return slices.ContainsFunc(c.events, func(e Event) bool {
		return e.Agent == agent && e.At >= from && e.At <= till &&
			(e.Kind == SignalSent && e.Note != signalReload || e.Kind == ProcessEnded)
	})
}

// writtenEarlier is the Note of a SetUpWritten event whose bytes were there when the connection was accepted: they were written at
// an unknown earlier time, so they say nothing about drains.
const writtenEarlier = "written before the connection was accepted"

// removal is a change of the list after which a far end must not get set-ups.
type removal struct {
	change Event
	until  time.Duration // when the far end became ready again
}

// checkDrains checks that no set-up begins to leave an agent for a far end that it knows to be drained or removed.
func (c *checker) checkDrains() {
	removals := map[string][]removal{}
	for _, e := range c.events {
		if e.Kind != ListChanged {
			continue
		}
		list := removals[e.FarEnd]
		if e.Note == stateReady && len(list) > 0 && list[len(list)-1].until == 0 {
			list[len(list)-1].until = e.At
		} else if e.Note != stateReady && (len(list) == 0 || list[len(list)-1].until != 0) {
			list = append(list, removal{change: e})
		}
		removals[e.FarEnd] = list
	}
	for _, e := range c.events {
		if e.Kind != SetUpWritten || e.Note == writtenEarlier {
			continue
		}
		for _, r := range removals[e.FarEnd] {
			told := c.toldAt(r.change, e.Agent)
			if e.At > told+c.limits.DrainGrace+slack && (r.until == 0 || e.At < r.until) {
				c.report(DrainedFarEnd, e.Call, append([]Event{r.change}, c.byCall[e.Call]...),
					"a set-up to %s, %s since %v and told at %v, was written at %v", e.FarEnd, r.change.Note, r.change.At, told, e.At)
			}
		}
	}
}

// toldAt returns when an agent counts as told of a change of the list: when the change was written to its connection, or a
// fixed time after discovery had it and could be reached, whichever is earlier.
func (c *checker) toldAt(change Event, agent string) time.Duration {
	told := change.At + toldAtLatest
	reachable := change.At
	down := false
	for _, e := range c.events {
		switch {
		case e.Kind == ListDelivered && e.Agent == agent && e.Value >= change.Value && e.At >= change.At:
			told = min(told, e.At)
		case e.Kind == DiscoveryDown && e.Agent == agent && e.At <= reachable+toldAfterOutage:
			down = true
		case e.Kind == DiscoveryUp && e.Agent == agent && down:
			down = false
			reachable = max(reachable, e.At)
		}
	}
	return min(told, reachable+toldAfterOutage)
}

// checkProcesses checks the use of resources, and that each process ended only when it was told to.
func (c *checker) checkProcesses() {
	signalled := map[string]bool{}
	for _, e := range c.events {
		switch e.Kind {
		case ProcessStarted:
			signalled[e.Agent] = false
		case SignalSent:
			if e.Note != signalReload {
				signalled[e.Agent] = true
			}
		case ProcessEnded:
			if !signalled[e.Agent] {
				c.report(ProcessAlive, "", []Event{e}, "%s ended by itself: %s", e.Agent, e.Note)
			} else if e.Value != 0 {
				c.report(ProcessAlive, "", []Event{e}, "%s ended with a failure after a signal: %s", e.Agent, e.Note)
			}
		case ResourceUse:
			if e.Value > c.limits.MemoryBytes {
				c.report(MemoryLimit, "", []Event{e}, "%s used %d MB of %d", e.Agent, e.Value>>20, c.limits.MemoryBytes>>20)
			}
			if e.Descriptors > c.limits.Descriptors {
				c.report(DescriptorsMax, "", []Event{e}, "%s had %d descriptors of %d", e.Agent, e.Descriptors, c.limits.Descriptors)
			}
		}
	}
}
