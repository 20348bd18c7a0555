// Package agent is the core of the call agent. It deals in requests, attempts, outcomes and probes, and knows no
// wire: a front brings calls in on the caller side, and carries attempts out on the far side.
//
// Every decision is the module's (package tinbeam). What is mechanical is done here: deadlines, one final answer a
// call, one attempt out, the release wait, and nothing fresh to a far end that drains or is gone.
package agent

import (
	"fmt"
	"hash/fnv"
	"maps"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	invariant "tinbeam/internal/debug"
	"tinbeam/internal/metrics"
)

// Figures that are not policy: how the program keeps what the module has decided.
const (
	answerMargin = 15 * time.Millisecond  // a final answer leaves this much ahead of the caller's deadline
	countEvery   = 200 * time.Millisecond // how often the gauges of the far ends are renewed
	probeTimeout = 500 * time.Millisecond // a test without an answer has failed
	callBytes    = 8 << 10                // what a call may cost in memory, all its parts; half of that limit is for calls
)

// Caller is the side a call came from. A call gets exactly one of Answer and Refuse, and after an Answer one
// Release unless the caller released it. The core never calls it for a call whose caller has left.
type Caller interface {
	Answer(c *Call, description string)
	Refuse(c *Call, failed bool, pause time.Duration)
	Release(c *Call, cause int)
}

// FarEndSide is a side that attempts go out on. It calls Ended once for each SetUp that was not cancelled.
type FarEndSide interface {
	SetUp(a *Attempt)
	Cancel(a *Attempt)             // before the answer: whatever still waits to be written is taken back
	Release(a *Attempt, cause int) // of an attempt that stands
	Probe(id uint32)
}

// Hook sees events before the module does; Refuse may turn a call away. See package plugin.
type Hook interface {
	Refuse(c *Call) bool
	Event(name string, c *Call)
}

// Call is one call from when it is taken until it is over.
type Call struct {
	ID          string // in messages: 16 hex digits
	Number      string // the number called, as written
	Class       int
	Description string // the caller's
	NumberKey   uint64 // the number called, for the module
	Width       float64
	TimeLeft    time.Duration
	Dest, Via   int
	Flags       uint8
	Caller      Caller
	Leg         any // the front's own

	ref       uint32
	taken     time.Duration
	deadline  time.Duration
	answered  bool // its one final answer has been given
	standing  bool
	out       *Attempt // out, or standing
	tries     int
	most      int // attempts; 0: not told
	notBefore time.Duration
	guard     *Timer
}

// NumberKey is a number called as the module knows it: its hex digits, or where it is written otherwise a hash of it, so that
// the calls to any number are one stream. 0 is no number.
func NumberKey(number string) uint64 {
	if n, err := strconv.ParseUint(number, 16, 64); err == nil || number == "" {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(number))
	return max(h.Sum64(), 1)
}

// Attempt is one set-up towards a far end.
type Attempt struct {
	Call    *Call
	Switch  uint32
	Timeout time.Duration // how long it is waited for
	Leg     any           // the front's own

	SentAt time.Duration

	try   int
	timer *Timer
}

// Established tells whether the call has been answered and is not over.
func (k *Call) Established() bool { return k.standing }

// Established tells whether its call stands.
func (a *Attempt) Established() bool { return a.Call.standing }

// Core owns the Controller and the table of calls. All its methods run on its loop.
type Core struct {
	*Loop
	Settings tinbeam.Settings
	most     int // calls held at once; what is beyond is refused before the module sees it
	Metrics  *metrics.Set
	log      *zap.Logger
	ctl      *tinbeam.Controller
	hook     Hook

	next   uint32
	calls  map[uint32]*Call
	places map[uint32]*place
	probes map[uint32]*Timer
	events []tinbeam.Event // to be told to the module next
	busy   bool
	owed   int
}

// place is a far end as the list has it.
type place struct {
	far   FarEndSide
	entry tinbeam.Entry
}

