// Package platform is the front end for the platform's own protocol: SIP with callers, JSON lines with far ends, and the
// change log. It connects the parsers, the connections and the core, and takes no decisions.
package platform

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tinbeam/internal/agent"
	"tinbeam/internal/link"
	"tinbeam/internal/sip"
)

const (
	ackTimeout         = time.Second            // a call whose answer crossed a CANCEL or a close is released if no ACK arrives in this time
	byeRetryInterval   = 300 * time.Millisecond // how often the releases and the idle connections are checked
	byeTTL             = 8 * time.Second        // a release not confirmed within this time is dropped
	finishedTTL        = 30 * time.Second       // how long the Call-ID of a finished call is remembered
	closeRetryInterval = 5 * time.Millisecond   // how often a drain tries to close connections that are in use
	maxFinished        = 20000                  // finished calls remembered at most

	// Limits of one connection. Regular callers stay far below them, and they are the same for every caller.
	readTimeout         = 2 * time.Second        // from the accept, or the first byte of a message, until the message is complete
	maxPendingPerConn   = 256                    // set-ups without a final answer
	maxQueuedPerConn    = 256                    // messages received and not handled yet
	maxBadRequests      = 16                     // invalid requests before the connection is closed
	minIdleToEvict      = 300 * time.Millisecond // a connection idle (or open) for less than this is not evicted
	maxHeldHealthChecks = 64
	healthCheckTimeout  = 700 * time.Millisecond // a health check that arrives before the agent is ready waits this long for it
)

// Callers is the caller side: it serves SIP to the callers.
type Callers struct {
	core             *agent.Core
	log              *zap.Logger
	sentBy           string               // host and port in the Via header
	ready            bool                 // health checks pass, unless a drain is in progress
	legs             map[string]*callLeg  // by Call-ID
	conns            []*callerConn        // open, in the order of their last message
	stopping         bool                 // the agent is about to exit and refuses new calls
	drain            *DrainSchedule       // the drain in progress; nil: callers are accepted
	drainClosing     bool                 // CloseAfter of the drain has passed
	closeScheduled   bool                 // closeIdle runs again soon
	drainRefusing    bool                 // RefuseAfter of the drain has passed
	releaseConns     map[*callerConn]bool // what the drain keeps open, as last chosen
	softConnLimit    int                  // above this many connections, each new one evicts one without a call
	legBytes         int                  // bytes of the set-ups in legs
	maxBytes         int                  // upper bound of legBytes, and of queuedBytes
	queuedBytes      atomic.Int64         // bytes of messages received and not handled yet
	byes             map[string]*callLeg  // releases that no caller has confirmed, by Call-ID
	finished         map[string]uint64    // number of the connection that the set-up of each finished call came on, by Call-ID
	accepted         uint64               // connections accepted so far
	finishedOrder    []finishedCall       // the finished calls, oldest first
	heldHealthChecks []*heldHealthCheck   // health checks received before the agent was ready, and not answered
	branch           uint64               // number in the Via branch of the last BYE sent
}

// callLeg is this front end's state of a call, kept in Call.Leg.
type callLeg struct {
	call       *agent.Call
	conn       *callerConn
	invite     *sip.Message // the INVITE, whose headers the answers copy
	size       int
	pending    bool          // it has no final answer yet
	acked      bool          // an ACK of its answer was received
	bye        []byte        // the BYE, once the call was released towards the caller
	byeConn    *callerConn   // the connection that the BYE was last sent on; nil: none
	strangers  []*callerConn // connections on which the BYE was answered by somebody who does not know the call
	releasedAt time.Duration // when the release began

	releaseCause int  // of the BYE
	byeNumber    int  // of the last BYE
	byeRefused   bool // it was refused, and is to be sent again
	sentBeside   bool // it was sent on the other connections of the host too
}

type finishedCall struct {
	id         string
	finishedAt time.Duration
}

// finish removes a call but remembers its Call-ID. Without this, an INVITE repeated after its final answer would run as a new
// call and be answered a second time.
func (s *Callers) finish(id string) {
	leg := s.legs[id]
	if leg == nil {
		return
	}
	id = leg.call.ID // the parameter may be part of a message, and would keep all of it in memory
	s.removeLeg(id)
	s.remember(id, leg.conn)
}

