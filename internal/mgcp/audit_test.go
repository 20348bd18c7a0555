package mgcp

import (
	"testing"
	"time"

	"tinbeam/internal/agent"
)

// Guards against calls that stand forever: a gateway whose machine has gone says nothing, and its calls are released in time.
func TestVanishedGateway(t *testing.T) {
	g, caller := newGatewayFixture(t), &testCaller{}
	g.answer("")
	g.pass(time.Minute, func() { g.answer("") })
	g.core.Offer(caller.newCall(1))
	g.answer("")
	start := g.now
	g.pass(8*time.Second, func() {
		if g.drop(""); caller.released > 0 && start > 0 {
			if took := g.now - start; took > 6*time.Second {
				t.Errorf("released after %v", took)
			}
			start = 0
		}
	})
	if caller.released != 1 {
		t.Errorf("%d calls released", caller.released)
	}
}

// Guards against calls that are cut: a gateway with a call that stands has no cause to say anything, and answers when it is audited.
func TestQuietGatewayKeepsItsCalls(t *testing.T) {
	g, caller := newGatewayFixture(t), &testCaller{}
	g.answer("")
	g.core.Offer(caller.newCall(1))
	audits := 0
	g.pass(time.Minute, func() { audits += g.answer("AUEP") })
	if caller.released != 0 || audits == 0 {
		t.Errorf("%d calls released, %d audits", caller.released, audits)
	}
}

// Guards against calls that are cut: an agent was itself stopped while a gateway had an audit to answer. The answer is not handled yet.
func TestAgentStoppedDuringAudit(t *testing.T) {
	g, caller := newGatewayFixture(t), &testCaller{}
	g.answer("")
	g.core.Offer(caller.newCall(1))
	g.answer("")
	audits := 0
	g.pass(agent.HealthCheckDelay+agent.SilenceInterval+50*time.Millisecond, func() { audits += g.drop("AUEP") })
	g.now += 10 * time.Second
	g.pass(time.Second, func() { g.drop("") })
	if caller.released != 0 || audits != 1 {
		t.Errorf("%d calls released, %d audits", caller.released, audits)
	}
}
