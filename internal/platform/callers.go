// Package platform is the front for the platform's own protocol: SIP from callers, JSON lines to far ends, and the
// change log. It joins the pure parsers to the connections and to the core, and takes no decision.
package platform

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
	"tinbeam/internal/link"
	"tinbeam/internal/sip"
)

const (
	ackTimeout       = time.Second // an answer that crossed a CANCEL and is not acknowledged in this time is released
	byeRetryInterval = 300 * time.Millisecond
	byeTTL           = 8 * time.Second  // a release that could not be delivered in this time is of no more use
	finishedTTL      = 30 * time.Second // how long it is remembered that a call was answered
	maxFinished      = 20000

	// What one connection may do. The usual callers stay far below, and none of it depends on who they are.
	readTimeout        = 2 * time.Second        // from when it came, or a message of it began, until that message is whole
	maxPendingPerConn  = 256                    // set-ups on it without an answer
	maxQueuedPerConn   = 256                    // messages of it that are read and not handled yet
	maxBadRequests     = 16                     // requests of it that were refused for what they are
	minIdleToEvict     = 300 * time.Millisecond // a connection that has not spoken is left so long before it makes room
	healthCheckTimeout = 700 * time.Millisecond // a test that comes before the agent is ready waits for it so long
)

// Callers is the caller side.
type Callers struct {
	core             *agent.Core
	log              *zap.Logger
	sentBy           string
	ready            bool
	legs             map[string]*callLeg // by Call-ID
	conns            []*callerConn       // open, the latest to say something last
	stopping         bool                // the agent is about to end and takes no more calls
	drain            *DrainSchedule      // how callers are sent away; nil: they are taken
	drainClosing     bool                // and how far that has come
	drainRefusing    bool
	softConnLimit    int                 // connections beyond which those without a set-up make room
	legBytes         int                 // bytes of set-ups that are not over
	maxBytes         int                 // bytes of set-ups held, and of messages waiting to be handled
	queuedBytes      atomic.Int64        // bytes of messages read and not handled yet
	byes             map[string]*callLeg // releases that no caller has confirmed
	finished         map[string]uint64   // calls that are over and had their final answer, with the connection they came on
	accepted         uint64              // connections so far
	finishedOrder    []finishedCall      // the same, oldest first
	heldHealthChecks []func()
	branch           uint64
}

// callLeg is what this front keeps of a call.
type callLeg struct {
	call       *agent.Call
	conn       *callerConn
	invite     *sip.Message // what its answers copy
	size       int
	pending    bool // it has no final answer
	acked      bool
	bye        []byte
	byeConn    *callerConn
	releasedAt time.Duration
}

type finishedCall struct {
	id         string
	finishedAt time.Duration
}

// finish forgets a call, but not that it was answered. Guards against a set-up that comes again behind its answer: it would
// run as a new call, and be answered a second time.
func (s *Callers) finish(id string) {
	leg := s.legs[id]
	if leg == nil {
		return
	}
	id = leg.call.ID // what came with a message keeps the whole of it in memory
	s.removeLeg(id)
	if _, ok := s.finished[id]; !ok {
		s.finished[id] = leg.conn.number
		s.finishedOrder = append(s.finishedOrder, finishedCall{id, s.core.Now()})
	}
	for len(s.finishedOrder) > 0 && (len(s.finishedOrder) > maxFinished || s.core.Now()-s.finishedOrder[0].finishedAt > finishedTTL) {
		delete(s.finished, s.finishedOrder[0].id)
		s.finishedOrder = s.finishedOrder[1:]
	}
}

// removeLeg drops what is kept of a call.
func (s *Callers) removeLeg(id string) {
	if leg := s.legs[id]; leg != nil {
		s.clearPending(leg)
		delete(leg.conn.legs, id)
		delete(s.legs, id)
		s.legBytes -= leg.size
	}
	delete(s.byes, id)
}

// clearPending notes that a set-up has its final answer, or is owed none.
func (s *Callers) clearPending(leg *callLeg) {
	if leg.pending {
		leg.pending = false
		leg.conn.pending--
	}
}

// RefuseNewCalls takes no more calls: what still comes is refused.
func (s *Callers) RefuseNewCalls() { s.stopping = true }

// DrainSchedule is how callers are sent away, in times from when that began; 0: never.
type DrainSchedule struct {
	CloseAfter  time.Duration // from then on a connection is closed as soon as no set-up is open on it
	RefuseAfter time.Duration // from then on further set-ups are refused, so that the busiest connection comes to that too
	EndAfter    time.Duration // and then what is still open is answered, and every connection closed
}

