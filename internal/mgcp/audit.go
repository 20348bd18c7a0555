package mgcp

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"tinbeam"
)

// This file notices a gateway whose machine is gone or cut off: it says nothing, so its calls would stand forever.

const (
	auditInterval  = 250 * time.Millisecond  // how often the silence of gateways is checked
	auditDelay     = 2 * time.Second         // silence of a gateway with calls before it is audited
	silenceTimeout = 5 * time.Second         // silence that means failure: its calls must be released within 8 s of its end
	auditTimeout   = 2500 * time.Millisecond // least time that a gateway has to answer an audit
)

// inUse reports whether a line of the gateway has a call.
func (gw *gateway) inUse() bool {
	for _, l := range gw.lines {
		if l.called != nil || l.caller != nil {
			return true
		}
	}
	return false
}

// expectAnswers counts the silence of the gateway from now if it had no call, and so no cause to send anything.
func (gw *gateway) expectAnswers(now time.Duration) {
	if !gw.inUse() && gw.auditedAt == 0 {
		gw.silentSince = now
	}
}

// heard ends the silence of the gateways at an address.
func (f *FrontEnd) heard(from netip.AddrPort) {
	for _, gw := range f.gateways {
		if gw.addr.Addr() == from.Addr() && (gw.addr == from || !f.sharesAddress(gw)) {
			gw.silentSince, gw.auditedAt = f.core.Now(), 0
		}
	}
}

// sharesAddress reports whether another gateway has the same IP address: then only its port tells them apart.
func (f *FrontEnd) sharesAddress(gw *gateway) bool {
	for _, other := range f.gateways {
		if other != gw && other.addr.Addr() == gw.addr.Addr() {
			return true
		}
	}
	return false
}

// discountPause takes a time in which the agent itself did not run off the silence of all gateways: what they sent meanwhile is still to be
// handled.
func (f *FrontEnd) discountPause(now time.Duration) {
	pause := now - f.auditsRunAt - auditInterval
	f.auditsRunAt = now
	if pause <= auditInterval {
		return
	}
	for _, gw := range f.gateways {
		gw.silentSince = min(gw.silentSince+pause, now)
		if gw.auditedAt != 0 {
			gw.auditedAt = min(gw.auditedAt+pause, now)
		}
	}
}

// auditGateways audits the gateways that have calls and have been silent for a while, and gives up those that do not answer.
func (f *FrontEnd) auditGateways() {
	now := f.core.Now()
	f.discountPause(now)
	for _, gw := range f.gateways {
		silent := now - gw.silentSince
		switch {
		case !gw.inUse():
			gw.auditedAt = 0
		case silent > silenceTimeout && gw.auditedAt != 0 && now-gw.auditedAt >= auditTimeout:
			f.giveUp(gw, silent)
		case silent > auditDelay && gw.auditedAt == 0:
			gw.auditedAt = now
			f.tx.request(gw.addr, &Message{Verb: "AUEP", Endpoint: gw.lines[0].name}, nil)
		}
	}
	f.core.After(auditInterval, f.auditGateways)
}

// giveUp ends the established calls at a gateway that has not answered an audit, and deletes their connections, which are there if it
// was only cut off.
func (f *FrontEnd) giveUp(gw *gateway, silent time.Duration) {
	f.log.Warn("gateway is unresponsive", zap.String("gateway", gw.Name), zap.Duration("silent", silent))
	f.core.Metrics.IdleLinks.Inc()
	gw.silentSince, gw.auditedAt = f.core.Now(), 0
	for _, l := range gw.lines {
		if leg := l.called; leg != nil && !leg.ended && leg.attempt.Established() {
			leg.ended, l.called = true, nil
			f.core.Ended(leg.attempt, tinbeam.Reset, 0, nil, causeReset)
			f.clear(l, leg.attempt.Call.ID, leg.connID, leg.create)
		}
		if leg := l.caller; leg != nil && !leg.ended {
			leg.ended, l.caller = true, nil
			f.reportCallerGone(leg, causeReset)
			f.clear(l, leg.callID, leg.connID, leg.create)
		}
	}
}

// causeReset is the cause of a release because the connection was lost.
const causeReset = 41
