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

// Gateway is one gateway in the operator's file.
type Gateway struct {
	Name         string   // the domain of its endpoints, as in aaln/1@NAME
	Address      string   // where it takes commands
	ID           uint32   // as a far end
	Exchange     int      // its number in the network; calls with this destination go to it
	Zone         int      // its district
	Lines        []string // local names of its endpoints
	ManualAnswer bool     // its lines ring and are answered by hand; else a connection stands at once
	Class        string   // the class of the calls that it brings in
}

// Route sends the numbers that begin with Prefix to a place.
type Route struct {
	Prefix   string
	Exchange int
}

// Config is what the operator's file says of this front.
type Config struct {
	Gateways []Gateway
	Routes   []Route
	DigitMap string // the digit map handed to gateways
}

// FrontEnd is the MGCP front: caller side and far side of the core at once. It lives on the core's loop.
type FrontEnd struct {
	core    *agent.Core
	log     *zap.Logger
	plan    Config
	tx      *transactions
	byName  map[string]*gateway
	byID    map[uint32]*gateway
	order   []*gateway
	version uint64
	rng     *rand.Rand
}

type gateway struct {
	Gateway
	addr  netip.AddrPort
	mode  tinbeam.Mode
	since time.Duration
	back  *agent.Timer // when it is in service again, as it said
	lines []*line
}

// line is one endpoint. It serves one call at a time, in one of two parts: the caller's or the called one's.
type line struct {
	gw      *gateway
	name    string // with the gateway's domain
	caller  *callerLeg
	called  *calledLeg
	closing bool // a DLCX is under way; the line is not free until it has been answered
	lastReq uint32
}

// callerLeg is a call that a gateway brings in.
type callerLeg struct {
	line   *line
	digits string
	id     string      // of the call, as long as the gateway holds or may hold a connection for it
	call   *agent.Call // nil: nothing has been offered to the core yet
	conn   string      // connection id at the gateway
	create *transaction
	ended  bool
}

// calledLeg is an attempt towards a gateway.
type calledLeg struct {
	line   *line
	at     *agent.Attempt
	conn   string
	sdp    string
	create *transaction
	ended  bool
}

// New makes the front and takes its gateways into the list.
func New(core *agent.Core, log *zap.Logger, plan Config, seed uint64, send Send) *FrontEnd {
	f := &FrontEnd{core: core, log: log, plan: plan, byName: map[string]*gateway{}, byID: map[uint32]*gateway{},
		rng: rand.New(rand.NewPCG(seed, 0x36c9))}
	f.tx = newTransactions(core.Loop, core.Metrics, f.rng.Uint32(), send, f.command)
	for _, g := range plan.Gateways {
		gw := &gateway{Gateway: g, mode: tinbeam.Ready}
		gw.addr, _ = netip.ParseAddrPort(g.Address) // checked when the operator's file was read
		for _, n := range g.Lines {
			gw.lines = append(gw.lines, &line{gw: gw, name: n + "@" + g.Name})
		}
		f.byName[strings.ToLower(g.Name)], f.byID[g.ID] = gw, gw
		f.order = append(f.order, gw)
	}
	f.list(f.order...)
	for _, gw := range f.order {
		// The agent starts from nothing: what a gateway still holds of an earlier start belongs to no call any more.
		f.tx.request(gw.addr, &Message{Verb: "DLCX", Endpoint: "*@" + gw.Name}, func(*Message) {
			for _, l := range gw.lines {
				f.arm(l)
			}
		})
	}
	return f
}

// HandleDatagram takes what came in from an address.
func (f *FrontEnd) HandleDatagram(from netip.AddrPort, b []byte) { f.tx.datagram(from, b) }

