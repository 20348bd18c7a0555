package main

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	maxWaitingLines = 2048                   // lines of the log that wait for a reader
	syncTimeout     = 100 * time.Millisecond // how long the end of the program waits for the log
)

// logWriter writes lines on a goroutine of its own, so that a reader of the log who does not read never makes the agent wait.
// Lines beyond maxWaitingLines are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped interface{ Inc() }
	waiting atomic.Int64 // lines queued and not written yet
}

// newLogWriter returns a logWriter that writes to out and counts dropped lines in dropped.
func newLogWriter(out io.Writer, dropped interface{ Inc() }) *logWriter {
	w := &logWriter{lines: make(chan []byte, maxWaitingLines), dropped: dropped}
	go func() {
		for line := range w.lines {
			_, _ = out.Write(line) // without a reader there is nobody to tell
			w.waiting.Add(-1)
		}
	}()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	w.waiting.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.waiting.Add(-1)
		w.dropped.Inc()
	}
	return len(line), nil
}

// Sync waits until all lines have been written, for syncTimeout at most.
func (w *logWriter) Sync() error {
	for end := time.Now().Add(syncTimeout); w.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
