package faultrig

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// The states of a far end in the change log, as ListChanged events name them.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

var stateNumbers = map[string]byte{stateReady: 0, stateDraining: 1, stateGone: 2}

const (
	frameHeaderSize = 9
	keepAlive       = time.Second
	kindKeepAlive   = 0
	kindWhole       = 1
	kindDelta       = 2
	recordSize      = 27
)

// listing is the entry of a far end in the list.
type listing struct {
	ID          uint32
	Addr        netip.AddrPort
	Exchange    int
	State       string
	StartedAtMs int64
}

func (l listing) name() string { return fmt.Sprintf("s-%08x", l.ID) }

// appendRecord appends the listing as a record of a frame.
func (l listing) appendRecord(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, l.ID)
	addr := l.Addr.Addr().As4()
	b = append(b, addr[:]...)
	b = binary.BigEndian.AppendUint16(b, l.Addr.Port())
	b = append(b, stateNumbers[l.State], 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(l.Exchange))
	b = binary.BigEndian.AppendUint32(b, 1000)
	return binary.BigEndian.AppendUint64(b, uint64(l.StartedAtMs))
}

// listEvent is an event of the change log: the listings that changed, or the whole list.
type listEvent struct {
	whole    bool
	listings []listing
}

// frame returns the event as a frame of the change log.
func (e listEvent) frame(seq uint64) []byte {
	kind := byte(kindDelta)
	if e.whole {
		kind = kindWhole
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(frameHeaderSize+recordSize*len(e.listings)))
	b = append(binary.BigEndian.AppendUint64(b, seq), kind)
	for _, l := range e.listings {
		b = l.appendRecord(b)
	}
	return b
}

// changeLog is the numbered log of changes. Several servers may serve it.
type changeLog struct {
	recorder *Recorder
	mu       sync.Mutex
	entries  []listEvent
	first    uint64 // number of the last event before entries
}

func newChangeLog(first uint64, recorder *Recorder) *changeLog {
	return &changeLog{recorder: recorder, first: first}
}

// add appends a change, as an event of its own or, if whole is not empty, with the whole list.
func (l *changeLog) add(change listing, whole ...listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event := listEvent{listings: []listing{change}}
	if len(whole) > 0 {
		event = listEvent{whole: true, listings: slices.Clone(whole)}
	}
	l.entries = append(l.entries, event)
	l.recorder.Add(Event{Kind: ListChanged, FarEnd: change.name(), Value: int64(l.first) + int64(len(l.entries)), Note: change.State})
}

// present returns the number of the last event.
func (l *changeLog) present() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first + uint64(len(l.entries))
}

// discoveryMode says how a server of the change log behaves.
type discoveryMode int

const (
	discoveryServes discoveryMode = iota
	discoverySilent               // connections come up and stay open, and nothing is sent
	discoveryDown                 // connections are refused
	discoverySlow                 // frames come in pieces, the last one after slowFrameTime
	discoverySpoilt               // of the frames, half are spoilt or cut by a reset
)

// slowFrameTime is how long a frame takes from a slow server. A change that was written slowly counts as told when it is whole, or
// by the fixed time.
const slowFrameTime = 3 * time.Second

// discovery is a server of the change log for one agent.
type discovery struct {
	agent    string
	log      *changeLog
	address  string // on which it listens
	mu       sync.Mutex
	mode     discoveryMode
	listener net.Listener
	conns    []net.Conn
	rng      *rand.Rand
}

func newDiscovery(agent string, log *changeLog, seed uint64) (*discovery, error) {
	d := &discovery{agent: agent, log: log, address: newLoopbackAddress(), rng: rand.New(rand.NewPCG(seed, 0xd1))}
	return d, d.listen()
}

func (d *discovery) addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

func (d *discovery) listen() error {
	ln, err := net.Listen("tcp", d.addr())
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener, d.address = ln, ln.Addr().String()
	d.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return nil
}

// unreachable reports whether a server does not tell changes at all, or not reliably.
func (m discoveryMode) unreachable() bool {
	return m == discoverySilent || m == discoveryDown || m == discoverySpoilt
}

// setMode changes the behaviour of the server.
func (d *discovery) setMode(mode discoveryMode) error {
	d.mu.Lock()
	before := d.mode
	d.mode = mode
	ln, conns := d.listener, slices.Clone(d.conns)
	d.mu.Unlock()
	if mode == discoveryDown && before != discoveryDown {
		_ = ln.Close()
		for _, c := range conns {
			resetConn(c)
		}
	}
	if mode.unreachable() && !before.unreachable() {
		d.log.recorder.Add(Event{Kind: DiscoveryDown, Agent: d.agent})
	}
	if mode != discoveryDown && before == discoveryDown {
		if err := d.listen(); err != nil {
			return err
		}
	}
	if !mode.unreachable() && before.unreachable() {
		d.log.recorder.Add(Event{Kind: DiscoveryUp, Agent: d.agent})
	}
	return nil
}

