// Package platform is the front for the platform's own protocol: SIP from callers, JSON lines to far ends, and the
// change log. It joins the pure parsers to the connections and to the core, and takes no decision.
package platform

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/link"
	"tinbeam/internal/sip"
)

const (
	ackWait    = time.Second // an answer that crossed a CANCEL and is not acknowledged in this time is released
	byeEvery   = 300 * time.Millisecond
	byeMost    = 8 * time.Second // a release that could not be delivered in this time is of no more use
	legsMost   = 20000
	doneFor    = 30 * time.Second // how long it is remembered that a call was answered
	doneMost   = 20000
	testLinger = 700 * time.Millisecond // a test that comes before the agent is ready waits for it so long
)

// Callers is the caller side.
type Callers struct {
	core   *agent.Core
	log    *zap.Logger
	local  string
	ready  bool
	legs   map[string]*callLeg // by Call-ID
	conns  []*callerConn       // open, the latest to say something last
	byes   map[string]*callLeg // releases that no caller has confirmed
	done   map[string]bool     // calls that are over and had their final answer
	order  []doneCall          // the same, oldest first
	tests  []func()
	branch uint64
}

// callLeg is what this front keeps of a call.
type callLeg struct {
	call   *agent.Call
	conn   *callerConn
	invite *sip.Message
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
	delete(s.byes, id)
	delete(s.legs, id)
	if !s.done[id] {
		s.done[id] = true
		s.order = append(s.order, doneCall{id, s.core.Now()})
	}
	for len(s.order) > 0 && (len(s.order) > doneMost || s.core.Now()-s.order[0].at > doneFor) {
		delete(s.done, s.order[0].id)
		s.order = s.order[1:]
	}
}

// callerConn is one connection; its methods Data and Closed run outside the loop and only post.
type callerConn struct {
	side *Callers
	link *link.Conn // set on the loop by the first message
	over bool
}

// NewCallers makes the caller side; local is written where a SIP message names the agent.
func NewCallers(core *agent.Core, log *zap.Logger, local string) *Callers {
	s := &Callers{core: core, log: log, local: local, legs: map[string]*callLeg{}, byes: map[string]*callLeg{},
		done: map[string]bool{}}
	var sweep func()
	sweep = func() {
		s.sweep()
		core.After(byeEvery, sweep)
	}
	core.After(byeEvery, sweep)
	return s
}

// Accept gives a new connection its object.
func (s *Callers) Accept() link.Events { return &callerConn{side: s} }

// Ready tells that the agent can take calls: tests are passed from now on.
func (s *Callers) Ready() {
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
			core.M.Malformed.Inc()
			if m != nil && m.Method != "" && m.Method != "ACK" {
				status, reason := 400, "Bad Request"
				if err == sip.ErrTooLong {
					status, reason = 513, "Message Too Large"
				}
				l.Send(m.Answer(status, reason, "").Append(nil), nil)
			}
			return used, err
		}
		if m == nil {
			return used, nil
		}
		core.Post(func() { c.message(l, m) })
	}
}

// Closed tells that the connection has ended.
func (c *callerConn) Closed(*link.Conn) { c.side.core.Post(c.lost) }

func (c *callerConn) lost() {
	s := c.side
	c.over = true
	s.conns = slices.DeleteFunc(s.conns, func(o *callerConn) bool { return o == c })
	var gone []*callLeg
	for _, l := range s.legs {
		if l.conn == c && l.call != nil && l.bye == nil {
			gone = append(gone, l)
		}
	}
	slices.SortFunc(gone, func(a, b *callLeg) int { return strings.Compare(a.call.ID, b.call.ID) })
	for _, l := range gone {
		if !l.call.Standing() { // a call that stands belongs to no connection
			delete(s.legs, l.call.ID)
			s.core.Abandoned(l.call)
		}
	}
}

// touch keeps the connections in the order in which they last said something.
func (c *callerConn) touch(l *link.Conn) {
	s := c.side
	if c.over {
		return
	}
	c.link = l
	if n := len(s.conns); n > 0 && s.conns[n-1] == c {
		return
	}
	s.conns = slices.DeleteFunc(s.conns, func(o *callerConn) bool { return o == c })
	s.conns = append(s.conns, c)
}

func (c *callerConn) send(m *sip.Message) bool { return !c.over && c.link.Send(m.Append(nil), nil) }

