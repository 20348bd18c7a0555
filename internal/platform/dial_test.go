package platform

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
	"tinbeam/internal/farend"
	"tinbeam/internal/link"
	"tinbeam/internal/metrics"
)

// Guards against set-ups that find no circuit: a far end is not ready before a state of its group has been passed on, and one that comes
// before the result of its dial, or on a second connection, is not yet. The decision module would send whatever comes.
func TestNotReadyBeforeStateIsReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	settings := tinbeam.Settings{ReportFields: []string{"idle", "circuits"}}
	// Its loop does not run, so the result of the far end's own dial is never handled.
	core := agent.New(agent.NewLoop(agent.SystemClock()), settings, 1, 64<<20, metrics.New(), zap.NewNop(), nil)
	ready := 0
	farEnds := NewFarEnds(core, zap.NewNop(), time.Second, func() { ready++ })
	farEnds.ApplyList(1, tinbeam.ListCached, []changelog.Entry{{Addr: ln.Addr().String(),
		Entry: tinbeam.Entry{Switch: 7, ExchangeNumber: 1, Mode: tinbeam.Ready, Weight: 1}}})
	state := &farend.Message{Kind: farend.Usage, UID: "0000000000000001", Meta: map[string]string{"load": "x0:0;x1:5"}}
	x := farEnds.byID[7]
	open := func() (c *farConn, dialHandled func()) {
		c = &farConn{farEnd: x}
		l, err := link.Dial(ln.Addr().String(), time.Second, c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		return c, func() { x.connected(c, l) }
	}
	early, earlyHandled := open()
	early.handleLine(state)
	if ready != 0 {
		t.Error("ready before the dial was handled")
	}
	earlyHandled()
	if ready != 1 {
		t.Errorf("ready %d times after the dial", ready)
	}
	x.conns, x.readyReported, ready = nil, false, 0
	first, firstHandled := open()
	second, secondHandled := open()
	firstHandled()
	secondHandled()
	second.handleLine(state)
	if ready != 0 {
		t.Error("ready with a state of the second connection, which is not passed on")
	}
	first.handleLine(state)
	if ready != 1 {
		t.Errorf("ready %d times after the state of the first connection", ready)
	}
}