// list tells the core of changed gateways, and of their free lines.
func (f *FrontEnd) list(changed ...*gateway) {
	entries := make([]tinbeam.Entry, len(changed))
	for i, gw := range changed {
		entries[i] = tinbeam.Entry{Switch: gw.ID, Zone: gw.Zone, ExchangeNumber: gw.Exchange, Mode: gw.mode, Weight: 1,
			OnlineSince: gw.since, NoTransit: true}
	}
	f.version++
	f.core.UpdateFarEnds(f.version, tinbeam.ListDelta, entries, farSide{f})
	for _, gw := range changed {
		f.report(gw)
	}
}

// report tells the core of the free lines of a gateway: to the module they are a group of circuits.
func (f *FrontEnd) report(gw *gateway) {
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

func (l *line) idle() bool { return l.caller == nil && l.called == nil && !l.closing }

// notify asks a line to tell of events, and gives it signals; an empty one stops what sounds.
func (f *FrontEnd) notify(l *line, m *Message, events, signals string) *Message {
	l.lastReq = f.rng.Uint32()
	m.With("X", fmt.Sprintf("%X", l.lastReq)).With("R", events)
	if strings.Contains(events, "D/") && f.plan.DigitMap != "" {
		m.With("D", f.plan.DigitMap)
	}
	return m.With("S", signals)
}

// arm makes an idle line ready for a caller who lifts the receiver.
func (f *FrontEnd) arm(l *line) {
	f.tx.request(l.gw.addr, f.notify(l, &Message{Verb: "RQNT", Endpoint: l.name}, "L/hd(N)", ""), nil)
}

// --- commands of gateways ---

func (f *FrontEnd) command(from netip.AddrPort, m *Message, reply func(*Message)) {
	ok := func() { reply(&Message{Code: 200, Comment: "OK"}) }
	local, domain, _ := strings.Cut(m.Endpoint, "@")
	gw := f.byName[strings.ToLower(domain)]
	if gw == nil || gw.addr.Addr() != from.Addr() {
		reply(&Message{Code: 500, Comment: "Endpoint unknown"})
		return
	}
	var lines []*line
	whole := local == "*" || strings.HasSuffix(local, "/*")
	for _, l := range gw.lines {
		if whole || strings.EqualFold(l.name, m.Endpoint) {
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
		events := Events(observed)
		if whole || len(events) == 0 {
			reply(&Message{Code: 510, Comment: "Protocol error"})
			return
		}
		ok()
		f.observed(lines[0], events)
	case "RSIP":
		ok()
		f.restart(gw, lines, whole, m)
	case "DLCX":
		ok() // the gateway gives a connection up by itself
		for _, l := range lines {
			f.lost(l, tinbeam.Reset, 41)
			f.arm(l)
		}
	default:
		reply(&Message{Code: 504, Comment: "Unknown or unsupported command"})
	}
}

// restart takes an RSIP. What stood at a gateway that starts anew is over, and is ended once: its lines hold nothing
// afterwards, so a second RSIP finds nothing to end.
func (f *FrontEnd) restart(gw *gateway, lines []*line, whole bool, m *Message) {
	f.core.Metrics.MGCPRestarts.Inc()
	method, _ := m.Get("RM")
	f.log.Info("gateway restarts", zap.String("gateway", gw.Name), zap.String("method", method))
	mode := tinbeam.Ready
	switch strings.ToLower(method) {
	case "graceful":
		mode = tinbeam.Draining
		// Guards the rule on drains: a set-up whose first datagram was lost would arrive as a new one.
		for _, l := range lines {
			if l.called != nil {
				f.tx.hush(l.called.create)
			}
		}
	case "forced", "restart", "":
		if strings.EqualFold(method, "forced") {
			mode = tinbeam.Gone
		}
		for _, l := range lines {
			f.lost(l, tinbeam.Reset, 41)
		}
		if whole {
			gw.since = f.core.Now()
		}
	}
	// "disconnected" and "cancel-graceful": it is back with all it had.
	f.core.Stop(gw.back)
	if rd, _ := m.Get("RD"); whole && mode == tinbeam.Ready && rd != "" {
		if s, err := strconv.Atoi(rd); err == nil && s > 0 { // it is in service only after this delay
			mode = tinbeam.Gone
			gw.back = f.core.After(time.Duration(min(s, 3600))*time.Second, func() {
				gw.mode, gw.since = tinbeam.Ready, f.core.Now()
				f.list(gw)
				for _, l := range gw.lines {
					f.arm(l)
				}
			})
		}
	}
	if whole {
		gw.mode = mode
		f.list(gw)
	}
	if mode == tinbeam.Ready {
		for _, l := range lines {
			if l.idle() {
				f.arm(l)
			}
		}
	}
}

// lost ends what a line serves without a word to the gateway, which does not hold it any more. Only a CRCX that is still
// out may come to it after its restart, and what that makes has to be deleted.
func (f *FrontEnd) lost(l *line, code tinbeam.Code, cause int) {
	called, caller := l.called, l.caller
	l.called, l.caller, l.closing = nil, nil, false
	if called != nil && !called.ended {
		called.ended = true
		f.core.Ended(called.at, code, 0, nil, cause)
		if called.create != nil {
			f.clear(l, called.at.Call.ID, "", called.create)
		}
	}
	if caller != nil && !caller.ended {
		caller.ended = true
		f.left(caller, cause)
		if caller.create != nil {
			f.clear(l, caller.id, "", caller.create)
		}
	}
	f.report(l.gw)
}

// left tells the core that the caller of a leg is not there any more.
func (f *FrontEnd) left(leg *callerLeg, cause int) {
	switch {
	case leg.call == nil:
	case leg.call.Established():
		f.core.Hangup(leg.call, cause)
	default:
		f.core.Abandoned(leg.call)
	}
}

// observed takes what a line has seen, event by event.
func (f *FrontEnd) observed(l *line, events []string) {
	for _, e := range events {
		switch {
		case e == "l/hd":
			f.offHook(l)
		case e == "l/hu":
			f.onHook(l)
		case strings.HasPrefix(e, "d/") && len(e) == 3 && l.caller != nil && l.caller.call == nil &&
			l.caller.create == nil && len(l.caller.digits) < 32:
			if e[2] != 't' { // the digits' own timer
				l.caller.digits += e[2:]
			}
		}
	}
	if leg := l.caller; leg != nil && leg.digits != "" && leg.create == nil && leg.call == nil && !leg.ended {
		f.originate(leg)
	}
}

func (f *FrontEnd) offHook(l *line) {
	if leg := l.called; leg != nil {
		if !leg.ended && leg.conn != "" && !leg.at.Established() {
			f.answered(leg)
		}
		return
	}
	if l.caller != nil || l.closing {
		return
	}
	l.caller = &callerLeg{line: l}
	f.report(l.gw)
	f.tx.request(l.gw.addr, f.notify(l, &Message{Verb: "RQNT", Endpoint: l.name}, "D/[0-9*#T](D), L/hu(N)", "L/dl"), nil)
}

func (f *FrontEnd) onHook(l *line) {
	if leg := l.caller; leg != nil {
		was := leg.ended
		leg.ended = true
		l.caller = nil
		if !was {
			f.left(leg, 16)
		}
		f.clear(l, leg.id, leg.conn, leg.create)
		return
	}
	if leg := l.called; leg != nil && !leg.ended && leg.at.Established() {
		leg.ended, l.called = true, nil
		f.core.Ended(leg.at, tinbeam.OK, 0, nil, 16)
		f.clear(l, leg.at.Call.ID, leg.conn, leg.create)
	}
}

// clear deletes the connection that a line has or may have, and makes the line free once that is done. A CRCX that is
// still out is not sent again, and if it is answered after all, what it made is deleted too: a transaction that is
// retried after its call is over must leave no connection behind. Without a call there is nothing to delete.
func (f *FrontEnd) clear(l *line, callID, conn string, create *transaction) {
	f.tx.hush(create)
	free := func(*Message) {
		l.closing = false
		f.report(l.gw)
	}
	if callID == "" {
		free(nil)
		f.arm(l)
		return
	}
	l.closing = true
	m := (&Message{Verb: "DLCX", Endpoint: l.name}).With("C", callID)
	if conn != "" {
		m.With("I", conn)
	}
	f.tx.request(l.gw.addr, f.notify(l, m, "L/hd(N)", ""), free)
	f.report(l.gw)
}

// orphan deletes a connection that a late response told of.
func (f *FrontEnd) orphan(l *line, callID string, r *Message) {
	if r == nil || r.Code >= 300 {
		return
	}
	if conn, _ := r.Get("I"); conn != "" {
		f.tx.request(l.gw.addr, (&Message{Verb: "DLCX", Endpoint: l.name}).With("C", callID).With("I", conn), nil)
	}
}

// --- caller side: calls that gateways bring in ---

// originate opens the caller's own half, and offers the call once its description is known.
func (f *FrontEnd) originate(leg *callerLeg) {
	l := leg.line
	place := -1
	best := -1
	for _, r := range f.plan.Routes {
		if strings.HasPrefix(leg.digits, r.Prefix) && len(r.Prefix) > best {
			place, best = r.Exchange, len(r.Prefix)
		}
	}
	if place < 0 {
		f.tone(leg, "L/ro")
		return
	}
	of := f.core.ClassIndex(l.gw.Class)
	if of < 0 { // the settings have dropped it
		f.tone(leg, "L/ro")
		return
	}
	class := f.core.Settings.Classes[of]
	k := &agent.Call{ID: fmt.Sprintf("%016x", f.rng.Uint64()), Number: leg.digits, NumberKey: agent.NumberKey(leg.digits),
		Class: of,
		Width: class.Width, TimeLeft: class.HardLimit, Dest: place, Via: -1, Caller: f, Leg: leg}
	leg.id = k.ID
	m := (&Message{Verb: "CRCX", Endpoint: l.name}).With("C", k.ID).With("M", "recvonly")
	leg.create = f.tx.request(l.gw.addr, f.notify(l, m, "L/hu(N)", ""), func(r *Message) {
		leg.create = nil
		if leg.ended {
			f.orphan(l, k.ID, r)
			return
		}
		if r == nil || r.Code >= 300 {
			leg.id = ""
			f.tone(leg, "L/ro")
			return
		}
		leg.conn, _ = r.Get("I")
		k.Description, leg.call = r.SDP, k
		f.core.Offer(k)
	})
}

// tone tells the caller that there is no call; the line waits for the receiver to be put down.
func (f *FrontEnd) tone(leg *callerLeg, signal string) {
	leg.ended = true
	l := leg.line
	m := &Message{Verb: "RQNT", Endpoint: l.name}
	if leg.conn != "" {
		m = (&Message{Verb: "DLCX", Endpoint: l.name}).With("C", leg.id).With("I", leg.conn)
		leg.id, leg.conn = "", ""
	}
	f.tx.request(l.gw.addr, f.notify(l, m, "L/hu(N)", signal), nil)
}

// Answer connects the caller with the far end.
func (f *FrontEnd) Answer(k *agent.Call, description string) {
	leg := k.Leg.(*callerLeg)
	l := leg.line
	m := (&Message{Verb: "MDCX", Endpoint: l.name, SDP: description}).With("C", k.ID).With("I", leg.conn).
		With("M", "sendrecv")
	f.tx.request(l.gw.addr, m, func(r *Message) {
		if !leg.ended && (r == nil || r.Code >= 300) {
			f.tone(leg, "L/ro")
			f.core.Hangup(k, 41) // it stands nowhere: the far end must not keep it
		}
	})
}

// Refuse gives the caller the tone for no way through.
func (f *FrontEnd) Refuse(k *agent.Call, failed bool, _ time.Duration) {
	if leg := k.Leg.(*callerLeg); !leg.ended {
		f.tone(leg, "L/ro")
	}
}

// Release tells the caller that the call is over.
func (f *FrontEnd) Release(k *agent.Call, cause int) {
	if leg := k.Leg.(*callerLeg); !leg.ended {
		f.tone(leg, "L/bz")
	}
}

// --- far side: attempts towards gateways ---

// farSide is the front as the core's far side: both sides have a Release, so one type cannot be both.
type farSide struct{ *FrontEnd }

// SetUp makes a connection at a free line. A gateway is the end of a way: it takes calls for itself alone.
func (f farSide) SetUp(a *agent.Attempt) {
	gw := f.byID[a.Switch]
	if !invariant.Check(gw != nil && a.Call.Dest == gw.Exchange, f.core.Metrics.Violations,
		"call %s is for gateway %08x",
		a.Call.ID, a.Switch) {
		f.core.Ended(a, tinbeam.NotAttempted, 0, nil, 0)
		return
	}
	i := slices.IndexFunc(gw.lines, (*line).idle)
	if i < 0 || gw.mode != tinbeam.Ready {
		f.core.Ended(a, tinbeam.NotAttempted, tinbeam.NoteNoCircuit, nil, 0)
		return
	}
	l := gw.lines[i]
	leg := &calledLeg{line: l, at: a}
	a.Leg, l.called = leg, leg
	m := (&Message{Verb: "CRCX", Endpoint: l.name, SDP: a.Call.Description}).With("C", a.Call.ID)
	if gw.ManualAnswer {
		m = f.notify(l, m.With("M", "inactive"), "L/hd(N)", "L/rg")
	} else {
		m = f.notify(l, m.With("M", "sendrecv"), "L/hu(N)", "")
	}
	leg.create = f.tx.request(gw.addr, m, func(r *Message) { f.created(leg, r) })
	f.report(gw)
}

// created takes the response to the CRCX of an attempt.
func (f *FrontEnd) created(leg *calledLeg, r *Message) {
	leg.create = nil
	l, a := leg.line, leg.at
	if leg.ended {
		f.orphan(l, a.Call.ID, r)
		return
	}
	if r != nil && r.Code < 300 {
		leg.conn, _ = r.Get("I")
		leg.sdp = r.SDP
		if leg.conn != "" {
			if !l.gw.ManualAnswer {
				f.answered(leg)
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
	case r.Code == 403 || r.Code == 502: // no resources, now or at all
		code, note = tinbeam.Full, tinbeam.NoteNoCircuit
	case r.Code == 409 || r.Code == 405: // overload, or starting anew
		code, note = tinbeam.Full, tinbeam.NoteProcessor
	}
	if r == nil || r.Code < 300 {
		f.clear(l, a.Call.ID, "", nil)
	} else {
		f.arm(l)
		f.report(l.gw)
	}
	f.core.Ended(a, code, note, nil, 0)
}

// answered: the called side has answered.
func (f *FrontEnd) answered(leg *calledLeg) {
	l := leg.line
	if l.gw.ManualAnswer {
		m := (&Message{Verb: "MDCX", Endpoint: l.name}).With("C", leg.at.Call.ID).With("I", leg.conn).
			With("M", "sendrecv")
		f.tx.request(l.gw.addr, f.notify(l, m, "L/hu(N)", ""), nil)
	}
	f.core.Answered(leg.at, leg.sdp)
}

// Cancel takes an attempt back.
func (f farSide) Cancel(a *agent.Attempt) { f.Release(a, 16) }

// Release ends an attempt that stands.
func (f farSide) Release(a *agent.Attempt, _ int) {
	leg, ok := a.Leg.(*calledLeg)
	if !ok || leg.ended {
		return
	}
	leg.ended, leg.line.called = true, nil
	f.clear(leg.line, a.Call.ID, leg.conn, leg.create)
}

// Probe has no command to ask a gateway for its load: its free lines are known here.
func (f farSide) Probe(id uint32) {
	f.core.Probed(id, tinbeam.OK, 0, nil)
	if gw := f.byID[id]; gw != nil {
		f.report(gw)
	}
}
