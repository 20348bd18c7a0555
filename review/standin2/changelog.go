package main

import (
	"cmp"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// changeLog is a stand-in for the change log, with one event after those that the configuration has.
type changeLog struct {
	run      *run
	listener net.Listener

	mu     sync.Mutex
	events []listing     // the events from number 2 on, of one change each
	slow   time.Duration // how long a frame with a change takes to be written; 0: it is written at once
}

func (r *run) newChangeLog() *changeLog {
	l, err := net.Listen("tcp", newHost()+":0")
	r.need(err == nil, "the change log cannot listen: %v", err)
	r.atEnd(func() { l.Close() })
	log := &changeLog{run: r, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go log.serve(c)
		}
	}()
	return log
}

func (l *changeLog) addr() string { return l.listener.Addr().String() }

// add appends a change.
func (l *changeLog) add(change listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, change)
	l.run.note("change log: event %d stands in it: s-%08x, state %d, started %d", len(l.events)+1, change.id, change.state, change.started)
}

func frame(seq uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, seq), kind), payload...)
}

func (l listing) record() []byte {
	b := binary.BigEndian.AppendUint32(nil, l.id)
	at := netip.MustParseAddrPort(l.addr)
	host := at.Addr().As4()
	b = binary.BigEndian.AppendUint16(append(b, host[:]...), at.Port())
	b = append(b, l.state, byte(cmp.Or(l.zone, 1)), 0)
	b = binary.BigEndian.AppendUint16(b, uint16(l.exchange))
	b = binary.BigEndian.AppendUint32(b, 1000)
	return binary.BigEndian.AppendUint64(b, uint64(l.started))
}

// serve tells an agent all events after the one that it names, and sends an empty frame each second.
func (l *changeLog) serve(c net.Conn) {
	defer c.Close()
	var request [8]byte
	if _, err := io.ReadFull(c, request[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(request[:])
	l.run.note("change log: an agent connects, its last event is %d", last)
	sentAt := time.Now()
	for {
		l.mu.Lock()
		var event *listing
		if i := int(last) - 1; i >= 0 && i < len(l.events) {
			event = &l.events[i]
		}
		slow := l.slow
		l.mu.Unlock()
		switch {
		case event != nil:
			b := frame(last+1, 2, event.record())
			for len(b) > 0 && slow > 0 { // a byte at a time
				if _, err := c.Write(b[:1]); err != nil {
					l.run.note("change log: the agent has left within event %d", last+1)
					return
				}
				b = b[1:]
				time.Sleep(slow / 40)
			}
			if _, err := c.Write(b); err != nil {
				return
			}
			last++
			l.run.note("change log: event %d is written whole", last)
			sentAt = time.Now()
		case time.Since(sentAt) >= time.Second:
			if _, err := c.Write(frame(last, 0, nil)); err != nil {
				return
			}
			sentAt = time.Now()
		default:
			time.Sleep(5 * time.Millisecond)
		}
	}
}
