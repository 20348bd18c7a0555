package sip

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

const invite = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\ni: 9b1f03aa5c7e2d41\r\n" +
	"CSeq: 1 INVITE\r\nP-Path: dest:2;\r\n width:1\r\nl: 4\r\n\r\nv=0\n"

func TestParse(t *testing.T) {
	b := []byte("\r\n\r\n" + invite + "ACK sip:1@net")
	m, n, err := Parse(b)
	if err != nil || string(b[n:]) != "ACK sip:1@net" {
		t.Fatalf("error %v, remaining bytes %q", err, b[n:])
	}
	if m.User() != "7f3a9c21e0b4d655" || m.Get("call-id") != "9b1f03aa5c7e2d41" || m.CSeqMethod() != "INVITE" ||
		m.Get("P-Path") != "dest:2; width:1" || m.Body != "v=0\n" {
		t.Errorf("parsed %+v", m)
	}
	want := "SIP/2.0 486 Busy Here\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n" +
		"Retry-After: 2\r\nContent-Length: 0\r\n\r\n"
	if got := m.Response(486, "Busy Here", "", Header{"Retry-After", "2"}).Append(nil); string(got) != want {
		t.Errorf("response %q", got)
	}
}

func TestMalformed(t *testing.T) {
	for text, want := range map[string]error{
		"INVITE sip:1@net SIP/3.0\r\nContent-Length: 0\r\n\r\n":                           ErrMalformed,
		"SIP/2.0 99 Low\r\nContent-Length: 0\r\n\r\n":                                     ErrMalformed,
		"BYE sip:1@net SIP/2.0\r\nno colon\r\nContent-Length: 0\r\n\r\n":                  ErrMalformed,
		"BYE sip:1@net SIP/2.0\r\nCall-ID: 1\r\n\r\n":                                     ErrNoLength,
		"BYE sip:1@net SIP/2.0\r\nContent-Length: -1\r\n\r\n":                             ErrNoLength,
		"BYE sip:1@net SIP/2.0\r\nContent-Length: 99999\r\n\r\n":                          ErrTooLong,
		"BYE sip:1@net SIP/2.0\r\nX: " + strings.Repeat("x", MaxMessageSize) + "\r\n\r\n": ErrTooLong,
		"BYE " + strings.Repeat("x", MaxMessageSize):                                      ErrTooLong,
	} {
		if _, _, err := Parse([]byte(text)); !errors.Is(err, want) {
			t.Errorf("%.40q: %v, want %v", text, err, want)
		}
	}
}

// FuzzParse checks, for arbitrary bytes, that a message cut short is reported as incomplete, not as a message or an error,
// and that a parsed message survives serializing and parsing again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(invite), 7)
	f.Add([]byte("SIP/2.0 200 OK\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		m, n, err := Parse(b)
		if n < 0 || n > len(b) {
			t.Fatalf("consumed %d of %d bytes", n, len(b))
		}
		if err != nil || m == nil {
			return
		}
		cut = min(max(cut, 0), n-1)
		if early, k, err := Parse(b[:cut]); early != nil || err != nil || k > cut {
			t.Fatalf("cut at %d of %d bytes: parsed %v, error %v", cut, n, early, err)
		}
		again, k, err := Parse(m.Append(nil))
		if err != nil || again == nil || k != len(m.Append(nil)) || !bytes.Equal(again.Append(nil), m.Append(nil)) {
			t.Fatalf("serialized and parsed again: %v, error %v", again, err)
		}
	})
}