// Drain sends callers away, or with nil takes them again. Tests are failed; who is connected is served until its connection
// can be closed, best right behind an answer, when no request crosses the close. A call that stands belongs to no
// connection: its release goes to whoever connects next.
func (s *Callers) Drain(pace *DrainSchedule) {
	s.drain = pace
	s.drainRefusing = false
	if pace == nil {
		return
	}
	after := func(d time.Duration, do func()) {
		if d > 0 {
			s.core.After(d, func() {
				if s.drain == pace { // else they were taken again meanwhile
					do()
				}
			})
		}
	}
	s.drainClosing = false
	after(pace.CloseAfter, func() {
		s.drainClosing = true
		s.closeIdle()
	})
	after(pace.RefuseAfter, func() { s.drainRefusing = true })
	after(pace.EndAfter, func() {
		for _, c := range slices.Clone(s.conns) {
			for _, id := range slices.Sorted(maps.Keys(c.legs)) {
				if leg := c.legs[id]; leg.pending {
					s.core.Fail(leg.call)
				}
			}
		}
		s.closeIdle()
	})
}

func (s *Callers) closeIdle() {
	for _, c := range slices.Clone(s.conns) {
		c.closeIfIdle()
	}
}

// closeIfIdle closes a connection with no set-up open on it while callers are sent away.
func (c *callerConn) closeIfIdle() {
	if s := c.callers; s.drain != nil && s.drainClosing && !c.closed && c.pending == 0 && c.queued.Load() == 0 && c.gotMessage {
		c.link.CloseAfterFlush()
		c.tearDown()
	}
}

// Close closes the connections behind what is still to be written on them.
func (s *Callers) Close() {
	for _, c := range slices.Clone(s.conns) {
		c.link.CloseAfterFlush()
		c.tearDown()
	}
}

// OpenCalls is how many calls wait for their final answer, stand, or are over and not yet released by their callers.
func (s *Callers) OpenCalls() int { return len(s.legs) }

// callerConn is one connection; its methods Data and Closed run outside the loop and only post.
type callerConn struct {
	callers       *Callers
	link          *link.Conn
	number        uint64
	closed        bool
	gotMessage    bool                // a whole message has come
	gotNonOptions bool                // and one that is no test
	gotCall       bool                // and a set-up that could be taken
	gotACK        bool                // and the acknowledgement of an answer
	lastMessageAt time.Duration       // when the last one came, or the connection
	legs          map[string]*callLeg // set up here and not over
	pending       int                 // of them without a final answer
	badRequests   int                 // requests refused for what they are
	queued        atomic.Int32        // messages read and not handled yet
}

// NewCallers makes the caller side; local is written where a SIP message names the agent. Beyond room connections, those
// without a set-up make room for new ones; memory is the agent's limit in bytes.
func NewCallers(core *agent.Core, log *zap.Logger, local string, room, memory int) *Callers {
	s := &Callers{core: core, log: log, sentBy: local, legs: map[string]*callLeg{}, byes: map[string]*callLeg{},
		finished: map[string]uint64{}, softConnLimit: room, maxBytes: memory / 16}
	var sweep func()
	sweep = func() {
		s.sweep()
		core.After(byeRetryInterval, sweep)
	}
	core.After(byeRetryInterval, sweep)
	return s
}

// Accept gives a new connection its object.
func (s *Callers) Accept(l *link.Conn) link.Handler {
	c := &callerConn{callers: s, link: l, legs: map[string]*callLeg{}}
	s.core.Post(func() {
		s.accepted++
		c.number, c.lastMessageAt = s.accepted, s.core.Now()
		s.conns = append(s.conns, c)
		s.core.Metrics.CallerConnections.Set(int64(len(s.conns)))
		if len(s.conns) > s.softConnLimit {
			s.evict()
		}
	})
	return c
}

// evict makes room: it closes the connection that has been quiet longest among those that never said anything, else among
// those without a call. Guards the usual callers' place against connections that are only held; one with a call that
// stands is kept, for the call's release is for its caller, who may be heard nowhere else.
func (s *Callers) evict() {
	var victim *callerConn
	for _, c := range s.conns {
		if len(c.legs) == 0 && c.queued.Load() == 0 && s.core.Now()-c.lastMessageAt >= minIdleToEvict && (victim == nil || victim.gotMessage && !c.gotMessage) {
			victim = c
		}
	}
	if victim != nil {
		s.core.Metrics.CallersEvicted.Inc()
		victim.link.Close()
		victim.tearDown()
	}
}

