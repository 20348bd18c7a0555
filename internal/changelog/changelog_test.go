package changelog

import (
	"encoding/hex"
	"reflect"
	"strings"
	"testing"
	"time"

	"tinbeam"
)

// A frame with one entry: s-00c41f7a at 10.1.0.9:2905 is draining.
const frame = "00000024 000000000000002a 02" + "00c41f7a 0a010009 0b59 01 02 00 0002 00000fa0 0000018bcfe56800"

func unhex(t *testing.T, s string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var entry = Entry{Addr: "10.1.0.9:2905", Entry: tinbeam.Entry{Switch: 0xc41f7a, Zone: 2, ExchangeNumber: 2,
	Mode: tinbeam.Draining, Weight: 4, OnlineSince: 1700000000000 * time.Millisecond}}

func TestFrames(t *testing.T) {
	b := append(unhex(t, frame), unhex(t, "00000009 000000000000002a 00 0000")...)
	e, n, err := Parse(b)
	if err != nil || e.Seq != 42 || e.Kind != Delta || !reflect.DeepEqual(e.Entries, []Entry{entry}) {
		t.Fatalf("%+v %v", e, err)
	}
	if e, k, err := Parse(b[n:]); err != nil || e.Kind != KeepAlive || k != 13 {
		t.Errorf("%+v %d %v", e, k, err)
	}
	for cut := range n {
		if e, k, err := Parse(b[:cut]); e != nil || k != 0 || err != nil {
			t.Fatalf("cut at %d: event %v, %d bytes consumed, error %v", cut, e, k, err)
		}
	}
	for _, bad := range []string{"00000008 0000000000000001 00", "7fffffff", "0000000a 0000000000000001 02 00",
		"00000009 0000000000000001 03", strings.Replace(frame, "0b59 01", "0b59 07", 1)} {
		if _, _, err := Parse(unhex(t, bad)); err == nil {
			t.Errorf("malformed frame %s was accepted", bad)
		}
	}
	if got := ResumeRequest(41); hex.EncodeToString(got) != "0000000000000029" {
		t.Errorf("resume request %x", got)
	}
}

func TestKnown(t *testing.T) {
	const text = `{"seq":42,"results":[{"seq":41,"fleet":{"generation":7,"reset":true,"instances":[]}},
		{"seq":42,"fleet":{"generation":8,"reset":false,"instances":[{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:2905",
		"zone":"east","machineType":"std","cell":2,"lifecycle":"leaving","weight":4,"startedAtMs":1700000000000}]}}]}`
	seq, events, err := ParseKnown([]byte(text), []string{"a", "b", "east"})
	want := []Event{{Seq: 41, Kind: FullList}, {Seq: 42, Kind: Delta, Entries: []Entry{entry}}}
	if err != nil || seq != 42 || !reflect.DeepEqual(events, want) {
		t.Errorf("%d %+v %v", seq, events, err)
	}
	for _, bad := range [][2]string{{"s-00c41f7a", "00c41f7a"}, {"leaving", "asleep"}, {"10.1.0.9:2905", "here"}} {
		if _, _, err := ParseKnown([]byte(strings.Replace(text, bad[0], bad[1], 1)), nil); err == nil {
			t.Errorf("invalid value %s was accepted", bad[1])
		}
	}
}

func FuzzParse(f *testing.F) {
	b, _ := hex.DecodeString(strings.ReplaceAll(frame, " ", ""))
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, n, err := Parse(b); n < 0 || n > len(b) || (e == nil) != (n == 0) || e != nil && err != nil {
			t.Fatalf("%v %d %v", e, n, err)
		}
	})
}
