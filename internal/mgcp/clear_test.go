package mgcp

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/metrics"
)

// gatewayFixture is a front end with one gateway, whose only line answers at once, on a clock that only the test advances.
type gatewayFixture struct {
	*testing.T
	now   time.Duration
	core  *agent.Core
	front *FrontEnd
	sent  []*Message // commands not yet taken by answer
}

func newGatewayFixture(t *testing.T) *gatewayFixture {
	return newGatewayFixtureWith(t, 1, "aaln/1")
}

// newGatewayFixtureWith returns a fixture whose calls have so many attempts, and whose gateway has the lines.
func newGatewayFixtureWith(t *testing.T, attempts int, lines ...string) *gatewayFixture {
	g := &gatewayFixture{T: t, now: time.Hour}
	settings := tinbeam.Settings{Replicas: 1, MaxAttempts: attempts, ReportFields: []string{"idle", "circuits"}, Classes: []tinbeam.Class{{
		Name: "check", AnswerTarget: 8 * time.Second, HardLimit: 20 * time.Second, Value: 1, Width: 1, RepeatPolicy: "free"}}}
	loop := agent.NewLoop(func() time.Duration { return g.now })
	g.core = agent.New(loop, settings, 1, 64<<20, metrics.New(), zap.NewNop(), nil)
	config := Config{Gateways: []Gateway{{Name: "g", Address: gatewayAddr.String(), ID: 9, Exchange: 5, Lines: lines, Class: "check"}}}
	g.front = New(g.core, zap.NewNop(), config, 1, func(_ netip.AddrPort, b []byte) {
		list, err := Parse(b)
		if err != nil {
			t.Fatal(err)
		}
		g.sent = append(g.sent, list...)
	})
	return g
}

// answer answers the commands sent so far, and returns how many had the verb.
func (g *gatewayFixture) answer(verb string) (count int) {
	g.core.Step()
	for len(g.sent) > 0 {
		m := g.sent[0]
		g.sent = g.sent[1:]
		if m.Verb == verb {
			count++
		}
		if m.Verb != "" {
			g.front.HandleDatagram(gatewayAddr, fmt.Appendf(nil, "200 %d OK\nI: 1\n", m.Tx))
		}
		g.core.Step()
	}
	return count
}

// drop loses the commands sent so far, and returns how many had the verb.
func (g *gatewayFixture) drop(verb string) (count int) {
	g.core.Step()
	for _, m := range g.sent {
		if m.Verb == verb {
			count++
		}
	}
	g.sent = nil
	return count
}

// pass lets time pass, and calls fn after each step.
func (g *gatewayFixture) pass(d time.Duration, fn func()) {
	for end := g.now + d; g.now < end; {
		g.now += 50 * time.Millisecond
		g.core.Step()
		fn()
	}
}

// Guards against calls that are deleted: the DLCX of the start is sent until it is answered, and deletes what there is then.
func TestDeleteOfTheStartComesBeforeCalls(t *testing.T) {
	g, caller := newGatewayFixture(t), &testCaller{}
	g.pass(3*time.Second, func() { g.drop("") })
	g.core.Offer(caller.newCall(1))
	if n := g.drop("CRCX"); n != 0 {
		t.Error("a call was set up before the DLCX was answered")
	}
	g.pass(4*time.Second, func() { g.answer("") }) // the call was held meanwhile
	if caller.answered != 1 {
		t.Errorf("%d calls answered", caller.answered)
	}
}

// Guards against a call that runs twice: a gateway that tells of a restart may get the CRCX of an attempt only afterwards. The next attempt
// waits until the DLCX is answered.
func TestNextAttemptWaitsForTheDelete(t *testing.T) {
	for _, unreachable := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		g, caller := newGatewayFixtureWith(t, 4, "aaln/1", "aaln/2"), &testCaller{}
		g.answer("")
		g.core.Offer(caller.newCall(1))
		if n := g.drop("CRCX"); n != 1 {
			t.Fatalf("%d attempts", n)
		}
		g.front.HandleDatagram(gatewayAddr, []byte("RSIP 901 *@g MGCP 1.0\nRM: restart\n"))
		if n := g.drop("DLCX"); n != 1 {
			t.Fatalf("%d connections deleted", n)
		}
		g.pass(unreachable, func() {
			if g.drop("CRCX") > 0 {
				t.Fatalf("unreachable for %v: a second attempt before the DLCX of the first was answered", unreachable)
			}
		})
		g.pass(6*time.Second, func() { g.answer("") })
		if caller.answered != 1 {
			t.Errorf("unreachable for %v: %d calls answered", unreachable, caller.answered)
		}
	}
}
