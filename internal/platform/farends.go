package platform

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
	"tinbeam/internal/farend"
	"tinbeam/internal/link"
)

// Figures of the connections to far ends.
const (
	linksWanted  = 2   // kept ready to each far end: one that breaks leaves the other to go on with
	linksMost    = 4   // the state of a group comes on so many
	farsMany     = 128 // more far ends get one connection each: the descriptors are bounded
	redialPause  = 200 * time.Millisecond
	resetPause   = 20 * time.Millisecond  // after a connection that was reset as it came up
	stuckAfter   = 300 * time.Millisecond // a line of which no more comes for so long never ends, nor does silence
	knockAfter   = 400 * time.Millisecond // a far end that owes an answer and says nothing for so long gets a new connection
	sweepEvery   = 250 * time.Millisecond
	testAfter    = 2 * time.Second // a far end with work of ours that says nothing for so long is tested
	silentAfter  = 5 * time.Second // and given up after this: what stood there must be released within 8 s of its end
	releasesMost = 1024            // releases kept for a far end that cannot be reached
)

// FarEnds is the far side: connections to the far ends in the list, kept ready.
type FarEnds struct {
	core    *agent.Core
	log     *zap.Logger
	timeout time.Duration // for a connection to come up
	byID    map[uint32]*far
	closed  bool
	changed func()
}

// far is one far end.
type far struct {
	fars     *FarEnds
	id       uint32
	addr     string
	moved    bool // the list has just told another address
	mode     tinbeam.Mode
	since    time.Duration
	conns    []*farConn
	dialing  bool
	redialAt time.Duration
	told     bool // the state of its group has come, or no connection came up
	heard    time.Duration
	testing  bool
	attempts map[string]*agent.Attempt // out or standing, by the id of the call
	waiting  []*agent.Attempt          // for a connection
	releases [][]byte                  // for a connection
	checks   map[string]time.Duration
}

// farConn is one connection; its methods Data and Closed run outside the loop and only post.
type farConn struct {
	far  *far
	link *link.Conn
	upAt time.Duration
	over bool
	// states of the group that came on the others since something came here, and since when they are too many
	missed   int
	missedAt time.Duration
	open     int       // set-ups on it that are not answered
	state    []float32 // the last of the group that came here
}

// leg is what this front keeps of an attempt.
type leg struct {
	conn   *farConn
	open   bool // it has no answer yet
	ticket link.SendHandle
	expire *agent.Timer // while it waits for a connection
}

// NewFarEnds makes the far side; changed is called when a far end becomes ready for calls.
func NewFarEnds(core *agent.Core, log *zap.Logger, timeout time.Duration, changed func()) *FarEnds {
	if timeout <= 0 {
		timeout = 500 * time.Millisecond
	}
	f := &FarEnds{core: core, log: log, timeout: timeout, byID: map[uint32]*far{}, changed: changed}
	var sweep func()
	sweep = func() {
		for _, id := range slices.Sorted(maps.Keys(f.byID)) {
			f.byID[id].sweep()
		}
		core.After(sweepEvery, sweep)
	}
	core.After(sweepEvery, sweep)
	return f
}

// Close closes the connections for good. What ends from now on is told to whom opens the next ones.
func (f *FarEnds) Close() {
	f.closed = true
	for _, id := range slices.Sorted(maps.Keys(f.byID)) {
		f.byID[id].hangUp()
	}
}

