package faultrig

import (
	"encoding/binary"
	"fmt"
	"io"
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
	kindDelta       = 2
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

// frame returns the event that brings the listing, as a frame of the change log.
func (l listing) frame(seq uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, frameHeaderSize+27)
	b = binary.BigEndian.AppendUint64(b, seq)
	b = append(b, kindDelta)
	b = binary.BigEndian.AppendUint32(b, l.ID)
	addr := l.Addr.Addr().As4()
	b = append(b, addr[:]...)
	b = binary.BigEndian.AppendUint16(b, l.Addr.Port())
	b = append(b, stateNumbers[l.State], 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(l.Exchange))
	b = binary.BigEndian.AppendUint32(b, 1000)
	return binary.BigEndian.AppendUint64(b, uint64(l.StartedAtMs))
}

// changeLog is the numbered log of changes. Several servers may serve it.
type changeLog struct {
	recorder *Recorder
	mu       sync.Mutex
	entries  []listing
	first    uint64 // number of the last event before entries
}

func newChangeLog(first uint64, recorder *Recorder) *changeLog {
	return &changeLog{recorder: recorder, first: first}
}

// add appends a change.
func (l *changeLog) add(e listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	l.recorder.Add(Event{Kind: ListChanged, FarEnd: e.name(), Value: int64(l.first) + int64(len(l.entries)), Note: e.State})
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
)

// discovery is a server of the change log for one agent.
type discovery struct {
	agent    string
	log      *changeLog
	port     int
	mu       sync.Mutex
	mode     discoveryMode
	listener net.Listener
	conns    []net.Conn
}

func newDiscovery(agent string, log *changeLog) (*discovery, error) {
	d := &discovery{agent: agent, log: log}
	return d, d.listen()
}

func (d *discovery) addr() string { return fmt.Sprintf("127.0.0.1:%d", d.port) }

func (d *discovery) listen() error {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", d.port))
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener, d.port = ln, ln.Addr().(*net.TCPAddr).Port
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
	if mode != discoveryServes && before == discoveryServes {
		d.log.recorder.Add(Event{Kind: DiscoveryDown, Agent: d.agent})
	}
	if mode != discoveryDown && before == discoveryDown {
		if err := d.listen(); err != nil {
			return err
		}
	}
	if mode == discoveryServes && before != discoveryServes {
		d.log.recorder.Add(Event{Kind: DiscoveryUp, Agent: d.agent})
	}
	return nil
}

func (d *discovery) serves() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode == discoveryServes
}

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
	if !d.serves() { // a watch that was opened in silence stays silent
		_, _ = io.Copy(io.Discard, c)
		return
	}
	next := binary.BigEndian.Uint64(request) + 1
	lastSent := time.Now()
	for {
		if !d.serves() { // open watches fall silent, and stay so
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
		if _, err := c.Write(frame); err != nil {
			return
		}
		lastSent = time.Now()
		d.log.recorder.Add(Event{Kind: ListDelivered, Agent: d.agent, Value: int64(next - 1)})
	}
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