// New makes a core that knows no far end. The calls it holds at once are bounded by the limit on memory, in bytes.
func New(loop *Loop, set tinbeam.Settings, seed uint64, memory int, m *metrics.Set, log *zap.Logger, hook Hook) *Core {
	c := &Core{Loop: loop, Settings: set, most: memory / 2 / callBytes, Metrics: m, log: log, hook: hook,
		ctl:   tinbeam.New(set, seed),
		calls: map[uint32]*Call{}, places: map[uint32]*place{}, probes: map[uint32]*Timer{}}
	for _, k := range set.Classes {
		m.Class(k.Name) // shown from the first on, at zero
	}
	var count func()
	count = func() {
		c.count()
		loop.After(countEvery, count)
	}
	loop.After(0, count)
	return c
}

// count renews the gauges of the far ends.
func (c *Core) count() {
	listed := 0
	for _, p := range c.places {
		if p.entry.Mode != tinbeam.Gone {
			listed++
		}
	}
	c.Metrics.FarEndsListed.Set(int64(listed))
	c.guarded(c.ctl, func() { c.Metrics.FarEndsAvoided.Set(int64(c.ctl.UnresponsiveCount())) })
}

// Retune takes other settings. What is open keeps its class, so a class that is changed or dropped keeps its place in the
// table as long as a call has it, and is retired.
func (c *Core) Retune(set tinbeam.Settings) {
	used := map[int]bool{}
	for _, k := range c.calls {
		used[k.Class] = true
		if set.MaxAttempts > 0 && (k.most == 0 || set.MaxAttempts < k.most) {
			k.most = set.MaxAttempts
		}
	}
	pools := func(s *tinbeam.Settings, i int) []int {
		if i < len(s.AllowedPools) {
			return s.AllowedPools[i]
		}
		return nil
	}
	old := c.Settings
	classes, allowed := slices.Clone(old.Classes), make([][]int, len(old.Classes))
	place := map[int]int{} // of the new ones, by place in the table
	for i := range classes {
		allowed[i] = pools(&old, i)
		j := slices.Index(set.Classes, classes[i])
		if j >= 0 && slices.Equal(allowed[i], pools(&set, j)) {
			place[j] = i
			continue
		}
		classes[i].Retired = true
	}
	for j, k := range set.Classes {
		c.Metrics.Class(k.Name)
		if _, same := place[j]; same {
			continue
		}
		i := 0
		for i < len(classes) && (!classes[i].Retired || used[i]) {
			i++
		}
		if i == len(classes) {
			classes, allowed = append(classes, k), append(allowed, nil)
		}
		classes[i], allowed[i] = k, pools(&set, j)
	}
	set.Classes, set.AllowedPools = classes, allowed
	c.Settings = set
	c.tell(tinbeam.Retune{Settings: set})
}

// ClassIndex is the place of a class in the settings; -1: none has that name.
func (c *Core) ClassIndex(name string) int {
	return slices.IndexFunc(c.Settings.Classes, func(k tinbeam.Class) bool { return !k.Retired && k.Name == name })
}

// class is the counters of a call's class.
func (c *Core) class(k *Call) *metrics.Class {
	return c.Metrics.Class(c.Settings.Classes[k.Class].Name)
}

// tell tells the module events, the oldest first, and does what it asks for. What happens meanwhile waits its turn.
func (c *Core) tell(ev ...tinbeam.Event) {
	c.events = append(c.events, ev...)
	if c.busy {
		return
	}
	c.busy = true
	defer func() { c.busy = false }()
	for len(c.events) > 0 {
		e := c.events[0]
		c.events = c.events[1:]
		for _, a := range c.decide(e) {
			c.act(a)
		}
	}
	c.events = nil
}

// decide asks the module what is to be done.
func (c *Core) decide(e tinbeam.Event) (acts []tinbeam.Action) {
	if !c.guarded(e, func() { acts = c.ctl.Handle(c.Now(), e, nil) }) {
		acts = []tinbeam.Action{tinbeam.Schedule{After: 20 * time.Millisecond, Handle: 1}}
	}
	return acts
}

// guarded guards against a fault of the module: it is counted and told, and the calls it concerns get their answer at
// their deadline. It tells whether there was none.
func (c *Core) guarded(what any, fn func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			c.Metrics.Panics.Inc()
			c.log.Error("decision failed", zap.Any("panic", p), zap.String("event", fmt.Sprintf("%T", what)),
				zap.ByteString("stack", debug.Stack()))
			ok = false
		}
	}()
	fn()
	return true
}

