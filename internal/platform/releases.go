package platform

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"go.uber.org/zap"

	"tinbeam/internal/agent"
	"tinbeam/internal/sip"
)

// This file sends releases to callers until they are confirmed.

// Release notifies the caller that its call has ended. The BYE is resent, on any connection available,
// until it is confirmed or byeTTL has passed.
func (s *Callers) Release(k *agent.Call, cause int) {
	leg := k.Leg.(*callLeg)
	if s.legs[k.ID] != leg {
		return // its caller was told that it failed
	}
	leg.call = &agent.Call{ID: k.ID} // the rest of the call's state is not needed any longer
	leg.releaseCause, leg.releasedAt = cause, s.core.Now()
	leg.bye = s.newBye(leg).Append(nil)
	s.byes[k.ID] = leg
	s.sendBye(leg)
}

// newBye returns the next BYE of a call. Its request line and header fields repeat what the caller has written in its set-up, unless
// that cannot be repeated in a message of this size, or the caller has refused a BYE with it.
func (s *Callers) newBye(leg *callLeg) *sip.Message {
	s.branch++
	leg.byeNumber++
	bye := &sip.Message{Method: "BYE", URI: defaultPeerURI, Headers: []sip.Header{
		{Name: "Via", Value: fmt.Sprintf("SIP/2.0/TCP %s;branch=z9hG4bK%x", s.sentBy, s.branch)},
		{Name: "Max-Forwards", Value: "70"},
		{Name: "Call-ID", Value: leg.call.ID},
		{Name: "CSeq", Value: fmt.Sprintf("%d BYE", leg.byeNumber)},
		{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(leg.releaseCause)}}}
	if leg.byeNumber > 1 || leg.invite == nil {
		return bye
	}
	full := *bye
	from, to := leg.invite.Get("From"), leg.invite.Get("To")
	if uri, ok := sip.AddressURI(from); ok {
		full.URI = uri
	}
	if from != "" && to != "" && !hasControl(from) && !hasControl(to) {
		full.Headers = append(slices.Clone(bye.Headers), sip.Header{Name: "From", Value: to}, sip.Header{Name: "To", Value: from})
	}
	if full.Fits() {
		return &full
	}
	return bye
}

// defaultPeerURI is the address in the request line of a BYE to a caller whose own address is not known.
const defaultPeerURI = "sip:peer@net"

// hasControl reports whether a header value has a control character other than a tab, which may end a line for its reader.
func hasControl(value string) bool {
	return strings.ContainsFunc(value, func(r rune) bool { return unicode.IsControl(r) && r != '\t' })
}

// statusUnknownCall is the response of a peer that does not know the call.
const statusUnknownCall = 481

// handleByeResponse handles the final response to a BYE. A success confirms the release, and so does a caller on the connection of the
// set-up that does not know the call any more. Any other refusal proves only that this BYE was not carried out: the next one repeats
// nothing of the set-up, which the peer may have been unable to read. There may be several peers: one that did not bring the
// call and does not know it says nothing about the one that did, so the BYE goes on.
func (s *Callers) handleByeResponse(c *callerConn, leg *callLeg, status int) {
	switch {
	case status < 300, status == statusUnknownCall && c == leg.conn:
		s.finish(leg.call.ID)
	case status == statusUnknownCall:
		leg.strangers = append(leg.strangers, c)
		if leg.byeConn == c {
			s.sendBye(leg)
		}
	case !leg.byeRefused:
		leg.byeRefused = true
		s.core.Metrics.ReleasesRefused.Inc()
		s.log.Info("release refused by its caller", zap.String("call", leg.call.ID), zap.Uint64("connection", c.number),
			zap.Int("status", status))
	}
}

// resendRefused sends a refused release again, also on the connection on which it was refused.
func (s *Callers) resendRefused(leg *callLeg) {
	leg.byeRefused = false
	leg.bye = s.newBye(leg).Append(nil)
	last := leg.byeConn
	s.sendBye(leg)
	if c := leg.byeConn; c != nil && c == last && c != leg.conn {
		c.link.Send(leg.bye, nil) // sendBye has found no other one
	}
}

// sendBye sends a BYE on the connection of the call's set-up. If that is closed it takes the connection of the highest rank above
// rankCheckOnly, and of these the most recently active one. The connection that carried the BYE last is passed over: if it is
// open and there is no other, the BYE stays assigned to it and is not sent again.
func (s *Callers) sendBye(leg *callLeg) {
	if c := leg.conn; !c.closed && c.link.Send(leg.bye, nil) {
		leg.byeConn = c
		return
	}
	last := leg.byeConn
	leg.byeConn = nil
	for rank := rankACKed; rank > rankCheckOnly; rank-- {
		for i := len(s.conns) - 1; i >= 0; i-- {
			if c := s.conns[i]; c != last && c.rank() == rank && !slices.Contains(leg.strangers, c) && c.link.Send(leg.bye, nil) {
				leg.byeConn = c
				return
			}
		}
	}
	if last != nil && !last.closed && !slices.Contains(leg.strangers, last) {
		leg.byeConn = last // no other connection is available
	}
}

// How certain it is that a connection leads to the callers, in rising order.
const (
	rankCheckOnly = iota // it has sent health checks only; the peer closes it after the answer and reads nothing else
	rankUnknown          // it has sent nothing, nothing recently, or nothing that identifies a caller
	rankCaller           // it has sent a set-up that could be offered
	rankACKed            // it has sent an ACK of an answer
)

// rank rates a connection for sending a release. Without this, a release could go to a connection of somebody else, who sends
// arbitrary messages and reads the release, while its caller never receives it.
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

// resendByes resends the releases that may not have reached the callers: the connection that they were sent on has closed, or
// is not known to be a caller's, and they are not confirmed.
func (s *Callers) resendByes() {
	for _, leg := range s.unconfirmedReleases() {
		if leg.byeRefused {
			s.resendRefused(leg)
		} else if leg.byeConn == leg.conn && !leg.conn.closed {
			s.sendBeside(leg)
		} else if c := leg.byeConn; c == nil || c.closed || c != leg.conn && c.rank() < rankACKed {
			s.sendBye(leg)
		}
	}
}

// maxConnsBeside is the number of further connections that an unconfirmed release is sent on.
const maxConnsBeside = 4

// sendBeside sends a release that is not confirmed on the other connections of its caller's host too, once: the connection of the set-up may
// have fallen silent.
func (s *Callers) sendBeside(leg *callLeg) {
	if leg.sentBeside || s.core.Now()-leg.releasedAt < byeRetryInterval {
		return
	}
	leg.sentBeside = true
	others := 0
	for _, c := range slices.Backward(slices.Clone(s.conns)) { // the most recently active one first
		if c != leg.conn && c.host == leg.conn.host && c.rank() >= rankCaller && others < maxConnsBeside && c.link.Send(leg.bye, nil) {
			others++
		}
	}
}

// unconfirmedReleases yields the calls whose release no caller has confirmed, in the order of their IDs.
func (s *Callers) unconfirmedReleases() iter.Seq2[string, *callLeg] {
	return snapshot(s.byes, func(*callLeg) bool { return true })
}
