package mgcp

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	invariant "tinbeam/internal/debug"
)

// Gateway is the configuration of one gateway in the operator's file.
type Gateway struct {
	Name         string   // domain of its endpoints, as in aaln/1@NAME
	Address      string   // IP address and port for commands to the gateway
	ID           uint32   // far-end ID
	Exchange     int      // exchange number; calls with this destination go to the gateway
	Zone         int      // zone number
	Lines        []string // local names of its endpoints
	ManualAnswer bool     // lines ring until somebody answers; otherwise calls are answered at once
	Class        string   // class of the calls that come from the gateway
}

// Route routes the numbers that begin with Prefix to an exchange. The longest matching prefix applies.
type Route struct {
	Prefix   string
	Exchange int
}

// Config is the part of the operator's file that concerns the MGCP front end.
type Config struct {
	Gateways []Gateway
	Routes   []Route
	DigitMap string // digit map sent to gateways
}

// FrontEnd is the MGCP front end. It is both a caller side and a far-end side of the core, and runs on the core's loop.
type FrontEnd struct {
	core          *agent.Core
	log           *zap.Logger
	config        Config
	tx            *transactions
	gatewayByName map[string]*gateway
	gatewayByID   map[uint32]*gateway
	gateways      []*gateway
	listVersion   uint64
	rng           *rand.Rand
	pauses        agent.PauseDetector
}

// gateway is the state of a gateway.
type gateway struct {
	Gateway
	addr        netip.AddrPort
	mode        tinbeam.Mode
	onlineSince time.Duration
	delayTimer  *agent.Timer // runs until the end of the restart delay that the gateway announced
	lines       []*line
	clearing    bool // the DLCX for connections of an earlier start is pending: it would delete later ones too

	silence agent.Silence // a datagram that is received ends it; the health check is an AUEP
}

// line is the state of one endpoint. It has at most one call at a time, either as the caller or as the called side.
type line struct {
	gw       *gateway
	name     string // full endpoint name, including the gateway's domain
	caller   *callerLeg
	called   *calledLeg
	closing  bool   // a DLCX is pending; the line is not free until the response arrives
	deleting string // ID of the call whose connection that DLCX deletes
	requests notificationRequests
	offHook  bool // a caller has lifted the receiver while the gateway is being cleared, and waits for the dial tone
}

// callerLeg is the gateway's side of a call that comes from the gateway.
type callerLeg struct {
	line   *line
	digits string
	callID string       // set as long as the gateway has, or may have, a connection for the call
	call   *agent.Call  // nil: not offered to the core yet
	connID string       // ConnectionId at the gateway
	create *transaction // pending CRCX, or nil
	ended  bool         // the call is over; the line stays in use until the caller goes on hook
}

// calledLeg is the gateway's side of an attempt towards the gateway.
type calledLeg struct {
	line    *line
	attempt *agent.Attempt
	connID  string // ConnectionId at the gateway
	sdp     string
	create  *transaction // pending CRCX, or nil
	ended   bool         // the attempt or the established call is over
}

// New returns a front end and adds its gateways to the far-end list of the core.
func New(core *agent.Core, log *zap.Logger, config Config, seed uint64, send Send) *FrontEnd {
	f := &FrontEnd{core: core, log: log, config: config,
		gatewayByName: map[string]*gateway{}, gatewayByID: map[uint32]*gateway{},
		rng: rand.New(rand.NewPCG(seed, 0x36c9))}
	f.tx = newTransactions(core.Loop, core.Metrics, f.rng.Uint32(), send, f.handleCommand)
	for _, g := range config.Gateways {
		gw := &gateway{Gateway: g, mode: tinbeam.Ready, clearing: true}
		gw.addr, _ = netip.ParseAddrPort(g.Address) // validated when the operator's file was read
		for _, n := range g.Lines {
			gw.lines = append(gw.lines, &line{gw: gw, name: n + "@" + g.Name})
		}
		f.gatewayByName[strings.ToLower(g.Name)], f.gatewayByID[g.ID] = gw, gw
		f.gateways = append(f.gateways, gw)
	}
	f.updateFarEnds(f.gateways...)
	for _, gw := range f.gateways {
		f.clearGateway(gw)
	}
	f.pauses.Start(core.Now())
	f.core.After(agent.SilenceInterval, f.auditGateways)
	return f
}