// remember stores the Call-ID of a finished call and the connection that its set-up came on.
func (s *Callers) remember(id string, c *callerConn) {
	if _, ok := s.finished[id]; !ok {
		s.finished[id] = c.number
		s.finishedOrder = append(s.finishedOrder, finishedCall{id, s.core.Now()})
	}
	for len(s.finishedOrder) > 0 && (len(s.finishedOrder) > maxFinished ||
		s.core.Now()-s.finishedOrder[0].finishedAt > finishedTTL) {
		delete(s.finished, s.finishedOrder[0].id)
		s.finishedOrder = s.finishedOrder[1:]
	}
}

// removeLeg removes the state of a call.
func (s *Callers) removeLeg(id string) {
	if leg := s.legs[id]; leg != nil {
		s.clearPending(leg)
		delete(leg.conn.legs, id)
		delete(s.legs, id)
		s.legBytes -= leg.size
	}
	delete(s.byes, id)
}

// clearPending records that a set-up is not waiting for a final answer any longer.
func (s *Callers) clearPending(leg *callLeg) {
	if leg.pending {
		leg.pending = false
		leg.conn.pending--
	}
}

// OpenCalls returns how many calls wait for their final answer, are established, or have ended without their caller having
// confirmed the release.
func (s *Callers) OpenCalls() int { return len(s.legs) }

// callerConn is one connection. Its methods Data and Closed run outside the core's loop; they post to it and change nothing
// but the counts of queued messages, queuedSetUps and overLimit.
type callerConn struct {
	callers       *Callers
	link          *link.Conn
	number        uint64
	host          string // IP address of the peer
	closed        bool
	peerGone      atomic.Bool         // the connection has ended, which may not have been handled yet
	gotMessage    bool                // a complete message was received
	gotNonOptions bool                // one other than OPTIONS was received
	gotCall       bool                // a set-up that could be offered was received
	gotACK        bool                // an ACK of an answer was received
	lastMessageAt time.Duration       // time of the last message, or of the accept
	legs          map[string]*callLeg // calls set up on it and not finished, by Call-ID
	pending       int                 // of them, those without a final answer
	badRequests   int                 // invalid requests refused
	queued        atomic.Int32        // messages received and not handled yet
	closeTrying   bool                // closeSoon is about to close it
	queuedSetUps  recentCalls         // set-ups passed on to be handled; used by Data only
	overLimit     recentCalls         // set-ups refused at the limits; used by Data only
}

// NewCallers returns the caller side. sentBy is the agent's address in the Via header. Above softConnLimit connections, each
// new one evicts one without a call. memory is the agent's memory limit in bytes.
func NewCallers(core *agent.Core, log *zap.Logger, sentBy string, softConnLimit, memory int) *Callers {
	s := &Callers{core: core, log: log, sentBy: sentBy, legs: map[string]*callLeg{}, byes: map[string]*callLeg{},
		finished: map[string]uint64{}, softConnLimit: softConnLimit, maxBytes: memory / 16}
	var sweep func()
	sweep = func() {
		s.sweep()
		core.After(byeRetryInterval, sweep)
	}
	core.After(byeRetryInterval, sweep)
	return s
}

// Accept returns the handler of a new connection.
func (s *Callers) Accept(l *link.Conn) link.Handler {
	c := &callerConn{callers: s, link: l, host: l.RemoteHost(), legs: map[string]*callLeg{}}
	s.core.Post(func() {
		s.accepted++
		c.number, c.lastMessageAt = s.accepted, s.core.Now()
		s.conns = append(s.conns, c)
		s.core.Metrics.CallerConnections.Set(int64(len(s.conns)))
		s.scheduleClosing()
		if len(s.conns) > s.softConnLimit {
			s.evict()
		}
	})
	return c
}

