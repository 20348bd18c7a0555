// Package sip reads and writes the SIP messages that callers and the agent exchange over a stream
// (RFC 3261). It is pure: bytes in, messages out, and the other way round.
package sip

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// MaxMessage bounds a whole message, head and description.
const MaxMessage = 16 << 10

// What a stream can hold that is no message. After any of them the stream cannot be followed further,
// for where the next message starts is not known.
var (
	ErrTooLong   = errors.New("sip: message longer than 16 KiB")
	ErrMalformed = errors.New("sip: malformed message")
	ErrNoLength  = errors.New("sip: no usable Content-Length")
)

// Header is one header field.
type Header struct{ Name, Value string }

// Message is a request (Method set) or an answer (Status set).
type Message struct {
	Method, URI string
	Status      int
	Reason      string
	Headers     []Header
	Body        string
}

// The compact forms of RFC 3261, section 7.3.3, of the headers that are read here.
var compact = map[string]string{"i": "Call-ID", "l": "Content-Length", "v": "Via", "f": "From", "t": "To",
	"m": "Contact", "c": "Content-Type"}

// Get is the first value of a header, or "".
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// CSeqMethod is the method that the CSeq header names.
func (m *Message) CSeqMethod() string {
	if f := strings.Fields(m.Get("CSeq")); len(f) == 2 {
		return f[1]
	}
	return ""
}

// User is the user part of the address in the request line.
func (m *Message) User() string {
	_, rest, _ := strings.Cut(m.URI, ":")
	user, _, _ := strings.Cut(rest, "@")
	return user
}

// Parse reads the first message of b and tells how many bytes it took; with none whole yet, it returns
// nil and 0 (or the blank lines between messages that may be dropped). With an error it returns the
// message as far as it could be read, so that it can be refused.
func Parse(b []byte) (*Message, int, error) {
	start := 0
	for start < len(b) && (b[start] == '\r' || b[start] == '\n') {
		start++ // RFC 3261, section 7.5: blank lines before a message, and keep-alives
	}
	head := b[start:]
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if end < 0 {
		if len(head) > MaxMessage {
			return nil, start, ErrTooLong
		}
		return nil, start, nil
	}
	if end+4 > MaxMessage {
		return nil, start, ErrTooLong
	}
	lines := strings.Split(string(head[:end]), "\r\n")
	m := &Message{}
	if err := m.firstLine(lines[0]); err != nil {
		return m, start, err
	}
	for _, line := range lines[1:] {
		if line != "" && (line[0] == ' ' || line[0] == '\t') && len(m.Headers) > 0 {
			last := &m.Headers[len(m.Headers)-1]
			last.Value = strings.TrimSpace(last.Value + " " + strings.TrimSpace(line))
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		name = strings.TrimSpace(name)
		if !ok || name == "" {
			return m, start, ErrMalformed
		}
		if long := compact[strings.ToLower(name)]; long != "" {
			name = long
		}
		m.Headers = append(m.Headers, Header{name, strings.TrimSpace(value)})
	}
	n, err := strconv.Atoi(m.Get("Content-Length"))
	switch {
	case err != nil || n < 0:
		return m, start, ErrNoLength
	case end+4+n > MaxMessage:
		return m, start, ErrTooLong
	case len(head) < end+4+n:
		return nil, start, nil
	}
	m.Body = string(head[end+4 : end+4+n])
	return m, start + end + 4 + n, nil
}

func (m *Message) firstLine(line string) error {
	a, rest, _ := strings.Cut(line, " ")
	b, c, _ := strings.Cut(rest, " ")
	if a == "SIP/2.0" {
		n, err := strconv.Atoi(b)
		if err != nil || n < 100 || n > 699 {
			return ErrMalformed
		}
		m.Status, m.Reason = n, c
		return nil
	}
	if a == "" || b == "" || c != "SIP/2.0" {
		return ErrMalformed
	}
	m.Method, m.URI = a, b
	return nil
}

// Append writes the message behind dst. Content-Length is always written here.
func (m *Message) Append(dst []byte) []byte {
	if m.Status != 0 {
		dst = append(dst, "SIP/2.0 "...)
		dst = strconv.AppendInt(dst, int64(m.Status), 10)
		dst = append(append(dst, ' '), m.Reason...)
	} else {
		dst = append(append(append(append(dst, m.Method...), ' '), m.URI...), " SIP/2.0"...)
	}
	for _, h := range m.Headers {
		if !strings.EqualFold(h.Name, "Content-Length") {
			dst = append(append(append(append(dst, "\r\n"...), h.Name...), ": "...), h.Value...)
		}
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(m.Body)), 10)
	return append(append(dst, "\r\n\r\n"...), m.Body...)
}

// CloneForResponses is the request without what is of no use once it has been taken in: what its answers copy, and no more. It shares
// no memory with the message, whose strings are parts of one.
func (m *Message) CloneForResponses() *Message {
	h := &Message{Method: strings.Clone(m.Method)}
	for _, x := range m.Response(0, "", "").Headers {
		h.Headers = append(h.Headers, Header{strings.Clone(x.Name), strings.Clone(x.Value)})
	}
	return h
}

// Response is the answer to a request: its path and identity are copied, as section 8.2.6.2 asks.
func (m *Message) Response(status int, reason, body string, more ...Header) *Message {
	r := &Message{Status: status, Reason: reason, Body: body}
	for _, h := range m.Headers {
		switch strings.ToLower(h.Name) {
		case "via", "from", "to", "call-id", "cseq":
			r.Headers = append(r.Headers, h)
		}
	}
	r.Headers = append(r.Headers, more...)
	return r
}
