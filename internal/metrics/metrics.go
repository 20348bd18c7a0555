// Package metrics holds the counters and gauges of the agent. They are printed on request and at exit, and pushed by
// Prometheus remote write under the same names.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Counter is a counter, whose value only grows, or a gauge if Gauge is true: then its value may also fall, and be set.
type Counter struct {
	Name, Help string
	Gauge      bool
	value      atomic.Int64
}

// Inc adds one to the value.
func (c *Counter) Inc() { c.value.Add(1) }

// Add adds n to the value; n is negative for a gauge, and to take back what was counted too early.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Set sets the value of a gauge.
func (c *Counter) Set(n int64) { c.value.Store(n) }

// Value returns the current value.
func (c *Counter) Value() int64 { return c.value.Load() }

// Set holds all metrics of one agent. New gives each its name and help text.
type Set struct {
	Offered, Answered, Refused, Failed, Abandoned, Released                   *Counter
	Established, Pending, QueueLength                                         *Counter
	Attempts, AttemptsFull, AttemptsFailed, AttemptsTimeout                   *Counter
	AttemptsReset, AttemptsUnreached, AttemptsWithdrawn                       *Counter
	Probes, Reports, Launches                                                 *Counter
	FarEndsListed, FarEndsAvoided, Drains                                     *Counter
	LinksUp, LinksLost, DialsFailed, IdleLinks                                *Counter
	StalledLinks, FreshLinks                                                  *Counter
	ListEvents, ListGaps, ListReconnects                                      *Counter
	Reloads, ReloadsFailed                                                    *Counter
	Malformed, StrayMessages, Duplicates                                      *Counter
	CallerConnections, CallersTimedOut, CallersEvicted, RateLimited           *Counter
	Violations, Panics, LateAnswers                                           *Counter
	PluginCalls, PluginRefusals, PluginFailures                               *Counter
	MGCPIn, MGCPOut, MGCPResent, MGCPReplayed, MGCPRestarts                   *Counter
	PushesOK, PushesFailed                                                    *Counter
	MemoryInUse, Goroutines                                                   *Counter
	StaleLines, AttemptsAmbiguous, LinksFlooded, ListFlooded                  *Counter
	MGCPDropped, LogDropped, AttemptsHeld, ReleasesDropped                    *Counter
	ReleasesRefused, ReleasesUnconfirmed, MGCPDeletesRefused, FarEndsReplaced *Counter

	all     []*Counter
	mu      sync.Mutex
	classes map[string]*Class
}

// Class holds the counters of one call class. A set has one for each class that the settings have named.
type Class struct{ Answered, Refused, Failed Counter }

// Class returns the counters of the named call class, and creates them on first use.
func (s *Set) Class(name string) *Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.classes[name]
	if c == nil {
		c = &Class{}
		s.classes[name] = c
	}
	return c
}

// Classes returns the names of the call classes in sorted order.
func (s *Set) Classes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.classes))
}

