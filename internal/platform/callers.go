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
	ackWait  = time.Second // an answer that crossed a CANCEL and is not acknowledged in this time is released
	byeEvery = 300 * time.Millisecond
	byeMost  = 8 * time.Second  // a release that could not be delivered in this time is of no more use
	doneFor  = 30 * time.Second // how long it is remembered that a call was answered
	doneMost = 20000

	// What one connection may do. The usual callers stay far below, and none of it depends on who they are.
	silentMost = 2 * time.Second        // from when it came, or a message of it began, until that message is whole
	openMost   = 256                    // set-ups on it without an answer
	aheadMost  = 256                    // messages of it that are read and not handled yet
	wrongMost  = 16                     // requests of it that were refused for what they are
	youngMost  = 300 * time.Millisecond // a connection that has not spoken is left so long before it makes room
	testLinger = 700 * time.Millisecond // a test that comes before the agent is ready waits for it so long
)

// Callers is the caller side.
type Callers struct {
	core    *agent.Core
	log     *zap.Logger
	local   string
	ready   bool
	legs    map[string]*callLeg // by Call-ID
	conns   []*callerConn       // open, the latest to say something last
	leaving bool                // the agent is about to end and takes no more calls
	away    *DrainSchedule      // how callers are sent away; nil: they are taken
	closing bool                // and how far that has come
	refuse  bool
	room    int                 // connections beyond which those without a set-up make room
	held    int                 // bytes of set-ups that are not over
	most    int                 // bytes of set-ups held, and of messages waiting to be handled
	ahead   atomic.Int64        // bytes of messages read and not handled yet
	byes    map[string]*callLeg // releases that no caller has confirmed
	done    map[string]uint64   // calls that are over and had their final answer, with the connection they came on
	came    uint64              // connections so far
	order   []doneCall          // the same, oldest first
	tests   []func()
	branch  uint64
}

// callLeg is what this front keeps of a call.
type callLeg struct {
	call   *agent.Call
	conn   *callerConn
	invite *sip.Message // what its answers copy
	size   int
	open   bool // it has no final answer
	acked  bool
	bye    []byte
	byeOn  *callerConn
	endAt  time.Duration
}

type doneCall struct {
	id string
	at time.Duration
}

// over forgets a call, but not that it was answered. Guards against a set-up that comes again behind its answer: it would
// run as a new call, and be answered a second time.
func (s *Callers) over(id string) {
	leg := s.legs[id]
	if leg == nil {
		return
	}
	id = leg.call.ID // what came with a message keeps the whole of it in memory
	s.forget(id)
	if _, ok := s.done[id]; !ok {
		s.done[id] = leg.conn.num
		s.order = append(s.order, doneCall{id, s.core.Now()})
	}
	for len(s.order) > 0 && (len(s.order) > doneMost || s.core.Now()-s.order[0].at > doneFor) {
		delete(s.done, s.order[0].id)
		s.order = s.order[1:]
	}
}

// forget drops what is kept of a call.
func (s *Callers) forget(id string) {
	if leg := s.legs[id]; leg != nil {
		s.settle(leg)
		delete(leg.conn.legs, id)
		delete(s.legs, id)
		s.held -= leg.size
	}
	delete(s.byes, id)
}

// settle notes that a set-up has its final answer, or is owed none.
func (s *Callers) settle(leg *callLeg) {
	if leg.open {
		leg.open = false
		leg.conn.open--
	}
}

// RefuseNewCalls takes no more calls: what still comes is refused.
func (s *Callers) RefuseNewCalls() { s.leaving = true }

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
	s.away = pace
	s.refuse = false
	if pace == nil {
		return
	}
	after := func(d time.Duration, do func()) {
		if d > 0 {
			s.core.After(d, func() {
				if s.away == pace { // else they were taken again meanwhile
					do()
				}
			})
		}
	}
	s.closing = false
	after(pace.CloseAfter, func() {
		s.closing = true
		s.dismiss()
	})
	after(pace.RefuseAfter, func() { s.refuse = true })
	after(pace.EndAfter, func() {
		for _, c := range slices.Clone(s.conns) {
			for _, id := range slices.Sorted(maps.Keys(c.legs)) {
				if leg := c.legs[id]; leg.open {
					s.core.Fail(leg.call)
				}
			}
		}
		s.dismiss()
	})
}

func (s *Callers) dismiss() {
	for _, c := range slices.Clone(s.conns) {
		c.dismiss()
	}
}

