package faultrig

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// EventKind names what an Event reports.
type EventKind string

// The kinds of event. Each names the party that saw it.
const (
	// Far ends and the proxies before them.
	SetUpWritten   EventKind = "setup_written"   // the first byte of a set-up left the agent
	SetUpArrived   EventKind = "setup_arrived"   // a set-up arrived whole at a far end
	AttemptEnded   EventKind = "attempt_ended"   // the far end wrote the end of an attempt, or lost it; Value is the cause it wrote
	AttemptGivenUp EventKind = "attempt_givenup" // the agent gave an attempt up
	DescribedBy    EventKind = "described"       // a far end made a description for a call; Note is the description
	CallEnded      EventKind = "call_ended"      // an established call ended at its far end; Note is its description
	FarReleased    EventKind = "far_released"    // a far end's release was passed on to the agent
	AgentReleased  EventKind = "agent_released"  // an agent's release of an established call arrived at a far end

	// Callers.
	RequestTaken    EventKind = "request_taken"    // the last byte of a set-up was written to an open connection; Note is its class
	RequestMoved    EventKind = "request_moved"    // a set-up crossed the close of its connection and is sent again
	RequestGivenUp  EventKind = "request_givenup"  // the caller cancelled, or closed the connection
	FinalAnswer     EventKind = "final_answer"     // Value is the status, Note the description
	ConnectionEnded EventKind = "connection_ended" // a connection with the request unanswered ended; Note says how
	ReleaseHeard    EventKind = "release_heard"    // a BYE arrived at a caller
	CallerHangup    EventKind = "caller_hangup"    // a caller sent a BYE
	CallersLeave    EventKind = "callers_leave"    // at the end of the run, the callers close their connections
	HangupHeard     EventKind = "hangup_heard"     // the agent confirmed a caller's BYE

	// The change log.
	ListChanged   EventKind = "list_changed"   // Value is the sequence number, Note the state of FarEnd
	ListDelivered EventKind = "list_delivered" // an event was written to a connection that the agent held; Value is the sequence number
	DiscoveryDown EventKind = "discovery_down"
	DiscoveryUp   EventKind = "discovery_up"

	// Processes of the agent.
	ProcessStarted EventKind = "process_started" // Value is the process ID
	SignalSent     EventKind = "signal_sent"     // Note is the signal
	ProcessEnded   EventKind = "process_ended"   // Note is the state of the process
	ResourceUse    EventKind = "resource_use"    // the peaks of a process: Value in bytes, Descriptors in number

	FaultInjected EventKind = "fault" // Note says which
)

// Event is one observation of a run.
type Event struct {
	At          time.Duration `json:"at"` // since the start of the run, in nanoseconds
	Kind        EventKind     `json:"kind"`
	Agent       string        `json:"agent,omitempty"`
	FarEnd      string        `json:"far,omitempty"`
	Call        string        `json:"call,omitempty"`
	Connection  uint64        `json:"conn,omitempty"`
	Value       int64         `json:"value,omitempty"`
	Descriptors int           `json:"descriptors,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"` // of a request, since the start of the run
	Note        string        `json:"note,omitempty"`
}

// Recorder collects the events of a run from all its parties, with one clock.
type Recorder struct {
	start  time.Time
	mu     sync.Mutex
	events []Event
	lastID uint64
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the time since the start of the run.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event. Its time is set to now if it has none.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 {
		e.At = r.Now()
	}
	r.events = append(r.events, e)
}

// NextID returns a number that identifies a connection.
func (r *Recorder) NextID() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return r.lastID
}

// Events returns a copy of all events so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// writeEvents writes events to a file, one JSON object per line.
func writeEvents(path string, events []Event) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return w.Flush()
}