// tearDown marks a connection as closed and abandons the set-ups pending on it. A set-up that crosses a close by the agent,
// received but not handled yet, is then ignored. If it were sent to a far end, its caller would never receive the answer; as
// it is not sent, the caller can safely repeat it.
func (c *callerConn) tearDown() {
	s := c.callers
	if e := s.log.Check(zap.DebugLevel, "caller connection closed"); e != nil && !c.closed {
		e.Write(zap.Uint64("number", c.number), zap.Bool("said", c.gotMessage), zap.Int("open", c.pending),
			zap.Int("calls", len(c.legs)), zap.Int32("ahead", c.queued.Load()),
			zap.Duration("quiet", s.core.Now()-c.lastMessageAt), zap.Int("wrong", c.badRequests))
	}
	c.closed = true
	s.conns = slices.DeleteFunc(s.conns, func(o *callerConn) bool { return o == c })
	s.core.Metrics.CallerConnections.Set(int64(len(s.conns)))
	for _, leg := range c.pendingLegs() { // an established call belongs to no connection
		s.removeLeg(leg.call.ID)
		s.core.Abandoned(leg.call)
		if leg.call.MayHaveRun() {
			s.remember(leg.call.ID, c) // it must not run once more, on whichever connection it comes again
		}
	}
	for _, leg := range s.unconfirmedReleases() {
		if leg.byeConn == c { // not confirmed: the caller may not have received it
			s.sendBye(leg)
		}
	}
}

// pendingLegs yields the connection's calls without a final answer, in the order of their IDs. Handling one of them may end
// others, which are then left out.
func (c *callerConn) pendingLegs() iter.Seq2[string, *callLeg] {
	return snapshot(c.legs, func(leg *callLeg) bool { return leg.pending })
}

// snapshot yields the legs that are in the map now, are still in it when their turn comes, and then meet the condition. Any call
// of the core may end other calls, so a leg that was in the map before the call need not be in it after it.
func snapshot(legs map[string]*callLeg, condition func(*callLeg) bool) iter.Seq2[string, *callLeg] {
	return func(yield func(string, *callLeg) bool) {
		for _, id := range slices.Sorted(maps.Keys(legs)) {
			if leg := legs[id]; leg != nil && condition(leg) && !yield(id, leg) {
				return
			}
		}
	}
}

// Data parses messages. A malformed one is refused if it is a request, and closes the connection, since the start of the next
// message is not known.
func (c *callerConn) Data(l *link.Conn, b []byte) (int, error) {
	core := c.callers.core
	used := 0
	for {
		m, n, err := sip.Parse(b[used:])
		used += n
		if err != nil {
			core.Metrics.Malformed.Inc()
			c.callers.log.Debug("malformed message from caller",
				zap.Error(err), zap.ByteString("from", b[used:min(len(b), used+160)]))
			if m != nil && m.Method != "" && m.Method != "ACK" {
				status, reason := 400, "Bad Request"
				if err == sip.ErrTooLong {
					status, reason = 513, "Message Too Large"
				}
				l.Send(m.Response(status, reason, "").Fitted().Append(nil), nil)
			}
			core.Post(c.tearDown)
			return used, err
		}
		if m == nil {
			return used, nil
		}
		// Limits the queue and the memory that a flood of messages can take: what exceeds the limits is refused here, at the
		// cost of parsing it.
		if m.Method == "INVITE" && c.overLimit.contains(m.Get("Call-ID")) {
			core.Metrics.Duplicates.Inc() // a copy of a set-up that has its answer
			continue
		}
		size := int64(n)
		messages, bytes := c.queued.Add(1), c.callers.queuedBytes.Add(size) // both count it until it is dequeued
		if messages > maxQueuedPerConn || bytes > int64(c.callers.maxBytes) {
			if m.Method == "INVITE" && c.queuedSetUps.contains(m.Get("Call-ID")) {
				core.Metrics.Duplicates.Inc() // a copy of a set-up that will have its answer
				c.dequeued(size)
				continue
			}
			core.Metrics.RateLimited.Inc()
			if m.Method == "INVITE" {
				c.overLimit.add(m.Get("Call-ID"))
			}
			if m.Method != "" && m.Method != "ACK" {
				l.Send(m.Response(503, "Service Unavailable", "").Fitted().Append(nil), nil)
			}
			c.dequeued(size)
			continue
		}
		if m.Method == "INVITE" {
			c.queuedSetUps.add(m.Get("Call-ID"))
			m.ReceivedAt = time.Now()
		}
		core.Post(func() {
			c.dequeued(size)
			c.handleMessage(m)
		})
	}
}

