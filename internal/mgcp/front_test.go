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

// testCaller counts the answers to its calls and their releases.
type testCaller struct{ answered, released int }

func (c *testCaller) Answer(*agent.Call, string)              { c.answered++ }
func (c *testCaller) Refuse(*agent.Call, bool, time.Duration) {}
func (c *testCaller) Release(*agent.Call, int)                { c.released++ }
func (c *testCaller) newCall(id int) *agent.Call {
	return &agent.Call{ID: fmt.Sprintf("%016x", id), Width: 1, TimeLeft: 15 * time.Second, Dest: 5, Via: -1, Description: "v=0\r\n", Caller: c}
}

// Guards against a call that nobody has answered: a notification for the request of an earlier call on the line, which comes when
// the next call rings there, must not answer that one; its own must.
func TestNotificationOfEarlierCall(t *testing.T) {
	now := time.Hour
	loop := agent.NewLoop(func() time.Duration { return now })
	settings := tinbeam.Settings{Replicas: 1, MaxAttempts: 1, ReportFields: []string{"idle", "circuits"}, Classes: []tinbeam.Class{{
		Name: "check", AnswerTarget: 8 * time.Second, HardLimit: 20 * time.Second, Value: 1, Width: 1, RepeatPolicy: "free"}}}
	core := agent.New(loop, settings, 1, 64<<20, metrics.New(), zap.NewNop(), nil)
	var sent []*Message
	front := New(core, zap.NewNop(), Config{Gateways: []Gateway{{Name: "g", Address: gatewayAddr.String(), ID: 9, Exchange: 5,
		Lines: []string{"aaln/1"}, ManualAnswer: true, Class: "check"}}}, 1, func(_ netip.AddrPort, b []byte) {
		list, err := Parse(b)
		if err != nil {
			t.Fatal(err)
		}
		sent = append(sent, list...)
	})
	// respond answers the commands sent so far, and returns the request identifier of the last one with the verb.
	respond := func(verb string) (requestID string) {
		loop.Step()
		for len(sent) > 0 {
			m := sent[0]
			sent = sent[1:]
			if m.Verb == verb {
				requestID, _ = m.Get("X")
			}
			if m.Verb != "" {
				front.HandleDatagram(gatewayAddr, fmt.Appendf(nil, "200 %d OK\nI: 1\n", m.Tx))
			}
			loop.Step()
		}
		return requestID
	}
	respond("RQNT")
	caller := &testCaller{}
	first := caller.newCall(1)
	core.Offer(first)
	earlier := respond("CRCX")
	core.Abandoned(first)
	respond("DLCX")
	now += time.Second
	core.Offer(caller.newCall(2))
	present := respond("CRCX")
	if earlier == "" || present == "" || earlier == present {
		t.Fatalf("request identifiers %q and %q", earlier, present)
	}
	front.HandleDatagram(gatewayAddr, []byte("NTFY 901 aaln/1@g MGCP 1.0\nX: "+earlier+"\nO: L/hd\n"))
	loop.Step()
	if caller.answered != 0 {
		t.Error("the notification of the earlier call answered the present one")
	}
	front.HandleDatagram(gatewayAddr, []byte("NTFY 902 aaln/1@g MGCP 1.0\nX: "+present+"\nO: L/hd\n"))
	loop.Step()
	if caller.answered != 1 {
		t.Errorf("%d calls answered", caller.answered)
	}
}