// Listed takes an event of the list and hands it on to the core.
func (f *FarEnds) Listed(version uint64, kind tinbeam.ListKind, entries []changelog.Entry) {
	listed := map[uint32]bool{}
	plain := make([]tinbeam.Entry, len(entries))
	var changed []*far
	for i, e := range entries {
		plain[i] = e.Entry
		listed[e.Switch] = true
		x := f.byID[e.Switch]
		if x == nil {
			if e.Mode == tinbeam.Gone {
				continue
			}
			x = &far{fars: f, id: e.Switch, attempts: map[string]*agent.Attempt{},
				checks: map[string]time.Duration{}, heard: f.core.Now(), told: e.ExchangeNumber == f.core.Settings.LocalExchange}
			f.byID[e.Switch] = x
		}
		if x.addr != e.Addr {
			x.moved = x.addr != ""
			x.addr = e.Addr
		}
		x.mode = e.Mode
		if e.OnlineSince > x.since {
			x.since = e.OnlineSince
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
	// The core hears first, so that the module's next choices are made on the new list; nothing is written in between.
	f.core.UpdateFarEnds(version, kind, plain, f)
	for _, x := range changed {
		x.follow()
	}
}

// follow brings the attempts and connections in line with the list.
func (x *far) follow() {
	if x.mode != tinbeam.Ready {
		// Guards the rule on drains: what waits to be written must not go out late.
		for _, a := range x.sorted() {
			l := a.Leg.(*leg)
			if !a.Established() && (l.conn == nil || l.ticket.Withdraw()) {
				x.fars.core.Metrics.AttemptsWithdrawn.Inc()
				x.forget(a)
				x.fars.core.Ended(a, tinbeam.ConnectFailed, 0, nil, 0)
			}
		}
	}
	if x.mode == tinbeam.Gone {
		x.cut(x.fars.core.Now())
		x.hangUp()
		delete(x.fars.byID, x.id)
		return
	}
	if x.moved {
		// What was set up at the old address is lost with it, and the connections lead there.
		x.moved = false
		x.cut(x.fars.core.Now())
		x.hangUp()
	}
	// A process that started anew has lost what it had; what was set up since is its own.
	x.cut(x.since)
	x.dial(linksWanted)
}

func (x *far) sorted() []*agent.Attempt {
	out := make([]*agent.Attempt, 0, len(x.attempts))
	for _, uid := range slices.Sorted(maps.Keys(x.attempts)) {
		out = append(out, x.attempts[uid])
	}
	return out
}

// cut ends all attempts that were sent before a time.
func (x *far) cut(before time.Duration) {
	for _, a := range x.sorted() {
		if a.SentAt < before || before == x.fars.core.Now() {
			x.forget(a)
			x.fars.core.Ended(a, tinbeam.Reset, 0, nil, farend.CauseReset)
		}
	}
}

// hangUp closes the connections. Their set-ups are ended as their ends are told.
func (x *far) hangUp() {
	for _, c := range slices.Clone(x.conns) {
		c.link.Close()
	}
}

func (x *far) forget(a *agent.Attempt) {
	if x.attempts[a.Call.ID] == a {
		delete(x.attempts, a.Call.ID)
	}
	l := a.Leg.(*leg)
	x.fars.core.Stop(l.expire)
	if l.conn == nil {
		x.waiting = slices.DeleteFunc(x.waiting, func(w *agent.Attempt) bool { return w == a })
	}
	l.answered()
}

// answered takes a set-up off what its connection has open. Calls that stand belong to no connection and do not count:
// one that is stuck would have none, and be the next one's choice for ever.
func (l *leg) answered() {
	if l.open {
		l.open = false
		l.conn.open--
	}
}

// SetUp sends a set-up, or keeps it until a connection is up, no longer than one may take.
func (f *FarEnds) SetUp(a *agent.Attempt) {
	l := &leg{ticket: link.SendHandle{Counter: f.core.Metrics.Launches}}
	a.Leg = l
	x := f.byID[a.Switch]
	if x == nil {
		f.core.Ended(a, tinbeam.ConnectFailed, 0, nil, 0)
		return
	}
	x.attempts[a.Call.ID] = a
	if c := x.best(); c != nil {
		c.launch(a)
		return
	}
	x.waiting = append(x.waiting, a)
	l.expire = f.core.After(f.timeout, func() {
		x.forget(a)
		f.core.Ended(a, tinbeam.ConnectFailed, 0, nil, 0)
	})
	x.redialAt = 0
	x.dial(linksWanted)
}

// best is the connection with the fewest set-ups open on it.
func (x *far) best() *farConn {
	var best *farConn
	for _, c := range x.conns {
		if best == nil || c.open < best.open {
			best = c
		}
	}
	return best
}

// launch is the set-up of a call as a far end reads it.
func launch(k *agent.Call, class string, left time.Duration) *farend.Message {
	m := &farend.Message{Kind: farend.Launch, UID: k.ID, Body: k.Description, Meta: map[string]string{
		"class": class, "left": strconv.FormatInt(left.Milliseconds(), 10)}}
	if k.Number != "" {
		m.Meta["key"] = k.Number
	}
	return m
}

func (c *farConn) launch(a *agent.Attempt) {
	k, l := a.Call, a.Leg.(*leg)
	core := c.far.fars.core
	left := max(a.Timeout-(core.Now()-a.SentAt), time.Millisecond)
	m := launch(k, core.Settings.Classes[k.Class].Name, left)
	l.conn, l.open = c, true
	c.open++
	if e := c.far.fars.log.Check(zap.DebugLevel, "set-up"); e != nil {
		e.Write(zap.String("far", c.far.addr), zap.String("uid", k.ID), zap.Float64("width", k.Width))
	}
	c.link.Send(m.Append(nil), &l.ticket) // if it is refused, the connection's end is told and ends the attempt
}

// Cancel takes a set-up back, or calls it off.
func (f *FarEnds) Cancel(a *agent.Attempt) {
	l := a.Leg.(*leg)
	x := f.byID[a.Switch]
	if x == nil {
		return
	}
	x.forget(a)
	if l.conn == nil || l.ticket.Withdraw() {
		f.core.Metrics.AttemptsWithdrawn.Inc()
		return
	}
	l.conn.link.Send((&farend.Message{Kind: farend.Stop, UID: a.Call.ID, Cause: farend.CauseNormal}).Append(nil), nil)
}

// Release ends a call that stands: on the connection of its set-up, or any other, or the next.
func (f *FarEnds) Release(a *agent.Attempt, cause int) {
	x := f.byID[a.Switch]
	if x == nil {
		return
	}
	x.forget(a)
	m := (&farend.Message{Kind: farend.Stop, UID: a.Call.ID, Cause: cause}).Append(nil)
	if c := a.Leg.(*leg).conn; c != nil && c.link.Send(m, nil) {
		return
	}
	if c := x.best(); c != nil && c.link.Send(m, nil) {
		return
	}
	if len(x.releases) < releasesMost {
		x.releases = append(x.releases, m)
	}
}

// Probe tests a far end.
func (f *FarEnds) Probe(id uint32) {
	x := f.byID[id]
	if x == nil || !x.check() {
		f.core.Probed(id, tinbeam.ConnectFailed, 0, nil)
	}
}

func (x *far) check() bool {
	c := x.best()
	if c == nil {
		x.dial(linksWanted)
		return false
	}
	uid := fmt.Sprintf("%016x", rand.Uint64())
	x.checks[uid] = x.fars.core.Now()
	return c.link.Send((&farend.Message{Kind: farend.Check, UID: uid}).Append(nil), nil)
}

// dial opens a connection where there are fewer than most. It runs beside the loop and posts what became of it.
func (x *far) dial(most int) {
	f := x.fars
	if len(f.byID) > farsMany {
		most = 1
	}
	if f.closed || x.dialing || len(x.conns) >= most || x.mode == tinbeam.Gone || f.core.Now() < x.redialAt {
		return
	}
	x.dialing = true
	addr := x.addr
	c := &farConn{far: x}
	go func() {
		l, err := link.Dial(addr, f.timeout, c)
		f.core.Post(func() {
			x.dialing = false
			if err == nil && (x.addr != addr || f.byID[x.id] != x) {
				l.Close()
				err = fmt.Errorf("the far end has moved")
			}
			if err != nil {
				x.unreached(link.Refused(err))
			} else {
				x.up(c, l)
			}
		})
	}()
}

// unreached: a connection did not come up. Refused, it proves that the process is gone, and what stood there.
func (x *far) unreached(refused bool) {
	core := x.fars.core
	core.Metrics.DialsFailed.Inc()
	x.redialAt = core.Now() + redialPause
	x.ready()
	if len(x.conns) > 0 {
		return
	}
	if refused {
		for _, a := range slices.Clone(x.waiting) {
			x.forget(a)
			core.Ended(a, tinbeam.ConnectFailed, 0, nil, 0)
		}
		x.cut(core.Now())
	}
}

// pause lets a moment pass before the next connection.
func (x *far) pause() {
	x.redialAt = x.fars.core.Now() + resetPause
	x.fars.core.At(x.redialAt, func() {
		if x.fars.byID[x.id] == x {
			x.dial(linksWanted)
		}
	})
}

// ready tells once that the state of the group has come, or cannot.
func (x *far) ready() {
	if !x.told {
		x.told = true
		x.fars.changed()
	}
}

func (x *far) up(c *farConn, l *link.Conn) {
	core := x.fars.core
	if c.over {
		// Guards against a connection that was reset before this was told of it: set-ups would be given to it for good.
		x.unreached(false)
		x.pause()
		return
	}
	c.link, c.upAt = l, core.Now()
	if c.state != nil && len(x.conns) == 0 {
		core.Report(x.id, c.state) // it came ahead of this
	}
	x.conns = append(x.conns, c)
	x.heard, x.testing = core.Now(), false
	core.Metrics.LinksUp.Inc()
	for _, m := range x.releases {
		l.Send(m, nil)
	}
	x.releases = nil
	waiting := x.waiting
	x.waiting = nil
	for _, a := range waiting {
		core.Stop(a.Leg.(*leg).expire)
		c.launch(a)
	}
	x.dial(linksWanted)
}

// Data reads lines. What cannot be read ends the connection at once, before what still waits to be written: whatever
// comes behind it cannot be followed, so that set-ups open on it would wait for nothing.
func (c *farConn) Data(l *link.Conn, b []byte) (int, error) {
	core := c.far.fars.core
	used := 0
	for {
		m, n, err := farend.Parse(b[used:])
		used += n
		switch {
		case err != nil:
			core.Metrics.Malformed.Inc()
			c.far.fars.log.Debug("far end cannot be read", zap.Error(err), zap.ByteString("from", b[used-n:min(len(b), used-n+160)]))
			l.Close()
			return used, err
		case n == 0:
			return used, nil
		case m != nil:
			core.Post(func() { c.heard(m) })
		}
	}
}

// Closed tells that the connection has ended.
func (c *farConn) Closed(*link.Conn) { c.far.fars.core.PostNonBlocking(c.lost) }

// lost: the set-ups that are open on a connection are given up with it; what stands belongs to no connection.
func (c *farConn) lost() {
	x := c.far
	c.over = true
	core := x.fars.core
	if !slices.Contains(x.conns, c) {
		return // it came up when it was not wanted any more
	}
	x.redialAt = 0
	if core.Now()-c.upAt < resetPause {
		x.pause() // reset when new, and the next one may be too
	}
	core.Metrics.LinksLost.Inc()
	x.fars.log.Debug("link lost", zap.String("far", x.addr), zap.Int("open", c.open))
	first := x.conns[0] == c
	x.conns = slices.DeleteFunc(x.conns, func(o *farConn) bool { return o == c })
	if first && len(x.conns) > 0 && x.conns[0].state != nil {
		core.Report(x.id, x.conns[0].state) // from now on the states are taken from there
	}
	for _, a := range x.sorted() {
		l := a.Leg.(*leg)
		if l.conn != c || a.Established() {
			continue
		}
		x.forget(a)
		// Guards a sound far end: that one connection broke says nothing of its load or health. Where the process
		// has died the next connection is refused, and that tells.
		if l.ticket.Withdraw() { // not a byte of it was written: it never ran
			core.Ended(a, tinbeam.ConnectFailed, tinbeam.NoteLinkLost, nil, 0)
		} else {
			core.Ended(a, tinbeam.Reset, tinbeam.NoteLinkLost, nil, farend.CauseReset)
		}
	}
	x.dial(linksWanted)
}

// heard takes one line.
func (c *farConn) heard(m *farend.Message) {
	x := c.far
	core := x.fars.core
	x.heard, x.testing = core.Now(), false
	c.missed = 0
	a := x.attempts[m.UID]
	if e := x.fars.log.Check(zap.DebugLevel, m.Kind); e != nil {
		e.Write(zap.String("far", x.addr), zap.String("uid", m.UID), zap.Int("cause", m.Cause), zap.Any("meta", m.Meta))
	}
	switch m.Kind {
	case farend.Staging, farend.Stopped:
	case farend.Running:
		if a == nil {
			core.Metrics.StrayMessages.Inc() // it crossed the stop of its set-up, which ends it at the far end
			return
		}
		a.Leg.(*leg).answered()
		core.Answered(a, m.Body)
	case farend.Stop:
		if a == nil {
			core.Metrics.StrayMessages.Inc()
			return
		}
		if a.Established() {
			c.link.Send((&farend.Message{Kind: farend.Stopped, UID: m.UID}).Append(nil), nil)
		}
		x.forget(a)
		core.Ended(a, m.OutcomeCode(a.Established()), m.Note(), m.Report(core.Settings.ReportFields), m.Cause)
	case farend.Usage:
		// Guards against a state told twice: it comes on every connection, and the copy that comes second is older than
		// the set-ups that the first one let go. Taken as news, it lets as many go again, and they find no circuit.
		if c.state = m.Report(core.Settings.ReportFields); c.state != nil && len(x.conns) > 0 && x.conns[0] == c {
			core.Report(x.id, c.state)
		}
		x.ready()
		for _, o := range x.conns {
			if o != c {
				o.miss(core.Now())
			}
		}
	case farend.Checked:
		at, ok := x.checks[m.UID]
		if !ok {
			core.Metrics.StrayMessages.Inc()
			return
		}
		delete(x.checks, m.UID)
		code := tinbeam.OK
		if m.Cause != farend.CheckPassed {
			code = tinbeam.Failed
		}
		core.Probed(x.id, code, core.Now()-at, m.Report(core.Settings.ReportFields))
	default:
		core.Metrics.Malformed.Inc()
	}
}

// miss notes a state of the group that came on another connection. Each comes on all of them, at nearly the same time: the
// last one may have come here first, but not the one before.
func (c *farConn) miss(now time.Duration) {
	if c.missed++; c.missed == 2*(len(c.far.conns)-1) {
		c.missedAt = now
	}
}

// stuck tells that a connection stays open and is of no more use: a line on it does not end, or the far end is heard on
// others and not here.
func (c *farConn) stuck(now time.Duration) bool {
	return c.link.StalledFor() > stuckAfter || c.missed >= 2*(len(c.far.conns)-1) && c.missed > 0 && now-c.missedAt > stuckAfter
}

// sweep looks after what only time changes: connections to open, and far ends that have fallen silent.
func (x *far) sweep() {
	core := x.fars.core
	for _, c := range slices.Clone(x.conns) {
		if c.stuck(core.Now()) {
			core.Metrics.StalledLinks.Inc()
			c.link.Close()
		}
	}
	x.dial(linksWanted)
	for uid, at := range x.checks {
		if core.Now()-at > silentAfter {
			delete(x.checks, uid)
		}
	}
	quiet := core.Now() - x.heard
	if len(x.attempts) == 0 {
		return
	}
	switch {
	case quiet > silentAfter:
		// A machine that vanished or is cut off says nothing, its connections stay open, and no new one came up.
		x.fars.log.Warn("far end is silent", zap.String("id", changelog.FormatID(x.id)), zap.Int("calls", len(x.attempts)))
		core.Metrics.IdleLinks.Inc()
		x.cut(core.Now())
		x.hangUp()
	case quiet > testAfter && !x.testing:
		x.testing = true
		x.check()
		x.knock()
	case quiet > knockAfter && len(x.conns) < linksMost && x.owes(knockAfter):
		// All its connections may be stuck. A new one brings the state of the group before anything else, and so tells.
		x.dial(linksMost)
	}
}

// owes tells whether a set-up has been out for so long.
func (x *far) owes(long time.Duration) bool {
	for _, a := range x.attempts {
		if !a.Established() && x.fars.core.Now()-a.SentAt > long {
			return true
		}
	}
	return false
}

// knock opens one more connection to a far end that says nothing. Guards the calls that stand at one that merely hangs:
// its machine still takes connections, while to one that vanished or is cut off none ever comes up.
func (x *far) knock() {
	if len(x.conns) >= linksMost {
		for _, c := range x.conns {
			open := slices.ContainsFunc(x.sorted(), func(a *agent.Attempt) bool {
				return a.Leg.(*leg).conn == c && !a.Established()
			})
			if !open { // nothing is given up with it
				c.link.Close()
				break
			}
		}
	}
	x.dial(linksMost)
}