// tearDown takes a connection for ended; what was open on it is given up. Guards the set-up that crosses a close of ours: read
// but not handled yet, it would be sent on and its caller never hear of it. With nothing sent on, it comes again.
func (c *callerConn) tearDown() {
	s := c.callers
	if e := s.log.Check(zap.DebugLevel, "caller's connection ended"); e != nil && !c.closed {
		e.Write(zap.Uint64("number", c.number), zap.Bool("said", c.gotMessage), zap.Int("open", c.pending), zap.Int("calls", len(c.legs)),
			zap.Int32("ahead", c.queued.Load()), zap.Duration("quiet", s.core.Now()-c.lastMessageAt), zap.Int("wrong", c.badRequests))
	}
	c.closed = true
	s.conns = slices.DeleteFunc(s.conns, func(o *callerConn) bool { return o == c })
	s.core.Metrics.CallerConnections.Set(int64(len(s.conns)))
	for _, id := range slices.Sorted(maps.Keys(c.legs)) {
		if leg := c.legs[id]; leg.pending { // a call that stands belongs to no connection
			s.removeLeg(id)
			s.core.Abandoned(leg.call)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.byes)) {
		if leg := s.byes[id]; leg.byeConn == c { // not confirmed: it may not have been read
			s.sendBye(leg)
		}
	}
}

// SetReady tells that the agent can take calls: tests are passed from now on.
func (s *Callers) SetReady() {
	s.ready = true
	for _, t := range s.heldHealthChecks {
		t()
	}
	s.heldHealthChecks = nil
}

// Data reads messages. What cannot be read is refused where it is a request, and ends the connection: where the next
// message starts is not known.
func (c *callerConn) Data(l *link.Conn, b []byte) (int, error) {
	core := c.callers.core
	used := 0
	for {
		m, n, err := sip.Parse(b[used:])
		used += n
		if err != nil {
			core.Metrics.Malformed.Inc()
			c.callers.log.Debug("caller cannot be read", zap.Error(err), zap.ByteString("from", b[used:min(len(b), used+160)]))
			if m != nil && m.Method != "" && m.Method != "ACK" {
				status, reason := 400, "Bad Request"
				if err == sip.ErrTooLong {
					status, reason = 513, "Message Too Large"
				}
				l.Send(m.Response(status, reason, "").Append(nil), nil)
			}
			core.Post(c.tearDown)
			return used, err
		}
		if m == nil {
			return used, nil
		}
		// Guards the queue and the memory against requests by the hundred: what is beyond is refused here, at the cost of
		// reading it.
		size := int64(n)
		if c.queued.Add(1) > maxQueuedPerConn || c.callers.queuedBytes.Add(size) > int64(c.callers.maxBytes) {
			core.Metrics.RateLimited.Inc()
			if m.Method != "" && m.Method != "ACK" {
				l.Send(m.Response(503, "Service Unavailable", "").Append(nil), nil)
			}
			c.dequeued(size)
			continue
		}
		core.Post(func() {
			c.dequeued(size)
			c.handleMessage(m)
		})
	}
}

func (c *callerConn) dequeued(size int64) {
	c.queued.Add(-1)
	c.callers.queuedBytes.Add(-size)
}

// Closed tells that the connection has ended.
func (c *callerConn) Closed(*link.Conn) { c.callers.core.PostNonBlocking(c.tearDown) }

// markActive keeps the connections in the order in which they last said something.
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

func (c *callerConn) send(m *sip.Message) bool { return !c.closed && c.link.Send(m.Append(nil), nil) }

// refuseBad refuses a request for what it is. A connection that goes on sending such is closed.
func (c *callerConn) refuseBad(m *sip.Message, status int, reason string, more ...sip.Header) {
	c.send(m.Response(status, reason, "", more...))
	if c.badRequests++; c.badRequests >= maxBadRequests && c.pending == 0 {
		c.link.CloseAfterFlush()
		c.tearDown()
	}
}