// clearGateway makes a gateway delete the connections left from an earlier run of the agent, which starts without calls. The DLCX is sent
// again until it is answered, and would delete whatever there is then, so the lines take no calls before.
func (f *FrontEnd) clearGateway(gw *gateway) {
	deleteAll := func() *Message { return &Message{Verb: "DLCX", Endpoint: "*@" + gw.Name} }
	f.delete(&deleteCommand{gateway: gw, base: deleteAll, done: func(*Message) {
		gw.clearing = false
		f.reportFreeLines(gw)
		for _, l := range gw.lines {
			if l.offHook {
				l.offHook = false
				f.handleOffHook(l)
			} else {
				f.requestOffHook(l)
			}
		}
	}})
}

// HandleDatagram handles a datagram that was received from an address.
func (f *FrontEnd) HandleDatagram(from netip.AddrPort, b []byte) {
	f.heard(from)
	f.tx.handleDatagram(from, b)
}

// updateFarEnds reports changed gateways and their free lines to the core.
func (f *FrontEnd) updateFarEnds(changed ...*gateway) {
	entries := make([]tinbeam.Entry, len(changed))
	for i, gw := range changed {
		entries[i] = tinbeam.Entry{Switch: gw.ID, Zone: gw.Zone, ExchangeNumber: gw.Exchange, Mode: gw.mode, Weight: 1,
			OnlineSince: gw.onlineSince, NoTransit: true}
	}
	f.listVersion++
	f.core.UpdateFarEnds(f.listVersion, tinbeam.ListDelta, entries, farEndSide{f})
	for _, gw := range changed {
		f.reportFreeLines(gw)
	}
}

// reportFreeLines reports the number of free lines of a gateway to the core. The decision module regards them as a group
// of circuits.
func (f *FrontEnd) reportFreeLines(gw *gateway) {
	free := 0
	for _, l := range gw.lines {
		if l.idle() {
			free++
		}
	}
	r := make([]float32, len(f.core.Settings.ReportFields))
	for i, name := range f.core.Settings.ReportFields {
		switch name {
		case "idle":
			r[i] = float32(free)
		case "circuits":
			r[i] = float32(len(gw.lines))
		default:
			r[i] = -1
		}
	}
	f.core.Report(gw.ID, r)
}

// idle reports whether the line is free for a call.
func (l *line) idle() bool {
	return l.caller == nil && l.called == nil && !l.closing && !l.gw.clearing
}

// addNotificationRequest adds the parameters of a notification request to m: the events that the line is to report, and
// the signals that it is to apply. Empty signals stop the current ones.
func (f *FrontEnd) addNotificationRequest(l *line, m *Message, events, signals string) *Message {
	id := f.rng.Uint32()
	l.requests.add(id)
	m.AddParam("X", fmt.Sprintf("%X", id)).AddParam("R", events)
	if strings.Contains(events, "D/") && f.config.DigitMap != "" {
		m.AddParam("D", f.config.DigitMap)
	}
	return m.AddParam("S", signals)
}

// requestOffHook asks an idle line to report when a caller goes off hook.
func (f *FrontEnd) requestOffHook(l *line) {
	f.tx.request(l.gw.addr, f.addNotificationRequest(l, &Message{Verb: "RQNT", Endpoint: l.name}, "L/hd(N)", ""), nil)
}

// --- commands from gateways ---

