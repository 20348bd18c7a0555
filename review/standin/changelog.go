package main

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The states of a far end in the list.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 2
)

// changeLog is a stand-in for the change log.
type changeLog struct {
	record   *record
	addr     string
	listener net.Listener
	mu       sync.Mutex
	first    uint64   // number of the last event in the configuration
	frames   [][]byte // the events after it
	texts    []string
}

func newChangeLog(r *record, first uint64) (*changeLog, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &changeLog{record: r, addr: ln.Addr().String(), listener: ln, first: first}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// frame returns a frame of the change log.
func frame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// change adds an event that changes the state of a far end, and returns its time.
func (l *changeLog) change(f *farEnd, state byte, text string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	addr := netip.MustParseAddrPort(f.addr)
	ip := addr.Addr().As4()
	b := binary.BigEndian.AppendUint32(nil, f.id)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, addr.Port())
	b = append(b, state, 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(f.exchange))
	b = binary.BigEndian.AppendUint32(b, 1000)
	b = binary.BigEndian.AppendUint64(b, 0)
	number := l.first + uint64(len(l.frames)) + 1
	l.frames = append(l.frames, frame(number, 2, b))
	l.texts = append(l.texts, text)
	return l.record.add("changelog", "event %d: %s %s", number, f.name(), text)
}

// serve sends all events after the one that the agent names, and an empty frame each second.
func (l *changeLog) serve(c net.Conn) {
	defer c.Close()
	b := make([]byte, 8)
	if _, err := io.ReadFull(c, b); err != nil {
		return
	}
	sent := binary.BigEndian.Uint64(b)
	l.record.add("changelog", "connection from the agent, which has event %d", sent)
	go func() {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
	var last time.Time
	for ; ; time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		var out []byte
		if i := int(sent) - int(l.first); i < len(l.frames) {
			out = l.frames[i]
			sent++
			l.record.add("changelog", "event %d written", sent)
		} else if time.Since(last) >= time.Second {
			out = frame(sent, 0, nil)
		}
		l.mu.Unlock()
		if out == nil {
			continue
		}
		last = time.Now()
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}
