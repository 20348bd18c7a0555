package platform

import (
	"iter"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
	"tinbeam/internal/farend"
	"tinbeam/internal/link"
)

// Limits and timing of the connections to far ends.
const (
	connsWanted        = 2   // connections kept open to each far end, so that one is left when the other breaks
	maxConnsPerFarEnd  = 4   // a far end sends its circuit group's state on up to this many connections
	singleConnAbove    = 128 // with more far ends than this each gets one connection, to limit file descriptors
	redialDelay        = 200 * time.Millisecond
	slowDialTime       = 150 * time.Millisecond // a dial that has taken this long may hang, and another one is tried
	maxDials           = 2                      // dials to one far end at a time
	resetRedialDelay   = 20 * time.Millisecond  // after a connection that was reset as soon as it opened
	stallTimeout       = 300 * time.Millisecond // a line incomplete, or a connection idle, for this long does not recover
	sweepInterval      = agent.SilenceInterval
	maxQueuedLineBytes = 256 << 10        // bytes of lines of one connection that were received and not handled yet
	floodRedialDelay   = time.Second      // before a connection to a far end that has flooded one
	startResolution    = time.Millisecond // of the start times in the list, which are rounded down
)

// FarEnds is the far-end side: it keeps connections open to the far ends in the far-end list.
type FarEnds struct {
	core        *agent.Core
	log         *zap.Logger
	dialTimeout time.Duration // for opening a connection
	byID        map[uint32]*farEnd
	closed      bool
	onReady     func()
	pauses      agent.PauseDetector
}

// farEnd is one far end of the list with its connections and attempts.
type farEnd struct {
	farEnds        *FarEnds
	id             uint32
	addr           string
	addrChanged    bool // the last list event changed the address
	mode           tinbeam.Mode
	onlineSince    time.Duration // start of its process, as far as listed
	conns          []*farConn
	dials          int                       // dials in progress
	lastDialAt     time.Duration             // start of the last one
	redialAt       time.Duration             // no dial starts before this time
	readyReported  bool                      // its group's state was received, or no connection could be opened
	silence        agent.Silence             // a line that is received ends it, and a connection that is opened
	attempts       map[string]*agent.Attempt // pending or established, by Call.ID
	waiting        []*agent.Attempt          // attempts waiting for a connection
	queuedReleases []release                 // releases waiting for a connection
	freshConn      freshConn                 // a connection that is opened for lost releases
	heardAt        time.Duration             // last line on any connection
	spokeAt        time.Duration             // the same without the first state on a connection
	generation     int                       // of the connection that was opened last
	doubts         []processDoubt            // in the order of their generations
	evidence       *groupEvidence            // that waits to be weighed
	stateAskedAt   time.Duration             // since calls are in doubt
	checkSentAt    map[string]time.Duration  // send times of the check lines without an answer, by UID
}

// attemptLeg is this front end's state of an attempt, kept in Attempt.Leg.
type attemptLeg struct {
	conn    *farConn
	pending bool // no answer was received yet
	// when the call was established
	establishedAt time.Duration
	handle        link.SendHandle
	expiry        *agent.Timer // runs while the attempt waits for a connection
	ended         bool         // the far end has sent its end
	// connection that the stop line of the attempt was sent on, and when; nil: none was sent
	stopConn     *farConn
	releasedAt   time.Duration
	releaseWaits bool // a stop line is to be sent and there is no connection
}

// NewFarEnds returns the far-end side. onReady is called once for each far end outside the local exchange, when the state of
// its circuit group was received or no connection to it could be opened.
func NewFarEnds(core *agent.Core, log *zap.Logger, dialTimeout time.Duration, onReady func()) *FarEnds {
	if dialTimeout <= 0 {
		dialTimeout = 500 * time.Millisecond
	}
	f := &FarEnds{core: core, log: log, dialTimeout: dialTimeout, byID: map[uint32]*farEnd{}, onReady: onReady}
	f.pauses.Start(core.Now())
	var sweep func()
	sweep = func() {
		f.discountPause()
		for _, id := range slices.Sorted(maps.Keys(f.byID)) {
			f.byID[id].sweep()
		}
		core.After(sweepInterval, sweep)
	}
	core.After(sweepInterval, sweep)
	return f
}

// Close closes all connections permanently, once the releases on them are written. Calls that end from now on are reported to the next
// process that connects.
func (f *FarEnds) Close() {
	f.closed = true
	for _, id := range slices.Sorted(maps.Keys(f.byID)) {
		for _, c := range f.byID[id].conns {
			c.link.CloseAfterFlush()
		}
	}
}

// WaitingReleases returns how many releases wait for a connection to their far end.
func (f *FarEnds) WaitingReleases() (n int) {
	for _, x := range f.byID {
		n += len(x.queuedReleases)
	}
	return n
}