// dismiss closes a connection with no set-up open on it while callers are sent away.
func (c *callerConn) dismiss() {
	if s := c.side; s.away != nil && s.closing && !c.over && c.open == 0 && c.ahead.Load() == 0 && c.said {
		c.link.CloseAfterFlush()
		c.end()
	}
}

// Close closes the connections behind what is still to be written on them.
func (s *Callers) Close() {
	for _, c := range slices.Clone(s.conns) {
		c.link.CloseAfterFlush()
		c.end()
	}
}

// OpenCalls is how many calls wait for their final answer, stand, or are over and not yet released by their callers.
func (s *Callers) OpenCalls() int { return len(s.legs) }

// callerConn is one connection; its methods Data and Closed run outside the loop and only post.
type callerConn struct {
	side  *Callers
	link  *link.Conn
	num   uint64
	over  bool
	said  bool                // a whole message has come
	talks bool                // and one that is no test
	calls bool                // and a set-up that could be taken
	acked bool                // and the acknowledgement of an answer
	at    time.Duration       // when the last one came, or the connection
	legs  map[string]*callLeg // set up here and not over
	open  int                 // of them without a final answer
	wrong int                 // requests refused for what they are
	ahead atomic.Int32        // messages read and not handled yet
}

// NewCallers makes the caller side; local is written where a SIP message names the agent. Beyond room connections, those
// without a set-up make room for new ones; memory is the agent's limit in bytes.
func NewCallers(core *agent.Core, log *zap.Logger, local string, room, memory int) *Callers {
	s := &Callers{core: core, log: log, local: local, legs: map[string]*callLeg{}, byes: map[string]*callLeg{},
		done: map[string]uint64{}, room: room, most: memory / 16}
	var sweep func()
	sweep = func() {
		s.sweep()
		core.After(byeEvery, sweep)
	}
	core.After(byeEvery, sweep)
	return s
}

// Accept gives a new connection its object.
func (s *Callers) Accept(l *link.Conn) link.Handler {
	c := &callerConn{side: s, link: l, legs: map[string]*callLeg{}}
	s.core.Post(func() {
		s.came++
		c.num, c.at = s.came, s.core.Now()
		s.conns = append(s.conns, c)
		s.core.Metrics.CallerConnections.Set(int64(len(s.conns)))
		if len(s.conns) > s.room {
			s.evict()
		}
	})
	return c
}

// evict makes room: it closes the connection that has been quiet longest among those that never said anything, else among
// those without a call. Guards the usual callers' place against connections that are only held; one with a call that
// stands is kept, for the call's release is for its caller, who may be heard nowhere else.
func (s *Callers) evict() {
	var pick *callerConn
	for _, c := range s.conns {
		if len(c.legs) == 0 && c.ahead.Load() == 0 && s.core.Now()-c.at >= youngMost && (pick == nil || pick.said && !c.said) {
			pick = c
		}
	}
	if pick != nil {
		s.core.Metrics.CallersEvicted.Inc()
		pick.link.Close()
		pick.end()
	}
}

// end takes a connection for ended; what was open on it is given up. Guards the set-up that crosses a close of ours: read
// but not handled yet, it would be sent on and its caller never hear of it. With nothing sent on, it comes again.
func (c *callerConn) end() {
	s := c.side
	if e := s.log.Check(zap.DebugLevel, "caller's connection ended"); e != nil && !c.over {
		e.Write(zap.Uint64("number", c.num), zap.Bool("said", c.said), zap.Int("open", c.open), zap.Int("calls", len(c.legs)),
			zap.Int32("ahead", c.ahead.Load()), zap.Duration("quiet", s.core.Now()-c.at), zap.Int("wrong", c.wrong))
	}
	c.over = true
	s.conns = slices.DeleteFunc(s.conns, func(o *callerConn) bool { return o == c })
	s.core.Metrics.CallerConnections.Set(int64(len(s.conns)))
	for _, id := range slices.Sorted(maps.Keys(c.legs)) {
		if leg := c.legs[id]; leg.open { // a call that stands belongs to no connection
			s.forget(id)
			s.core.Abandoned(leg.call)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.byes)) {
		if leg := s.byes[id]; leg.byeOn == c { // not confirmed: it may not have been read
			s.sendBye(leg)
		}
	}
}

// SetReady tells that the agent can take calls: tests are passed from now on.
func (s *Callers) SetReady() {
	s.ready = true
	for _, t := range s.tests {
		t()
	}
	s.tests = nil
}

