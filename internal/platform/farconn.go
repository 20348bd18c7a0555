package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
	"tinbeam/internal/link"
)

// This file is about a single connection to a far end: what is sent and received on it, and its end.

// farConn is one connection. Its methods Data and Closed run outside the core's loop and only post to it.
type farConn struct {
	farEnd      *farEnd
	link        *link.Conn
	dialedAt    time.Duration // start of its dial
	connectedAt time.Duration
	closed      bool
	// group states received on the other connections since the last line on this one, and when they became too many
	missedStates int
	missLimitAt  time.Duration
	pending      int          // set-ups on it that have no answer yet
	queuedBytes  atomic.Int64 // bytes of lines received and not handled yet
	gotState     bool         // a state of the circuit group was received here
	groupState   []float32    // the last one
	unconfirmed  []release    // sent on it and not confirmed by the far end
	generation   int          // each connection that is opened to the far end has the next one
	silence      connSilence
}

// launchLine is the line that sets a call up at a far end.
func launchLine(k *agent.Call, class string, left time.Duration) *farend.Message {
	m := &farend.Message{Kind: farend.Launch, UID: k.ID, Body: k.Description, Meta: map[string]string{
		"class": class, "left": strconv.FormatInt(left.Milliseconds(), 10)}}
	if k.Number != "" {
		m.Meta["key"] = k.Number
	}
	return m
}

func (c *farConn) sendLaunch(a *agent.Attempt) {
	k, l := a.Call, a.Leg.(*attemptLeg)
	core := c.farEnd.farEnds.core
	left := max(a.Timeout-(core.Now()-a.SentAt), time.Millisecond)
	m := launchLine(k, core.Settings.Classes[k.Class].Name, left)
	l.conn, l.pending = c, true
	c.pending++
	c.repeatStops(a)
	if e := c.farEnd.farEnds.log.Check(zap.DebugLevel, "set-up"); e != nil {
		e.Write(zap.String("far", c.farEnd.addr), zap.String("uid", k.ID), zap.Float64("width", k.Width))
	}
	c.link.Send(m.Append(nil), &l.handle) // if Send fails, the connection's close is reported and ends the attempt
}

// sendCheck sends a test line on the connection.
func (c *farConn) sendCheck() bool {
	uid := fmt.Sprintf("%016x", rand.Uint64())
	c.farEnd.checkSentAt[uid] = c.farEnd.farEnds.core.Now()
	return c.link.Send((&farend.Message{Kind: farend.Check, UID: uid}).Append(nil), nil)
}

// Data parses lines. A malformed line closes the connection at once and drops what still waits to be written: the lines
// behind it cannot be parsed, so set-ups pending on the connection would get no answer.
func (c *farConn) Data(l *link.Conn, b []byte) (int, error) {
	core := c.farEnd.farEnds.core
	used := 0
	for {
		m, n, err := farend.Parse(b[used:])
		used += n
		switch {
		case err != nil:
			core.Metrics.Malformed.Inc()
			c.farEnd.farEnds.log.Debug("malformed line from far end",
				zap.Error(err), zap.ByteString("from", b[used-n:min(len(b), used-n+160)]))
			l.Close()
			return used, err
		case n == 0:
			return used, nil
		case m != nil:
			if c.queuedBytes.Add(int64(n)) > maxQueuedLineBytes {
				l.CloseFlooded()
				return used, nil
			}
			core.Post(func() {
				c.queuedBytes.Add(-int64(n))
				c.link = l // lines may be handled before the result of the dial
				c.handleLine(m)
			})
		}
	}
}

// Closed handles the end of the connection.
func (c *farConn) Closed(*link.Conn) { c.farEnd.farEnds.core.Post(c.tearDown) }