func (c *callerConn) handleMessage(m *sip.Message) {
	c.markActive()
	s := c.callers
	id := m.Get("Call-ID")
	leg := s.legs[id]
	c.gotNonOptions = c.gotNonOptions || m.Method != "OPTIONS"
	if m.Status != 0 {
		if m.CSeqMethod() == "BYE" && m.Status >= 200 && leg != nil && leg.bye != nil {
			s.finish(id)
		}
		return
	}
	switch m.Method {
	case "INVITE":
		s.handleInvite(c, id, m)
	case "ACK":
		if leg != nil {
			leg.acked = true
			if !c.gotACK && !leg.pending {
				c.gotACK = true
				s.resendByes()
			}
		}
	case "CANCEL":
		if leg == nil || leg.pending && leg.conn != c { // a set-up belongs to its connection, a call that stands to none
			s.answerUnknownCall(c, id, m)
			return
		}
		c.send(m.Response(200, "OK", ""))
		if leg.bye != nil {
			return
		}
		if leg.pending {
			s.finish(id)
			s.core.Abandoned(leg.call)
			leg.conn.send(leg.invite.Response(487, "Request Terminated", ""))
			return
		}
		// It crossed the answer. A caller that took the answer acknowledges it; from one that did not, nothing more
		// comes and the call must not stand for ever.
		if !leg.acked {
			s.core.After(ackTimeout, func() {
				if k := leg.call; s.legs[id] == leg && !leg.acked && leg.bye == nil && k.Established() {
					// Guards a caller that did take the answer, and whose word of it has not come: to it the call would stand.
					s.core.Hangup(k, 16)
					s.Release(k, 16)
				}
			})
		}
	case "BYE":
		if leg == nil {
			s.answerUnknownCall(c, id, m)
			return
		}
		c.send(m.Response(200, "OK", ""))
		if leg.bye != nil || leg.call.Established() {
			s.finish(id)
			if leg.bye == nil {
				s.core.Hangup(leg.call, parseCause(m.Get("Reason")))
			}
		}
	case "OPTIONS":
		s.handleOptions(c, m)
	default:
		c.refuseBad(m, 405, "Method Not Allowed", sip.Header{Name: "Allow", Value: "INVITE, ACK, CANCEL, BYE, OPTIONS"})
	}
}

// answerUnknownCall answers a request about a call that is not there: one that is just over was told so, any other never was.
func (s *Callers) answerUnknownCall(c *callerConn, id string, m *sip.Message) {
	if _, ok := s.finished[id]; ok {
		s.core.Metrics.Duplicates.Inc()
		c.send(m.Response(200, "OK", ""))
		return
	}
	s.core.Metrics.StrayMessages.Inc()
	c.send(m.Response(481, "Call/Transaction Does Not Exist", ""))
}

// handleOptions answers a handleOptions: passed once the agent is ready.
func (s *Callers) handleOptions(c *callerConn, m *sip.Message) {
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if s.ready && s.drain == nil {
			c.send(m.Response(200, "OK", ""))
		} else {
			c.send(m.Response(503, "Service Unavailable", ""))
		}
	}
	if s.ready || len(s.heldHealthChecks) > 64 {
		answer()
		return
	}
	s.heldHealthChecks = append(s.heldHealthChecks, answer)
	s.core.After(healthCheckTimeout, answer)
}

// parseCause reads Q.850;parseCause=N of a Reason header (RFC 3326).
func parseCause(reason string) int {
	for _, p := range strings.Split(reason, ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(p), "cause="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return n
			}
		}
	}
	return 16
}