// Data reads messages. What cannot be read is refused where it is a request, and ends the connection: where the next
// message starts is not known.
func (c *callerConn) Data(l *link.Conn, b []byte) (int, error) {
	core := c.side.core
	used := 0
	for {
		m, n, err := sip.Parse(b[used:])
		used += n
		if err != nil {
			core.Metrics.Malformed.Inc()
			c.side.log.Debug("caller cannot be read", zap.Error(err), zap.ByteString("from", b[used:min(len(b), used+160)]))
			if m != nil && m.Method != "" && m.Method != "ACK" {
				status, reason := 400, "Bad Request"
				if err == sip.ErrTooLong {
					status, reason = 513, "Message Too Large"
				}
				l.Send(m.Response(status, reason, "").Append(nil), nil)
			}
			core.Post(c.end)
			return used, err
		}
		if m == nil {
			return used, nil
		}
		// Guards the queue and the memory against requests by the hundred: what is beyond is refused here, at the cost of
		// reading it.
		size := int64(n)
		if c.ahead.Add(1) > aheadMost || c.side.ahead.Add(size) > int64(c.side.most) {
			core.Metrics.RateLimited.Inc()
			if m.Method != "" && m.Method != "ACK" {
				l.Send(m.Response(503, "Service Unavailable", "").Append(nil), nil)
			}
			c.handled(size)
			continue
		}
		core.Post(func() {
			c.handled(size)
			c.message(m)
		})
	}
}

func (c *callerConn) handled(size int64) {
	c.ahead.Add(-1)
	c.side.ahead.Add(-size)
}

// Closed tells that the connection has ended.
func (c *callerConn) Closed(*link.Conn) { c.side.core.PostNonBlocking(c.end) }

// touch keeps the connections in the order in which they last said something.
func (c *callerConn) touch() {
	s := c.side
	if c.over {
		return
	}
	c.said, c.at = true, s.core.Now()
	if n := len(s.conns); n > 0 && s.conns[n-1] == c {
		return
	}
	s.conns = slices.DeleteFunc(s.conns, func(o *callerConn) bool { return o == c })
	s.conns = append(s.conns, c)
}

func (c *callerConn) send(m *sip.Message) bool { return !c.over && c.link.Send(m.Append(nil), nil) }

// wrongly refuses a request for what it is. A connection that goes on sending such is closed.
func (c *callerConn) wrongly(m *sip.Message, status int, reason string, more ...sip.Header) {
	c.send(m.Response(status, reason, "", more...))
	if c.wrong++; c.wrong >= wrongMost && c.open == 0 {
		c.link.CloseAfterFlush()
		c.end()
	}
}

func (c *callerConn) message(m *sip.Message) {
	c.touch()
	s := c.side
	id := m.Get("Call-ID")
	leg := s.legs[id]
	c.talks = c.talks || m.Method != "OPTIONS"
	if m.Status != 0 {
		if m.CSeqMethod() == "BYE" && m.Status >= 200 && leg != nil && leg.bye != nil {
			s.over(id)
		}
		return
	}
	switch m.Method {
	case "INVITE":
		s.invite(c, id, m)
	case "ACK":
		if leg != nil {
			leg.acked = true
			if !c.acked && !leg.open {
				c.acked = true
				s.sendByes()
			}
		}
	case "CANCEL":
		if leg == nil || leg.open && leg.conn != c { // a set-up belongs to its connection, a call that stands to none
			s.unknown(c, id, m)
			return
		}
		c.send(m.Response(200, "OK", ""))
		if leg.bye != nil {
			return
		}
		if leg.open {
			s.over(id)
			s.core.Abandoned(leg.call)
			leg.conn.send(leg.invite.Response(487, "Request Terminated", ""))
			return
		}
		// It crossed the answer. A caller that took the answer acknowledges it; from one that did not, nothing more
		// comes and the call must not stand for ever.
		if !leg.acked {
			s.core.After(ackWait, func() {
				if k := leg.call; s.legs[id] == leg && !leg.acked && leg.bye == nil && k.Established() {
					// Guards a caller that did take the answer, and whose word of it has not come: to it the call would stand.
					s.core.Hangup(k, 16)
					s.Release(k, 16)
				}
			})
		}
	case "BYE":
		if leg == nil {
			s.unknown(c, id, m)
			return
		}
		c.send(m.Response(200, "OK", ""))
		if leg.bye != nil || leg.call.Established() {
			s.over(id)
			if leg.bye == nil {
				s.core.Hangup(leg.call, cause(m.Get("Reason")))
			}
		}
	case "OPTIONS":
		s.test(c, m)
	default:
		c.wrongly(m, 405, "Method Not Allowed", sip.Header{Name: "Allow", Value: "INVITE, ACK, CANCEL, BYE, OPTIONS"})
	}
}

