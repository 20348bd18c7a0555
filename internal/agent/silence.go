package agent

import "time"

// The times of silence of a peer that has calls. They are bound by the time in which a call has to be released after its end, 8 s.
const (
	SilenceInterval     = 250 * time.Millisecond  // how often the silence of peers is examined
	HealthCheckDelay    = 2 * time.Second         // silence before a health check
	UnresponsiveTimeout = 5 * time.Second         // silence that means failure
	checkTimeout        = 2500 * time.Millisecond // least time to answer a health check
)

// Silence measures for how long a peer has said nothing although it had something to answer. The owner restarts it with each message,
// and before the first request after a time without any. All times are those of the core's clock.
type Silence struct {
	since     time.Duration
	checkedAt time.Duration // time of a health check since which nothing was received; 0: there is none
}

// Restart counts the silence from now.
func (s *Silence) Restart(now time.Duration) { s.since, s.checkedAt = now, 0 }

// CheckSent records that a health check was sent.
func (s *Silence) CheckSent(now time.Duration) { s.checkedAt = now }

// EndCheck forgets a health check, since the peer has no calls any more.
func (s *Silence) EndCheck() { s.checkedAt = 0 }

// Since returns when the silence began.
func (s *Silence) Since() time.Duration { return s.since }

// Checked reports whether a health check has no result yet.
func (s *Silence) Checked() bool { return s.checkedAt != 0 }

// CheckAge returns how long ago the present health check was sent.
func (s *Silence) CheckAge(now time.Duration) time.Duration { return now - s.checkedAt }

// CheckDue reports whether a health check is to be sent.
func (s *Silence) CheckDue(now time.Duration) bool {
	return now-s.since > HealthCheckDelay && s.checkedAt == 0
}

// Expired reports whether the peer is to be given up: it has been silent for too long, and has not answered a health check in time.
func (s *Silence) Expired(now time.Duration) bool {
	return now-s.since > UnresponsiveTimeout && s.checkedAt != 0 && now-s.checkedAt >= checkTimeout
}

// discount takes a pause off the silence and off the age of the health check.
func (s *Silence) discount(pause, now time.Duration) {
	s.since = min(s.since+pause, now)
	if s.checkedAt != 0 {
		s.checkedAt = min(s.checkedAt+pause, now)
	}
}

// PauseDetector notices times in which the process itself did not run. What peers sent meanwhile is still to be handled, so such a time
// is no silence of theirs.
type PauseDetector struct{ ranAt time.Duration }

// Start begins to measure.
func (d *PauseDetector) Start(now time.Duration) { d.ranAt = now }

// Discount is called every SilenceInterval. If the call is late by more than that, it takes the pause off the silences, and returns it;
// otherwise it returns 0.
func (d *PauseDetector) Discount(now time.Duration, silences func(yield func(*Silence) bool)) time.Duration {
	pause := now - d.ranAt - SilenceInterval
	d.ranAt = now
	if pause <= SilenceInterval {
		return 0
	}
	for s := range silences {
		s.discount(pause, now)
	}
	return pause
}