func (d *discovery) presentMode() discoveryMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

func (d *discovery) silent() bool { return d.presentMode() == discoverySilent }

// serve sends all events after the one that the agent names, and a keep-alive each second.
func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	d.mu.Lock()
	d.conns = append(d.conns, c)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.conns = slices.DeleteFunc(d.conns, func(o net.Conn) bool { return o == c })
		d.mu.Unlock()
	}()
	request := make([]byte, 8)
	if _, err := io.ReadFull(c, request); err != nil {
		return
	}
	if d.silent() { // a watch that was opened in silence stays silent
		_, _ = io.Copy(io.Discard, c)
		return
	}
	next := binary.BigEndian.Uint64(request) + 1
	lastSent := time.Now()
	readable := true // no frame was spoilt yet
	for {
		if d.silent() { // open watches fall silent, and stay so
			_, _ = io.Copy(io.Discard, c)
			return
		}
		frame := d.nextFrame(&next)
		if frame == nil && time.Since(lastSent) >= keepAlive {
			frame = binary.BigEndian.AppendUint32(nil, frameHeaderSize)
			frame = append(binary.BigEndian.AppendUint64(frame, next-1), kindKeepAlive)
		}
		if frame == nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		writing, err := d.writeFrame(c, frame)
		if err != nil {
			return
		}
		lastSent = time.Now()
		readable = readable && writing.intact
		if readable && established(c) { // else the agent had left the connection, and never gets what was written
			d.log.recorder.Add(Event{At: writing.lastPieceAt, Kind: ListDelivered, Agent: d.agent, Value: int64(next - 1)})
		}
	}
}

// frameWriting says how a frame was written.
type frameWriting struct {
	intact      bool          // as it is
	lastPieceAt time.Duration // when the write of its last piece began: the agent may have it before that write returns
}

// writeFrame writes a frame in the way of the present mode.
func (d *discovery) writeFrame(c net.Conn, frame []byte) (frameWriting, error) {
	switch d.presentMode() {
	case discoverySlow:
		return d.writeSlowly(c, frame)
	case discoverySpoilt:
		if fault := d.drawSpoiltFrame(); fault != frameIntact {
			return frameWriting{}, writeSpoilt(c, frame, fault)
		}
	}
	return d.writeLastPiece(c, frame)
}

// writeSlowly writes a frame in pieces.
func (d *discovery) writeSlowly(c net.Conn, frame []byte) (frameWriting, error) {
	const pieces = 10
	for i := range pieces - 1 {
		from, till := i*len(frame)/pieces, (i+1)*len(frame)/pieces
		if _, err := c.Write(frame[from:till]); err != nil {
			return frameWriting{}, err
		}
		time.Sleep(slowFrameTime / pieces)
	}
	return d.writeLastPiece(c, frame[(pieces-1)*len(frame)/pieces:])
}

// writeLastPiece writes what is left of a frame.
func (d *discovery) writeLastPiece(c net.Conn, rest []byte) (frameWriting, error) {
	writing := frameWriting{intact: true, lastPieceAt: d.log.recorder.Now()}
	_, err := c.Write(rest)
	return writing, err
}

// spoiltFrame says how a frame is spoilt.
type spoiltFrame int

const (
	frameIntact      spoiltFrame = iota
	frameCutShort                // half of it, then a reset
	frameTooLong                 // its length is larger than the frame: what follows looks like its rest
	frameTooLarge                // its length is larger than any frame's
	frameUnknownKind             // no such kind exists
	spoiltFrames
)

// drawSpoiltFrame spoils half of the frames.
func (d *discovery) drawSpoiltFrame() spoiltFrame {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rng.IntN(2) == 0 {
		return frameIntact
	}
	return spoiltFrame(d.rng.IntN(int(spoiltFrames)))
}

func writeSpoilt(c net.Conn, frame []byte, fault spoiltFrame) error {
	frame = slices.Clone(frame)
	switch fault {
	case frameCutShort:
		_, _ = c.Write(frame[:len(frame)/2])
		resetConn(c)
		return net.ErrClosed
	case frameTooLong:
		binary.BigEndian.PutUint32(frame, 1<<18)
	case frameTooLarge:
		binary.BigEndian.PutUint32(frame, 1<<31)
	case frameUnknownKind:
		frame[4+frameHeaderSize-1] = 9
	}
	_, err := c.Write(frame)
	return err
}

// nextFrame returns the frame of the event with the number next, and counts it up; nil: there is none yet.
func (d *discovery) nextFrame(next *uint64) []byte {
	l := d.log
	l.mu.Lock()
	defer l.mu.Unlock()
	i := int(*next - l.first - 1)
	if i < 0 || i >= len(l.entries) {
		return nil
	}
	*next++
	return l.entries[i].frame(*next - 1)
}

// close stops the server.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.listener.Close()
	for _, c := range d.conns {
		resetConn(c)
	}
}
