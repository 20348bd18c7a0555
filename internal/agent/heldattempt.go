package agent

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"tinbeam"
)

// This file holds a call's next attempt back until the release of the earlier ones has been sent. An attempt whose connection is lost
// may have been answered, and the answer lost: then its call stands at its far end until the release arrives there, and a second one
// beside it, at whichever far end, would run twice.

// heldAttempt is an attempt that the decision module has asked for and that has not been started.
type heldAttempt struct {
	call   *Call
	action tinbeam.Attempt
	try    int
	start  *Timer // runs once the releases have been sent
	expiry *Timer // ends it as one for which no connection came up
}

// mayStartAt returns the earliest time of the call's next attempt, as far as the releases of its earlier ones are concerned. It reports
// false while one of them has not been sent.
func (c *Core) mayStartAt(k *Call) (at time.Duration, sent bool) {
	for p := k.lastAttempt; p != nil; p = p.Previous {
		releasedAt, released := p.side.ReleasedAt(p)
		if !released {
			return 0, false
		}
		if releasedAt > p.EndedAt { // it was sent late, and the far end needs its time
			at = max(at, releasedAt+c.Settings.ReleaseDelay)
		}
	}
	return at, true
}

// hold keeps an attempt back, for at most the time that it may take.
func (c *Core) hold(k *Call, action tinbeam.Attempt, try int, left time.Duration) {
	h := &heldAttempt{call: k, action: action, try: try}
	k.held = h
	c.heldAttempts[k.ref] = h
	c.Metrics.AttemptsHeld.Inc()
	if e := c.log.Check(zap.DebugLevel, "attempt held back"); e != nil {
		e.Write(zap.String("call", k.ID), zap.Int("try", try), zap.Duration("at most", left))
	}
	h.expiry = c.After(left, func() {
		c.dropHeld(k)
		c.notify(tinbeam.Outcome{Ref: k.ref, Try: try, Switch: action.Switch, Code: tinbeam.ConnectFailed, Note: tinbeam.NoteLinkLost})
	})
	c.scheduleHeld(h)
}

// scheduleHeld starts the timer of a held attempt if the releases that it waits for have been sent.
func (c *Core) scheduleHeld(h *heldAttempt) {
	c.Stop(h.start)
	at, sent := c.mayStartAt(h.call)
	if !sent {
		return
	}
	h.start = c.At(max(at, c.Now()), func() {
		c.dropHeld(h.call)
		c.startAttempt(h.call, h.action, h.try)
	})
}

// dropHeld forgets the held attempt of a call, if there is one, and returns it.
func (c *Core) dropHeld(k *Call) *heldAttempt {
	h := k.held
	if h == nil {
		return nil
	}
	k.held = nil
	delete(c.heldAttempts, k.ref)
	c.Stop(h.start)
	c.Stop(h.expiry)
	return h
}

// ReleasesSent tells the core that a far-end side has sent releases that waited, or need not send them any more.
func (c *Core) ReleasesSent() {
	for _, ref := range slices.Sorted(maps.Keys(c.heldAttempts)) {
		c.scheduleHeld(c.heldAttempts[ref])
	}
}