func (c *Core) act(a tinbeam.Action) {
	switch a := a.(type) {
	case tinbeam.Attempt:
		c.setUp(a)
	case tinbeam.Decline:
		if k := c.calls[a.Ref]; k != nil {
			c.refuse(k, false, a.RetryAfter)
		}
	case tinbeam.GiveUp:
		if k := c.calls[a.Ref]; k != nil {
			c.refuse(k, true, 0)
		}
	case tinbeam.Withdraw:
		if k := c.calls[a.Ref]; k != nil && k.out != nil && k.out.try == a.Try && !k.standing {
			at := k.out
			c.places[at.Switch].far.Cancel(at)
			c.Ended(at, tinbeam.Cancelled, 0, nil, 0)
		}
	case tinbeam.Schedule:
		c.After(a.After, func() { c.tell(tinbeam.TickDue{Handle: a.Handle}) })
	case tinbeam.AskLoad:
		c.probe(a.Switch)
	case tinbeam.Note:
		c.log.Info(a.Text)
	case tinbeam.BailOut:
		c.log.Error(a.Text)
	case tinbeam.Lookup, tinbeam.StreamChanges:
		// The change log is followed all the time.
	default:
		invariant.Check(false, c.Metrics.Violations, "action %T is known", a)
	}
}

// Offer takes a call. Left counts from now.
func (c *Core) Offer(k *Call) {
	c.Metrics.Offered.Inc()
	k.taken, k.deadline, k.most = c.Now(), c.Now()+max(k.TimeLeft, 0), c.Settings.MaxAttempts
	c.owed++
	c.Metrics.Pending.Set(int64(c.owed))
	c.next++
	k.ref = c.next
	c.calls[k.ref] = k
	switch {
	case len(c.calls) > c.most:
		c.refuse(k, false, c.Settings.MaxRetryAfter)
		return
	case c.hook != nil && c.hook.Refuse(k):
		c.Metrics.PluginRefusals.Inc()
		c.refuse(k, false, c.Settings.MaxRetryAfter)
		return
	}
	// Guards against a module that keeps a call too long, whatever the cause: its caller gets an answer.
	k.guard = c.At(max(k.deadline-answerMargin+2*time.Millisecond, c.Now()), func() {
		c.Fail(k)
	})
	c.tell(tinbeam.Offer{Ref: k.ref, Class: k.Class, Number: k.NumberKey, Width: k.Width, TimeLeft: max(k.TimeLeft, 0),
		Dest: k.Dest, Flags: k.Flags, Via: k.Via})
}

// final gives up the claim to the one final answer of a call; false: it has been given.
func (c *Core) final(k *Call) bool {
	if k.answered {
		return false
	}
	k.answered = true
	c.Stop(k.guard)
	c.owed--
	c.Metrics.Pending.Set(int64(c.owed))
	return true
}

func (c *Core) refuse(k *Call, failed bool, pause time.Duration) {
	if !c.final(k) {
		return
	}
	if at := k.out; at != nil { // only where the guard of the deadline struck
		c.drop(at)
		c.places[at.Switch].far.Cancel(at)
	}
	delete(c.calls, k.ref)
	if failed {
		c.Metrics.Failed.Inc()
		c.class(k).Failed.Inc()
	} else {
		c.Metrics.Refused.Inc()
		c.CountRefused(k)
	}
	if e := c.log.Check(zap.DebugLevel, "refused"); e != nil {
		e.Write(zap.String("call", k.ID), zap.Int("dest", k.Dest), zap.Int("class", k.Class), zap.Float64("width", k.Width),
			zap.Uint8("marks", k.Flags), zap.Int("tries", k.tries), zap.Duration("after", c.Now()-k.taken),
			zap.Bool("failed", failed))
	}
	k.Caller.Refuse(k, failed, pause)
	c.see("refused", k)
}

// CountRefused counts a call of its class that was refused; one that is refused at the door is so, and never was offered.
func (c *Core) CountRefused(k *Call) { c.class(k).Refused.Inc() }

func (c *Core) see(name string, k *Call) {
	if c.hook != nil {
		c.hook.Event(name, k)
	}
}