// tearDown ends the set-ups pending on a closed connection. Established calls belong to no connection and stay.
func (c *farConn) tearDown() {
	x := c.farEnd
	c.closed = true
	core := x.farEnds.core
	if !slices.Contains(x.conns, c) {
		return // it opened when it was no longer needed
	}
	x.redialAt = 0
	switch {
	case c.link.Flooded():
		core.Metrics.LinksFlooded.Inc()
		x.farEnds.log.Warn("far end floods its connection, which was closed", zap.String("far", x.addr))
		x.redialLater(floodRedialDelay)
	case core.Now()-c.connectedAt < resetRedialDelay:
		x.redialLater(resetRedialDelay) // it was reset right after opening, and the next one may be too
	}
	core.Metrics.LinksLost.Inc()
	x.farEnds.log.Debug("connection to far end lost", zap.String("far", x.addr), zap.Int("open", c.pending))
	first := x.conns[0] == c
	x.conns = slices.DeleteFunc(x.conns, func(o *farConn) bool { return o == c })
	if first && len(x.conns) > 0 && x.conns[0].groupState != nil {
		core.Report(x.id, x.conns[0].groupState) // from now on the group's states are taken from this connection
	}
	for a := range x.sortedAttempts() {
		l := a.Leg.(*attemptLeg)
		if l.conn != c || a.Established() {
			continue
		}
		// Keeps a healthy far end in use: one broken connection says nothing about its load or health.
		x.endAttempt(a, tinbeam.NoteLinkLost)
	}
	c.repeatReleases()
	x.replaceLostConn()
}

// handleLine handles one line from the far end.
func (c *farConn) handleLine(m *farend.Message) {
	x := c.farEnd
	core := x.farEnds.core
	x.restartSilence()
	c.missedStates = 0
	c.noteLine()
	c.endSilence(m.Kind != farend.Usage || c.gotState)
	a := x.attempts[m.UID]
	if e := x.farEnds.log.Check(zap.DebugLevel, m.Kind); e != nil {
		e.Write(zap.String("far", x.addr), zap.String("uid", m.UID), zap.Int("cause", m.Cause), zap.Any("meta", m.Meta))
	}
	switch m.Kind {
	case farend.Staging:
	case farend.Stopped:
		x.confirmRelease(m.UID)
	case farend.Running:
		if a == nil {
			core.Metrics.StrayMessages.Inc()
			c.answerLate(m.UID)
			return
		}
		if !a.Established() && !c.carries(a) {
			x.ignoreStale(a, m)
			return
		}
		l := a.Leg.(*attemptLeg)
		l.clearPending()
		if !a.Established() {
			l.establishedAt = core.Now()
		}
		core.Answered(a, m.Body)
	case farend.Stop:
		if a == nil {
			core.Metrics.StrayMessages.Inc()
			return
		}
		c.handleStop(a, m)
	case farend.Usage:
		c.handleUsage(m.Report(core.Settings.ReportFields))
	case farend.Checked:
		at, ok := x.checkSentAt[m.UID]
		if !ok {
			core.Metrics.StrayMessages.Inc()
			return
		}
		delete(x.checkSentAt, m.UID)
		code := tinbeam.OK
		if m.Cause != farend.CheckPassed {
			code = tinbeam.Failed
		}
		report := m.Report(core.Settings.ReportFields)
		c.noteGroupState(report, false)
		core.Probed(x.id, code, core.Now()-at, report)
	default:
		core.Metrics.Malformed.Inc()
	}
}

// handleUsage handles a state of the group. The first one on a connection is sent on that one alone, and the later ones on all.
func (c *farConn) handleUsage(state []float32) {
	x := c.farEnd
	sentOnAll := c.gotState
	c.noteGroupState(state, !c.gotState)
	c.gotState, c.groupState = true, state
	if len(x.conns) > 0 && x.conns[0] == c {
		x.handleGroupState(state)
	}
	if !sentOnAll {
		return
	}
	for _, o := range x.conns {
		if o != c {
			o.noteMissedState(x.farEnds.core.Now())
		}
	}
}

// noteMissedState counts a group state received on another connection. Each state is sent on all connections at nearly the
// same time. Of two states counted on every other connection, one may have been received here first, but not both.
func (c *farConn) noteMissedState(now time.Duration) {
	if c.missedStates++; c.missedStates == 2*(len(c.farEnd.conns)-1) {
		c.missLimitAt = now
	}
}

// stalled reports whether a connection is open but unusable: a line on it stays incomplete, or lines are received on the
// other connections and not on this one.
func (c *farConn) stalled(now time.Duration) bool {
	return c.link.StalledFor() > stallTimeout || c.missedStates >= 2*(len(c.farEnd.conns)-1) &&
		c.missedStates > 0 && now-c.missLimitAt > stallTimeout
}
