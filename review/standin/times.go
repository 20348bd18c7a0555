package main

import (
	"sync"
	"time"
)

// times holds a time for each call.
type times struct {
	mu sync.Mutex
	at map[string]time.Duration
}

func newTimes() *times { return &times{at: map[string]time.Duration{}} }

func (t *times) get(id string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.at[id]
	return at, ok
}

// first records the time of a call unless it has one.
func (t *times) first(id string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.at[id]; !ok {
		t.at[id] = at
	}
}
