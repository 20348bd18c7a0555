package platform

import (
	"strconv"
	"strings"

	"tinbeam/internal/sip"
)

// This file handles the messages of callers about calls that exist: ACK, CANCEL, BYE and the responses to a BYE.

// handleMessage handles a message of a caller.
func (c *callerConn) handleMessage(m *sip.Message) {
	c.markActive()
	s := c.callers
	id := m.Get("Call-ID")
	leg := s.legs[id]
	c.gotNonOptions = c.gotNonOptions || m.Method != "OPTIONS"
	if m.Status != 0 {
		if m.CSeqMethod() == "BYE" && m.Status >= 200 && leg != nil && leg.bye != nil {
			s.handleByeResponse(c, leg, m.Status)
		}
		return
	}
	switch m.Method {
	case "INVITE":
		s.handleInvite(c, id, m)
	case "ACK":
		s.handleAck(c, leg)
	case "CANCEL":
		s.handleCancel(c, id, m)
	case "BYE":
		s.handleBye(c, id, m)
	case "OPTIONS":
		s.handleOptions(c, m)
	default:
		c.refuseBad(m, 405, "Method Not Allowed", sip.Header{Name: "Allow", Value: "INVITE, ACK, CANCEL, BYE, OPTIONS"})
	}
}

// handleAck handles the ACK of an answer; leg is nil if the call does not exist.
func (s *Callers) handleAck(c *callerConn, leg *callLeg) {
	if leg == nil {
		return
	}
	leg.acked = true
	if !c.gotACK && !leg.pending {
		c.gotACK = true
		s.resendByes()
	}
}

// handleCancel gives up a set-up that has no final answer. A CANCEL that crosses the answer ends the call as well, unless the caller
// accepts the answer.
func (s *Callers) handleCancel(c *callerConn, id string, m *sip.Message) {
	leg := s.legs[id]
	if leg == nil || leg.pending && leg.conn != c { // a set-up belongs to its connection, an established call to none
		s.answerUnknownCall(c, id, m)
		return
	}
	c.send(m.Response(200, "OK", ""))
	switch {
	case leg.bye != nil:
	case leg.pending:
		s.finish(id)
		s.core.Abandoned(leg.call)
		leg.conn.send(leg.invite.Response(487, "Request Terminated", ""))
	case !leg.acked:
		s.releaseUnackedSoon(leg)
	}
}

// releaseUnackedSoon releases the calls of the connection whose answers crossed its close.
func (c *callerConn) releaseUnackedSoon() {
	for _, leg := range c.legs {
		if !leg.pending && !leg.acked && leg.bye == nil {
			c.callers.releaseUnackedSoon(leg)
		}
	}
}

// releaseUnackedSoon releases a call unless the ACK of its answer arrives in time.
func (s *Callers) releaseUnackedSoon(leg *callLeg) {
	s.core.After(ackTimeout, func() { s.releaseUnacked(leg) })
}

// releaseUnacked releases a call whose answer crossed a CANCEL, or the close of its connection, and was not acknowledged. A caller that accepted the answer has sent an
// ACK; one that did not sends nothing more, and the call must not stay established forever. The caller is told too: it may have
// accepted the answer, its ACK being lost or late.
func (s *Callers) releaseUnacked(leg *callLeg) {
	k := leg.call
	if s.legs[k.ID] != leg || leg.acked || leg.bye != nil || !k.Established() {
		return
	}
	s.core.Hangup(k, causeNormalClearing)
	s.Release(k, causeNormalClearing)
}

// handleBye handles the release of a call by its caller.
func (s *Callers) handleBye(c *callerConn, id string, m *sip.Message) {
	leg := s.legs[id]
	if leg == nil {
		s.answerUnknownCall(c, id, m)
		return
	}
	c.send(m.Response(200, "OK", ""))
	if leg.bye == nil && !leg.call.Established() {
		return
	}
	s.finish(id)
	if leg.bye == nil {
		s.core.Hangup(leg.call, parseCause(m))
	}
}

// answerUnknownCall answers a request for a call that does not exist: with 200 if the call is finished, else with 481.
func (s *Callers) answerUnknownCall(c *callerConn, id string, m *sip.Message) {
	if _, ok := s.finished[id]; ok {
		s.core.Metrics.Duplicates.Inc()
		c.send(m.Response(200, "OK", ""))
		return
	}
	s.core.Metrics.StrayMessages.Inc()
	c.send(m.Response(481, "Call/Transaction Does Not Exist", ""))
}

// causeNormalClearing is the cause of a release without any other (Q.850).
const causeNormalClearing = 16

// parseCause returns the Q.850 cause of the Reason header fields (RFC 3326), which may name the reasons of other protocols too. Without
// one it returns causeNormalClearing.
func parseCause(m *sip.Message) int {
	for _, h := range m.Headers {
		if !strings.EqualFold(h.Name, "Reason") {
			continue
		}
		for _, reason := range sip.SplitList(h.Value, ',') {
			if cause, ok := q850Cause(sip.SplitList(reason, ';')); ok {
				return cause
			}
		}
	}
	return causeNormalClearing
}

// maxCause is the largest cause of Q.850.
const maxCause = 127

// q850Cause returns the cause of a reason, whose first part is the protocol.
func q850Cause(parts []string) (cause int, ok bool) {
	if !strings.EqualFold(parts[0], "Q.850") {
		return 0, false
	}
	for _, part := range parts[1:] {
		name, value, _ := strings.Cut(part, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "cause") {
			continue
		}
		cause, err := strconv.Atoi(strings.TrimSpace(value))
		return cause, err == nil && cause >= 0 && cause <= maxCause
	}
	return 0, false
}
