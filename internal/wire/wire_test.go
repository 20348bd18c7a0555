package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"tinbeam"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame returns a frame of records with a correct header.
func frame(clock float64, count uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(batchHeaderSize+len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	b = binary.LittleEndian.AppendUint32(b, count)
	return append(b, body...)
}

const (
	offer   = "0a01 03000000 c4913a5d 0000 640ad2557c3bf091 00009644 0000 b81e85eb51b8ce3f 00006442 01 fa7e6abc7493883f 00008043"
	outcome = "0401 03000000 c4913a5d 01 00000000 00 8b6ce7fba9f1923f 074a1203 c800 00"
	list    = `0101 00000000 02000000 074a1203 00 00 0000 01 0000803f 0000000000000000
		f211902c 01 00 0000 01 0000c03f 6666666666661840`
	topology = "0801 03000000 2900000000000000 00000000 02"
	sampled  = "0001 03000000 f211902c c800 c7bab88d06f0563f 04 cdcccc3e0000a03f0000684100000c43"
	tickDue  = "0901 03000000 4d00000000000000"
)

// TestDecodeExamples checks the examples of the protocol's documentation field by field.
func TestDecodeExamples(t *testing.T) {
	var d Decoder
	b, err := d.Decode(frame(12.5, 6, unhex(t, list), unhex(t, topology), unhex(t, offer),
		unhex(t, outcome), unhex(t, sampled), unhex(t, tickDue)))
	if err != nil {
		t.Fatal(err)
	}
	if b.Clock != 12500*time.Millisecond || len(b.Records) != 5 {
		t.Fatalf("clock %v, %d records", b.Clock, len(b.Records))
	}
	top := b.Records[0].Event.(tinbeam.Topology)
	if top.Version != 41 || top.Kind != tinbeam.ListCached || len(top.Entries) != 2 ||
		top.Entries[1].Zone != 1 || top.Entries[1].OnlineSince != 6100*time.Millisecond {
		t.Errorf("topology %+v", top)
	}
	o := b.Records[1].Event.(tinbeam.Offer)
	if o.Ref != 0x5d3a91c4 || o.TimeLeft != 240*time.Millisecond || o.Dest != 57 ||
		o.Flags != 1 || o.Via != 256 || o.Width != 1200 {
		t.Errorf("offer %+v", o)
	}
	end := b.Records[2].Event.(tinbeam.Outcome)
	if !end.Final || end.Code != tinbeam.OK || end.Took != 18500*time.Microsecond || end.Switch != 0x03124a07 {
		t.Errorf("outcome %+v", end)
	}
	if s := b.Records[3].Event.(tinbeam.Sampled); len(s.Report) != 4 || s.Report[3] != 140 {
		t.Errorf("sampled %+v", s)
	}
	if b.Records[4].Event.(tinbeam.TickDue).Handle != 77 {
		t.Error("wrong handle in the TickDue event")
	}
}

func TestEncodeExamples(t *testing.T) {
	for _, c := range []struct {
		a    tinbeam.Action
		want string
	}{
		{tinbeam.Attempt{Ref: 0x5d3a91c4, Switch: 0x03124a07, Timeout: 80 * time.Millisecond},
			"0001 03000000 c4913a5d 074a1203 7b14ae47e17ab43f"},
		{tinbeam.Decline{Ref: 0x0e6f2b19, RetryAfter: 250 * time.Millisecond}, "0101 03000000 192b6f0e 000000000000d03f"},
		{tinbeam.GiveUp{Ref: 0x0e6f2b19}, "0201 03000000 192b6f0e"},
		{tinbeam.Withdraw{Ref: 0x5d3a91c4}, "0301 03000000 c4913a5d 00"},
		{tinbeam.Schedule{After: 500 * time.Millisecond, Handle: 77}, "0401 03000000 000000000000e03f 4d00000000000000"},
		{tinbeam.AskLoad{Switch: 0x2c9011f2}, "0501 03000000 f211902c"},
		{tinbeam.Note{Text: "two servers known"}, "0801 03000000 1100 74776f2073657276657273206b6e6f776e"},
		{tinbeam.BailOut{Text: "index out of range"}, "0901 03000000 1200 696e646578206f7574206f662072616e6765"},
		{tinbeam.StreamChanges{Active: true}, "0a01 03000000 01"},
		{tinbeam.Lookup{}, "0b01 03000000"},
	} {
		if got := AppendAction(nil, 3, c.a); !bytes.Equal(got, unhex(t, c.want)) {
			t.Errorf("%T: %x, want %s", c.a, got, c.want)
		}
	}
}

func TestMalformedNamesRecordAndOffset(t *testing.T) {
	set := func(b []byte, at int, v ...byte) []byte {
		b = append([]byte(nil), b...)
		copy(b[at:], v)
		return b
	}
	offerRecord := unhex(t, offer)
	good := frame(1, 1, offerRecord)
	for _, c := range []struct {
		name           string
		frame          []byte
		record, offset int
	}{
		{"length field exceeds the frame", set(good, 0, 255), -1, 0},
		{"clock not finite", set(good, 4, 0, 0, 0, 0, 0, 0, 0xf0, 0x7f), -1, 4},
		{"clock out of range", set(good, 4, 0, 0, 0, 0, 0, 0, 0xe0, 0x7f), -1, 4},
		{"record count exceeds the frame", set(good, 12, 255, 255, 255, 255), -1, 12},
		{"one record too many", set(good, 12, 2), 1, len(good)},
		{"extra bytes after the last record", set(good, 12, 0), -1, 16},
		{"unknown record code", frame(1, 1, set(offerRecord, 0, 0, 9)), 0, 16},
		{"truncated record", frame(1, 1, offerRecord[:20]), 0, 36},
		{"time left not a number", frame(1, 1, set(offerRecord, 26, 1, 0, 0, 0, 0, 0, 0xf8, 0x7f)), 0, 42},
		{"destination not a number", frame(1, 1, set(offerRecord, 34, 0, 0, 0xc0, 0x7f)), 0, 50},
		{"list has not been sent", frame(1, 1, set(unhex(t, topology), 14, 5)), 0, 30},
		{"list number too high", frame(1, 1, set(unhex(t, list), 2, 16)), 0, 18},
		{"list entries exceed the frame", frame(1, 1, set(unhex(t, list), 6, 255, 255, 255, 255)), 0, 22},
		{"unknown mode", frame(1, 1, set(unhex(t, list), 18, 7)), 0, 34},
		{"report exceeds the frame", frame(1, 1, set(unhex(t, sampled), 20, 5)), 0, 37},
		{"settings exceed the frame", frame(1, 1, unhex(t, "0301 03000000 0000000000000000 ffffffff")), 0, 30},
	} {
		var d Decoder
		_, err := d.Decode(c.frame)
		var e *Error
		if !errors.As(err, &e) {
			t.Errorf("%s: error %v", c.name, err)
		} else if e.Record != c.record || e.Offset != c.offset {
			t.Errorf("%s: record %d, byte %d, want %d, %d (%v)", c.name, e.Record, e.Offset, c.record, c.offset, err)
		}
	}
}

func TestReadFrame(t *testing.T) {
	good := frame(1, 1, unhex(t, offer))
	r := bytes.NewReader(good)
	if f, err := ReadFrame(r); err != nil || !bytes.Equal(f, good) {
		t.Fatal(err)
	}
	if _, err := ReadFrame(r); err != io.EOF {
		t.Errorf("end of input between frames: %v", err)
	}
	for n := 1; n < len(good); n++ {
		if _, err := ReadFrame(bytes.NewReader(good[:n])); err == nil || err == io.EOF {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{3, 0, 0, 0})); err == nil {
		t.Error("a length below the header size was accepted")
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings("index=3\nfamilyInfo.homeNo=2\nfamilyInfo.widths=1,4\nclasses.count=2\n" +
		"classes.1.aim=0.8\nclasses.1.idempotency=guarded\nrules.cold=nan\nfuture.key=7\nnot a line\n" +
		"report.fields=idle,circuits\npermissions.retryAfter=true\npermissions.maxRetryAfter=2.0")
	if err != nil {
		t.Fatal(err)
	}
	if s.ReplicaIndex != 3 || s.LocalExchange != 2 || len(s.Classes) != 2 || s.Classes[1].Width != 4 || s.Rules.WarmUp != 0 ||
		s.Classes[1].AnswerTarget != 800*time.Millisecond || len(s.ReportFields) != 2 || s.MaxRetryAfter != 2*time.Second {
		t.Errorf("%+v", s)
	}
	for text, name := range map[string]string{"familyInfo.homeNo=1": "index", "index=1": "familyInfo.homeNo",
		"index=x\nfamilyInfo.homeNo=1": "index"} {
		if _, err := ParseSettings(text); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%q: error %v, want one that names %s", text, err, name)
		}
	}
	if _, err := ParseSettings("index=1\nfamilyInfo.shape=skills\nclasses.count=1e18"); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, r := range []string{offer, outcome, list + topology, sampled, tickDue} {
		f.Add(frame(1, 1, unhex(f, r)))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var d Decoder
		_, err := d.Decode(in)
		var e *Error
		if err != nil && (!errors.As(err, &e) || e.Offset < 0 || e.Offset > len(in)) {
			t.Errorf("%v", err)
		}
	})
}