// handleCommand executes a command from a gateway and calls reply once.
func (f *FrontEnd) handleCommand(from netip.AddrPort, m *Message, reply func(*Message)) {
	respondOK := func() { reply(&Message{Code: 200, Comment: "OK"}) }
	localName, domain, _ := strings.Cut(m.Endpoint, "@")
	gw := f.gatewayByName[strings.ToLower(domain)]
	if gw == nil || gw.addr.Addr() != from.Addr() {
		reply(&Message{Code: 500, Comment: "Endpoint unknown"})
		return
	}
	var lines []*line
	allLines := localName == "*" || strings.HasSuffix(localName, "/*")
	for _, l := range gw.lines {
		if allLines || strings.EqualFold(l.name, m.Endpoint) {
			lines = append(lines, l)
		}
	}
	if len(lines) == 0 {
		reply(&Message{Code: 500, Comment: "Endpoint unknown"})
		return
	}
	switch m.Verb {
	case "NTFY":
		observed, _ := m.Get("O")
		events := ParseEvents(observed)
		if allLines || len(events) == 0 {
			reply(&Message{Code: 510, Comment: "Protocol error"})
			return
		}
		respondOK()
		if l := lines[0]; l.requests.isEarlier(m) {
			f.core.Metrics.StrayMessages.Inc()
			f.log.Info("notification about an earlier call ignored", zap.String("line", l.name), zap.Strings("events", events))
		} else {
			f.handleEvents(l, events)
		}
	case "RSIP":
		respondOK()
		f.handleRestart(gw, lines, allLines, m)
	case "DLCX":
		respondOK() // the gateway deletes the connection on its own
		for _, l := range lines {
			f.endWithoutDelete(l, tinbeam.Reset, causeReset)
			f.requestOffHook(l)
		}
	default:
		reply(&Message{Code: 504, Comment: "Unknown or unsupported command"})
	}
}

// handleRestart handles an RSIP. When a gateway restarts, its calls are over, and are ended once: afterwards its lines
// have no calls, so a repeated RSIP ends nothing.
func (f *FrontEnd) handleRestart(gw *gateway, lines []*line, allLines bool, m *Message) {
	f.core.Metrics.MGCPRestarts.Inc()
	method, _ := m.Get("RM")
	f.log.Info("gateway restart in progress", zap.String("gateway", gw.Name), zap.String("method", method))
	mode := tinbeam.Ready
	switch strings.ToLower(method) {
	case "graceful":
		mode = tinbeam.Draining
		// A draining gateway must not get new set-ups. Without this, the retransmission of a CRCX whose first datagram was
		// lost would reach it as a new set-up.
		for _, l := range lines {
			if l.called != nil {
				f.tx.stopRetransmitting(l.called.create)
			}
		}
	case "forced", "restart", "":
		if strings.EqualFold(method, "forced") {
			mode = tinbeam.Gone
		}
		for _, l := range lines {
			f.endWithoutDelete(l, tinbeam.Reset, causeReset)
		}
		if allLines {
			gw.onlineSince = f.core.Now()
		}
	}
	// "disconnected" and "cancel-graceful": the gateway is in service again and still has all its connections.
	f.core.Stop(gw.delayTimer)
	if rd, _ := m.Get("RD"); allLines && mode == tinbeam.Ready && rd != "" {
		if s, err := strconv.Atoi(rd); err == nil && s > 0 { // restart delay: the gateway is in service only after it
			mode = tinbeam.Gone
			gw.delayTimer = f.core.After(time.Duration(min(s, 3600))*time.Second, func() {
				gw.mode, gw.onlineSince = tinbeam.Ready, f.core.Now()
				f.updateFarEnds(gw)
				for _, l := range gw.lines {
					f.requestOffHook(l)
				}
			})
		}
	}
	if allLines {
		gw.mode = mode
		f.updateFarEnds(gw)
	}
	if mode == tinbeam.Ready {
		for _, l := range lines {
			if l.idle() {
				f.requestOffHook(l)
			}
		}
	}
}

// endWithoutDelete ends the call of a line without a DLCX, since the gateway no longer has its connection. Only if a CRCX
// is pending is a DLCX sent: the CRCX may reach the gateway after its restart and create a connection.
func (f *FrontEnd) endWithoutDelete(l *line, code tinbeam.Code, cause int) {
	called, caller := l.called, l.caller
	l.called, l.caller = nil, nil
	f.deleted(l)
	if called != nil && !called.ended {
		called.ended = true
		if called.create != nil { // before the end is reported, since the next attempt waits for it
			f.clear(l, called.attempt.Call.ID, "", called.create)
		}
		f.core.Ended(called.attempt, code, 0, nil, cause)
	}
	if caller != nil && !caller.ended {
		caller.ended = true
		f.reportCallerGone(caller, cause)
		if caller.create != nil {
			f.clear(l, caller.callID, "", caller.create)
		}
	}
	f.reportFreeLines(l.gw)
}

// reportCallerGone reports to the core that the caller has ended or abandoned the call.
func (f *FrontEnd) reportCallerGone(leg *callerLeg, cause int) {
	switch {
	case leg.call == nil:
	case leg.call.Established():
		f.core.Hangup(leg.call, cause)
	default:
		f.core.Abandoned(leg.call)
	}
}

