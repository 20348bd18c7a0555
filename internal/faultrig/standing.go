package faultrig

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file checks the calls that stand at far ends.

// checkHasCaller checks that a call that stands at a far end, and whose answer did not reach the caller, is released there. The page
// has no limit for that; this one is the limit for releases that could not be sent.
func (c *checker) checkHasCaller(call string) {
	events := c.byCall[call]
	for i, made := range events {
		if made.Kind != DescribedBy {
			continue
		}
		answered := slices.ContainsFunc(events, func(e Event) bool { return e.Kind == FinalAnswer && e.Note == made.Note })
		due := made.At + lostCallReleaseTime + slack
		over := slices.ContainsFunc(events[i:], func(e Event) bool { return endsCall(e, made) && e.At <= due })
		agent := agentThatTook(events)
		if !answered && !over && due <= c.end && !c.stoppedBetween(agent, made.At-lostCallReleaseTime, due) {
			c.report(HasCaller, call, events, "answered at %s at %v, not to its caller, and standing there at %v", made.FarEnd, made.At, due)
		}
	}
}

// checkNotCut checks that an agent releases a call towards its caller only once it has ended at its far end, or the caller has given
// it up. Where the call had several attempts, a release may have been an earlier one's, so nothing is known.
func (c *checker) checkNotCut(call string) {
	events := c.byCall[call]
	released := slices.IndexFunc(events, func(e Event) bool { return e.Kind == ReleaseHeard })
	made := slices.IndexFunc(events, func(e Event) bool { return e.Kind == DescribedBy })
	attempts := 0
	var writtenAt time.Duration
	for _, e := range events {
		if e.Kind == SetUpWritten {
			attempts++
			writtenAt = e.At
		}
	}
	if released < 0 || made < 0 || attempts != 1 {
		return
	}
	// What an agent is told while the set-up is out, it may handle after the answer.
	at, farEnd, agent := events[released].At, events[made].FarEnd, agentThatTook(events)
	excused := slices.ContainsFunc(events[:released], func(e Event) bool {
		return e.Kind == CallEnded || e.Kind == RequestGivenUp || e.Kind == CallerHangup
	})
	if !excused && !c.toldOfChange(agent, farEnd, writtenAt, at) && !c.stoppedBetween(agent, events[made].At, at) {
		c.report(NotCut, call, events, "released towards its caller at %v while it stood at %s", at, farEnd)
	}
}

// endsCall reports whether an event ends the call with a description that a far end made.
func endsCall(e, made Event) bool {
	return e.FarEnd == made.FarEnd && (e.Kind == AgentReleased || e.Kind == CallEnded && e.Note == made.Note)
}

// agentThatTook returns the agent that took a call; "" if none did.
func agentThatTook(events []Event) string {
	if i := slices.IndexFunc(events, func(e Event) bool { return e.Kind == RequestTaken }); i >= 0 {
		return events[i].Agent
	}
	return ""
}

// toldOfChange reports whether an agent was told within a period of a change of a far end, or of the one that had its address before:
// the list may come after calls were set up at the process that has taken the address over.
func (c *checker) toldOfChange(agent, farEnd string, from, till time.Duration) bool {
	for _, change := range c.events {
		if change.Kind != ListChanged || addressOf(change.FarEnd) != addressOf(farEnd) {
			continue
		}
		told := slices.IndexFunc(c.events, func(e Event) bool {
			return e.Kind == ListDelivered && e.Agent == agent && e.Value >= change.Value && e.At >= change.At
		})
		if told >= 0 && c.events[told].At >= from && c.events[told].At <= till {
			return true
		}
	}
	return false
}

// addressOf returns what the names of all far ends that have the same address one after another have in common.
func addressOf(farEnd string) uint64 {
	id, _ := strconv.ParseUint(strings.TrimPrefix(farEnd, "s-"), 16, 64)
	return id % nextGeneration
}
