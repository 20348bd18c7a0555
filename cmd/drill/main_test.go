package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// batch returns a frame with the records, at a clock time of 5e5 s.
func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(16+len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(5e5))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

// hello returns the record that starts a controller with these settings.
func hello(controller uint32, settings string) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{3, 1}, controller)
	b = binary.LittleEndian.AppendUint64(b, 7)
	return append(binary.LittleEndian.AppendUint32(b, uint32(len(settings))), settings...)
}

// withdrawn returns the record of a Withdrawn event for call 1.
func withdrawn(controller uint32) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{2, 1}, controller)
	return append(b, 1, 0, 0, 0)
}

// killed returns the record that ends a controller.
func killed(controller uint32) []byte {
	return binary.LittleEndian.AppendUint32([]byte{7, 1}, controller)
}

// TestRun checks the number of replies and the errors for whole, broken and faulty input.
func TestRun(t *testing.T) {
	const settings = "index=0\nfamilyInfo.homeNo=0"
	first := batch(hello(0, settings))
	for _, c := range []struct {
		name    string
		in      []byte
		replies int
		errors  []string
	}{
		{"clean end", nil, 0, nil},
		{"a hello and an empty batch", append(batch(hello(0, settings)), batch()...), 2, nil},
		{"killed and started again",
			append(batch(hello(0, settings), killed(0)), batch(withdrawn(0), hello(0, settings))...), 2, nil},
		{"unknown controller", append(first, batch(hello(1, settings), withdrawn(9))...), 1,
			[]string{"record 1", "byte 61", "unknown controller 9"}},
		{"missing replica index", batch(hello(0, "familyInfo.homeNo=0")), 0, []string{"record 0", "index"}},
		{"input ends inside a frame", append(batch(), batch()[:9]...), 1, []string{"byte 9"}},
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(c.in), &out)
		if (err == nil) != (c.errors == nil) {
			t.Errorf("%s: %v", c.name, err)
		}
		for _, want := range c.errors {
			if err != nil && !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %q does not contain %q", c.name, err, want)
			}
		}
		n := 0
		for b := out.Bytes(); len(b) > 0; n++ {
			size := binary.LittleEndian.Uint32(b)
			if int(size) > len(b) || size < 4 {
				t.Fatalf("%s: a partial reply", c.name)
			}
			b = b[size:]
		}
		if n != c.replies {
			t.Errorf("%s: %d replies, want %d", c.name, n, c.replies)
		}
	}
}
