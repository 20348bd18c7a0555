package mgcp

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"tinbeam/internal/agent"
	"tinbeam/internal/metrics"
)

func TestParse(t *testing.T) {
	b := []byte("200 15 OK\r\nI: 1A\r\n\r\nv=0\r\ns=-\r\n.\r\nntfy 16 aaln/1@g1 MGCP 1.0 NCS\nX: 0\nO: L/hd, D/5(x),D/T\n")
	list, err := Parse(b)
	want := []*Message{
		{Code: 200, Tx: 15, Comment: "OK", Params: []Param{{"I", "1A"}}, SDP: "v=0\r\ns=-\r\n"},
		{Verb: "NTFY", Tx: 16, Endpoint: "aaln/1@g1", Params: []Param{{"X", "0"}, {"O", "L/hd, D/5(x),D/T"}}}}
	if err != nil || !reflect.DeepEqual(list, want) {
		t.Fatalf("parsed %+v, error %v", list, err)
	}
	if e := ParseEvents(want[1].Params[1].Value); !reflect.DeepEqual(e, []string{"l/hd", "d/5", "d/t"}) {
		t.Errorf("events %q", e)
	}
	for _, m := range want {
		if parsed, err := Parse(m.Append(nil)); err != nil || !reflect.DeepEqual(parsed, []*Message{m}) {
			t.Errorf("%q does not parse to the same message: %v", m.Append(nil), err)
		}
	}
	for _, bad := range []string{"200", "2000 1 OK", "NTFY 0 a@b MGCP 1.0", "NTFY 1 a@b SIP 2.0", "200 1 OK\nno colon",
		"NTFY 1000000000 a@b MGCP 1.0"} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("CRCX 1 a@b MGCP 1.0\nC: 1\n\nv=0\n.\n200 1 OK\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, _ := Parse(b)
		for _, m := range list {
			if parsed, err := Parse(m.Append(nil)); err != nil || len(parsed) == 0 {
				t.Fatalf("%q cannot be parsed: %v", m.Append(nil), err)
			}
		}
	})
}

// newTestLayer returns a transaction layer on a test clock, the datagrams that it sends, and a function that advances the
// clock.
func newTestLayer(handle func(netip.AddrPort, *Message, func(*Message))) (*transactions, *[]string, func(time.Duration)) {
	now := time.Hour
	loop := agent.NewLoop(func() time.Duration { return now })
	var sent []string
	t := newTransactions(loop, metrics.New(), 10, func(_ netip.AddrPort, b []byte) { sent = append(sent, string(b)) }, handle)
	return t, &sent, func(d time.Duration) {
		for end := now + d; now < end; now += 10 * time.Millisecond {
			loop.Step()
		}
		loop.Step()
	}
}

var gatewayAddr = netip.MustParseAddrPort("127.0.0.1:2427")

func TestRetransmitAndConfirm(t *testing.T) {
	layer, sent, advance := newTestLayer(nil)
	responses := 0
	layer.request(gatewayAddr, &Message{Verb: "AUEP", Endpoint: "*@g"}, func(m *Message) { responses++ })
	advance(700 * time.Millisecond) // retransmitted at 200 and 600 ms
	if len(*sent) != 3 {
		t.Errorf("command sent %d times", len(*sent))
	}
	layer.handleDatagram(gatewayAddr, []byte("100 11 Pending\n"))
	advance(3 * time.Second)
	if len(*sent) != 3 {
		t.Error("retransmitted soon after a provisional response")
	}
	layer.handleDatagram(netip.MustParseAddrPort("127.0.0.2:2427"), []byte("200 11 OK\n")) // from another address
	layer.handleDatagram(gatewayAddr, []byte("200 11 OK\nK:\n"))
	layer.handleDatagram(gatewayAddr, []byte("200 11 OK\nK:\n"))
	advance(30 * time.Second)
	if responses != 1 || len(*sent) != 5 || (*sent)[3] != "000 11\r\n" {
		t.Errorf("%d responses, sent %q", responses, (*sent)[3:])
	}
	layer.request(gatewayAddr, &Message{Verb: "AUEP", Endpoint: "*@g"}, nil)
	if got := (*sent)[5]; got != "AUEP 12 *@g MGCP 1.0\r\nK: 11\r\n" {
		t.Errorf("sent %q", got)
	}
}