// ApplyList applies a change-log event to the far ends and passes it on to the core.
func (f *FarEnds) ApplyList(version uint64, kind tinbeam.ListKind, entries []changelog.Entry) {
	listed := map[uint32]bool{}
	plain := make([]tinbeam.Entry, len(entries))
	var changed []*farEnd
	for i, e := range entries {
		plain[i] = e.Entry
		listed[e.Switch] = true
		x := f.byID[e.Switch]
		if x == nil {
			if e.Mode == tinbeam.Gone {
				continue
			}
			x = &farEnd{farEnds: f, id: e.Switch, attempts: map[string]*agent.Attempt{},
				checkSentAt:   map[string]time.Duration{},
				readyReported: e.ExchangeNumber == f.core.Settings.LocalExchange}
			x.restartSilence()
			f.byID[e.Switch] = x
		}
		if x.addr != e.Addr {
			x.addrChanged = x.addr != ""
			x.addr = e.Addr
		}
		x.mode = e.Mode
		if e.OnlineSince > x.onlineSince {
			x.onlineSince = e.OnlineSince
		}
		changed = append(changed, x)
	}
	if kind != tinbeam.ListDelta {
		for _, id := range slices.Sorted(maps.Keys(f.byID)) {
			if x := f.byID[id]; !listed[id] {
				x.mode = tinbeam.Gone
				changed = append(changed, x)
			}
		}
	}
	// The core is notified first, so that the decision module's next choices use the new list; nothing is sent in between.
	f.core.UpdateFarEnds(version, kind, plain, f)
	for _, x := range changed {
		x.reconcile()
	}
}

// reconcile brings the attempts and connections into line with the far-end list.
func (x *farEnd) reconcile() {
	if x.mode != tinbeam.Ready {
		// Keeps the rule on drains: a set-up still waiting to be written must not be sent after the drain began.
		for a := range x.sortedAttempts() {
			l := a.Leg.(*attemptLeg)
			if !a.Established() && (l.conn == nil || l.handle.Withdraw()) {
				x.farEnds.core.Metrics.AttemptsWithdrawn.Inc()
				x.removeAttempt(a)
				x.farEnds.core.Ended(a, tinbeam.ConnectFailed, 0, nil, 0)
			}
		}
	}
	if x.mode == tinbeam.Gone {
		x.leaveAddress()
		delete(x.farEnds.byID, x.id)
		return
	}
	if x.addrChanged {
		x.addrChanged = false
		x.leaveAddress()
	}
	// A restarted process has lost its earlier calls; calls set up after its start are its own.
	x.endAttempts(x.beforeStart)
	x.dial(connsWanted)
}

// leaveAddress ends what was set up at the far end's address, and closes the connections, which lead there. Another process may have
// the address already and calls of this agent on these connections: they are released there.
func (x *farEnd) leaveAddress() {
	x.endAttempts(func(*agent.Attempt) bool { return true })
	conns := x.conns
	x.conns = nil
	for _, c := range conns {
		c.closed = true
		c.link.CloseAfterFlush()
	}
	x.dropQueuedReleases()
	x.doubts, x.evidence = nil, nil
}

// beforeStart reports whether an attempt was sent to the process that was there before the present one. One that waited for a
// connection may have been sent earlier, and written to the present process.
func (x *farEnd) beforeStart(a *agent.Attempt) bool {
	if x.onlineSince == 0 {
		return false // it started long ago
	}
	c, start := a.Leg.(*attemptLeg).conn, x.onlineSince+startResolution
	return c != nil && a.SentAt < start && c.connectedAt < start
}

// hasStandingCalls reports whether a call stands at the far end.
func (x *farEnd) hasStandingCalls() bool {
	for _, a := range x.attempts {
		if a.Established() {
			return true
		}
	}
	return false
}

// sortedAttempts yields the attempts at the far end in the order of their calls' IDs. Ending one of them may end others or start
// new ones: only attempts that are there now and still there when their turn comes are yielded.
func (x *farEnd) sortedAttempts() iter.Seq[*agent.Attempt] {
	present := maps.Clone(x.attempts)
	return func(yield func(*agent.Attempt) bool) {
		for _, uid := range slices.Sorted(maps.Keys(present)) {
			if a := present[uid]; x.attempts[uid] == a && !yield(a) {
				return
			}
		}
	}
}

// endAttempts ends the attempts and calls that meet the condition. The list or a sign says that the far end has lost them; it is told
// all the same, since otherwise they would stand there without a caller if that is wrong.
func (x *farEnd) endAttempts(lost func(*agent.Attempt) bool) {
	for a := range x.sortedAttempts() {
		if lost(a) {
			x.endAttempt(a, 0)
		}
	}
}

