package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what the parties of a play sent, received and ran, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// now returns the time since the start of the play.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes a line and returns its time.
func (r *record) add(who, format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start)
	fmt.Fprintf(r.file, "%9.4f %-8s %s\n", at.Seconds(), who, fmt.Sprintf(format, args...))
	return at
}

// sleepUntil waits until a time of the play.
func (r *record) sleepUntil(at time.Duration) { time.Sleep(at - r.now()) }

func (r *record) close() { _ = r.file.Close() }
