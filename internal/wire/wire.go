// Package wire reads the simulator's batches and writes the replies. It takes no decision.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"tinbeam"
)

// The event codes.
const (
	codeSampled   = 256
	codeDirectory = 257
	codeWithdrawn = 258
	codeHello     = 259
	codeOutcome   = 260
	codeFlowing   = 261
	codeDatagram  = 262
	codeKilled    = 263
	codeTopology  = 264
	codeTickDue   = 265
	codeAccept    = 266
)

const (
	batchHeader = 16
	replyHeader = 4
	entrySize   = 21
	tables      = 16
	maxClock    = 1e9 // seconds either way: some 30 years, well inside a time.Duration
)

// Error is malformed input: which record (counted from 0, -1 in the header) and the byte offset in the frame.
type Error struct {
	Record, Offset int
	What           string
}

// Error says what is wrong and where.
func (e *Error) Error() string {
	if e.Record < 0 {
		return fmt.Sprintf("wire: frame header, byte %d: %s", e.Offset, e.What)
	}
	return fmt.Sprintf("wire: record %d, byte %d: %s", e.Record, e.Offset, e.What)
}

// Hello starts a controller.
type Hello struct {
	Seed     uint64
	Settings string
}

// Record is one event of a batch. Hello is set, or Killed, or else Event.
type Record struct {
	Controller uint32
	Offset     int
	Hello      *Hello
	Killed     bool
	Event      tinbeam.Event
}

// Batch is one decoded frame.
type Batch struct {
	Clock   time.Duration
	Records []Record
}

// Decoder decodes frames; it keeps the numbered lists that later frames refer to.
type Decoder struct {
	lists [tables][]tinbeam.Entry
	known [tables]bool
}

// ReadFrame reads one whole frame. At a clean end of input it returns io.EOF.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if n, err := io.ReadFull(r, head[:]); err == io.EOF {
		return nil, io.EOF
	} else if err != nil {
		return nil, &Error{-1, n, fmt.Sprintf("length cut short: %v", err)}
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < batchHeader {
		return nil, &Error{-1, 0, fmt.Sprintf("length %d is less than a header's %d", size, batchHeader)}
	}
	// A false length must not claim memory ahead of the bytes: read only what comes.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)-4))
	if err != nil {
		return nil, &Error{-1, 4 + len(body), err.Error()}
	}
	if len(body) != int(size)-4 {
		return nil, &Error{-1, 4 + len(body), fmt.Sprintf("input ends inside a frame of %d bytes", size)}
	}
	return append(head[:], body...), nil
}

type cursor struct {
	b      []byte
	at     int
	record int
	err    error
}

func (c *cursor) fail(at int, format string, args ...any) {
	if c.err == nil {
		c.err = &Error{c.record, at, fmt.Sprintf(format, args...)}
	}
}

func (c *cursor) take(n int) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > len(c.b)-c.at {
		c.fail(c.at, "%d bytes wanted, %d left in the frame", n, len(c.b)-c.at)
		return nil
	}
	c.at += n
	return c.b[c.at-n : c.at]
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

// f32 passes what is not finite on as it is: it is a reading, and the module judges readings.
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

// number reads an f32 that names something by number.
func (c *cursor) number(what string) int {
	at := c.at
	f := float64(c.f32())
	if c.err == nil && !(math.Abs(f) <= 1<<24) {
		c.fail(at, "%s %v is no number of a place", what, f)
		return 0
	}
	return int(f)
}

func (c *cursor) seconds(what string) time.Duration {
	at := c.at
	f := math.Float64frombits(c.u64())
	if c.err == nil && !(math.Abs(f) <= maxClock) {
		c.fail(at, "%s of %v s", what, f)
		return 0
	}
	return Seconds(f)
}

// Seconds rounds to the simulator's microseconds.
func Seconds(f float64) time.Duration {
	return time.Duration(math.Round(f*1e6)) * time.Microsecond
}

func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || c.err != nil {
		return nil
	}
	if c.at+4*n > len(c.b) {
		c.fail(c.at, "report of %d values, %d bytes left in the frame", n, len(c.b)-c.at)
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
		c.fail(0, "length %d, but the frame has %d bytes", size, len(frame))
	}
	out.Clock = c.seconds("clock")
	count := c.u32()
	if c.err == nil && int64(count)*6 > int64(len(frame)-c.at) { // the shortest record has 6 bytes
		c.fail(12, "%d records cannot fit in %d bytes", count, len(frame)-c.at)
	}
	for i := 0; c.err == nil && i < int(count); i++ {
		c.record = i
		if r, ok := d.record(c); ok && c.err == nil {
			out.Records = append(out.Records, r)
		}
	}
	if c.err == nil && c.at != len(frame) {
		c.fail(c.at, "%d bytes after the last record", len(frame)-c.at)
	}
	if c.err != nil {
		return Batch{}, c.err
	}
	return out, nil
}

