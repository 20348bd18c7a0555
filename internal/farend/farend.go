// Package farend parses and serializes the messages exchanged with far ends: JSON objects, one per line. It does no I/O: it
// converts bytes to messages and messages to bytes.
package farend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"tinbeam"
)

// MaxLine is the maximum size in bytes of a line, including its line feed.
const MaxLine = 16 << 10

// The kinds of message.
const (
	Launch  = "launch"  // to a far end: sets up a call
	Staging = "staging" // from a far end, before the final answer; the agent ignores it
	Running = "running" // from a far end: the call is established
	Stop    = "stop"    // both ways: ends a set-up or a call, with a cause
	Stopped = "stopped" // confirms a Stop
	Check   = "check"   // to a far end: a health check, also used as a load probe
	Checked = "checked" // the answer to a Check, which may hold a load report
	Usage   = "usage"   // from a far end, unasked: the state of its circuit group
)

// The values of the "reason" key: Q.850 causes, and in a Checked message the result of the health check.
const (
	CauseNormal      = 16  // normal call clearing
	CauseBusy        = 17  // user busy
	CauseFull        = 34  // no circuit available
	CauseReset       = 41  // temporary failure
	CauseFault       = 47  // resource unavailable
	CauseTimerExpiry = 102 // recovery on timer expiry
	CheckPassed      = 1
	CheckFailed      = 0
)

// Parse errors. After either of them the rest of the stream is unusable, because the next line may be the remainder of the
// faulty one.
var (
	ErrTooLong   = errors.New("farend: line longer than 16 KiB")
	ErrMalformed = errors.New("farend: malformed line")
)

// Message is one message, as a far end sends or receives it.
type Message struct {
	Kind  string
	UID   string
	Meta  map[string]string
	Cause int
	Body  string
}

// encoded is a Message in its JSON form.
type encoded struct {
	Kind  string       `json:"kind"`
	UID   string       `json:"uid"`
	Meta  fields       `json:"meta"`
	Cause *json.Number `json:"reason,omitempty"`
	Body  *string      `json:"body,omitempty"`
}

// Parse parses the first line in b and returns its message with the number of bytes consumed. If b holds no complete line yet,
// it returns nil and 0; for a blank line it returns nil and the length of the line.
func Parse(b []byte) (m *Message, n int, err error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 && len(b) >= MaxLine || end >= MaxLine {
		return nil, 0, ErrTooLong
	}
	if end < 0 {
		return nil, 0, nil
	}
	n = end + 1
	if len(bytes.TrimSpace(b[:end])) == 0 {
		return nil, n, nil
	}
	var in encoded
	dec := json.NewDecoder(bytes.NewReader(b[:end]))
	dec.UseNumber()
	// Without these checks corrupt data would be forwarded: encoding/json replaces invalid UTF-8 without an error, the
	// decoder ignores data after the object, and a truncated "running" message may lack its session description.
	if !utf8.Valid(b[:end]) || dec.Decode(&in) != nil || in.Kind == "" || dec.More() || in.Kind == Running && in.Body == nil {
		return nil, n, ErrMalformed
	}
	m = &Message{Kind: in.Kind, UID: in.UID, Meta: in.Meta}
	if m.Meta == nil {
		m.Meta = map[string]string{}
	}
	if in.Cause != nil {
		if m.Cause, err = strconv.Atoi(in.Cause.String()); err != nil {
			return nil, n, ErrMalformed
		}
	}
	if in.Body != nil {
		m.Body = *in.Body
	}
	return m, n, nil
}

// Append appends the message to dst as one line of JSON.
func (m *Message) Append(dst []byte) []byte {
	out := encoded{Kind: m.Kind, UID: m.UID, Meta: m.Meta}
	if out.Meta == nil {
		out.Meta = fields{}
	}
	switch m.Kind {
	case Stop, Check, Checked:
		n := json.Number(strconv.Itoa(m.Cause))
		out.Cause = &n
	case Launch, Running:
		out.Body = &m.Body
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false) // keep <, > and & in a session description unescaped and readable
	if err := enc.Encode(out); err != nil {
		panic(fmt.Sprintf("farend: %v", err)) // strings and numbers always encode
	}
	return append(dst, buf.Bytes()...)
}

// OutcomeCode returns the decision module's outcome code for an attempt that this Stop message ends; established states whether
// the call had been established before.
func (m *Message) OutcomeCode(established bool) tinbeam.Code {
	if established {
		if m.Cause == CauseReset {
			return tinbeam.Reset
		}
		return tinbeam.OK
	}
	switch m.Cause {
	case CauseFull:
		return tinbeam.Full
	case CauseTimerExpiry:
		return tinbeam.NotAttempted
	case CauseReset:
		return tinbeam.Reset
	}
	return tinbeam.Failed
}

// EndsSetUp reports whether a far end sends a Stop message with this cause for a set-up that it has not answered.
func (m *Message) EndsSetUp() bool { return m.Cause != CauseNormal }

// EndsCall reports whether a far end sends a Stop message with this cause for an established call.
func (m *Message) EndsCall() bool { return m.Cause == CauseNormal || m.Cause == CauseReset }

// Note returns the note of a Stop message in the decision module's encoding: see tinbeam.NoteNoCircuit and the constants after
// it. With NoteProcessor, the bits above the lowest four hold the time in milliseconds that the call waited.
func (m *Message) Note() uint32 {
	switch m.Meta["note"] {
	case "blocked":
		return tinbeam.NoteNoCircuit
	case "bounced":
		return tinbeam.NoteCrankback
	case "far_swamped":
		return tinbeam.NoteCrankback + tinbeam.NoteOverloadBeyond
	case "occupied":
		return tinbeam.NoteBusy
	case "swamped":
		ms, _ := strconv.ParseFloat(m.Meta["waited"], 64)
		return tinbeam.NoteProcessor + 16*uint32(min(max(ms, 0), 1e6))
	}
	return 0
}

// aliases maps the names of report fields in the settings to the alternative names that far ends use.
var aliases = map[string]string{"idle": "x0", "circuits": "x1", "load_share": "util", "depth": "queue",
	"concurrent": "inflight", "mean_ms": "latency_ms", "max_rate": "qps", "reduce": "eps"}

// Report returns the values of the message's load report in the order of fields, or nil if there is no report. An absent value
// is -1, as in the reports of a circuit group's state.
func (m *Message) Report(fields []string) []float32 {
	load, ok := m.Meta["load"]
	if !ok {
		return nil
	}
	values := map[string]float32{}
	for _, part := range strings.Split(load, ";") {
		name, value, _ := strings.Cut(part, ":")
		if v, err := strconv.ParseFloat(strings.TrimSpace(value), 32); err == nil {
			values[strings.TrimSpace(name)] = float32(v)
		}
	}
	out := make([]float32, len(fields))
	for i, f := range fields {
		out[i] = -1
		if v, ok := values[f]; ok {
			out[i] = v
		} else if v, ok := values[aliases[f]]; ok {
			out[i] = v
		}
	}
	return out
}
