// Package wire decodes the simulator's batches of events and encodes the replies. It makes no decisions.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"tinbeam"
)

// The codes of the records in a batch.
const (
	codeSampled      = 256
	codeExchangeList = 257
	codeWithdrawn    = 258
	codeHello        = 259
	codeOutcome      = 260
	codeFlowing      = 261
	codeDatagram     = 262
	codeKilled       = 263
	codeTopology     = 264
	codeTickDue      = 265
	codeOffer        = 266
)

const (
	batchHeaderSize = 16
	replyHeaderSize = 4
	entrySize       = 21
	maxLists        = 16
	maxSeconds      = 1e9 // positive or negative: about 30 years, well within the range of time.Duration
)

// Error reports malformed input: the record (counted from 0, -1 for the frame header) and the byte offset in the frame.
type Error struct {
	Record, Offset int
	Problem        string
}

// Error returns the problem and its position.
func (e *Error) Error() string {
	if e.Record < 0 {
		return fmt.Sprintf("wire: frame header, byte %d: %s", e.Offset, e.Problem)
	}
	return fmt.Sprintf("wire: record %d, byte %d: %s", e.Record, e.Offset, e.Problem)
}

// Hello starts a controller with a seed and its settings as path=value lines.
type Hello struct {
	Seed     uint64
	Settings string
}

// Record is one record of a batch. Exactly one of Hello, Killed and Event is set.
type Record struct {
	Controller uint32
	Offset     int
	Hello      *Hello
	Killed     bool // the simulator has killed the controller; a later Hello may start it again
	Event      tinbeam.Event
}

// Batch is one decoded frame: the simulator's clock and the records.
type Batch struct {
	Clock   time.Duration
	Records []Record
}

// Decoder decodes frames. It keeps the numbered exchange lists, since later frames refer to them.
type Decoder struct {
	lists  [maxLists][]tinbeam.Entry
	loaded [maxLists]bool
}

// ReadFrame reads one whole frame. If the input ends between frames it returns io.EOF.
func ReadFrame(r io.Reader) ([]byte, error) {
	var length [4]byte
	if n, err := io.ReadFull(r, length[:]); err == io.EOF {
		return nil, io.EOF
	} else if err != nil {
		return nil, &Error{-1, n, fmt.Sprintf("incomplete length field: %v", err)}
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size < batchHeaderSize {
		return nil, &Error{-1, 0, fmt.Sprintf("length %d is less than the header size of %d", size, batchHeaderSize)}
	}
	// A wrong length must not allocate memory for bytes that never arrive, so the buffer grows as they are read.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)-4))
	if err != nil {
		return nil, &Error{-1, 4 + len(body), err.Error()}
	}
	if len(body) != int(size)-4 {
		return nil, &Error{-1, 4 + len(body), fmt.Sprintf("input ends inside a frame of %d bytes", size)}
	}
	return append(length[:], body...), nil
}

// cursor reads the fields of a frame in order. After the first error every read returns zero.
type cursor struct {
	b      []byte
	offset int
	record int
	err    error
}

// fail records the first error.
func (c *cursor) fail(offset int, format string, args ...any) {
	if c.err == nil {
		c.err = &Error{c.record, offset, fmt.Sprintf(format, args...)}
	}
}

// take returns the next n bytes, or nil after an error.
func (c *cursor) take(n int) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > len(c.b)-c.offset {
		c.fail(c.offset, "%d bytes needed, %d left in the frame", n, len(c.b)-c.offset)
		return nil
	}
	c.offset += n
	return c.b[c.offset-n : c.offset]
}

