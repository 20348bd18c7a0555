package platform

import (
	"slices"

	"tinbeam/internal/agent"
	"tinbeam/internal/sip"
)

// This file answers health checks of the front.

// heldHealthCheck is a health check that was received before the agent was ready.
type heldHealthCheck struct {
	conn    *callerConn
	message *sip.Message
	timer   *agent.Timer // answers it at the latest
}

// handleOptions answers a health check. One that comes before the agent is ready waits for that.
func (s *Callers) handleOptions(c *callerConn, m *sip.Message) {
	if s.ready || len(s.heldHealthChecks) >= maxHeldHealthChecks {
		s.answerHealthCheck(c, m)
		return
	}
	held := &heldHealthCheck{conn: c, message: m}
	held.timer = s.core.After(healthCheckTimeout, func() {
		s.heldHealthChecks = slices.DeleteFunc(s.heldHealthChecks, func(o *heldHealthCheck) bool { return o == held })
		s.answerHealthCheck(c, m)
	})
	s.heldHealthChecks = append(s.heldHealthChecks, held)
}

// answerHealthCheck answers a health check: it passes once the agent is ready, and fails during a drain.
func (s *Callers) answerHealthCheck(c *callerConn, m *sip.Message) {
	if s.ready && s.drain == nil {
		c.send(m.Response(200, "OK", ""))
	} else {
		c.send(m.Response(503, "Service Unavailable", ""))
	}
}

// SetReady records that the agent can accept calls: from now on health checks pass.
func (s *Callers) SetReady() {
	s.ready = true
	held := s.heldHealthChecks
	s.heldHealthChecks = nil
	for _, h := range held {
		s.core.Stop(h.timer)
		s.answerHealthCheck(h.conn, h.message)
	}
}