// New returns a set with all metrics at zero.
func New() *Set {
	s := &Set{classes: map[string]*Class{}}
	add := func(p **Counter, name, help string) {
		*p = &Counter{Name: "tinbeam_" + name, Help: help}
		s.all = append(s.all, *p)
	}
	gauge := func(p **Counter, name, help string) {
		add(p, name, help)
		(*p).Gauge = true
	}
	add(&s.Offered, "calls_offered_total", "calls taken in")
	add(&s.Answered, "calls_answered_total", "calls that stood")
	add(&s.Refused, "calls_refused_total", "calls refused: trying again is harmless")
	add(&s.Failed, "calls_failed_total", "calls that ended as failed")
	add(&s.Abandoned, "calls_abandoned_total", "calls given up by their callers before the answer")
	add(&s.Released, "calls_released_total", "standing calls that came to an end")
	gauge(&s.Established, "calls_standing", "calls that stand now")
	gauge(&s.Pending, "calls_pending", "calls that wait for their final answer now")
	gauge(&s.QueueLength, "core_queue_length", "events that wait for the core")
	add(&s.Attempts, "attempts_total", "set-ups handed to a far end")
	add(&s.AttemptsFull, "attempts_full_total", "attempts that never ran: no circuit, turned back or full")
	add(&s.AttemptsFailed, "attempts_failed_total", "attempts that ended as an error")
	add(&s.AttemptsTimeout, "attempts_timed_out_total", "attempts given up for want of an answer")
	add(&s.AttemptsReset, "attempts_reset_total", "attempts that broke on their way")
	add(&s.AttemptsUnreached, "attempts_unreached_total", "attempts for which no connection came up")
	add(&s.AttemptsWithdrawn, "attempts_taken_back_total", "set-ups withdrawn before a byte was written")
	add(&s.Launches, "launches_total", "set-ups written whole towards a far end")
	gauge(&s.FarEndsListed, "far_ends_listed", "far ends in the list now")
	gauge(&s.FarEndsAvoided, "far_ends_avoided", "of them, those that get trial calls only")
	add(&s.Drains, "drains_total", "times operators had callers sent away")
	add(&s.Probes, "probes_total", "tests sent to far ends")
	add(&s.Reports, "reports_total", "load and group reports heard")
	add(&s.LinksUp, "links_up_total", "connections opened to far ends")
	add(&s.LinksLost, "links_lost_total", "connections to far ends that ended")
	add(&s.DialsFailed, "dials_failed_total", "connections to far ends that did not come up")
	add(&s.IdleLinks, "links_silent_total", "connections closed because nothing was heard on them")
	add(&s.StalledLinks, "links_stuck_total", "connections closed because they stayed open and were of no more use")
	add(&s.FreshLinks, "links_fresh_total", "connections to far ends asked for since a lost one may have taken releases with it")
	add(&s.FarEndsReplaced, "far_ends_replaced_total", "processes of far ends found replaced by the circuits that are free there")
	add(&s.ListEvents, "list_events_total", "events of the change log applied")
	add(&s.ListGaps, "list_gaps_total", "events of the change log that were missed or came twice")
	add(&s.ListReconnects, "list_reconnects_total", "connections opened to the change log")
	add(&s.Reloads, "reloads_total", "times the configuration was read anew")
	add(&s.ReloadsFailed, "reloads_failed_total", "times the configuration read anew could not be used")
	add(&s.Malformed, "malformed_total", "messages that could not be read")
	add(&s.StrayMessages, "stray_total", "messages about calls or transactions that are not known")
	add(&s.Duplicates, "repeated_total", "messages that came again and were not acted on twice")
	gauge(&s.CallerConnections, "caller_connections", "connections that callers hold now")
	add(&s.CallersTimedOut, "callers_silent_total", "callers' connections closed since no whole message came in time")
	add(&s.CallersEvicted, "callers_evicted_total", "callers' connections without a set-up closed to make room")
	add(&s.RateLimited, "flooded_total", "set-ups refused at the door since a connection, or all together, sent too many")
	add(&s.Violations, "violations_total", "conditions that must hold and did not")
	add(&s.Panics, "panics_total", "panics that were recovered: decisions, events and input whose handling failed")
	add(&s.LateAnswers, "late_answers_total",
		"final answers that the core gave itself, at the deadline, at the end, or to callers sent away")
	add(&s.PluginCalls, "plugin_calls_total", "events shown to the plug-in")
	add(&s.PluginRefusals, "plugin_refusals_total", "calls that the plug-in refused")
	add(&s.PluginFailures, "plugin_failures_total", "plug-in calls that failed or ran too long")
	add(&s.MGCPIn, "mgcp_commands_in_total", "MGCP commands taken in")
	add(&s.MGCPOut, "mgcp_commands_out_total", "MGCP commands sent")
	add(&s.MGCPResent, "mgcp_resent_total", "MGCP commands sent again")
	add(&s.MGCPReplayed, "mgcp_replayed_total", "MGCP commands answered from the response cache")
	add(&s.MGCPRestarts, "mgcp_restarts_total", "RSIP messages from gateways")
	add(&s.MGCPDeletesRefused, "mgcp_deletes_refused_total", "DLCX commands that a gateway refused for the time being, which were sent again")
	add(&s.PushesOK, "remote_writes_total", "remote writes accepted")
	add(&s.StaleLines, "stale_lines_total", "lines from far ends about an earlier attempt of a call, which were ignored")
	add(&s.AttemptsAmbiguous, "attempts_ambiguous_total",
		"attempts given up since a release may have been theirs or an earlier attempt's")
	add(&s.AttemptsHeld, "attempts_held_total", "attempts that waited since the release of an earlier one could not be sent yet")
	add(&s.ReleasesDropped, "releases_dropped_total", "releases that were lost since too many waited for a connection to their far end")
	add(&s.ReleasesRefused, "releases_refused_total", "releases that a caller refused, which were sent again")
	add(&s.ReleasesUnconfirmed, "releases_unconfirmed_total", "releases that no caller confirmed in time")
	add(&s.LinksFlooded, "links_flooded_total", "connections to far ends closed since lines came faster than they were handled")
	add(&s.ListFlooded, "list_flooded_total", "connections to the change log closed since events came faster than they were handled")
	add(&s.MGCPDropped, "mgcp_dropped_total", "MGCP datagrams dropped since they came faster than they were handled")
	add(&s.LogDropped, "log_lines_dropped_total", "lines of the log dropped since its reader did not read")
	gauge(&s.MemoryInUse, "memory_bytes", "memory that the Go runtime holds from the system now")
	gauge(&s.Goroutines, "goroutines", "goroutines now")
	add(&s.PushesFailed, "remote_writes_failed_total", "remote writes that failed")
	return s
}

// All returns all metrics except those per call class, in a fixed order.
func (s *Set) All() []*Counter { return s.all }

// Print writes all metrics in the Prometheus text format.
func (s *Set) Print(w io.Writer) {
	for _, c := range s.all {
		kind := "counter"
		if c.Gauge {
			kind = "gauge"
		}
		fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n%s %d\n", c.Name, c.Help, c.Name, kind, c.Name, c.Value())
	}
	for i, c := range []struct{ name, help string }{{"answered", "calls of a class that stood"},
		{"refused", "calls of a class that were refused"}, {"failed", "calls of a class that ended as failed"}} {
		name := "tinbeam_class_" + c.name + "_total"
		fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n", name, c.help, name)
		for _, class := range s.Classes() {
			k := s.Class(class)
			fmt.Fprintf(w, "%s{class=%q} %d\n", name, class, [...]*Counter{&k.Answered, &k.Refused, &k.Failed}[i].Value())
		}
	}
}
