// Package sip parses and serializes the SIP messages (RFC 3261) that callers and the agent exchange over a stream
// connection. It does no I/O: it converts bytes to messages and messages to bytes.
package sip

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxMessageSize is the maximum size in bytes of a whole message, header and body.
const MaxMessageSize = 16 << 10

// Parse errors. After any of them the rest of the stream is unusable, because the start of the next message is unknown.
var (
	ErrTooLong   = errors.New("sip: message longer than 16 KiB")
	ErrMalformed = errors.New("sip: malformed message")
	ErrNoLength  = errors.New("sip: missing or invalid Content-Length")
)

// Header is one header field.
type Header struct{ Name, Value string }

// Message is a request (Method set) or a response (Status set).
type Message struct {
	Method, URI string
	Status      int
	Reason      string
	Headers     []Header
	Body        string
	ReceivedAt  time.Time // when its last byte was read; zero: not known
}

// Get returns the first value of the named header, or "" if there is none. Case does not matter.
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// CSeqMethod returns the method in the CSeq header, or "" if the header is missing or malformed.
func (m *Message) CSeqMethod() string {
	if f := strings.Fields(m.Get("CSeq")); len(f) == 2 {
		return f[1]
	}
	return ""
}

// User returns the user part of the request URI.
func (m *Message) User() string {
	_, rest, _ := strings.Cut(m.URI, ":")
	user, _, _ := strings.Cut(rest, "@")
	return user
}

// Parse parses the first message in b and returns it with the number of bytes consumed. If b holds no complete message yet,
// it returns nil and 0 (or the length of leading blank lines, which can be discarded). With an error it returns the part of the
// message that it could parse, or nil, so that a malformed request can be refused. Of the header fields it keeps those of keptHeaders.
func Parse(b []byte) (*Message, int, error) {
	start := 0
	for start < len(b) && (b[start] == '\r' || b[start] == '\n') {
		start++ // RFC 3261, section 7.5: skip blank lines before a message; they also serve as keep-alives
	}
	head := b[start:]
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if end < 0 {
		if len(head) > MaxMessageSize {
			return nil, start, ErrTooLong
		}
		return nil, start, nil
	}
	if end+4 > MaxMessageSize {
		return nil, start, ErrTooLong
	}
	line, rest, more := strings.Cut(string(head[:end]), "\r\n")
	m := &Message{}
	if err := m.parseStartLine(line); err != nil {
		return m, start, err
	}
	headers := headerCollector{index: -1}
	for more {
		line, rest, more = strings.Cut(rest, "\r\n")
		if line != "" && (line[0] == ' ' || line[0] == '\t') {
			headers.fold(strings.TrimSpace(line))
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		name = strings.TrimSpace(name)
		if !ok || name == "" {
			m.Headers = headers.result()
			return m, start, ErrMalformed
		}
		headers.add(name, strings.TrimSpace(value))
	}
	m.Headers = headers.result()
	n, err := strconv.Atoi(m.Get("Content-Length"))
	switch {
	case err != nil || n < 0:
		return m, start, ErrNoLength
	case end+4+n > MaxMessageSize:
		return m, start, ErrTooLong
	case len(head) < end+4+n:
		return nil, start, nil
	}
	m.Body = string(head[end+4 : end+4+n])
	return m, start + end + 4 + n, nil
}

// parseStartLine parses the request line or the status line.
func (m *Message) parseStartLine(line string) error {
	first, rest, _ := strings.Cut(line, " ")
	second, third, _ := strings.Cut(rest, " ")
	if first == "SIP/2.0" {
		status, err := strconv.Atoi(second)
		if err != nil || status < 100 || status > 699 {
			return ErrMalformed
		}
		m.Status, m.Reason = status, third
		return nil
	}
	if first == "" || second == "" || third != "SIP/2.0" {
		return ErrMalformed
	}
	m.Method, m.URI = first, second
	return nil
}

// Append appends the serialized message to dst. It always writes Content-Length itself, from the length of the body.
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

// Fits reports whether a peer reads the serialized message, which is not longer than MaxMessageSize.
func (m *Message) Fits() bool {
	size := len(m.Method) + len(m.URI) + len(m.Reason) + len(m.Body) + maxFramingSize
	for _, h := range m.Headers {
		size += len(h.Name) + len(h.Value) + len(": \r\n")
	}
	return size <= MaxMessageSize || len(m.Append(nil)) <= MaxMessageSize
}

// maxFramingSize is the maximum size of what Append adds to the strings of a message and its header fields.
const maxFramingSize = 64

// WithoutRoute returns the message without the header fields that this protocol does not need to match it: a peer that has written very
// long ones could not read a message that repeats them.
func (m *Message) WithoutRoute() *Message {
	short := *m
	short.Headers = slices.DeleteFunc(slices.Clone(m.Headers), func(h Header) bool {
		name := strings.ToLower(h.Name)
		return name == "via" || name == "from" || name == "to"
	})
	return &short
}

// Fitted returns the message, shortened by WithoutRoute if no peer would read the whole one.
func (m *Message) Fitted() *Message {
	if m.Fits() {
		return m
	}
	return m.WithoutRoute()
}

// CloneForResponses returns a copy of a request with only the method and the headers that its responses repeat. The strings
// are cloned: those of a parsed message are slices of one large string, which the copy would otherwise keep in memory.
func (m *Message) CloneForResponses() *Message {
	h := &Message{Method: strings.Clone(m.Method)}
	for _, x := range m.Response(0, "", "").Headers {
		h.Headers = append(h.Headers, Header{strings.Clone(x.Name), strings.Clone(x.Value)})
	}
	return h
}

// Response returns a response to the request. It copies the headers that RFC 3261, section 8.2.6.2, requires (Via, From, To,
// Call-ID and CSeq) and adds the extra ones.
func (m *Message) Response(status int, reason, body string, extra ...Header) *Message {
	r := &Message{Status: status, Reason: reason, Body: body}
	for _, h := range m.Headers {
		switch strings.ToLower(h.Name) {
		case "via", "from", "to", "call-id", "cseq":
			r.Headers = append(r.Headers, h)
		}
	}
	r.Headers = append(r.Headers, extra...)
	return r
}
