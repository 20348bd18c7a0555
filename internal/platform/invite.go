package platform

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
	"tinbeam/internal/sip"
)

// This file accepts, refuses and parses set-ups of callers.

func (s *Callers) handleInvite(c *callerConn, id string, m *sip.Message) {
	if c.closed || c.peerGone.Load() {
		return // the caller has closed the connection after the set-up, and waits for no answer
	}
	// A repeated set-up must not run twice or get a second answer, and a Call-ID must not be used for another call. A copy on
	// the connection of the first set-up is ignored, since the first one's answer serves both; any other is refused.
	leg := s.legs[id]
	connNumber, finished := s.finished[id]
	switch {
	case finished && connNumber == c.number, leg != nil && leg.conn == c &&
		(!leg.pending || leg.call.Description == m.Body && leg.call.Number == m.User()):
		s.core.Metrics.Duplicates.Inc()
		return
	case leg != nil && leg.pending && leg.conn == c:
		// Two set-ups with one Call-ID on one connection: their answers could not be told apart.
		s.core.Metrics.Malformed.Inc()
		s.finish(id)
		s.core.Abandoned(leg.call)
		c.send(m.Response(400, "Bad Request", ""))
		c.link.CloseAfterFlush()
		c.tearDown()
		return
	case leg != nil || finished:
		s.core.Metrics.Duplicates.Inc()
		c.refuseBad(m, 482, "Loop Detected")
		return
	}
	k, err := s.parseInvite(id, m)
	if err != nil {
		s.core.Metrics.Malformed.Inc()
		s.log.Debug("invalid set-up refused", zap.Error(err))
		c.refuseBad(m, 400, "Bad Request")
		return
	}
	if !m.ReceivedAt.IsZero() { // its time counts from its last byte, not from now: a crowd may have been before it in the queue
		k.TimeLeft = max(k.TimeLeft-time.Since(m.ReceivedAt), 0)
	}
	head := m.CloneForResponses()
	leg = &callLeg{call: k, conn: c, invite: head, size: len(k.Description), pending: true}
	for _, h := range head.Headers {
		leg.size += len(h.Name) + len(h.Value)
	}
	if reason := s.reasonToRefuse(c, leg); reason != "" {
		s.log.Debug("set-up refused on arrival", zap.String("call", id), zap.Uint64("connection", c.number),
			zap.String("reason", reason))
		s.core.Metrics.RateLimited.Inc()
		s.core.CountRefused(k)
		s.remember(k.ID, c)
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

// reasonToRefuse says why a set-up cannot be offered to the core; "" if it can.
func (s *Callers) reasonToRefuse(c *callerConn, leg *callLeg) string {
	switch {
	case s.stopping:
		return "the agent is shutting down"
	case s.drainRefusing:
		return "callers are drained"
	case c.pending >= maxPendingPerConn:
		return "too many set-ups pending on the connection"
	case s.legBytes+leg.size > s.maxBytes:
		return "memory for set-ups is used up"
	}
	return ""
}

// validCallID reports whether an id has the form that this protocol uses: 16 hex digits.
func validCallID(id string) bool {
	_, valid := callNumber(id)
	return valid
}

func (s *Callers) parseInvite(id string, m *sip.Message) (*agent.Call, error) {
	// Cloned, since they outlive the message, whose strings all share one buffer.
	k := &agent.Call{ID: strings.Clone(id), Number: strings.Clone(m.User()), Description: strings.Clone(m.Body),
		Caller: s, Dest: -1, Via: -1}
	// These checks protect the other set-ups on a connection to a far end, which closes it when it cannot parse a line.
	switch {
	case !validCallID(id):
		return nil, fmt.Errorf("Call-ID %q is not 16 hex digits", id)
	case !utf8.ValidString(k.Number) || !utf8.ValidString(k.Description):
		return nil, fmt.Errorf("the number or the description is not valid UTF-8")
	case len(k.Description)+len(k.Number) > farend.MaxLine/8 && len(launchLine(k, "", 0).Append(nil)) > farend.MaxLine-64:
		return nil, fmt.Errorf("the description is too long to be sent to a far end")
	}
	if k.Class = s.core.ClassIndex(m.Get("P-Kind")); k.Class < 0 {
		return nil, fmt.Errorf("class %q is not in the settings", m.Get("P-Kind"))
	}
	class := s.core.Settings.Classes[k.Class]
	k.Width, k.TimeLeft = class.Width, class.HardLimit
	if v := m.Get("P-Time-Left"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms >= 0 && ms < 1e9) {
			return nil, fmt.Errorf("invalid P-Time-Left %q", v)
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
			return nil, fmt.Errorf("invalid P-Path field %q", part)
		}
		switch name {
		case "dest":
			k.Dest = int(v)
		case "width":
			if v <= 0 {
				return nil, fmt.Errorf("invalid P-Path field %q", part)
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