func (c *cursor) u8() uint8 {
	if p := c.take(1); p != nil {
		return p[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if p := c.take(2); p != nil {
		return binary.LittleEndian.Uint16(p)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if p := c.take(4); p != nil {
		return binary.LittleEndian.Uint32(p)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if p := c.take(8); p != nil {
		return binary.LittleEndian.Uint64(p)
	}
	return 0
}

// f32 reads a 32-bit float. It does not reject values that are not finite: the decision module checks the values of reports.
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

// number reads an exchange number, which the simulator sends as an f32.
func (c *cursor) number(field string) int {
	start := c.offset
	f := float64(c.f32())
	if c.err == nil && !(math.Abs(f) <= 1<<24) {
		c.fail(start, "%s %v is not a valid exchange number", field, f)
		return 0
	}
	return int(f)
}

// seconds reads a time in seconds.
func (c *cursor) seconds(field string) time.Duration {
	start := c.offset
	f := math.Float64frombits(c.u64())
	if c.err == nil && !(math.Abs(f) <= maxSeconds) {
		c.fail(start, "%s of %v s is out of range", field, f)
		return 0
	}
	return Seconds(f)
}

// Seconds converts seconds to a duration, rounded to the simulator's resolution of one microsecond.
func Seconds(f float64) time.Duration {
	return time.Duration(math.Round(f*1e6)) * time.Microsecond
}

// report reads a load report; nil if it has no values.
func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || c.err != nil {
		return nil
	}
	if c.offset+4*n > len(c.b) {
		c.fail(c.offset, "report of %d values, %d bytes left in the frame", n, len(c.b)-c.offset)
		return nil
	}
	r := make([]float32, n)
	for i := range r {
		r[i] = c.f32()
	}
	return r
}

// Decode decodes one frame, header included.
func (d *Decoder) Decode(frame []byte) (Batch, error) {
	c := &cursor{b: frame, record: -1}
	var out Batch
	if size := c.u32(); c.err == nil && int64(size) != int64(len(frame)) {
		c.fail(0, "length field is %d, but the frame has %d bytes", size, len(frame))
	}
	out.Clock = c.seconds("clock")
	count := c.u32()
	if c.err == nil && int64(count)*6 > int64(len(frame)-c.offset) { // the shortest record has 6 bytes
		c.fail(12, "%d records do not fit in %d bytes", count, len(frame)-c.offset)
	}
	for i := 0; c.err == nil && i < int(count); i++ {
		c.record = i
		if r, ok := d.record(c); ok && c.err == nil {
			out.Records = append(out.Records, r)
		}
	}
	if c.err == nil && c.offset != len(frame) {
		c.fail(c.offset, "%d extra bytes after the last record", len(frame)-c.offset)
	}
	if c.err != nil {
		return Batch{}, c.err
	}
	return out, nil
}

// record decodes one record. For an exchange list it stores the list and returns false.
func (d *Decoder) record(c *cursor) (Record, bool) {
	start := c.offset
	code := c.u16()
	if code == codeExchangeList {
		d.exchangeList(c)
		return Record{}, false
	}
	if code < codeSampled || code > codeOffer {
		c.fail(start, "unknown record code %d", code)
		return Record{}, false
	}
	r := Record{Controller: c.u32(), Offset: start}
	switch code {
	case codeHello:
		h := &Hello{Seed: c.u64()}
		n := c.u32()
		if c.err == nil && int64(n) > int64(len(c.b)-c.offset) {
			c.fail(c.offset-4, "settings of %d bytes, %d left in the frame", n, len(c.b)-c.offset)
		}
		h.Settings = string(c.take(int(n)))
		r.Hello = h
	case codeKilled:
		r.Killed = true
	case codeTopology:
		t := tinbeam.Topology{Version: c.u64()}
		listStart := c.offset
		list := c.u32()
		t.Kind = tinbeam.ListKind(c.u8())
		switch {
		case c.err != nil:
		case t.Kind > tinbeam.ListFailed:
			c.fail(listStart+4, "unknown list kind %d", t.Kind)
		case t.Kind == tinbeam.ListFailed:
		case list >= maxLists || !d.loaded[list]:
			c.fail(listStart, "list %d has not been sent", list)
		default:
			t.Entries = d.lists[list]
		}
		r.Event = t
	case codeOffer:
		o := tinbeam.Offer{Ref: c.u32(), Class: int(c.u16()), Number: c.u64(), Width: float64(c.f32())}
		c.u16() // tenant: unused
		o.TimeLeft = c.seconds("ttl")
		o.Dest = c.number("destination")
		o.Flags = c.u8()
		c.u64() // anticipated work: unused
		o.Via = c.number("via")
		r.Event = o
	case codeOutcome:
		o := tinbeam.Outcome{Ref: c.u32(), Final: c.u8() != 0, Note: c.u32(), Try: int(c.u8())}
		o.Took = c.seconds("time")
		o.Switch = c.u32()
		o.Code = tinbeam.Code(c.u16())
		o.Report = c.report()
		r.Event = o
	case codeFlowing:
		f := tinbeam.Flowing{Ref: c.u32(), Try: int(c.u8()), Switch: c.u32()}
		f.Took = c.seconds("time")
		r.Event = f
	case codeSampled:
		s := tinbeam.Sampled{Switch: c.u32(), Code: tinbeam.Code(c.u16())}
		s.Took = c.seconds("time")
		s.Report = c.report()
		r.Event = s
	case codeWithdrawn:
		r.Event = tinbeam.Withdrawn{Ref: c.u32()}
	case codeTickDue:
		r.Event = tinbeam.TickDue{Handle: c.u64()}
	case codeDatagram:
		g := tinbeam.Datagram{Sender: int(c.u16())}
		g.Payload = append([]byte(nil), c.take(int(c.u16()))...)
		r.Event = g
	}
	return r, true
}

// exchangeList decodes a numbered exchange list and stores it.
func (d *Decoder) exchangeList(c *cursor) {
	start := c.offset
	number, n := c.u32(), c.u32()
	if c.err == nil && number >= maxLists {
		c.fail(start, "list number %d is not below %d", number, maxLists)
	}
	if c.err == nil && int64(n)*entrySize > int64(len(c.b)-c.offset) {
		c.fail(start+4, "list of %d entries, %d bytes left in the frame", n, len(c.b)-c.offset)
	}
	if c.err != nil {
		return
	}
	list := make([]tinbeam.Entry, n) // a new slice, because controllers may still read the list that it replaces
	for i := range list {
		e := tinbeam.Entry{Switch: c.u32(), Zone: int(c.u8())}
		c.u8() // machine type: unused
		e.ExchangeNumber = int(c.u16())
		start = c.offset
		e.Mode = tinbeam.Mode(c.u8())
		if e.Mode > tinbeam.Draining {
			c.fail(start, "unknown mode %d", e.Mode)
		}
		e.Weight = float64(c.f32())
		e.OnlineSince = c.seconds("start time")
		list[i] = e
	}
	d.lists[number], d.loaded[number] = list, true
}

// BeginReply starts a reply in dst's memory, with room for the length. EndReply completes it.
func BeginReply(dst []byte) []byte { return append(dst[:0], 0, 0, 0, 0) }

// EndReply fills in the length of a reply that BeginReply started.
func EndReply(b []byte) []byte {
	binary.LittleEndian.PutUint32(b, uint32(len(b)))
	return b
}

// AppendAction appends the record of one action of a controller. It panics if the action has no code.
func AppendAction(b []byte, controller uint32, a tinbeam.Action) []byte {
	le := binary.LittleEndian
	header := func(code uint16) { b = le.AppendUint32(le.AppendUint16(b, code), controller) }
	seconds := func(d time.Duration) {
		b = le.AppendUint64(b, math.Float64bits(float64(d/time.Microsecond)/1e6))
	}
	text := func(s string, maxLen int) {
		if len(s) > maxLen {
			s = s[:maxLen]
		}
		b = append(le.AppendUint16(b, uint16(len(s))), s...)
	}
	switch a := a.(type) {
	case tinbeam.Attempt:
		header(256)
		b = le.AppendUint32(le.AppendUint32(b, a.Ref), a.Switch)
		seconds(a.Timeout)
	case tinbeam.Decline:
		header(257)
		b = le.AppendUint32(b, a.Ref)
		seconds(a.RetryAfter)
	case tinbeam.GiveUp:
		header(258)
		b = le.AppendUint32(b, a.Ref)
	case tinbeam.Withdraw:
		header(259)
		b = append(le.AppendUint32(b, a.Ref), uint8(a.Try))
	case tinbeam.Schedule:
		header(260)
		seconds(a.After)
		b = le.AppendUint64(b, a.Handle)
	case tinbeam.AskLoad:
		header(261)
		b = le.AppendUint32(b, a.Switch)
	case tinbeam.Note:
		header(264)
		text(a.Text, math.MaxUint16)
	case tinbeam.BailOut:
		header(265)
		text(a.Text, math.MaxUint16)
	case tinbeam.StreamChanges:
		header(266)
		active := uint8(0)
		if a.Active {
			active = 1
		}
		b = append(b, active)
	case tinbeam.Lookup:
		header(267)
	default:
		panic(fmt.Sprintf("wire: action %T has no record code", a))
	}
	return b
}
