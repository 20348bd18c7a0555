// Package farend reads and writes the JSON lines that are spoken with far ends. It is pure: bytes in,
// lines out, and the other way round.
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

// MaxLine bounds a line, its line feed included.
const MaxLine = 16 << 10

// The types of a line.
const (
	Launch  = "launch"
	Staging = "staging"
	Running = "running"
	Stop    = "stop"
	Stopped = "stopped"
	Check   = "check"
	Checked = "checked"
	Usage   = "usage"
)

// The causes that a line can bear.
const (
	CauseNormal      = 16
	CauseBusy        = 17
	CauseFull        = 34
	CauseReset       = 41
	CauseFault       = 47
	CauseTimerExpiry = 102
	CheckPassed      = 1
	CheckFailed      = 0
)

// What a stream can hold that is no line. After either the stream cannot be followed further: the next line may be the
// rest of this one.
var (
	ErrTooLong   = errors.New("farend: line longer than 16 KiB")
	ErrMalformed = errors.New("farend: malformed line")
)

// Message is one message.
type Message struct {
	Kind  string
	UID   string
	Meta  map[string]string
	Cause int
	Body  string
}

type wire struct {
	Kind  string         `json:"kind"`
	UID   string         `json:"uid"`
	Meta  map[string]any `json:"meta"`
	Cause *json.Number   `json:"reason,omitempty"`
	Body  *string        `json:"body,omitempty"`
}

// Parse reads the first line of b and tells how many bytes it took; with none whole yet it returns nil
// and 0.
func Parse(b []byte) (line *Message, n int, err error) {
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
	var w wire
	dec := json.NewDecoder(bytes.NewReader(b[:end]))
	dec.UseNumber()
	// Guards against what would be passed on spoilt: JSON that is not UTF-8 is mended on reading without a word, what
	// stands behind an object is passed over, and an answer that was cut may have no description.
	if !utf8.Valid(b[:end]) || dec.Decode(&w) != nil || w.Kind == "" || dec.More() || w.Kind == Running && w.Body == nil {
		return nil, n, ErrMalformed
	}
	line = &Message{Kind: w.Kind, UID: w.UID, Meta: make(map[string]string, len(w.Meta))}
	for k, v := range w.Meta {
		switch v := v.(type) {
		case string:
			line.Meta[k] = v
		case json.Number:
			line.Meta[k] = v.String()
		default:
			return nil, n, ErrMalformed // fields are strings or numbers
		}
	}
	if w.Cause != nil {
		if line.Cause, err = strconv.Atoi(w.Cause.String()); err != nil {
			return nil, n, ErrMalformed
		}
	}
	if w.Body != nil {
		line.Body = *w.Body
	}
	return line, n, nil
}

// Append writes the line behind dst.
func (l *Message) Append(dst []byte) []byte {
	w := wire{Kind: l.Kind, UID: l.UID, Meta: make(map[string]any, len(l.Meta))}
	for k, v := range l.Meta {
		w.Meta[k] = v
	}
	switch l.Kind {
	case Stop, Check, Checked:
		n := json.Number(strconv.Itoa(l.Cause))
		w.Cause = &n
	case Launch, Running:
		w.Body = &l.Body
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false) // a description goes on unchanged, and readable
	if err := enc.Encode(w); err != nil {
		panic(fmt.Sprintf("farend: %v", err)) // strings and numbers always encode
	}
	return append(dst, out.Bytes()...)
}

// OutcomeCode is how an attempt ended that a stop ends: before the answer, or after it.
func (l *Message) OutcomeCode(stood bool) tinbeam.Code {
	if stood {
		if l.Cause == CauseReset {
			return tinbeam.Reset
		}
		return tinbeam.OK
	}
	switch l.Cause {
	case CauseFull:
		return tinbeam.Full
	case CauseTimerExpiry:
		return tinbeam.NotAttempted
	case CauseReset:
		return tinbeam.Reset
	}
	return tinbeam.Failed
}

// Note is the note of a stop in the module's figures: see tinbeam.NoteNoCircuit and what follows it.
func (l *Message) Note() uint32 {
	switch l.Meta["note"] {
	case "blocked":
		return tinbeam.NoteNoCircuit
	case "bounced":
		return tinbeam.NoteCrankback
	case "far_swamped":
		return tinbeam.NoteCrankback + tinbeam.NoteOverloadBeyond
	case "occupied":
		return tinbeam.NoteBusy
	case "swamped":
		ms, _ := strconv.ParseFloat(l.Meta["waited"], 64)
		return tinbeam.NoteProcessor + 16*uint32(min(max(ms, 0), 1e6))
	}
	return 0
}

// The names that far ends use for what the settings name otherwise.
var alias = map[string]string{"idle": "x0", "circuits": "x1", "load_share": "util", "depth": "queue",
	"concurrent": "inflight", "mean_ms": "latency_ms", "max_rate": "qps", "reduce": "eps"}

// Report is the load report of the line with the values in the order of fields; nil: none. A value that is
// absent is -1, as in the reports of the state of a group.
func (l *Message) Report(fields []string) []float32 {
	load, ok := l.Meta["load"]
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
		} else if v, ok := values[alias[f]]; ok {
			out[i] = v
		}
	}
	return out
}