// handleEvents handles the events that a line has observed, in order.
func (f *FrontEnd) handleEvents(l *line, events []string) {
	for _, e := range events {
		switch {
		case e == "l/hd":
			f.handleOffHook(l)
		case e == "l/hu":
			f.handleOnHook(l)
		case strings.HasPrefix(e, "d/") && len(e) == 3 && l.caller != nil && l.caller.call == nil &&
			l.caller.create == nil && len(l.caller.digits) < 32:
			if e[2] != 't' { // T is not a digit: it means that the gateway's digit timer has expired
				l.caller.digits += e[2:]
			}
		}
	}
	if leg := l.caller; leg != nil && leg.digits != "" && leg.create == nil && leg.call == nil && !leg.ended {
		f.originate(leg)
	}
}

// handleOffHook answers the call that rings on the line, or else starts a new call and collects its digits.
func (f *FrontEnd) handleOffHook(l *line) {
	if leg := l.called; leg != nil {
		if !leg.ended && leg.connID != "" && !leg.attempt.Established() {
			f.reportAnswered(leg)
		}
		return
	}
	if l.caller != nil || l.closing {
		return
	}
	if l.gw.clearing {
		l.offHook = true
		return
	}
	l.gw.expectAnswers(f.core.Now())
	l.caller = &callerLeg{line: l}
	l.requests.startCall()
	f.reportFreeLines(l.gw)
	f.tx.request(l.gw.addr, f.addNotificationRequest(l, &Message{Verb: "RQNT", Endpoint: l.name},
		"D/[0-9*#T](D), L/hu(N)", "L/dl"), nil)
}

// handleOnHook ends the call of the line. While a call rings on the line, it has no effect.
func (f *FrontEnd) handleOnHook(l *line) {
	l.offHook = false
	if leg := l.caller; leg != nil {
		wasEnded := leg.ended
		leg.ended = true
		l.caller = nil
		if !wasEnded {
			f.reportCallerGone(leg, 16)
		}
		f.clear(l, leg.callID, leg.connID, leg.create)
		return
	}
	if leg := l.called; leg != nil && !leg.ended && leg.attempt.Established() {
		leg.ended, l.called = true, nil
		f.core.Ended(leg.attempt, tinbeam.OK, 0, nil, 16)
		f.clear(l, leg.attempt.Call.ID, leg.connID, leg.create)
	}
}

// clear deletes the connection that a line has or may have, and frees the line once that is done. A pending
// CRCX is no longer retransmitted, and if it succeeds after all, the new connection is deleted too (deleteOrphan):
// retransmission after the end of a call must leave no connection behind. Without a call ID there is nothing to delete.
func (f *FrontEnd) clear(l *line, callID, connID string, create *transaction) {
	f.tx.stopRetransmitting(create)
	markFree := func(*Message) {
		f.deleted(l)
		f.reportFreeLines(l.gw)
	}
	if callID == "" {
		markFree(nil)
		f.requestOffHook(l)
		return
	}
	l.closing, l.deleting = true, callID
	f.delete(&deleteCommand{gateway: l.gw, base: l.deleteOf(callID, connID), done: markFree,
		extend: func(m *Message) *Message { return f.addNotificationRequest(l, m, "L/hd(N)", "") }})
	f.reportFreeLines(l.gw)
}

// deleted records that a line has no connection any more.
func (f *FrontEnd) deleted(l *line) {
	l.closing, l.deleting = false, ""
	f.core.ReleasesSent()
}

// deleteOrphan deletes a connection that a CRCX created after its call was over. r is the late response to the CRCX.
func (f *FrontEnd) deleteOrphan(l *line, callID string, r *Message) {
	if r == nil || r.Code >= 300 {
		return
	}
	if connID, _ := r.Get("I"); connID != "" {
		f.delete(&deleteCommand{gateway: l.gw, base: l.deleteOf(callID, connID)})
	}
}

// --- caller side: calls from gateways ---