// endAttempt ends an attempt or call that is lost. One that was written may have reached the far end, whose answer may have been
// lost: then its call stands there, and belongs to no connection. So a release follows it.
func (x *farEnd) endAttempt(a *agent.Attempt, note uint32) {
	l, core := a.Leg.(*attemptLeg), x.farEnds.core
	x.removeAttempt(a)
	if l.conn == nil || l.handle.Withdraw() {
		core.Ended(a, tinbeam.ConnectFailed, note, nil, 0)
		return
	}
	x.sendStop(a, farend.CauseNormal)
	core.Ended(a, tinbeam.Reset, note, nil, farend.CauseReset)
}

// closeConns closes the connections. Their pending set-ups end when the closes are reported.
func (x *farEnd) closeConns() {
	for _, c := range slices.Clone(x.conns) {
		c.link.Close()
	}
}

func (x *farEnd) removeAttempt(a *agent.Attempt) {
	if x.attempts[a.Call.ID] == a {
		delete(x.attempts, a.Call.ID)
	}
	l := a.Leg.(*attemptLeg)
	x.farEnds.core.Stop(l.expiry)
	if l.conn == nil {
		x.waiting = slices.DeleteFunc(x.waiting, func(w *agent.Attempt) bool { return w == a })
	}
	l.clearPending()
}

// clearPending stops counting a set-up as pending on its connection. Established calls belong to no connection and do not
// count: a stalled connection has none of them, and would be chosen for every next set-up if they did.
func (l *attemptLeg) clearPending() {
	if l.pending {
		l.pending = false
		l.conn.pending--
	}
}

// SetUp sends a set-up, or keeps it until a connection is open, for at most the dial timeout.
func (f *FarEnds) SetUp(a *agent.Attempt) {
	l := &attemptLeg{handle: link.SendHandle{Counter: f.core.Metrics.Launches}}
	a.Leg = l
	x := f.byID[a.Switch]
	if x == nil {
		f.core.Ended(a, tinbeam.ConnectFailed, 0, nil, 0)
		return
	}
	if len(x.attempts) == 0 && !x.silence.Checked() {
		x.restartSilence() // until now the far end had no cause to send anything
	}
	x.attempts[a.Call.ID] = a
	if c := x.connFor(a); c != nil {
		c.sendLaunch(a)
		return
	}
	x.waiting = append(x.waiting, a)
	l.expiry = f.core.After(f.dialTimeout, func() {
		x.removeAttempt(a)
		f.core.Ended(a, tinbeam.ConnectFailed, 0, nil, 0)
	})
	x.redialAt = 0
	x.dial(connsWanted)
}

// leastLoaded returns the connection with the fewest pending set-ups; nil: none is open.
func (x *farEnd) leastLoaded() *farConn {
	var best *farConn
	for _, c := range x.conns {
		if best == nil || c.pending < best.pending {
			best = c
		}
	}
	return best
}

// Probe sends a load probe to a far end.
func (f *FarEnds) Probe(id uint32) {
	x := f.byID[id]
	if x == nil || !x.sendCheck() {
		f.core.Probed(id, tinbeam.ConnectFailed, 0, nil)
	}
}

// sendCheck sends a test line on the least loaded connection, and reports whether there is one.
func (x *farEnd) sendCheck() bool {
	c := x.leastLoaded()
	if c == nil {
		x.dial(connsWanted)
		return false
	}
	return c.sendCheck()
}

// handleGroupState passes on a state of the group. The state is sent on every connection, and only the copy on the first one is passed
// on. The second copy is older than the set-ups sent after the first; passed on too, it would let as many go again, and they would
// find no free circuit. So the far end is not ready either before the first one has brought it.
func (x *farEnd) handleGroupState(state []float32) {
	if state != nil {
		x.farEnds.core.Report(x.id, state)
	}
	x.reportReady()
}

// sweep handles what depends on time alone: connections to open or close, and unresponsive far ends.
func (x *farEnd) sweep() {
	core := x.farEnds.core
	for _, c := range slices.Clone(x.conns) {
		if c.stalled(core.Now()) {
			core.Metrics.StalledLinks.Inc()
			x.farEnds.log.Info("stalled connection to far end closed", zap.String("far", x.addr), zap.Int("set-ups", c.pending),
				zap.Int("missed states", c.missedStates))
			c.link.Close()
		}
	}
	x.checkConns()
	x.refreshConns()
	x.askForState()
	x.dial(x.wantedConns())
	for uid, at := range x.checkSentAt {
		if core.Now()-at > agent.UnresponsiveTimeout {
			delete(x.checkSentAt, uid)
		}
	}
	x.checkSilence()
}