func (d *Decoder) record(c *cursor) (Record, bool) {
	start := c.at
	code := c.u16()
	if code == codeDirectory {
		d.directory(c)
		return Record{}, false
	}
	if code < codeSampled || code > codeAccept {
		c.fail(start, "unknown code %d", code)
		return Record{}, false
	}
	r := Record{Controller: c.u32(), Offset: start}
	switch code {
	case codeHello:
		h := &Hello{Seed: c.u64()}
		n := c.u32()
		if c.err == nil && int64(n) > int64(len(c.b)-c.at) {
			c.fail(c.at-4, "settings of %d bytes, %d left in the frame", n, len(c.b)-c.at)
		}
		h.Settings = string(c.take(int(n)))
		r.Hello = h
	case codeKilled:
		r.Killed = true
	case codeTopology:
		t := tinbeam.Topology{Version: c.u64()}
		at := c.at
		table := c.u32()
		t.Kind = tinbeam.ListKind(c.u8())
		switch {
		case c.err != nil:
		case t.Kind > tinbeam.ListFailed:
			c.fail(at+4, "unknown kind of list %d", t.Kind)
		case t.Kind == tinbeam.ListFailed:
		case table >= tables || !d.known[table]:
			c.fail(at, "list %d was never given", table)
		default:
			t.Entries = d.lists[table]
		}
		r.Event = t
	case codeAccept:
		o := tinbeam.Offer{Ref: c.u32(), Class: int(c.u16()), Number: c.u64(), Width: float64(c.f32())}
		c.u16() // tenant
		o.TimeLeft = c.seconds("ttl")
		o.Dest = c.number("destination")
		o.Flags = c.u8()
		c.u64() // anticipated work
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

func (d *Decoder) directory(c *cursor) {
	at := c.at
	table, n := c.u32(), c.u32()
	if c.err == nil && table >= tables {
		c.fail(at, "list number %d is not below %d", table, tables)
	}
	if c.err == nil && int64(n)*entrySize > int64(len(c.b)-c.at) {
		c.fail(at+4, "list of %d entries, %d bytes left in the frame", n, len(c.b)-c.at)
	}
	if c.err != nil {
		return
	}
	list := make([]tinbeam.Entry, n) // a new slice: controllers may still read the superseded list
	for i := range list {
		e := tinbeam.Entry{Switch: c.u32(), Zone: int(c.u8())}
		c.u8() // kind of machine
		e.ExchangeNumber = int(c.u16())
		at = c.at
		e.Mode = tinbeam.Mode(c.u8())
		if e.Mode > tinbeam.Draining {
			c.fail(at, "unknown mode %d", e.Mode)
		}
		e.Weight = float64(c.f32())
		e.OnlineSince = c.seconds("start time")
		list[i] = e
	}
	d.lists[table], d.known[table] = list, true
}

// BeginReply starts a reply in dst's space; EndReply completes it.
func BeginReply(dst []byte) []byte { return append(dst[:0], 0, 0, 0, 0) }

// EndReply writes the length of a reply begun with BeginReply.
func EndReply(b []byte) []byte {
	binary.LittleEndian.PutUint32(b, uint32(len(b)))
	return b
}

// AppendAction appends one action of a controller.
func AppendAction(b []byte, controller uint32, a tinbeam.Action) []byte {
	le := binary.LittleEndian
	head := func(code uint16) { b = le.AppendUint32(le.AppendUint16(b, code), controller) }
	secs := func(d time.Duration) {
		b = le.AppendUint64(b, math.Float64bits(float64(d/time.Microsecond)/1e6))
	}
	text := func(s string, most int) {
		if len(s) > most {
			s = s[:most]
		}
		b = append(le.AppendUint16(b, uint16(len(s))), s...)
	}
	switch a := a.(type) {
	case tinbeam.Attempt:
		head(256)
		b = le.AppendUint32(le.AppendUint32(b, a.Ref), a.Switch)
		secs(a.Timeout)
	case tinbeam.Decline:
		head(257)
		b = le.AppendUint32(b, a.Ref)
		secs(a.RetryAfter)
	case tinbeam.GiveUp:
		head(258)
		b = le.AppendUint32(b, a.Ref)
	case tinbeam.Withdraw:
		head(259)
		b = append(le.AppendUint32(b, a.Ref), uint8(a.Try))
	case tinbeam.Schedule:
		head(260)
		secs(a.After)
		b = le.AppendUint64(b, a.Handle)
	case tinbeam.AskLoad:
		head(261)
		b = le.AppendUint32(b, a.Switch)
	case tinbeam.Note:
		head(264)
		text(a.Text, math.MaxUint16)
	case tinbeam.BailOut:
		head(265)
		text(a.Text, math.MaxUint16)
	case tinbeam.StreamChanges:
		head(266)
		active := uint8(0)
		if a.Active {
			active = 1
		}
		b = append(b, active)
	case tinbeam.Lookup:
		head(267)
	default:
		panic(fmt.Sprintf("wire: action %T has no code", a))
	}
	return b
}