// originate creates the caller's connection, and offers the call to the core once its session description is known.
func (f *FrontEnd) originate(leg *callerLeg) {
	l := leg.line
	exchange := -1
	longest := -1
	for _, r := range f.config.Routes {
		if strings.HasPrefix(leg.digits, r.Prefix) && len(r.Prefix) > longest {
			exchange, longest = r.Exchange, len(r.Prefix)
		}
	}
	if exchange < 0 {
		f.endWithTone(leg, "L/ro")
		return
	}
	classIndex := f.core.ClassIndex(l.gw.Class)
	if classIndex < 0 { // the class was removed from the settings
		f.endWithTone(leg, "L/ro")
		return
	}
	class := f.core.Settings.Classes[classIndex]
	call := &agent.Call{ID: fmt.Sprintf("%016x", f.rng.Uint64()), Number: leg.digits, NumberKey: agent.NumberKey(leg.digits),
		Class: classIndex, Width: class.Width, TimeLeft: class.HardLimit, Dest: exchange, Via: -1, Caller: f, Leg: leg}
	leg.callID = call.ID
	m := (&Message{Verb: "CRCX", Endpoint: l.name}).AddParam("C", call.ID).AddParam("M", "recvonly")
	leg.create = f.tx.request(l.gw.addr, f.addNotificationRequest(l, m, "L/hu(N)", ""), func(r *Message) {
		leg.create = nil
		if leg.ended {
			f.deleteOrphan(l, call.ID, r)
			return
		}
		if r == nil || r.Code >= 300 {
			leg.callID = ""
			f.endWithTone(leg, "L/ro")
			return
		}
		leg.connID, _ = r.Get("I")
		call.Description, leg.call = r.SDP, call
		f.core.Offer(call)
	})
}

// endWithTone ends the caller's side of a call and plays a tone. The line stays in use until the caller goes on hook.
func (f *FrontEnd) endWithTone(leg *callerLeg, signal string) {
	leg.ended = true
	l := leg.line
	withTone := func(m *Message) *Message { return f.addNotificationRequest(l, m, "L/hu(N)", signal) }
	if leg.connID == "" {
		f.tx.request(l.gw.addr, withTone(&Message{Verb: "RQNT", Endpoint: l.name}), nil)
		return
	}
	f.delete(&deleteCommand{gateway: l.gw, base: l.deleteOf(leg.callID, leg.connID), extend: withTone})
	leg.callID, leg.connID = "", ""
}

// Answer connects the caller to the far end.
func (f *FrontEnd) Answer(call *agent.Call, description string) {
	leg := call.Leg.(*callerLeg)
	l := leg.line
	m := (&Message{Verb: "MDCX", Endpoint: l.name, SDP: description}).AddParam("C", call.ID).AddParam("I", leg.connID).
		AddParam("M", "sendrecv")
	f.tx.request(l.gw.addr, m, func(r *Message) {
		if !leg.ended && (r == nil || r.Code >= 300) {
			f.endWithTone(leg, "L/ro")
			f.core.Hangup(call, causeReset) // the caller is not connected, so the far end must release the call
		}
	})
}

// Refuse plays the reorder tone to the caller.
func (f *FrontEnd) Refuse(call *agent.Call, failed bool, _ time.Duration) {
	if leg := call.Leg.(*callerLeg); !leg.ended {
		f.endWithTone(leg, "L/ro")
	}
}

// Release plays the busy tone to the caller, since the call is over.
func (f *FrontEnd) Release(call *agent.Call, cause int) {
	if leg := call.Leg.(*callerLeg); !leg.ended {
		f.endWithTone(leg, "L/bz")
	}
}

// --- far-end side: attempts towards gateways ---

// farEndSide is the front end as a far-end side of the core. Both sides have a method Release, so they need two types.
type farEndSide struct{ *FrontEnd }