func (s *Callers) handleInvite(c *callerConn, id string, m *sip.Message) {
	if c.closed {
		return // the caller closed the connection behind the set-up: its end was told before this was read
	}
	// Guards against a set-up that comes again: it must not run twice, nor get a second answer, and the id of a call may
	// serve nobody else. A copy on the connection of the first has its answer in the first's; any other is refused.
	leg := s.legs[id]
	on, done := s.finished[id]
	switch {
	case done && on == c.number, leg != nil && leg.conn == c &&
		(!leg.pending || leg.call.Description == m.Body && leg.call.Number == m.User()):
		s.core.Metrics.Duplicates.Inc()
		return
	case leg != nil && leg.pending && leg.conn == c:
		// Two requests of one id on one connection: no answer to either could be told from the other's.
		s.core.Metrics.Malformed.Inc()
		s.finish(id)
		s.core.Abandoned(leg.call)
		c.send(m.Response(400, "Bad Request", ""))
		c.link.CloseAfterFlush()
		c.tearDown()
		return
	case leg != nil || done:
		s.core.Metrics.Duplicates.Inc()
		c.refuseBad(m, 482, "Loop Detected")
		return
	}
	k, err := s.parseInvite(id, m)
	if err != nil {
		s.core.Metrics.Malformed.Inc()
		s.log.Debug("set-up refused", zap.Error(err))
		c.refuseBad(m, 400, "Bad Request")
		return
	}
	head := m.CloneForResponses()
	leg = &callLeg{call: k, conn: c, invite: head, size: len(k.Description), pending: true}
	for _, h := range head.Headers {
		leg.size += len(h.Name) + len(h.Value)
	}
	if s.stopping || s.drainRefusing || c.pending >= maxPendingPerConn || s.legBytes+leg.size > s.maxBytes {
		s.core.Metrics.RateLimited.Inc()
		s.core.CountRefused(k)
		c.send(m.Response(503, "Service Unavailable", ""))
		c.closeIfIdle()
		return
	}
	if !c.gotCall {
		c.gotCall = true
		s.resendByes()
	}
	k.Leg = leg
	s.legs[id], c.legs[id] = leg, leg
	c.pending++
	s.legBytes += leg.size
	s.core.Offer(k)
}

// validCallID tells whether an id is one that this protocol has.
func validCallID(id string) bool {
	_, err := strconv.ParseUint(id, 16, 64)
	return err == nil && len(id) == 16
}

func (s *Callers) parseInvite(id string, m *sip.Message) (*agent.Call, error) {
	// Cloned, since they outlive the message, whose strings are parts of one.
	k := &agent.Call{ID: strings.Clone(id), Number: strings.Clone(m.User()), Description: strings.Clone(m.Body),
		Caller: s, Dest: -1, Via: -1}
	// Guards every other call on a connection to a far end: what a far end cannot read makes it close the connection.
	switch {
	case !validCallID(id):
		return nil, fmt.Errorf("Call-ID %q is not 16 hex digits", id)
	case !utf8.ValidString(k.Number) || !utf8.ValidString(k.Description):
		return nil, fmt.Errorf("the number or the description is no text")
	case len(k.Description)+len(k.Number) > farend.MaxLine/8 && len(launchLine(k, "", 0).Append(nil)) > farend.MaxLine-64:
		return nil, fmt.Errorf("the description is too long to be passed on")
	}
	if k.Class = s.core.ClassIndex(m.Get("P-Kind")); k.Class < 0 {
		return nil, fmt.Errorf("class %q is not in the settings", m.Get("P-Kind"))
	}
	class := s.core.Settings.Classes[k.Class]
	k.Width, k.TimeLeft = class.Width, class.HardLimit
	if v := m.Get("P-Time-Left"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms >= 0 && ms < 1e9) {
			return nil, fmt.Errorf("P-Time-Left %q", v)
		}
		k.TimeLeft = time.Duration(ms * float64(time.Millisecond))
	}
	k.NumberKey = agent.NumberKey(k.Number)
	if m.Get("P-Second-Try") == "1" {
		k.Flags |= tinbeam.FlagRedial
	}
	for _, part := range strings.Split(m.Get("P-Path"), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		v, err := strconv.ParseFloat(value, 64)
		if name == "" {
			continue
		}
		if err != nil || !(v >= -1e6 && v <= 1e6) {
			return nil, fmt.Errorf("P-Path %q", part)
		}
		switch name {
		case "dest":
			k.Dest = int(v)
		case "width":
			if v <= 0 {
				return nil, fmt.Errorf("P-Path %q", part)
			}
			k.Width = v
		case "via":
			k.Via = int(v)
		case "transit":
			if v == 1 {
				k.Flags |= tinbeam.FlagTransit
			}
		case "again":
			if v == 1 {
				k.Flags |= tinbeam.FlagRepeated
			}
		}
	}
	if k.Dest < 0 {
		return nil, fmt.Errorf("P-Path names no destination")
	}
	return k, nil
}

// Answer tells the caller that its call stands.
func (s *Callers) Answer(k *agent.Call, description string) {
	leg := k.Leg.(*callLeg)
	s.clearPending(leg)
	leg.conn.send(leg.invite.Response(200, "OK", description))
	leg.conn.closeIfIdle()
}