// Once its call is over, a command must not be retransmitted, but its response is still accepted, and without a response
// the transaction ends after T-HIST.
func TestStopRetransmitting(t *testing.T) {
	layer, sent, advance := newTestLayer(nil)
	var got []*Message
	tr := layer.request(gatewayAddr, &Message{Verb: "CRCX", Endpoint: "a@g"}, func(m *Message) { got = append(got, m) })
	layer.stopRetransmitting(tr)
	advance(5 * time.Second)
	if len(*sent) != 1 || len(got) != 0 {
		t.Fatalf("%d commands sent, %d responses reported", len(*sent), len(got))
	}
	layer.handleDatagram(gatewayAddr, []byte("200 11 OK\nI: 5\n"))
	if len(got) != 1 || got[0] == nil {
		t.Fatalf("responses reported: %v", got)
	}
	layer.stopRetransmitting(tr) // already finished: no effect
	layer.request(gatewayAddr, &Message{Verb: "CRCX", Endpoint: "a@g"}, func(m *Message) { got = append(got, m) })
	advance(30 * time.Second)
	if len(got) != 2 || got[1] != nil || len(layer.pending) != 0 {
		t.Errorf("command without a response: reported %v", got[1:])
	}
}

func TestCommandRunsOnce(t *testing.T) {
	runs := 0
	var pendingReply func(*Message)
	layer, sent, advance := newTestLayer(func(_ netip.AddrPort, m *Message, reply func(*Message)) {
		if runs++; m.Verb == "NTFY" {
			reply(&Message{Code: 200, Comment: "OK"})
		} else {
			pendingReply = reply
		}
	})
	ntfy, rsip := []byte("NTFY 5 a@g MGCP 1.0\n"), []byte("RSIP 6 a@g MGCP 1.0\n")
	for _, b := range [][]byte{ntfy, ntfy, rsip, rsip} {
		layer.handleDatagram(gatewayAddr, b)
	}
	pendingReply(&Message{Code: 200, Comment: "OK"})
	pendingReply(&Message{Code: 200, Comment: "OK"}) // a second reply is ignored
	layer.handleDatagram(gatewayAddr, rsip)
	want := []string{"200 5 OK\r\n", "200 5 OK\r\n", "100 6 Pending\r\n", "200 6 OK\r\n", "200 6 OK\r\n"}
	if !reflect.DeepEqual(*sent, want) || runs != 2 {
		t.Errorf("%d commands executed, sent %q", runs, *sent)
	}
	// Once the response is confirmed, its copy is removed, but the transaction identifier is kept until T-HIST has passed.
	layer.handleDatagram(gatewayAddr, []byte("NTFY 7 a@g MGCP 1.0\nK: 5-6, x\n"))
	layer.handleDatagram(gatewayAddr, ntfy)
	if len(*sent) != 6 || runs != 3 {
		t.Errorf("%d commands executed, sent %q", runs, (*sent)[5:])
	}
	advance(31 * time.Second)
	layer.handleDatagram(gatewayAddr, ntfy)
	if runs != 4 || len(layer.cache) != 1 {
		t.Errorf("after T-HIST: %d commands executed, %d cached", runs, len(layer.cache))
	}
}

// The project uses netpoll for its connections. This checks the reason why Socket does not: netpoll has no UDP support.
func TestNetpollHasNoDatagrams(t *testing.T) {
	ln, err := netpoll.CreateListener("udp", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer ln.Close()
	if c, err := ln.Accept(); err == nil && c != nil {
		t.Error("netpoll can listen on UDP now: use it for Socket")
	}
	if _, err := netpoll.DialConnection("udp", "127.0.0.1:9", time.Second); err == nil {
		t.Error("netpoll can dial UDP now: use it for Socket")
	}
}