func (c *Core) setUp(a tinbeam.Attempt) {
	k := c.calls[a.Ref]
	if k == nil || k.answered {
		return
	}
	try := k.tries
	k.tries++
	p := c.places[a.Switch]
	moot := func() {
		c.tell(tinbeam.Outcome{Ref: k.ref, Try: try, Switch: a.Switch, Code: tinbeam.NotAttempted})
	}
	v := c.Metrics.Violations
	if !invariant.Check(k.out == nil, v, "call %s has no other attempt out", k.ID) ||
		!invariant.Check(c.Now() >= k.notBefore, v, "call %s: the release is awaited", k.ID) ||
		!invariant.Check(k.most == 0 || k.tries <= k.most, v, "call %s: tries are left", k.ID) ||
		!invariant.Check(p != nil && p.entry.Mode == tinbeam.Ready, v, "far end %08x is ready", a.Switch) {
		moot()
		return
	}
	left := k.deadline - answerMargin - c.Now()
	if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	if left <= 0 {
		c.tell(tinbeam.Outcome{Ref: k.ref, Try: try, Switch: a.Switch, Code: tinbeam.TimedOut})
		return
	}
	at := &Attempt{Call: k, Switch: a.Switch, Timeout: left, try: try, SentAt: c.Now()}
	k.out = at
	c.Metrics.Attempts.Inc()
	at.timer = c.After(left, func() {
		p.far.Cancel(at)
		c.Ended(at, tinbeam.TimedOut, 0, nil, 0)
	})
	p.far.SetUp(at)
	c.see("attempt", k)
}

// drop takes an attempt off its call.
func (c *Core) drop(at *Attempt) {
	c.Stop(at.timer)
	at.Call.out = nil
}

// Answered tells that an attempt was answered: the call stands.
func (c *Core) Answered(at *Attempt, description string) {
	k := at.Call
	if k.out != at || k.standing {
		c.Metrics.StrayMessages.Inc() // it crossed what ended the attempt, or came twice
		return
	}
	c.Stop(at.timer)
	if !invariant.Check(c.final(k), c.Metrics.Violations, "call %s: an attempt is out, so no answer was given", k.ID) {
		return
	}
	k.standing = true
	c.Metrics.Answered.Inc()
	c.class(k).Answered.Inc()
	c.Metrics.Established.Add(1)
	k.Caller.Answer(k, description)
	c.tell(tinbeam.Flowing{Ref: k.ref, Try: at.try, Switch: at.Switch, Took: c.Now() - at.SentAt})
	c.see("answered", k)
}

// Ended tells how an attempt ended, standing or not. The cause is for the release towards the caller.
func (c *Core) Ended(at *Attempt, code tinbeam.Code, note uint32, report []float32, cause int) {
	k := at.Call
	if k.out != at {
		c.Metrics.StrayMessages.Inc()
		return
	}
	c.drop(at)
	over := k.answered
	if k.standing {
		c.over(k)
		k.Caller.Release(k, cause)
	} else {
		c.ending(code)
	}
	if code == tinbeam.TimedOut || code == tinbeam.Reset || code == tinbeam.Cancelled {
		k.notBefore = c.Now() + c.Settings.ReleaseDelay
	}
	c.tell(tinbeam.Outcome{Ref: k.ref, Try: at.try, Final: over, Note: note, Took: c.Now() - at.SentAt,
		Switch: at.Switch, Code: code, Report: report})
}

func (c *Core) ending(code tinbeam.Code) {
	switch code {
	case tinbeam.Full, tinbeam.NotAttempted:
		c.Metrics.AttemptsFull.Inc()
	case tinbeam.TimedOut:
		c.Metrics.AttemptsTimeout.Inc()
	case tinbeam.Reset:
		c.Metrics.AttemptsReset.Inc()
	case tinbeam.ConnectFailed:
		c.Metrics.AttemptsUnreached.Inc()
	case tinbeam.Failed:
		c.Metrics.AttemptsFailed.Inc()
	}
}

// over ends a standing call.
func (c *Core) over(k *Call) {
	k.standing = false
	delete(c.calls, k.ref)
	c.Metrics.Established.Add(-1)
	c.Metrics.Released.Inc()
	c.see("released", k)
}

// Abandoned tells that the caller of a call has left: it gave the set-up up, or its connection ended.
func (c *Core) Abandoned(k *Call) {
	if !c.final(k) {
		return
	}
	c.Metrics.Abandoned.Inc()
	delete(c.calls, k.ref)
	at := k.out
	c.tell(tinbeam.Withdrawn{Ref: k.ref})
	if at != nil {
		c.drop(at)
		c.places[at.Switch].far.Cancel(at)
		c.tell(tinbeam.Outcome{Ref: k.ref, Try: at.try, Final: true, Took: c.Now() - at.SentAt,
			Switch: at.Switch, Code: tinbeam.Cancelled})
	}
	c.see("abandoned", k)
}

