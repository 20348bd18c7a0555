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
		t.Fatalf("%+v %v", list, err)
	}
	if e := Events(want[1].Params[1].Value); !reflect.DeepEqual(e, []string{"l/hd", "d/5", "d/t"}) {
		t.Errorf("events %q", e)
	}
	for _, m := range want {
		if again, err := Parse(m.Append(nil)); err != nil || !reflect.DeepEqual(again, []*Message{m}) {
			t.Errorf("%q read again: %v", m.Append(nil), err)
		}
	}
	for _, bad := range []string{"200", "2000 1 OK", "NTFY 0 a@b MGCP 1.0", "NTFY 1 a@b SIP 2.0", "200 1 OK\nno colon",
		"NTFY 1000000000 a@b MGCP 1.0"} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("CRCX 1 a@b MGCP 1.0\nC: 1\n\nv=0\n.\n200 1 OK\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, _ := Parse(b)
		for _, m := range list {
			if again, err := Parse(m.Append(nil)); err != nil || len(again) == 0 {
				t.Fatalf("%q is not read again: %v", m.Append(nil), err)
			}
		}
	})
}

// layer is a transaction layer on a clock of the test's own.
func layer(command func(netip.AddrPort, *Message, func(*Message))) (*transactions, *[]string, func(time.Duration)) {
	now := time.Hour
	loop := agent.NewLoop(func() time.Duration { return now })
	var sent []string
	t := newTransactions(loop, metrics.New(), 10, func(_ netip.AddrPort, b []byte) { sent = append(sent, string(b)) }, command)
	return t, &sent, func(d time.Duration) {
		for end := now + d; now < end; now += 10 * time.Millisecond {
			loop.Step()
		}
		loop.Step()
	}
}

var gate = netip.MustParseAddrPort("127.0.0.1:2427")

func TestResendAndConfirm(t *testing.T) {
	x, sent, run := layer(nil)
	answers := 0
	x.request(gate, &Message{Verb: "AUEP", Endpoint: "*@g"}, func(m *Message) { answers++ })
	run(700 * time.Millisecond) // at 200 and 600 ms
	if len(*sent) != 3 {
		t.Errorf("sent %d times", len(*sent))
	}
	x.datagram(gate, []byte("100 11 Pending\n"))
	run(3 * time.Second)
	if len(*sent) != 3 {
		t.Error("sent again though it is under way")
	}
	x.datagram(netip.MustParseAddrPort("127.0.0.2:2427"), []byte("200 11 OK\n")) // of somebody else
	x.datagram(gate, []byte("200 11 OK\nK:\n"))
	x.datagram(gate, []byte("200 11 OK\nK:\n"))
	run(30 * time.Second)
	if answers != 1 || len(*sent) != 5 || (*sent)[3] != "000 11\r\n" {
		t.Errorf("%d answers, sent %q", answers, (*sent)[3:])
	}
	x.request(gate, &Message{Verb: "AUEP", Endpoint: "*@g"}, nil)
	if got := (*sent)[5]; got != "AUEP 12 *@g MGCP 1.0\r\nK: 11\r\n" {
		t.Errorf("sent %q", got)
	}
}

// Guards what must not be sent again once its call is over: it is still heard, and ends some time.
func TestHush(t *testing.T) {
	x, sent, run := layer(nil)
	var got []*Message
	tr := x.request(gate, &Message{Verb: "CRCX", Endpoint: "a@g"}, func(m *Message) { got = append(got, m) })
	x.hush(tr)
	run(5 * time.Second)
	if len(*sent) != 1 || len(got) != 0 {
		t.Fatalf("sent %d, told %d", len(*sent), len(got))
	}
	x.datagram(gate, []byte("200 11 OK\nI: 5\n"))
	if len(got) != 1 || got[0] == nil {
		t.Fatalf("told %v", got)
	}
	x.hush(tr) // spent: nothing happens
	tr = x.request(gate, &Message{Verb: "CRCX", Endpoint: "a@g"}, func(m *Message) { got = append(got, m) })
	run(30 * time.Second)
	if len(got) != 2 || got[1] != nil || len(x.out) != 0 {
		t.Errorf("one that is never answered: told %v", got[1:])
	}
}

func TestCommandRunsOnce(t *testing.T) {
	ran := 0
	var later func(*Message)
	x, sent, run := layer(func(_ netip.AddrPort, m *Message, reply func(*Message)) {
		if ran++; m.Verb == "NTFY" {
			reply(&Message{Code: 200, Comment: "OK"})
		} else {
			later = reply
		}
	})
	ntfy, rsip := []byte("NTFY 5 a@g MGCP 1.0\n"), []byte("RSIP 6 a@g MGCP 1.0\n")
	for _, b := range [][]byte{ntfy, ntfy, rsip, rsip} {
		x.datagram(gate, b)
	}
	later(&Message{Code: 200, Comment: "OK"})
	later(&Message{Code: 200, Comment: "OK"}) // twice by mistake
	x.datagram(gate, rsip)
	want := []string{"200 5 OK\r\n", "200 5 OK\r\n", "100 6 Pending\r\n", "200 6 OK\r\n", "200 6 OK\r\n"}
	if !reflect.DeepEqual(*sent, want) || ran != 2 {
		t.Errorf("ran %d, sent %q", ran, *sent)
	}
	// Confirmed, the copy goes, but the number stays known until its time.
	x.datagram(gate, []byte("NTFY 7 a@g MGCP 1.0\nK: 5-6, x\n"))
	x.datagram(gate, ntfy)
	if len(*sent) != 6 || ran != 3 {
		t.Errorf("ran %d, sent %q", ran, (*sent)[5:])
	}
	run(31 * time.Second)
	x.datagram(gate, ntfy)
	if ran != 4 || len(x.cache) != 1 {
		t.Errorf("after its time: ran %d, %d kept", ran, len(x.cache))
	}
}

// The house style asks for netpoll; this measures why the one UDP socket is not netpoll's.
func TestNetpollHasNoDatagrams(t *testing.T) {
	ln, err := netpoll.CreateListener("udp", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer ln.Close()
	if c, err := ln.Accept(); err == nil && c != nil {
		t.Error("netpoll takes datagrams now: use it for Socket")
	}
	if _, err := netpoll.DialConnection("udp", "127.0.0.1:9", time.Second); err == nil {
		t.Error("netpoll dials UDP now: use it for Socket")
	}
}