// dequeued takes a message off the counts of queued messages.
func (c *callerConn) dequeued(size int64) {
	c.queued.Add(-1)
	c.callers.queuedBytes.Add(-size)
}

// Closed handles the end of the connection.
func (c *callerConn) Closed(*link.Conn) {
	c.peerGone.Store(true)
	c.callers.core.Post(c.lost)
}

// lost handles a connection that has ended. If its caller has closed it, that may have crossed an answer.
func (c *callerConn) lost() {
	if !c.closed { // the agent has not closed it, which could have cut off an ACK
		c.releaseUnackedSoon()
	}
	c.tearDown()
}

// markActive moves a connection to the end of conns, which is ordered by the time of the last message.
func (c *callerConn) markActive() {
	s := c.callers
	if c.closed {
		return
	}
	c.gotMessage, c.lastMessageAt = true, s.core.Now()
	if n := len(s.conns); n > 0 && s.conns[n-1] == c {
		return
	}
	s.conns = slices.DeleteFunc(s.conns, func(o *callerConn) bool { return o == c })
	s.conns = append(s.conns, c)
}

func (c *callerConn) send(m *sip.Message) bool {
	return !c.closed && c.link.Send(m.Fitted().Append(nil), nil)
}

// refuseBad refuses an invalid request. From number maxBadRequests on, each also closes the connection if no set-up on it
// is pending.
func (c *callerConn) refuseBad(m *sip.Message, status int, reason string, more ...sip.Header) {
	c.send(m.Response(status, reason, "", more...))
	if c.badRequests++; c.badRequests >= maxBadRequests && c.pending == 0 {
		c.link.CloseAfterFlush()
		c.tearDown()
	}
}

// Answer notifies the caller that its call is established.
func (s *Callers) Answer(k *agent.Call, description string) {
	leg := k.Leg.(*callLeg)
	answer := leg.invite.Response(200, "OK", description).Fitted()
	if !answer.Fits() {
		s.failUnreadable(k)
		return
	}
	s.clearPending(leg)
	leg.conn.send(answer)
	leg.conn.closeIfIdle()
}

// failUnreadable fails a call whose answer is longer than its caller can read, and releases it at the far end.
func (s *Callers) failUnreadable(k *agent.Call) {
	s.core.Metrics.Malformed.Inc()
	s.Refuse(k, true, 0)
	s.core.Post(func() { s.core.Hangup(k, causeNormalClearing) })
}

// Refuse notifies the caller that its call was refused or has failed, and when to retry if the settings allow that.
func (s *Callers) Refuse(k *agent.Call, failed bool, retryAfter time.Duration) {
	leg := k.Leg.(*callLeg)
	s.finish(k.ID)
	status, reason := 503, "Service Unavailable"
	var more []sip.Header
	if failed {
		status, reason = 500, "Server Internal Error"
	} else if retryAfter > 0 {
		seconds := (retryAfter + time.Second - 1) / time.Second
		more = append(more, sip.Header{Name: "Retry-After", Value: strconv.Itoa(int(seconds))})
	}
	leg.conn.send(leg.invite.Response(status, reason, "", more...))
	leg.conn.closeIfIdle()
}

// sweep drops releases that were not confirmed in time, resends the others where needed, and closes idle connections.
func (s *Callers) sweep() {
	for id, leg := range s.unconfirmedReleases() {
		if s.core.Now()-leg.releasedAt > byeTTL {
			s.core.Metrics.ReleasesUnconfirmed.Inc()
			s.finish(id)
		}
	}
	s.resendByes()
	s.closeTimedOut()
	s.closeIdle()
	s.core.Metrics.QueueLength.Set(int64(s.core.Queued()))
}
