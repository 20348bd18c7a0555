package platform

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tinbeam/internal/agent"
)

// This file notices a connection that is silent while its far end is not. Releases may be sent on each connection of a far end, so while
// calls stand each one has to bring something from time to time, at the least the answer to a health check.

// connSilence measures the silence of one connection.
type connSilence struct {
	agent.Silence
	passedOverAt time.Duration // first line on another connection since the health check was sent; 0: there is none
}

// endSilence records a line on the connection. Others whose health check has no answer are passed over, unless the line is the first state
// on the connection: a far end that hangs may send no more than that.
func (c *farConn) endSilence(passesOver bool) {
	now := c.farEnd.farEnds.core.Now()
	c.silence.Restart(now)
	c.silence.passedOverAt = 0
	if !passesOver {
		return
	}
	c.farEnd.spokeAt = now
	for _, o := range c.farEnd.conns {
		if o != c && o.silence.Checked() && o.silence.passedOverAt == 0 {
			o.silence.passedOverAt = now
		}
	}
}

// healthCheckInterval is the time between the health checks on the connections of a far end that does not answer. One that has spoken
// within this time is not silent.
const healthCheckInterval = time.Second

// sendHealthCheck sends a health check that has to be answered on the connection.
func (c *farConn) sendHealthCheck() {
	c.silence.CheckSent(c.farEnd.farEnds.core.Now())
	c.sendCheck()
}

// healthCheckConn returns the connection for a health check of the far end: the least loaded one of those on which none has been sent that
// is not answered, or else of all.
func (x *farEnd) healthCheckConn() *farConn {
	var best *farConn
	for _, c := range x.conns {
		if !c.silence.Checked() && (best == nil || c.pending < best.pending) {
			best = c
		}
	}
	if best == nil {
		return x.leastLoaded()
	}
	return best
}

// checkConns sends health checks on connections that are silent while calls stand and the far end speaks on others, and closes those that
// bring no answer. If it speaks on none, checkSilence deals with it.
func (x *farEnd) checkConns() {
	now := x.farEnds.core.Now()
	if !x.hasStandingCalls() {
		for _, c := range x.conns {
			c.silence = connSilence{}
			c.silence.Restart(now)
		}
		return
	}
	for _, c := range slices.Clone(x.conns) {
		switch {
		case c.silence.CheckDue(now) && now-x.spokeAt < healthCheckInterval:
			c.sendHealthCheck()
		case c.silence.Expired(now) && c.silence.passedOverAt != 0 && now-c.silence.passedOverAt > stallTimeout:
			x.farEnds.core.Metrics.StalledLinks.Inc()
			x.farEnds.log.Info("silent connection to far end closed", zap.String("far", x.addr), zap.String("from", c.link.LocalAddr()), zap.Int("set-ups", c.pending),
				zap.Duration("silent", now-c.silence.Since()), zap.Duration("passed over", now-c.silence.passedOverAt))
			c.link.Close()
		}
	}
}