// Refuse tells the caller that its call does not stand, and when to come back where the settings allow it.
func (s *Callers) Refuse(k *agent.Call, failed bool, pause time.Duration) {
	leg := k.Leg.(*callLeg)
	s.finish(k.ID)
	status, reason := 503, "Service Unavailable"
	var more []sip.Header
	if failed {
		status, reason = 500, "Server Internal Error"
	} else if pause > 0 {
		seconds := (pause + time.Second - 1) / time.Second
		more = append(more, sip.Header{Name: "Retry-After", Value: strconv.Itoa(int(seconds))})
	}
	leg.conn.send(leg.invite.Response(status, reason, "", more...))
	leg.conn.closeIfIdle()
}

// Release tells the caller that its call is over. It is sent until confirmed, on whatever connection there is.
func (s *Callers) Release(k *agent.Call, cause int) {
	leg := k.Leg.(*callLeg)
	s.branch++
	inv := leg.invite
	uri := "sip:peer@net"
	if from := inv.Get("From"); strings.Contains(from, "sip:") {
		uri = strings.Trim(strings.SplitN(from, ";", 2)[0], "<> ")
	}
	bye := &sip.Message{Method: "BYE", URI: uri, Headers: []sip.Header{
		{Name: "Via", Value: fmt.Sprintf("SIP/2.0/TCP %s;branch=z9hG4bK%x", s.sentBy, s.branch)},
		{Name: "Max-Forwards", Value: "70"},
		{Name: "Call-ID", Value: k.ID},
		{Name: "CSeq", Value: "1 BYE"},
		{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}}}
	if from, to := inv.Get("From"), inv.Get("To"); from != "" && to != "" {
		bye.Headers = append(bye.Headers, sip.Header{Name: "From", Value: to}, sip.Header{Name: "To", Value: from})
	}
	leg.bye, leg.releasedAt = bye.Append(nil), s.core.Now()
	leg.call = &agent.Call{ID: k.ID} // what the call held is over
	s.byes[k.ID] = leg
	s.sendBye(leg)
}

func (s *Callers) sendBye(leg *callLeg) {
	if c := leg.conn; !c.closed && c.link.Send(leg.bye, nil) {
		leg.byeConn = c
		return
	}
	last := leg.byeConn
	leg.byeConn = nil
	for rank := rankACKed; rank > rankCheckOnly; rank-- {
		for i := len(s.conns) - 1; i >= 0; i-- {
			if c := s.conns[i]; c != last && c.rank() == rank && c.link.Send(leg.bye, nil) {
				leg.byeConn = c
				return
			}
		}
	}
	if last != nil && !last.closed {
		leg.byeConn = last // there is no other
	}
}

// How sure it is that a connection leads to the callers.
const (
	rankCheckOnly = iota // it only tests, and is closed behind the answer with the rest unread
	rankUnknown          // it has said nothing, nothing for a while, or nothing that tells
	rankCaller           // it has brought a call that could be taken
	rankACKed            // it has acknowledged an answer
)

// rank guards releases against connections that others hold: one that sends all sorts of things reads a release, and nobody
// else hears of it.
func (c *callerConn) rank() int {
	switch {
	case c.gotACK:
		return rankACKed
	case c.gotCall:
		return rankCaller
	case !c.gotMessage || c.gotNonOptions || c.callers.core.Now()-c.lastMessageAt >= byeRetryInterval:
		return rankUnknown
	}
	return rankCheckOnly
}

// resendByes sends the releases again that have not surely reached the callers: the connection that carried them has ended, or is
// not known to be theirs and did not confirm.
func (s *Callers) resendByes() {
	for _, id := range slices.Sorted(maps.Keys(s.byes)) {
		leg := s.byes[id]
		if on := leg.byeConn; on == nil || on.closed || on != leg.conn && on.rank() < rankACKed {
			s.sendBye(leg)
		}
	}
}

// sweep sends releases again whose connection closed before they were confirmed, or that found none.
func (s *Callers) sweep() {
	for _, id := range slices.Sorted(maps.Keys(s.byes)) {
		if s.core.Now()-s.byes[id].releasedAt > byeTTL {
			s.finish(id)
		}
	}
	s.resendByes()
	for _, c := range slices.Clone(s.conns) {
		// Guards the descriptors against those that open a connection, or begin a message, and say nothing more.
		if !c.gotMessage && s.core.Now()-c.lastMessageAt > readTimeout || c.link.StalledFor() > readTimeout {
			s.core.Metrics.CallersTimedOut.Inc()
			c.link.Close()
			c.tearDown()
		}
	}
	s.closeIdle()
	s.core.Metrics.QueueLength.Set(int64(s.core.Queued()))
}