// Hangup tells that the caller has released a call that stands.
func (c *Core) Hangup(k *Call, cause int) {
	at := k.out
	if !k.standing || at == nil {
		c.Metrics.Duplicates.Inc()
		return
	}
	c.drop(at)
	c.over(k)
	c.places[at.Switch].far.Release(at, cause)
	c.tell(tinbeam.Outcome{Ref: k.ref, Try: at.try, Final: true, Took: c.Now() - at.SentAt, Switch: at.Switch,
		Code: tinbeam.Cancelled})
}

// UpdateFarEnds brings an event of the list of one far side. To the module all sides are one list, so a whole list of one
// side is completed with what the others have.
func (c *Core) UpdateFarEnds(version uint64, kind tinbeam.ListKind, entries []tinbeam.Entry, far FarEndSide) {
	c.purge()
	listed := map[uint32]bool{}
	for _, e := range entries {
		listed[e.Switch] = true
		c.places[e.Switch] = &place{far, e}
	}
	if kind != tinbeam.ListDelta {
		entries = slices.Clone(entries)
		for _, id := range slices.Sorted(maps.Keys(c.places)) {
			p := c.places[id]
			if !listed[id] && p.far == far {
				p.entry.Mode = tinbeam.Gone
			} else if !listed[id] {
				entries = append(entries, p.entry)
			}
		}
	}
	c.tell(tinbeam.Topology{Version: version, Kind: kind, Entries: entries})
	c.count()
}

// purge forgets the far ends that were gone before: their ids do not come again, and on a long day there are ever more.
func (c *Core) purge() {
	used := map[uint32]bool{}
	for _, k := range c.calls {
		if k.out != nil {
			used[k.out.Switch] = true
		}
	}
	for id, p := range c.places {
		if p.entry.Mode == tinbeam.Gone && !used[id] {
			delete(c.places, id)
		}
	}
}

// Mode is the state of a far end in the list.
func (c *Core) Mode(id uint32) tinbeam.Mode {
	if p := c.places[id]; p != nil {
		return p.entry.Mode
	}
	return tinbeam.Gone
}

// Report brings an unasked report of the state of a group.
func (c *Core) Report(id uint32, report []float32) {
	c.Metrics.Reports.Inc()
	c.tell(tinbeam.Sampled{Switch: id, Code: tinbeam.OK, Report: report})
}

func (c *Core) probe(id uint32) {
	p := c.places[id]
	if p == nil || c.probes[id] != nil {
		return
	}
	c.Metrics.Probes.Inc()
	c.probes[id] = c.After(probeTimeout, func() { c.Probed(id, tinbeam.TimedOut, probeTimeout, nil) })
	p.far.Probe(id)
}

// Probed brings the answer to a test.
func (c *Core) Probed(id uint32, code tinbeam.Code, took time.Duration, report []float32) {
	t := c.probes[id]
	if t == nil {
		return // too late, or a test of the front's own
	}
	c.Stop(t)
	delete(c.probes, id)
	if report != nil {
		c.Metrics.Reports.Inc()
	}
	c.tell(tinbeam.Sampled{Switch: id, Code: code, Took: max(took, time.Microsecond), Report: report})
}

// FailPending gives every call that is owed one its final answer: there is no more time. What stands goes on.
func (c *Core) FailPending() {
	for _, ref := range slices.Sorted(maps.Keys(c.calls)) {
		if k := c.calls[ref]; k != nil {
			c.Fail(k)
		}
	}
}

// Fail gives a call that is owed one its final answer: it failed.
func (c *Core) Fail(k *Call) {
	if !k.answered {
		c.Metrics.LateAnswers.Inc()
		c.refuse(k, true, 0)
		c.tell(tinbeam.Withdrawn{Ref: k.ref})
	}
}

// PendingCalls is how many calls wait for their final answer.
func (c *Core) PendingCalls() int { return c.owed }

// OpenCalls is how many calls wait for their final answer or stand.
func (c *Core) OpenCalls() int { return len(c.calls) }