// unknown answers a request about a call that is not there: one that is just over was told so, any other never was.
func (s *Callers) unknown(c *callerConn, id string, m *sip.Message) {
	if _, ok := s.done[id]; ok {
		s.core.Metrics.Duplicates.Inc()
		c.send(m.Response(200, "OK", ""))
		return
	}
	s.core.Metrics.StrayMessages.Inc()
	c.send(m.Response(481, "Call/Transaction Does Not Exist", ""))
}

// test answers a test: passed once the agent is ready.
func (s *Callers) test(c *callerConn, m *sip.Message) {
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if s.ready && s.away == nil {
			c.send(m.Response(200, "OK", ""))
		} else {
			c.send(m.Response(503, "Service Unavailable", ""))
		}
	}
	if s.ready || len(s.tests) > 64 {
		answer()
		return
	}
	s.tests = append(s.tests, answer)
	s.core.After(testLinger, answer)
}

// cause reads Q.850;cause=N of a Reason header (RFC 3326).
func cause(reason string) int {
	for _, p := range strings.Split(reason, ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(p), "cause="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return n
			}
		}
	}
	return 16
}

func (s *Callers) invite(c *callerConn, id string, m *sip.Message) {
	if c.over {
		return // the caller closed the connection behind the set-up: its end was told before this was read
	}
	// Guards against a set-up that comes again: it must not run twice, nor get a second answer, and the id of a call may
	// serve nobody else. A copy on the connection of the first has its answer in the first's; any other is refused.
	leg := s.legs[id]
	on, done := s.done[id]
	switch {
	case done && on == c.num, leg != nil && leg.conn == c &&
		(!leg.open || leg.call.Description == m.Body && leg.call.Number == m.User()):
		s.core.Metrics.Duplicates.Inc()
		return
	case leg != nil && leg.open && leg.conn == c:
		// Two requests of one id on one connection: no answer to either could be told from the other's.
		s.core.Metrics.Malformed.Inc()
		s.over(id)
		s.core.Abandoned(leg.call)
		c.send(m.Response(400, "Bad Request", ""))
		c.link.CloseAfterFlush()
		c.end()
		return
	case leg != nil || done:
		s.core.Metrics.Duplicates.Inc()
		c.wrongly(m, 482, "Loop Detected")
		return
	}
	k, err := s.parse(id, m)
	if err != nil {
		s.core.Metrics.Malformed.Inc()
		s.log.Debug("set-up refused", zap.Error(err))
		c.wrongly(m, 400, "Bad Request")
		return
	}
	head := m.CloneForResponses()
	leg = &callLeg{call: k, conn: c, invite: head, size: len(k.Description), open: true}
	for _, h := range head.Headers {
		leg.size += len(h.Name) + len(h.Value)
	}
	if s.leaving || s.refuse || c.open >= openMost || s.held+leg.size > s.most {
		s.core.Metrics.RateLimited.Inc()
		s.core.CountRefused(k)
		c.send(m.Response(503, "Service Unavailable", ""))
		c.dismiss()
		return
	}
	if !c.calls {
		c.calls = true
		s.sendByes()
	}
	k.Leg = leg
	s.legs[id], c.legs[id] = leg, leg
	c.open++
	s.held += leg.size
	s.core.Offer(k)
}

// hex16 tells whether an id is one that this protocol has.
func hex16(id string) bool {
	_, err := strconv.ParseUint(id, 16, 64)
	return err == nil && len(id) == 16
}

