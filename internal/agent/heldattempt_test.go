package agent

import (
	"testing"
	"time"

	"tinbeam"
)

// lostAttempt returns a fixture with a call whose first attempt was lost with its connection, and whose release cannot be sent.
func lostAttempt() (*fixture, *Call) {
	b := newFixture(nil)
	k := b.offer("a", 5*time.Second)
	b.releaseWaits = true
	b.Ended(b.attempts[0], tinbeam.Reset, tinbeam.NoteLinkLost, nil, 41)
	b.run(500 * time.Millisecond) // the decision module has asked for the next attempt
	return b, k
}

// Guards against a call that runs twice, at two far ends: while the release of a lost attempt cannot be sent, its call may stand. The
// next attempt, wherever it goes, waits for the release, and then for the release delay.
func TestNextAttemptWaitsForTheRelease(t *testing.T) {
	b, _ := lostAttempt()
	b.expect(t, "set up a")
	b.releaseWaits, b.releasedAt = false, b.clock
	b.ReleasesSent()
	b.run(295 * time.Millisecond)
	b.expect(t, "set up a")
	b.run(10 * time.Millisecond)
	b.expect(t, "set up a", "set up a")
	b.Answered(b.attempts[1], "second")
	b.expect(t, "set up a", "set up a", "answer a second")
}

// Guards against a late answer: if the release can never be sent, the call is refused before its deadline, and once.
func TestHeldAttemptEndsBeforeTheDeadline(t *testing.T) {
	b, _ := lostAttempt()
	b.run(4490 * time.Millisecond)
	b.expect(t, "set up a", "refuse a false")
	if len(b.heldAttempts) > 0 || b.PendingCalls() > 0 {
		t.Errorf("%d attempts held, %d calls pending", len(b.heldAttempts), b.PendingCalls())
	}
}

// Guards against a set-up for nobody: a held attempt ends with its call.
func TestHeldAttemptEndsWithItsCall(t *testing.T) {
	b, k := lostAttempt()
	b.Abandoned(k)
	b.releaseWaits = false
	b.ReleasesSent()
	b.run(time.Second)
	b.expect(t, "set up a")
}

// Guards against a set-up after a drain: the far end of a held attempt may have left meanwhile.
func TestHeldAttemptIsNotSentToADrainingFarEnd(t *testing.T) {
	b, _ := lostAttempt()
	b.setMode(tinbeam.Draining)
	b.releaseWaits = false
	b.ReleasesSent()
	b.run(time.Second)
	for _, line := range b.record[1:] {
		if line == "set up a" {
			t.Errorf("recorded %q", b.record)
		}
	}
	if v := b.Metrics.Violations.Value(); v != 0 {
		t.Errorf("%d violations", v)
	}
}
