package platform

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/link"
)

// This file opens connections to far ends.

// dial opens a connection if there are fewer than limit. It dials outside the core's loop and posts the result.
func (x *farEnd) dial(limit int) {
	f := x.farEnds
	limit = min(limit, x.maxConns())
	if f.closed || len(x.conns) >= limit || x.mode == tinbeam.Gone || f.core.Now() < x.redialAt || !x.mayDial() {
		return
	}
	x.dials++
	x.lastDialAt = f.core.Now()
	addr, timeout := x.addr, f.dialTimeout
	c := &farConn{farEnd: x, dialedAt: x.lastDialAt}
	again := f.core.After(slowDialTime, func() {
		if f.byID[x.id] == x {
			x.dial(limit)
		}
	})
	go func() {
		l, err := link.Dial(addr, timeout, c)
		f.core.Post(func() {
			x.dials--
			f.core.Stop(again)
			x.dialed(c, l, err, addr)
		})
	}()
}

// mayDial reports whether no dial is in progress, or one that may hang.
func (x *farEnd) mayDial() bool {
	return x.dials == 0 || x.dials < maxDials && x.farEnds.core.Now()-x.lastDialAt >= slowDialTime
}

// dialed handles the result of a dial to an address.
func (x *farEnd) dialed(c *farConn, l *link.Conn, err error, addr string) {
	if err == nil && (x.addr != addr || x.farEnds.byID[x.id] != x || len(x.conns) >= maxConnsPerFarEnd) {
		l.Close()
		err = errNotWanted
	}
	if err != nil {
		x.dialFailed(link.Refused(err))
		return
	}
	x.connected(c, l)
}

// errNotWanted reports a connection that came up after the far end had changed its address, had gone, or had enough connections.
var errNotWanted = errors.New("the connection is not wanted any more")

// dialFailed handles a connection that could not be opened. A refused one proves that nothing ran on it, and no more: the process may
// be gone, or hold all the connections that it accepts, and may not know yet that the network has reset them. So calls and releases
// are kept until the silence has lasted too long, or the list tells of the end or a new start.
func (x *farEnd) dialFailed(refused bool) {
	core := x.farEnds.core
	core.Metrics.DialsFailed.Inc()
	x.farEnds.log.Debug("dial to far end failed", zap.String("far", x.addr), zap.Bool("refused", refused),
		zap.Int("connections", len(x.conns)), zap.Int("attempts", len(x.attempts)), zap.Int("set-ups waiting", len(x.waiting)),
		zap.Int("releases waiting", len(x.queuedReleases)), zap.Duration("silent", core.Now()-x.silence.Since()))
	x.redialAt = core.Now() + redialDelay
	x.reportReady()
	if !refused {
		return
	}
	if len(x.conns) > 0 {
		x.refusedWithConns()
		x.makeRoom()
		return
	}
	for a := range x.sortedAttempts() {
		if a.Leg.(*attemptLeg).conn == nil {
			x.endAttempt(a, 0)
		}
	}
}

// redialLater dials the next connection after a delay.
func (x *farEnd) redialLater(delay time.Duration) {
	x.redialAt = x.farEnds.core.Now() + delay
	x.farEnds.core.At(x.redialAt, func() {
		if x.farEnds.byID[x.id] == x {
			x.dial(x.wantedConns())
		}
	})
}

// reportReady reports, once, that the group's state was received or cannot be.
func (x *farEnd) reportReady() {
	if !x.readyReported {
		x.readyReported = true
		x.farEnds.onReady()
	}
}

func (x *farEnd) connected(c *farConn, l *link.Conn) {
	core := x.farEnds.core
	if c.closed {
		// The connection was reset before the dial's result was handled. Without this, set-ups would be sent on it forever.
		x.dialFailed(false)
		x.redialLater(resetRedialDelay)
		return
	}
	c.link, c.connectedAt = l, core.Now()
	if c.groupState != nil && len(x.conns) == 0 {
		core.Report(x.id, c.groupState) // it was received before the dial's result was handled
		x.reportReady()
	}
	x.startGeneration(c)
	x.conns = append(x.conns, c)
	x.freshConn.opened(c)
	c.silence.Restart(core.Now())
	c.noteGroupState(c.groupState, true)
	x.restartSilence()
	x.farEnds.log.Debug("connection to far end opened", zap.String("far", x.addr), zap.String("from", l.LocalAddr()),
		zap.Int("connections", len(x.conns)), zap.Int("set-ups waiting", len(x.waiting)))
	core.Metrics.LinksUp.Inc()
	x.sendQueuedReleases()
	waiting := x.waiting
	x.waiting = nil
	for _, a := range waiting {
		core.Stop(a.Leg.(*attemptLeg).expiry)
		c.sendLaunch(a)
	}
	x.dial(x.wantedConns())
}
