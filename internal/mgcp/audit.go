package mgcp

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
)

// This file notices a gateway whose machine is gone or cut off: it says nothing, so its calls would stand forever.

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
	if !gw.inUse() && !gw.silence.Checked() {
		gw.silence.Restart(now)
	}
}

// heard ends the silence of the gateways at an address.
func (f *FrontEnd) heard(from netip.AddrPort) {
	for _, gw := range f.gateways {
		if gw.addr.Addr() == from.Addr() && (gw.addr == from || !f.sharesAddress(gw)) {
			gw.silence.Restart(f.core.Now())
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

// silences yields the silence of each gateway.
func (f *FrontEnd) silences(yield func(*agent.Silence) bool) {
	for _, gw := range f.gateways {
		if !yield(&gw.silence) {
			return
		}
	}
}

// auditGateways audits the gateways that have calls and have been silent for a while, and gives up those that do not answer.
func (f *FrontEnd) auditGateways() {
	now := f.core.Now()
	f.pauses.Discount(now, f.silences)
	for _, gw := range f.gateways {
		switch {
		case !gw.inUse():
			gw.silence.EndCheck()
		case gw.silence.Expired(now):
			f.giveUp(gw, now-gw.silence.Since())
		case gw.silence.CheckDue(now):
			gw.silence.CheckSent(now)
			f.tx.request(gw.addr, &Message{Verb: "AUEP", Endpoint: gw.lines[0].name}, nil)
		}
	}
	f.core.After(agent.SilenceInterval, f.auditGateways)
}

// giveUp ends the established calls at a gateway that has not answered an audit, and deletes their connections, which are there if it
// was only cut off.
func (f *FrontEnd) giveUp(gw *gateway, silent time.Duration) {
	f.log.Warn("gateway is unresponsive", zap.String("gateway", gw.Name), zap.Duration("silent", silent))
	f.core.Metrics.IdleLinks.Inc()
	gw.silence.Restart(f.core.Now())
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
