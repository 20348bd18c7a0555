// Package mgcp is the front end for gateways that speak MGCP (RFC 3435). The agent is their call agent. Gateways are
// callers on the caller side, and far ends of attempts on the far-end side. They use the same core and follow the same
// rules as all other callers and far ends.
//
// This file parses datagrams into messages and serializes messages. It does no I/O and keeps no state.
package mgcp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxDatagram is the maximum size of a datagram in bytes.
const MaxDatagram = 16 << 10

// ErrMalformed reports a datagram that is too long or holds a message that cannot be parsed.
var ErrMalformed = errors.New("mgcp: malformed message")

const maxTransactionID = 999999999 // RFC 3435, section 3.2.1.2

// Param is one parameter line of a message.
type Param struct{ Name, Value string }

// Message is a command, if Verb is set, or else a response.
type Message struct {
	Verb     string
	Endpoint string
	Code     int
	Tx       uint32 // transaction identifier
	Comment  string
	Params   []Param
	SDP      string
}

// Get returns the value of a parameter; ok is false if it is missing. An empty parameter differs from a missing one.
func (m *Message) Get(name string) (value string, ok bool) {
	for _, p := range m.Params {
		if strings.EqualFold(p.Name, name) {
			return p.Value, true
		}
	}
	return "", false
}

// AddParam appends a parameter and returns m.
func (m *Message) AddParam(name, value string) *Message {
	m.Params = append(m.Params, Param{name, value})
	return m
}

// Parse returns the messages of a datagram. It may hold several, separated by lines that contain a single dot.
func Parse(b []byte) ([]*Message, error) {
	if len(b) > MaxDatagram {
		return nil, ErrMalformed
	}
	var out []*Message
	var lines []string
	flush := func() error {
		defer func() { lines = nil }()
		m, err := parseOne(lines)
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
		lines = append(lines, line)
	}
	return out, flush()
}

// parseOne parses the lines of one message. It returns nil without an error if they are all blank.
func parseOne(lines []string) (*Message, error) {
	for len(lines) > 0 && strings.TrimSpace(lines[0]) == "" {
		lines = lines[1:]
	}
	if len(lines) == 0 {
		return nil, nil
	}
	f := strings.Fields(lines[0])
	if len(f) < 2 {
		return nil, ErrMalformed
	}
	tx, err := strconv.ParseUint(f[1], 10, 32)
	if err != nil || tx == 0 || tx > maxTransactionID {
		return nil, ErrMalformed
	}
	m := &Message{Tx: uint32(tx)}
	if code, err := strconv.Atoi(f[0]); err == nil {
		if len(f[0]) != 3 || code < 0 {
			return nil, ErrMalformed
		}
		m.Code, m.Comment = code, strings.Join(f[2:], " ")
	} else {
		if len(f) < 5 || !isVerb(f[0]) || !strings.EqualFold(f[3], "MGCP") || !strings.HasPrefix(f[4], "1.") {
			return nil, ErrMalformed
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
			return nil, ErrMalformed
		}
		m.Params = append(m.Params, Param{strings.TrimSpace(name), strings.TrimSpace(value)})
	}
	return m, nil
}

// isVerb reports whether s can be a verb: four letters or digits.
func isVerb(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') {
			return false
		}
	}
	return len(s) == 4
}

// Append appends the serialized message to dst and returns the result.
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

// ParseEvents returns the events of an O: parameter (such as L/hd and D/5) in lower case and without their parameters.
func ParseEvents(observed string) []string {
	var out []string
	for _, e := range strings.Split(observed, ",") {
		e, _, _ = strings.Cut(strings.TrimSpace(e), "(")
		if e != "" {
			out = append(out, strings.ToLower(e))
		}
	}
	return out
}

// parseTransactionIDs parses the transaction identifiers of a K: parameter, such as 12,15-17, and calls fn for at most
// limit of them.
func parseTransactionIDs(list string, limit int, fn func(uint32)) {
	for _, part := range strings.Split(list, ",") {
		lo, hi, isRange := strings.Cut(strings.TrimSpace(part), "-")
		a, err := strconv.ParseUint(lo, 10, 32)
		if err != nil {
			continue
		}
		b := a
		if isRange {
			if b, err = strconv.ParseUint(hi, 10, 32); err != nil {
				continue
			}
		}
		for ; a <= b && limit > 0; a++ {
			limit--
			fn(uint32(a))
		}
	}
}