func (s *Callers) parse(id string, m *sip.Message) (*agent.Call, error) {
	// Cloned, since they outlive the message, whose strings are parts of one.
	k := &agent.Call{ID: strings.Clone(id), Number: strings.Clone(m.User()), Description: strings.Clone(m.Body),
		Caller: s, Dest: -1, Via: -1}
	// Guards every other call on a connection to a far end: what a far end cannot read makes it close the connection.
	switch {
	case !hex16(id):
		return nil, fmt.Errorf("Call-ID %q is not 16 hex digits", id)
	case !utf8.ValidString(k.Number) || !utf8.ValidString(k.Description):
		return nil, fmt.Errorf("the number or the description is no text")
	case len(k.Description)+len(k.Number) > farend.MaxLine/8 && len(launch(k, "", 0).Append(nil)) > farend.MaxLine-64:
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
	s.settle(leg)
	leg.conn.send(leg.invite.Response(200, "OK", description))
	leg.conn.dismiss()
}

// Refuse tells the caller that its call does not stand, and when to come back where the settings allow it.
func (s *Callers) Refuse(k *agent.Call, failed bool, pause time.Duration) {
	leg := k.Leg.(*callLeg)
	s.over(k.ID)
	status, reason := 503, "Service Unavailable"
	var more []sip.Header
	if failed {
		status, reason = 500, "Server Internal Error"
	} else if pause > 0 {
		seconds := (pause + time.Second - 1) / time.Second
		more = append(more, sip.Header{Name: "Retry-After", Value: strconv.Itoa(int(seconds))})
	}
	leg.conn.send(leg.invite.Response(status, reason, "", more...))
	leg.conn.dismiss()
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
		{Name: "Via", Value: fmt.Sprintf("SIP/2.0/TCP %s;branch=z9hG4bK%x", s.local, s.branch)},
		{Name: "Max-Forwards", Value: "70"},
		{Name: "Call-ID", Value: k.ID},
		{Name: "CSeq", Value: "1 BYE"},
		{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}}}
	if from, to := inv.Get("From"), inv.Get("To"); from != "" && to != "" {
		bye.Headers = append(bye.Headers, sip.Header{Name: "From", Value: to}, sip.Header{Name: "To", Value: from})
	}
	leg.bye, leg.endAt = bye.Append(nil), s.core.Now()
	leg.call = &agent.Call{ID: k.ID} // what the call held is over
	s.byes[k.ID] = leg
	s.sendBye(leg)
}

func (s *Callers) sendBye(leg *callLeg) {
	if c := leg.conn; !c.over && c.link.Send(leg.bye, nil) {
		leg.byeOn = c
		return
	}
	last := leg.byeOn
	leg.byeOn = nil
	for rank := acked; rank > stranger; rank-- {
		for i := len(s.conns) - 1; i >= 0; i-- {
			if c := s.conns[i]; c != last && c.rank() == rank && c.link.Send(leg.bye, nil) {
				leg.byeOn = c
				return
			}
		}
	}
	if last != nil && !last.over {
		leg.byeOn = last // there is no other
	}
}

// How sure it is that a connection leads to the callers.
const (
	stranger = iota // it only tests, and is closed behind the answer with the rest unread
	silent          // it has said nothing, nothing for a while, or nothing that tells
	caller          // it has brought a call that could be taken
	acked           // it has acknowledged an answer
)

// rank guards releases against connections that others hold: one that sends all sorts of things reads a release, and nobody
// else hears of it.
func (c *callerConn) rank() int {
	switch {
	case c.acked:
		return acked
	case c.calls:
		return caller
	case !c.said || c.talks || c.side.core.Now()-c.at >= byeEvery:
		return silent
	}
	return stranger
}

// sendByes sends the releases again that have not surely reached the callers: the connection that carried them has ended, or is
// not known to be theirs and did not confirm.
func (s *Callers) sendByes() {
	for _, id := range slices.Sorted(maps.Keys(s.byes)) {
		leg := s.byes[id]
		if on := leg.byeOn; on == nil || on.over || on != leg.conn && on.rank() < acked {
			s.sendBye(leg)
		}
	}
}

// sweep sends releases again whose connection closed before they were confirmed, or that found none.
func (s *Callers) sweep() {
	for _, id := range slices.Sorted(maps.Keys(s.byes)) {
		if s.core.Now()-s.byes[id].endAt > byeMost {
			s.over(id)
		}
	}
	s.sendByes()
	for _, c := range slices.Clone(s.conns) {
		// Guards the descriptors against those that open a connection, or begin a message, and say nothing more.
		if !c.said && s.core.Now()-c.at > silentMost || c.link.StalledFor() > silentMost {
			s.core.Metrics.CallersTimedOut.Inc()
			c.link.Close()
			c.end()
		}
	}
	s.dismiss()
	s.core.Metrics.QueueLength.Set(int64(s.core.Queued()))
}