func (c *callerConn) message(l *link.Conn, m *sip.Message) {
	c.touch(l)
	c.link = l
	s := c.side
	id := m.Get("Call-ID")
	leg := s.legs[id]
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
		}
	case "CANCEL":
		if leg == nil {
			s.unknown(c, id, m)
			return
		}
		c.send(m.Answer(200, "OK", ""))
		if leg.bye != nil {
			return
		}
		if !leg.call.Standing() {
			s.over(id)
			s.core.Abandoned(leg.call)
			leg.conn.send(leg.invite.Answer(487, "Request Terminated", ""))
			return
		}
		// It crossed the answer. A caller that took the answer acknowledges it; from one that did not, nothing more
		// comes and the call must not stand for ever.
		if !leg.acked {
			s.core.After(ackWait, func() {
				if s.legs[id] == leg && !leg.acked && leg.bye == nil {
					s.over(id)
					s.core.Hangup(leg.call, 16)
				}
			})
		}
	case "BYE":
		if leg == nil {
			s.unknown(c, id, m)
			return
		}
		c.send(m.Answer(200, "OK", ""))
		if leg.bye != nil || leg.call.Standing() {
			s.over(id)
			if leg.bye == nil {
				s.core.Hangup(leg.call, cause(m.Get("Reason")))
			}
		}
	case "OPTIONS":
		s.test(c, m)
	default:
		c.send(m.Answer(405, "Method Not Allowed", "",
			sip.Header{Name: "Allow", Value: "INVITE, ACK, CANCEL, BYE, OPTIONS"}))
	}
}

// unknown answers a request about a call that is not there: one that is just over was told so, any other never was.
func (s *Callers) unknown(c *callerConn, id string, m *sip.Message) {
	if s.done[id] {
		s.core.M.Repeated.Inc()
		c.send(m.Answer(200, "OK", ""))
		return
	}
	s.core.M.Stray.Inc()
	c.send(m.Answer(481, "Call/Transaction Does Not Exist", ""))
}

// test answers a test: passed once the agent is ready.
func (s *Callers) test(c *callerConn, m *sip.Message) {
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if s.ready {
			c.send(m.Answer(200, "OK", ""))
		} else {
			c.send(m.Answer(503, "Service Unavailable", ""))
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
	if leg := s.legs[id]; leg != nil {
		// Guards against a set-up that comes again: it must not run twice. Its answer goes where it was last asked.
		s.core.M.Repeated.Inc()
		if leg.conn.over && !leg.call.Standing() {
			leg.conn = c
		}
		return
	}
	if s.done[id] {
		s.core.M.Repeated.Inc()
		return
	}
	k, err := s.parse(id, m)
	if err != nil {
		s.core.M.Malformed.Inc()
		s.log.Debug("set-up refused", zap.Error(err))
		c.send(m.Answer(400, "Bad Request", ""))
		return
	}
	if len(s.legs) >= legsMost {
		c.send(m.Answer(503, "Service Unavailable", ""))
		return
	}
	m.Body = "" // the call keeps it
	leg := &callLeg{call: k, conn: c, invite: m}
	k.Leg = leg
	s.legs[id] = leg
	if c.over {
		// The caller closed the connection behind the set-up: its end was told before this was read.
		delete(s.legs, id)
		return
	}
	s.core.Offer(k)
}

func (s *Callers) parse(id string, m *sip.Message) (*agent.Call, error) {
	k := &agent.Call{ID: id, Number: m.User(), Class: -1, Description: m.Body, Caller: s, Dest: -1, Via: -1}
	if id == "" {
		return nil, fmt.Errorf("no Call-ID")
	}
	for i, cl := range s.core.Set.Classes {
		if cl.Name == m.Get("P-Kind") {
			k.Class = i
		}
	}
	if k.Class < 0 {
		return nil, fmt.Errorf("class %q is not in the settings", m.Get("P-Kind"))
	}
	class := s.core.Set.Classes[k.Class]
	k.Width, k.Left = class.Width, class.HardLimit
	if v := m.Get("P-Time-Left"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms >= 0 && ms < 1e9) {
			return nil, fmt.Errorf("P-Time-Left %q", v)
		}
		k.Left = time.Duration(ms * float64(time.Millisecond))
	}
	k.Key = agent.Key(k.Number)
	if m.Get("P-Second-Try") == "1" {
		k.Opts |= tinbeam.OptRedial
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
			k.Width = v
		case "via":
			k.Via = int(v)
		case "transit":
			if v == 1 {
				k.Opts |= tinbeam.OptTransit
			}
		case "again":
			if v == 1 {
				k.Opts |= tinbeam.OptAgain
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
	leg.conn.send(leg.invite.Answer(200, "OK", description))
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
	leg.conn.send(leg.invite.Answer(status, reason, "", more...))
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
	for i := len(s.conns) - 1; i >= 0; i-- {
		if c := s.conns[i]; c.link.Send(leg.bye, nil) {
			leg.byeOn = c
			return
		}
	}
	leg.byeOn = nil
}

// sweep sends releases again whose connection closed before they were confirmed, or that found none.
func (s *Callers) sweep() {
	ids := make([]string, 0, len(s.byes))
	for id := range s.byes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		leg := s.byes[id]
		if s.core.Now()-leg.endAt > byeMost {
			s.over(id)
		} else if leg.byeOn == nil || leg.byeOn.over {
			s.sendBye(leg)
		}
	}
	s.core.M.QueueLength.Set(int64(s.core.Queued()))
}
