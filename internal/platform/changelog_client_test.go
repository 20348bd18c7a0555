package platform

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
	"tinbeam/internal/metrics"
)

// changeLogServer is a stand-in for the change log; serve is called for each connection, after its request was read.
func changeLogServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, 8)); err == nil {
					serve(c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// deltaFrame returns a frame that drains far end 7.
func deltaFrame(seq uint64) []byte {
	record := make([]byte, 27)
	binary.BigEndian.PutUint32(record, 7)
	record[10] = 1 // draining
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(record)))
	b = append(binary.BigEndian.AppendUint64(b, seq), changelog.Delta)
	return append(b, record...)
}

func keepAliveFrame(seq uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, 9)
	return append(binary.BigEndian.AppendUint64(b, seq), changelog.KeepAlive)
}

// appliedAfter follows the change log at an address, and returns the time until its first event was applied.
func appliedAfter(t *testing.T, addr string) time.Duration {
	t.Helper()
	set := tinbeam.Settings{Classes: []tinbeam.Class{{Name: "check", AnswerTarget: time.Second, HardLimit: 3 * time.Second}}}
	counters := metrics.New()
	core := agent.New(agent.NewLoop(agent.SystemClock()), set, 1, 64<<20, counters, zap.NewNop(), nil)
	farEnds := NewFarEnds(core, zap.NewNop(), time.Second, func() {})
	NewChangeLogClient(core, farEnds, zap.NewNop(), addr, 0, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go core.Run(ctx)
	start := time.Now()
	for counters.ListEvents.Value() == 0 {
		if time.Since(start) > testTimeout {
			t.Fatal("the event was not applied")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// toldAtLatest is when a change counts as told: that long after the change log had it and could be reached.
const toldAtLatest = 6 * time.Second

// Guards against drains that an agent never learns of: frames that come slowly, in pieces, must get through although each takes
// longer than the change log is silent between two frames.
func TestSlowFramesOfTheChangeLog(t *testing.T) {
	addr := changeLogServer(t, func(c net.Conn) {
		for _, b := range deltaFrame(1) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(80 * time.Millisecond)
		}
		_, _ = io.Copy(io.Discard, c)
	})
	if took := appliedAfter(t, addr); took > toldAtLatest {
		t.Errorf("the event was applied after %v", took)
	}
}

// Guards against an agent that waits forever for the rest of a frame whose length was spoilt, while other frames follow.
func TestFrameWithSpoiltLength(t *testing.T) {
	var connections atomic.Int32
	addr := changeLogServer(t, func(c net.Conn) {
		if connections.Add(1) > 1 {
			_, _ = c.Write(deltaFrame(1))
			_, _ = io.Copy(io.Discard, c)
			return
		}
		frame := deltaFrame(1)
		binary.BigEndian.PutUint32(frame, 1<<18)
		for ; frame != nil; frame = keepAliveFrame(1) {
			if _, err := c.Write(frame); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	})
	if took := appliedAfter(t, addr); took > toldAtLatest {
		t.Errorf("the event was applied after %v", took)
	}
}

// Guards against drains that an agent never learns of: what the change log sends may be late by longer than a connection may be silent.
func TestLateChangeLog(t *testing.T) {
	for _, late := range []time.Duration{3 * time.Second, 5 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			t.Parallel()
			addr := changeLogServer(t, func(c net.Conn) {
				time.Sleep(late)
				_, _ = c.Write(deltaFrame(1))
				_, _ = io.Copy(io.Discard, c)
			})
			if took := appliedAfter(t, addr); took > toldAtLatest {
				t.Errorf("the event was applied after %v", took)
			}
		})
	}
}
