// Package mgcp is the front towards gateways that speak MGCP (RFC 3435). The agent is their call agent: gateways
// bring calls in on the caller side, and are far ends that attempts go out to, on the same core and under the same
// rules as all else.
//
// This file is pure: datagrams in, messages out, and the other way round.
package mgcp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxDatagram bounds a datagram.
const MaxDatagram = 16 << 10

// ErrMalform is a datagram that holds no message.
var ErrMalform = errors.New("mgcp: malformed message")

const txMost = 999999999 // RFC 3435, section 3.2.1.2

// Param is one parameter line.
type Param struct{ Name, Value string }

// Message is a command (Verb set) or a response.
type Message struct {
	Verb     string
	Endpoint string
	Code     int
	Tx       uint32
	Comment  string
	Params   []Param
	SDP      string
}

// Get is the value of a parameter; ok tells whether it is there, for an empty one says something too.
func (m *Message) Get(name string) (value string, ok bool) {
	for _, p := range m.Params {
		if strings.EqualFold(p.Name, name) {
			return p.Value, true
		}
	}
	return "", false
}

// With adds a parameter.
func (m *Message) With(name, value string) *Message {
	m.Params = append(m.Params, Param{name, value})
	return m
}

// Parse reads the messages of a datagram: several may ride in one, with a line of one dot between them.
func Parse(b []byte) ([]*Message, error) {
	if len(b) > MaxDatagram {
		return nil, ErrMalform
	}
	var out []*Message
	var part []string
	flush := func() error {
		defer func() { part = nil }()
		m, err := parseOne(part)
		if m != nil {
			out = append(out, m)
		}
		return err
	}
	for _, line := range strings.Split(strings.ReplaceAll(string(b), "\r\n", "\n"), "\n") {
		if line == "." {
			if err := flush(); err != nil {
				return out, err
			}
			continue
		}
		part = append(part, line)
	}
	return out, flush()
}

func parseOne(lines []string) (*Message, error) {
	for len(lines) > 0 && strings.TrimSpace(lines[0]) == "" {
		lines = lines[1:]
	}
	if len(lines) == 0 {
		return nil, nil
	}
	f := strings.Fields(lines[0])
	if len(f) < 2 {
		return nil, ErrMalform
	}
	tx, err := strconv.ParseUint(f[1], 10, 32)
	if err != nil || tx == 0 || tx > txMost {
		return nil, ErrMalform
	}
	m := &Message{Tx: uint32(tx)}
	if code, err := strconv.Atoi(f[0]); err == nil {
		if len(f[0]) != 3 || code < 0 {
			return nil, ErrMalform
		}
		m.Code, m.Comment = code, strings.Join(f[2:], " ")
	} else {
		if len(f) < 5 || !isVerb(f[0]) || !strings.EqualFold(f[3], "MGCP") || !strings.HasPrefix(f[4], "1.") {
			return nil, ErrMalform
		}
		m.Verb, m.Endpoint = strings.ToUpper(f[0]), f[2]
	}
	for i, line := range lines[1:] {
		if strings.TrimSpace(line) == "" {
			if sdp := strings.Join(lines[i+2:], "\r\n"); strings.TrimSpace(sdp) != "" {
				m.SDP = strings.TrimRight(sdp, "\r\n") + "\r\n"
			}
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, ErrMalform
		}
		m.Params = append(m.Params, Param{strings.TrimSpace(name), strings.TrimSpace(value)})
	}
	return m, nil
}

// isVerb tells whether a word can be a verb: four letters or digits.
func isVerb(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') {
			return false
		}
	}
	return len(s) == 4
}

// Append writes the message behind dst.
func (m *Message) Append(dst []byte) []byte {
	if m.Verb != "" {
		dst = fmt.Appendf(dst, "%s %d %s MGCP 1.0\r\n", m.Verb, m.Tx, m.Endpoint)
	} else {
		dst = fmt.Appendf(dst, "%03d %d", m.Code, m.Tx)
		if m.Comment != "" {
			dst = append(append(dst, ' '), m.Comment...)
		}
		dst = append(dst, "\r\n"...)
	}
	for _, p := range m.Params {
		dst = append(append(append(append(dst, p.Name...), ": "...), p.Value...), "\r\n"...)
	}
	if m.SDP != "" {
		dst = append(append(dst, "\r\n"...), m.SDP...)
	}
	return dst
}

// Events splits an O: parameter: L/hd, D/5 and the like, without their parameters.
func Events(observed string) []string {
	var out []string
	for _, e := range strings.Split(observed, ",") {
		e, _, _ = strings.Cut(strings.TrimSpace(e), "(")
		if e != "" {
			out = append(out, strings.ToLower(e))
		}
	}
	return out
}

// ranges reads the transaction numbers of a K: parameter, as 12,15-17, and calls fn for no more than most.
func ranges(k string, most int, fn func(uint32)) {
	for _, part := range strings.Split(k, ",") {
		lo, hi, two := strings.Cut(strings.TrimSpace(part), "-")
		a, err := strconv.ParseUint(lo, 10, 32)
		if err != nil {
			continue
		}
		b := a
		if two {
			if b, err = strconv.ParseUint(hi, 10, 32); err != nil {
				continue
			}
		}
		for ; a <= b && most > 0; a++ {
			most--
			fn(uint32(a))
		}
	}
}