// SetUp creates a connection at a free line. A gateway does not carry transit calls: it accepts only calls for itself.
func (f farEndSide) SetUp(a *agent.Attempt) {
	gw := f.gatewayByID[a.Switch]
	if !invariant.Check(gw != nil && a.Call.Dest == gw.Exchange, f.core.Metrics.Violations,
		"call %s is for gateway %08x", a.Call.ID, a.Switch) {
		f.core.Ended(a, tinbeam.NotAttempted, 0, nil, 0)
		return
	}
	i := slices.IndexFunc(gw.lines, (*line).idle)
	if i < 0 || gw.mode != tinbeam.Ready {
		f.core.Ended(a, tinbeam.NotAttempted, tinbeam.NoteNoCircuit, nil, 0)
		return
	}
	gw.expectAnswers(f.core.Now())
	l := gw.lines[i]
	leg := &calledLeg{line: l, attempt: a}
	a.Leg, l.called = leg, leg
	l.requests.startCall()
	m := (&Message{Verb: "CRCX", Endpoint: l.name, SDP: a.Call.Description}).AddParam("C", a.Call.ID)
	if gw.ManualAnswer {
		m = f.addNotificationRequest(l, m.AddParam("M", "inactive"), "L/hd(N)", "L/rg")
	} else {
		m = f.addNotificationRequest(l, m.AddParam("M", "sendrecv"), "L/hu(N)", "")
	}
	leg.create = f.tx.request(gw.addr, m, func(r *Message) { f.handleCreated(leg, r) })
	f.reportFreeLines(gw)
}

// handleCreated handles the response to the CRCX of an attempt.
func (f *FrontEnd) handleCreated(leg *calledLeg, r *Message) {
	leg.create = nil
	l, a := leg.line, leg.attempt
	if leg.ended {
		f.deleteOrphan(l, a.Call.ID, r)
		return
	}
	if r != nil && r.Code < 300 {
		leg.connID, _ = r.Get("I")
		leg.sdp = r.SDP
		if leg.connID != "" {
			if !l.gw.ManualAnswer {
				f.reportAnswered(leg)
			}
			return
		}
	}
	leg.ended, l.called = true, nil
	code, note := tinbeam.Failed, uint32(0)
	switch {
	case r == nil:
		code = tinbeam.TimedOut
	case r.Code == 401: // off hook: the line is busy
		note = tinbeam.NoteBusy
	case r.Code == 403 || r.Code == 502: // no resources, at present or permanently
		code, note = tinbeam.Full, tinbeam.NoteNoCircuit
	case r.Code == 409 || r.Code == 405: // processor overload, or restart in progress
		code, note = tinbeam.Full, tinbeam.NoteProcessor
	}
	if r == nil || r.Code < 300 {
		f.clear(l, a.Call.ID, "", nil)
	} else {
		f.requestOffHook(l)
		f.reportFreeLines(l.gw)
	}
	f.core.Ended(a, code, note, nil, 0)
}

// reportAnswered connects the called side and reports to the core that the attempt was answered.
func (f *FrontEnd) reportAnswered(leg *calledLeg) {
	l := leg.line
	if l.gw.ManualAnswer {
		m := (&Message{Verb: "MDCX", Endpoint: l.name}).AddParam("C", leg.attempt.Call.ID).AddParam("I", leg.connID).
			AddParam("M", "sendrecv")
		f.tx.request(l.gw.addr, f.addNotificationRequest(l, m, "L/hu(N)", ""), nil)
	}
	f.core.Answered(leg.attempt, leg.sdp)
}

// Cancel ends an attempt that has not been answered.
func (f farEndSide) Cancel(a *agent.Attempt) { f.Release(a, 16) }

// Release releases an established call, and for Cancel one that has not been answered.
func (f farEndSide) Release(a *agent.Attempt, _ int) {
	leg, ok := a.Leg.(*calledLeg)
	if !ok || leg.ended {
		return
	}
	leg.ended, leg.line.called = true, nil
	f.clear(leg.line, a.Call.ID, leg.connID, leg.create)
}

// ReleasedAt reports whether the gateway has answered the DLCX of an attempt that has ended: the CRCX may have been executed, and both
// its response and the DLCX lost. Nothing has to be waited for after the answer.
func (f farEndSide) ReleasedAt(a *agent.Attempt) (time.Duration, bool) {
	leg, ok := a.Leg.(*calledLeg)
	return 0, !ok || leg.line.deleting != a.Call.ID
}

// Sent reports whether the CRCX of an attempt was sent.
func (f farEndSide) Sent(a *agent.Attempt) bool {
	_, ok := a.Leg.(*calledLeg)
	return ok
}

// Probe answers a load probe at once: MGCP has no command for it, and the front end knows the gateway's free lines.
func (f farEndSide) Probe(id uint32) {
	f.core.Probed(id, tinbeam.OK, 0, nil)
	if gw := f.gatewayByID[id]; gw != nil {
		f.reportFreeLines(gw)
	}
}
