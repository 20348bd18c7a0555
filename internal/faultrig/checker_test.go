package faultrig

import (
	"slices"
	"testing"
	"time"

	"tinbeam/internal/farend"
)

const ms = time.Millisecond

func at(t time.Duration, e Event) Event {
	e.At = t
	return e
}

// setUp returns the records of a set-up that is written and arrives at a far end.
func setUp(t time.Duration, farEnd string, connection uint64) []Event {
	return []Event{at(t, Event{Kind: SetUpWritten, Call: "c", FarEnd: farEnd, Connection: connection, Agent: "n"}),
		at(t+2*ms, Event{Kind: SetUpArrived, Call: "c", FarEnd: farEnd, Connection: connection})}
}

// The checker itself must not miss a broken rule, or every run of the rig would pass: each rule has records that break it and
// records just within it.
func TestCheck(t *testing.T) {
	end := at(30*time.Second, Event{Kind: FaultInjected})
	taken := at(ms, Event{Kind: RequestTaken, Call: "c", Agent: "n", Deadline: time.Second})
	answer := func(t time.Duration) Event {
		return at(t, Event{Kind: FinalAnswer, Call: "c", Agent: "n", Value: statusOK, Note: "d"})
	}
	described := at(10*ms, Event{Kind: DescribedBy, Call: "c", Note: "d"})
	callEnded := at(2*time.Second, Event{Kind: CallEnded, Call: "c", FarEnd: "f", Note: "d"})
	released := at(2*time.Second+ms, Event{Kind: FarReleased, Call: "c", FarEnd: "f"})
	heard := func(t time.Duration) Event { return at(t, Event{Kind: ReleaseHeard, Call: "c"}) }
	drained := at(time.Second, Event{Kind: ListChanged, FarEnd: "f", Value: 41, Note: stateDraining})
	told := func(t time.Duration) Event { return at(t, Event{Kind: ListDelivered, Agent: "n", Value: 41}) }
	changed := func(t time.Duration) Event {
		return at(t, Event{Kind: ListChanged, FarEnd: "f", Value: 41, Note: stateGone})
	}
	written := func(t time.Duration) Event {
		return at(t, Event{Kind: SetUpWritten, Call: "c", FarEnd: "f", Agent: "n", Connection: 1})
	}
	discoveryDown := at(900*ms, Event{Kind: DiscoveryDown, Agent: "n"})
	discoveryUp := at(1500*ms, Event{Kind: DiscoveryUp, Agent: "n"})
	gaveUp := func(t time.Duration, connection uint64) Event {
		return at(t, Event{Kind: AttemptGivenUp, Call: "c", FarEnd: "f", Connection: connection})
	}
	single := at(0, Event{Kind: RequestTaken, Call: "c", Agent: "n", Deadline: time.Second, Note: singleShotClass})
	ended := func(t time.Duration, cause int64) Event {
		return at(t, Event{Kind: AttemptEnded, Call: "c", FarEnd: "f", Connection: 1, Value: cause})
	}
	answered := func(t time.Duration) Event {
		return at(t, Event{Kind: AttemptEnded, Call: "c", FarEnd: "f", Connection: 1, Note: farend.Running})
	}
	lost := at(10*ms, Event{Kind: DescribedBy, Call: "c", FarEnd: "f", Note: "d"})
	refused := at(50*ms, Event{Kind: FinalAnswer, Call: "c", Agent: "n", Value: statusUnavailable})
	hungUp := at(time.Second, Event{Kind: HangupHeard, Call: "c", Agent: "n"})
	agentReleased := func(t time.Duration) Event { return at(t, Event{Kind: AgentReleased, Call: "c", FarEnd: "f"}) }
	for _, c := range []struct {
		name   string
		rule   Rule
		broken bool
		events []Event
	}{
		{"second attempt while the first is out", OneAttempt, true, append(setUp(ms, "f", 1), setUp(10*ms, "g", 2)...)},
		{"second attempt after a release by the agent", OneAttempt, false,
			slices.Concat(setUp(ms, "f", 1), []Event{gaveUp(9*ms, anyConnection)}, setUp(10*ms, "g", 2))},
		{"first attempt arrives after it was given up", OneAttempt, false,
			slices.Concat(setUp(ms, "f", 1), []Event{gaveUp(2*ms, 1)}, setUp(3*ms, "g", 2))},
		{"release of another connection", OneAttempt, true,
			slices.Concat(setUp(ms, "f", 1), []Event{gaveUp(9*ms, 3)}, setUp(10*ms, "g", 2))},
		{"second attempt while the call of the first stands", OneAttempt, true,
			slices.Concat(setUp(ms, "f", 1), []Event{answered(5 * ms)}, setUp(10*ms, "g", 2))},
		{"second attempt after the connection of a standing call", OneAttempt, true,
			slices.Concat(setUp(ms, "f", 1), []Event{answered(5 * ms), gaveUp(6*ms, 1)}, setUp(10*ms, "g", 2))},
		{"second attempt after an answer to a closed connection", OneAttempt, true,
			slices.Concat(setUp(ms, "f", 1), []Event{gaveUp(4*ms, 1), answered(5 * ms)}, setUp(10*ms, "g", 2))},
		{"second attempt after the release of the first", OneAttempt, false,
			slices.Concat(setUp(ms, "f", 1), []Event{answered(5 * ms), gaveUp(9*ms, anyConnection)}, setUp(10*ms, "g", 2))},
		{"second attempt after the end of the first call", OneAttempt, false, slices.Concat(setUp(ms, "f", 1),
			[]Event{answered(5 * ms), at(9*ms, Event{Kind: CallEnded, Call: "c", FarEnd: "f", Connection: 1})}, setUp(10*ms, "g", 2))},
		{"call without a caller", HasCaller, true, []Event{taken, lost, agentReleased(8061 * ms), end}},
		{"call without a caller released", HasCaller, false, []Event{taken, lost, agentReleased(8060 * ms), end}},
		{"call cut", NotCut, true, append(setUp(2*ms, "f", 1), taken, lost, answer(20*ms), heard(time.Second), callEnded)},
		{"call cut after a change of the list", NotCut, false,
			append(setUp(2*ms, "f", 1), taken, lost, answer(20*ms), drained, told(1010*ms), heard(1100*ms), callEnded)},
		{"call cut before the agent is told of a change", NotCut, true,
			append(setUp(2*ms, "f", 1), taken, lost, answer(20*ms), drained, heard(1100*ms), told(1110*ms), callEnded)},
		{"call cut after a change that was told while its set-up was out", NotCut, false, append(setUp(2*ms, "f", 1), taken,
			changed(3*ms), told(5*ms), lost, answer(20*ms), heard(21*ms), callEnded)},
		{"call cut after a change that was told before its set-up was written", NotCut, true, append(setUp(2*ms, "f", 1), taken,
			changed(ms), told(1500*time.Microsecond), lost, answer(20*ms), heard(21*ms), callEnded)},
		{"call released after its end", NotCut, false,
			append(setUp(2*ms, "f", 1), taken, lost, answer(20*ms), callEnded, heard(2100*ms))},
		{"sent again after a reset", SingleShot, true, slices.Concat([]Event{single}, setUp(ms, "f", 1), []Event{ended(9*ms, 0)}, setUp(10*ms, "g", 2))},
		{"sent again after an error", SingleShot, true, slices.Concat([]Event{single}, setUp(ms, "f", 1), []Event{ended(9*ms, 17)}, setUp(10*ms, "g", 2))},
		{"sent again after a full one", SingleShot, false, slices.Concat([]Event{single}, setUp(ms, "f", 1), []Event{ended(9*ms, 34)}, setUp(10*ms, "g", 2))},
		{"refused after a reset", SingleShot, true, slices.Concat([]Event{single}, setUp(ms, "f", 1), []Event{ended(9*ms, 0), refused})},
		{"refused after a full one", SingleShot, false, slices.Concat([]Event{single}, setUp(ms, "f", 1), []Event{ended(9*ms, 34), refused})},
		{"no answer", OneFinal, true, []Event{taken, end}},
		{"answer in time", OneFinal, false, []Event{taken, described, answer(900 * ms), end}},
		{"answer late but not lost", OneFinal, false, []Event{taken, described, answer(1549 * ms), end}},
		{"answer too late", OneFinal, true, []Event{taken, described, answer(1551 * ms), end}},
		{"two answers", OneFinal, true, []Event{taken, described, answer(20 * ms), answer(30 * ms)}},
		{"connection ended", OneFinal, true, []Event{taken, at(20*ms, Event{Kind: ConnectionEnded, Call: "c"})}},
		{"crash of the machine", OneFinal, false, []Event{taken, at(20*ms, Event{Kind: SignalSent, Agent: "n", Note: signalCrash}), end}},
		{"killed at the end of a shutdown", OneFinal, true, []Event{taken, at(20*ms, Event{Kind: SignalSent, Agent: "n", Note: signalKill}), end}},
		{"unknown description", KnownAnswer, true, []Event{taken, answer(20 * ms)}},
		{"release in time", ReleaseInTime, false, []Event{taken, described, answer(20 * ms), callEnded, released, heard(3050 * ms), end}},
		{"release too late", ReleaseInTime, true, []Event{taken, described, answer(20 * ms), callEnded, released, heard(3052 * ms), end}},
		{"release that could not be sent", ReleaseInTime, false, []Event{taken, described, answer(20 * ms), callEnded, heard(10049 * ms), end}},
		{"call left standing", ReleaseInTime, true, []Event{taken, described, answer(20 * ms), callEnded, end}},
		{"hang-up lost", HangupInTime, true, []Event{taken, described, answer(20 * ms), hungUp, agentReleased(9051 * ms), end}},
		{"hang-up in time", HangupInTime, false, []Event{taken, described, answer(20 * ms), hungUp, agentReleased(9050 * ms), end}},
		{"set-up after the grace", DrainedFarEnd, true, []Event{drained, told(1010 * ms), written(1311 * ms)}},
		{"set-up within the grace", DrainedFarEnd, false, []Event{drained, told(1010 * ms), written(1309 * ms)}},
		{"set-up of an unknown earlier time", DrainedFarEnd, false, []Event{drained, told(1010 * ms),
			at(1311*ms, Event{Kind: SetUpWritten, Call: "c", FarEnd: "f", Agent: "n", Connection: 1, Note: writtenEarlier})}},
		{"told after an outage", DrainedFarEnd, true, []Event{discoveryDown, drained, discoveryUp, written(7801 * ms)}},
		{"not yet told after an outage", DrainedFarEnd, false, []Event{discoveryDown, drained, discoveryUp, written(7799 * ms)}},
		{"memory", MemoryLimit, true, []Event{at(ms, Event{Kind: ResourceUse, Agent: "n", Value: 101})}},
		{"descriptors", DescriptorsMax, true, []Event{at(ms, Event{Kind: ResourceUse, Agent: "n", Descriptors: 11})}},
		{"crash", ProcessAlive, true, []Event{at(ms, Event{Kind: ProcessStarted, Agent: "n"}), at(2*ms, Event{Kind: ProcessEnded, Agent: "n"})}},
		{"ended as told", ProcessAlive, false, []Event{at(ms, Event{Kind: SignalSent, Agent: "n", Note: signalTerminate}), at(2*ms, Event{Kind: ProcessEnded, Agent: "n"})}},
		{"crash after a reload", ProcessAlive, true, []Event{at(ms, Event{Kind: SignalSent, Agent: "n", Note: signalReload}), at(2*ms, Event{Kind: ProcessEnded, Agent: "n"})}},
	} {
		violations := Check(c.events, Limits{MemoryBytes: 100, Descriptors: 10, DrainGrace: 250 * ms})
		got := slices.ContainsFunc(violations, func(v Violation) bool { return v.Rule == c.rule })
		if got != c.broken {
			t.Errorf("%s: reported %v, want %v: %+v", c.name, got, c.broken, violations)
		}
	}
}

// A seed that gave another plan the next time could not be used to repeat a failure.
func TestPlanIsRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		a, b := NewPlan(seed), NewPlan(seed)
		if len(a.Steps) == 0 || !slices.Equal(a.Steps, b.Steps) || a.Duration != b.Duration || a.Traffic != b.Traffic {
			t.Errorf("seed %d gives different plans", seed)
		}
	}
}
