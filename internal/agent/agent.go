// Package agent is the core of the call agent. It handles calls, attempts, outcomes and load probes independently of
// any wire protocol: front ends offer calls on the caller side and carry out attempts on the far-end side.
//
// Every decision is taken by the decision module (package tinbeam). This package enforces the mechanical rules: deadlines,
// exactly one final answer for each call, at most one outstanding attempt for each call, the release delay between
// attempts, and no new attempt to a far end that is draining or gone.
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

// Constants of the mechanism that carries out decisions; they are not routing policy.
const (
	answerMargin  = 15 * time.Millisecond  // final answers are sent this long before the caller's deadline
	gaugeInterval = 200 * time.Millisecond // how often the far-end gauges are updated
	probeTimeout  = 500 * time.Millisecond // a load probe without an answer in this time has failed
	bytesPerCall  = 8 << 10                // upper estimate of the memory of one call; half of the memory limit is for calls
)

// Caller is the front end that offered a call. Each call gets exactly one Answer or Refuse, and after an Answer one
// Release, unless the caller released the call. The core calls none of them once the caller has left.
type Caller interface {
	Answer(c *Call, description string)
	Refuse(c *Call, failed bool, retryAfter time.Duration)
	Release(c *Call, cause int)
}

// FarEndSide is a front end that carries out attempts. It calls Core.Ended once for each SetUp that was not cancelled.
type FarEndSide interface {
	SetUp(a *Attempt)
	Cancel(a *Attempt)             // before the answer; messages not yet written are withdrawn
	Release(a *Attempt, cause int) // after the answer: releases the established call
	Probe(id uint32)
	// ReleasedAt returns when the release of an attempt that has ended was sent; 0 if it needed none. It reports false while the
	// release cannot be sent: until then the attempt may be out.
	ReleasedAt(a *Attempt) (at time.Duration, released bool)
	// Sent reports whether the far end may have received the attempt.
	Sent(a *Attempt) bool
}

// Hook receives the events of calls. Refuse is asked before the decision module and may refuse a call. See package plugin.
type Hook interface {
	Refuse(c *Call) bool
	Event(name string, c *Call)
}

// refusalReason says why a call got a negative final answer. It is logged with the answer.
type refusalReason string

const (
	refusedByPolicy  refusalReason = "declined by the decision module"
	failedByPolicy   refusalReason = "given up by the decision module"
	refusedByPlugin  refusalReason = "refused by the plug-in"
	refusedCallLimit refusalReason = "too many open calls"
	failedByDeadline refusalReason = "no final answer before the deadline"
)

// Call is one call, from its offer to its end.
type Call struct {
	ID          string        // the ID used in messages: 16 hex digits
	Number      string        // called number as the caller wrote it
	Class       int           // index in Core.Settings.Classes
	Description string        // session description of the caller
	NumberKey   uint64        // called number as the decision module gets it
	Width       float64       // circuits that the call takes on each group
	TimeLeft    time.Duration // until the caller's deadline, at the time of the offer
	Dest, Via   int           // as in tinbeam.Offer
	Flags       uint8         // tinbeam.FlagRedial and the flags that follow it
	Caller      Caller
	Leg         any // state kept by the front end that offered the call

	ref           uint32
	offeredAt     time.Duration
	deadline      time.Duration
	answered      bool // the final answer has been given
	established   bool
	attempt       *Attempt // the outstanding attempt, or that of the established call
	lastAttempt   *Attempt // the latest attempt, also when it has ended
	held          *heldAttempt
	attempts      int
	maxAttempts   int           // 0: no limit was given
	notBefore     time.Duration // earliest time of the next attempt
	deadlineTimer *Timer
}

// NumberKey returns the key of a called number for the decision module: the value of its hex digits, or a hash of the text
// if it is not hexadecimal, so that all calls to one number share a key. 0 means no number.
func NumberKey(number string) uint64 {
	if n, err := strconv.ParseUint(number, 16, 64); err == nil || number == "" {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(number))
	return max(h.Sum64(), 1)
}

// Attempt is one call set-up attempt to a far end.
type Attempt struct {
	Call    *Call
	Switch  uint32        // ID of the far end
	Timeout time.Duration // how long to wait for the answer
	Leg     any           // state kept by the front end that carries out the attempt

	SentAt   time.Duration
	EndedAt  time.Duration // end of the attempt or of its call; 0: it has not ended
	Previous *Attempt      // the call's attempt before this one; nil: this is the first

	try   int // index among the attempts of its call
	side  FarEndSide
	timer *Timer
}

// Try returns the index of the attempt among those of its call, from 0.
func (a *Attempt) Try() int { return a.try }

// logFields returns the fields that identify the attempt in the log.
func (a *Attempt) logFields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String("call", a.Call.ID), zap.Int("try", a.try),
		zap.String("far", fmt.Sprintf("s-%08x", a.Switch))}, more...)
}

// Established reports whether the call has been answered and has not ended.
func (k *Call) Established() bool { return k.established }

// MayHaveRun reports whether a far end may have received an attempt of the call.
func (k *Call) MayHaveRun() bool {
	for p := k.lastAttempt; p != nil; p = p.Previous {
		if p.side.Sent(p) {
			return true
		}
	}
	return false
}

// Established reports whether the call of the attempt is established.
func (a *Attempt) Established() bool { return a.Call.established }

// Core owns the Controller and the table of open calls. All its methods must run on its loop.
type Core struct {
	*Loop
	Settings   tinbeam.Settings
	maxCalls   int // limit on open calls; further calls are refused without asking the decision module
	Metrics    *metrics.Set
	log        *zap.Logger
	controller *tinbeam.Controller
	hook       Hook

	lastRef     uint32
	calls       map[uint32]*Call
	farEnds     map[uint32]*farEnd
	probeTimers map[uint32]*Timer

	heldAttempts map[uint32]*heldAttempt // by Call.ref
	queued       []tinbeam.Event         // events waiting to be passed to the decision module
	notifying    bool                    // an event is being handled
	pending      int                     // calls that are waiting for their final answer
}

// farEnd is one entry of the far-end list and the side that serves it.
type farEnd struct {
	side  FarEndSide
	entry tinbeam.Entry
}

// New returns a core with an empty far-end list. The memory limit, in bytes, bounds the number of open calls.
func New(loop *Loop, settings tinbeam.Settings, seed uint64, memory int, m *metrics.Set, log *zap.Logger, hook Hook) *Core {
	c := &Core{Loop: loop, Settings: settings, maxCalls: memory / 2 / bytesPerCall, Metrics: m, log: log, hook: hook,
		controller: tinbeam.New(settings, seed),
		calls:      map[uint32]*Call{}, farEnds: map[uint32]*farEnd{}, probeTimers: map[uint32]*Timer{},
		heldAttempts: map[uint32]*heldAttempt{}}
	loop.OnPanic = c.ReportPanic
	for _, k := range settings.Classes {
		m.Class(k.Name) // exports the counters of the class at zero from the start
	}
	var update func()
	update = func() {
		c.updateGauges()
		loop.After(gaugeInterval, update)
	}
	loop.After(0, update)
	return c
}

// updateGauges updates the gauges that count far ends.
func (c *Core) updateGauges() {
	listed := 0
	for _, f := range c.farEnds {
		if f.entry.Mode != tinbeam.Gone {
			listed++
		}
	}
	c.Metrics.FarEndsListed.Set(int64(listed))
	c.recoverPanic(c.controller, func() { c.Metrics.FarEndsAvoided.Set(int64(c.controller.UnresponsiveCount())) })
}

// Retune applies new settings. Open calls keep their class: a class that was changed or removed is marked as retired and
// keeps its index in the table until no call uses it.
func (c *Core) Retune(settings tinbeam.Settings) {
	used := map[int]bool{}
	for _, k := range c.calls {
		used[k.Class] = true
		if settings.MaxAttempts > 0 && (k.maxAttempts == 0 || settings.MaxAttempts < k.maxAttempts) {
			k.maxAttempts = settings.MaxAttempts
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
	index := map[int]int{} // index in the new table, by index in the new settings
	for i := range classes {
		allowed[i] = pools(&old, i)
		j := slices.Index(settings.Classes, classes[i])
		if j >= 0 && slices.Equal(allowed[i], pools(&settings, j)) {
			index[j] = i
			continue
		}
		classes[i].Retired = true
	}
	for j, k := range settings.Classes {
		c.Metrics.Class(k.Name)
		if _, same := index[j]; same {
			continue
		}
		i := 0
		for i < len(classes) && (!classes[i].Retired || used[i]) {
			i++
		}
		if i == len(classes) {
			classes, allowed = append(classes, k), append(allowed, nil)
		}
		classes[i], allowed[i] = k, pools(&settings, j)
	}
	settings.Classes, settings.AllowedPools = classes, allowed
	c.Settings = settings
	c.notify(tinbeam.Retune{Settings: settings})
}

// ClassIndex returns the index of the class with this name in the settings, or -1 if there is none.
func (c *Core) ClassIndex(name string) int {
	return slices.IndexFunc(c.Settings.Classes, func(k tinbeam.Class) bool { return !k.Retired && k.Name == name })
}

// stat returns the counters of the call's class.
func (c *Core) stat(k *Call) *metrics.Class { return c.Metrics.Class(c.Settings.Classes[k.Class].Name) }

// notify passes events to the decision module, oldest first, and carries out the actions that it returns. Events that
// arise from these actions are queued and handled before notify returns.
func (c *Core) notify(events ...tinbeam.Event) {
	c.queued = append(c.queued, events...)
	if c.notifying {
		return
	}
	c.notifying = true
	defer func() { c.notifying = false }()
	for len(c.queued) > 0 {
		e := c.queued[0]
		c.queued = c.queued[1:]
		for _, a := range c.decide(e) {
			c.execute(a)
		}
	}
	c.queued = nil
}

// decide passes one event to the decision module and returns its actions. After a panic these are the actions decided before it,
// since the module counts their set-ups as sent, and a tick.
func (c *Core) decide(e tinbeam.Event) (actions []tinbeam.Action) {
	if !c.recoverPanic(e, func() { actions = c.controller.Handle(c.Now(), e, nil) }) {
		c.recoverPanic(e, func() { actions = c.controller.TakeActions() })
		actions = append(actions, tinbeam.Schedule{After: 20 * time.Millisecond, Handle: 1})
	}
	return actions
}

// ReportPanic counts and logs a panic that was recovered outside the decision module. It may be called on any goroutine.
func (c *Core) ReportPanic(value any, stack []byte) {
	c.Metrics.Panics.Inc()
	c.log.Error("panic", zap.Any("panic", value), zap.ByteString("stack", stack))
}

// recoverPanic calls fn and recovers from a panic of the decision module, so that a bug there does not stop the process:
// the panic is counted and logged, and the calls concerned are answered at their deadlines. It reports whether fn
// returned without a panic.
func (c *Core) recoverPanic(what any, fn func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			c.Metrics.Panics.Inc()
			c.log.Error("panic in the decision module", zap.Any("panic", p), zap.String("event", fmt.Sprintf("%T", what)),
				zap.ByteString("stack", debug.Stack()))
			ok = false
		}
	}()
	fn()
	return true
}

func (c *Core) execute(a tinbeam.Action) {
	switch a := a.(type) {
	case tinbeam.Attempt:
		c.setUp(a)
	case tinbeam.Decline:
		if k := c.calls[a.Ref]; k != nil {
			c.refuse(k, false, a.RetryAfter, refusedByPolicy)
		}
	case tinbeam.GiveUp:
		if k := c.calls[a.Ref]; k != nil {
			c.refuse(k, true, 0, failedByPolicy)
		}
	case tinbeam.Withdraw:
		if k := c.calls[a.Ref]; k != nil && k.attempt != nil && k.attempt.try == a.Try && !k.established {
			attempt := k.attempt
			c.farEnds[attempt.Switch].side.Cancel(attempt)
			c.Ended(attempt, tinbeam.Cancelled, 0, nil, 0)
		} else if k != nil && k.held != nil && k.held.try == a.Try {
			held := c.dropHeld(k)
			c.notify(tinbeam.Outcome{Ref: k.ref, Try: a.Try, Switch: held.action.Switch, Code: tinbeam.Cancelled})
		}
	case tinbeam.Schedule:
		c.After(a.After, func() { c.notify(tinbeam.TickDue{Handle: a.Handle}) })
	case tinbeam.AskLoad:
		c.probe(a.Switch)
	case tinbeam.Note:
		c.log.Info(a.Text)
	case tinbeam.BailOut:
		c.log.Error(a.Text)
	case tinbeam.Lookup, tinbeam.StreamChanges:
		// Nothing to do: the change log is always followed.
	default:
		invariant.Check(false, c.Metrics.Violations, "action %T has a known type", a)
	}
}

// Offer accepts a call for handling. Its TimeLeft counts from now.
func (c *Core) Offer(k *Call) {
	c.Metrics.Offered.Inc()
	k.offeredAt, k.deadline, k.maxAttempts = c.Now(), c.Now()+max(k.TimeLeft, 0), c.Settings.MaxAttempts
	c.pending++
	c.Metrics.Pending.Set(int64(c.pending))
	c.lastRef++
	k.ref = c.lastRef
	c.calls[k.ref] = k
	switch {
	case len(c.calls) > c.maxCalls:
		c.refuse(k, false, c.Settings.MaxRetryAfter, refusedCallLimit)
		return
	case c.hook != nil && c.hook.Refuse(k):
		c.Metrics.PluginRefusals.Inc()
		c.refuse(k, false, c.Settings.MaxRetryAfter, refusedByPlugin)
		return
	}
	// Without this timer, a call that the decision module keeps too long, for whatever reason, would get no answer
	// before its deadline.
	k.deadlineTimer = c.At(max(k.deadline-answerMargin+2*time.Millisecond, c.Now()), func() {
		c.Fail(k)
	})
	c.notify(tinbeam.Offer{Ref: k.ref, Class: k.Class, Number: k.NumberKey, Width: k.Width, TimeLeft: max(k.TimeLeft, 0),
		Dest: k.Dest, Flags: k.Flags, Via: k.Via})
}

// claimFinalAnswer marks the call as answered and stops its deadline timer. It returns false if the final answer has
// already been given.
func (c *Core) claimFinalAnswer(k *Call) bool {
	if k.answered {
		return false
	}
	k.answered = true
	c.Stop(k.deadlineTimer)
	c.pending--
	c.Metrics.Pending.Set(int64(c.pending))
	return true
}

func (c *Core) refuse(k *Call, failed bool, retryAfter time.Duration, reason refusalReason) {
	if !c.claimFinalAnswer(k) {
		return
	}
	if attempt := k.attempt; attempt != nil { // only if the deadline timer fired
		c.detach(attempt)
		c.farEnds[attempt.Switch].side.Cancel(attempt)
	}
	c.dropHeld(k)
	delete(c.calls, k.ref)
	if failed {
		c.Metrics.Failed.Inc()
		c.stat(k).Failed.Inc()
	} else {
		c.Metrics.Refused.Inc()
		c.CountRefused(k)
	}
	if e := c.log.Check(zap.DebugLevel, "refused"); e != nil {
		e.Write(zap.String("call", k.ID), zap.Int("dest", k.Dest), zap.Int("class", k.Class), zap.Float64("width", k.Width),
			zap.Uint8("marks", k.Flags), zap.Int("tries", k.attempts), zap.Duration("after", c.Now()-k.offeredAt),
			zap.Bool("failed", failed), zap.String("reason", string(reason)))
	}
	k.Caller.Refuse(k, failed, retryAfter)
	c.notifyHook("refused", k)
}

// CountRefused counts a refused call in its class. Front ends use it for calls that they refuse without offering them.
func (c *Core) CountRefused(k *Call) { c.stat(k).Refused.Inc() }

func (c *Core) notifyHook(name string, k *Call) {
	if c.hook != nil {
		c.hook.Event(name, k)
	}
}

func (c *Core) setUp(a tinbeam.Attempt) {
	k := c.calls[a.Ref]
	if k == nil || k.answered {
		return
	}
	try := k.attempts
	k.attempts++
	f, v := c.farEnds[a.Switch], c.Metrics.Violations
	if !invariant.Check(k.attempt == nil && k.held == nil, v, "call %s has no other outstanding attempt", k.ID) ||
		!invariant.Check(c.Now() >= k.notBefore, v, "call %s: the release delay has passed", k.ID) ||
		!invariant.Check(k.maxAttempts == 0 || k.attempts <= k.maxAttempts, v, "call %s: the limit on attempts is kept", k.ID) ||
		!invariant.Check(f != nil && f.entry.Mode == tinbeam.Ready, v, "far end %08x is ready", a.Switch) {
		c.notAttempted(k, a, try)
		return
	}
	c.startAttempt(k, a, try)
}

// notAttempted tells the decision module that an attempt was not started.
func (c *Core) notAttempted(k *Call, a tinbeam.Attempt, try int) {
	c.notify(tinbeam.Outcome{Ref: k.ref, Try: try, Switch: a.Switch, Code: tinbeam.NotAttempted})
}

// startAttempt passes an attempt to its far-end side, or holds it back while the release of an earlier one of the call is due.
func (c *Core) startAttempt(k *Call, a tinbeam.Attempt, try int) {
	f := c.farEnds[a.Switch]
	if f == nil || f.entry.Mode != tinbeam.Ready { // it is not ready any more
		c.notAttempted(k, a, try)
		return
	}
	left := k.deadline - answerMargin - c.Now()
	if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	if left <= 0 {
		c.notify(tinbeam.Outcome{Ref: k.ref, Try: try, Switch: a.Switch, Code: tinbeam.TimedOut})
		return
	}
	if at, sent := c.mayStartAt(k); !sent || at > c.Now() {
		c.hold(k, a, try, left)
		return
	}
	attempt := &Attempt{Call: k, Switch: a.Switch, Timeout: left, try: try, side: f.side, SentAt: c.Now(), Previous: k.lastAttempt}
	k.attempt, k.lastAttempt = attempt, attempt
	c.Metrics.Attempts.Inc()
	if e := c.log.Check(zap.DebugLevel, "attempt started"); e != nil {
		e.Write(attempt.logFields(zap.Duration("timeout", left))...)
	}
	attempt.timer = c.After(left, func() {
		f.side.Cancel(attempt)
		c.Ended(attempt, tinbeam.TimedOut, 0, nil, 0)
	})
	f.side.SetUp(attempt)
	c.notifyHook("attempt", k)
}

// detach stops the timer of an attempt and removes it from its call.
func (c *Core) detach(attempt *Attempt) {
	c.Stop(attempt.timer)
	attempt.EndedAt = c.Now()
	attempt.Call.attempt = nil
}

// Answered handles the answer to an attempt: the call is now established.
func (c *Core) Answered(attempt *Attempt, description string) {
	k := attempt.Call
	if k.attempt != attempt || k.established {
		c.Metrics.StrayMessages.Inc() // it crossed the end of the attempt, or is a duplicate
		return
	}
	c.Stop(attempt.timer)
	if !invariant.Check(c.claimFinalAnswer(k), c.Metrics.Violations,
		"call %s: no final answer was given while an attempt is outstanding", k.ID) {
		return
	}
	k.established = true
	if e := c.log.Check(zap.DebugLevel, "call established"); e != nil {
		e.Write(attempt.logFields(zap.Duration("took", c.Now()-attempt.SentAt))...)
	}
	c.Metrics.Answered.Inc()
	c.stat(k).Answered.Inc()
	c.Metrics.Established.Add(1)
	k.Caller.Answer(k, description)
	c.notify(tinbeam.Flowing{Ref: k.ref, Try: attempt.try, Switch: attempt.Switch, Took: c.Now() - attempt.SentAt})
	c.notifyHook("answered", k)
}

// Ended handles the end of an attempt, whether or not its call was established. The cause is passed on in the release to
// the caller.
func (c *Core) Ended(attempt *Attempt, code tinbeam.Code, note uint32, report []float32, cause int) {
	k := attempt.Call
	if k.attempt != attempt {
		c.Metrics.StrayMessages.Inc()
		return
	}
	c.detach(attempt)
	if e := c.log.Check(zap.DebugLevel, "attempt ended"); e != nil {
		e.Write(attempt.logFields(zap.Uint16("code", uint16(code)), zap.Uint32("note", note), zap.Int("cause", cause),
			zap.Bool("established", k.established), zap.Duration("took", c.Now()-attempt.SentAt))...)
	}
	final := k.answered
	if k.established {
		c.endCall(k)
		k.Caller.Release(k, cause)
	} else {
		c.countEnded(code)
	}
	if code == tinbeam.TimedOut || code == tinbeam.Reset || code == tinbeam.Cancelled {
		k.notBefore = c.Now() + c.Settings.ReleaseDelay
	}
	c.notify(tinbeam.Outcome{Ref: k.ref, Try: attempt.try, Final: final, Note: note, Took: c.Now() - attempt.SentAt,
		Switch: attempt.Switch, Code: code, Report: report})
}

func (c *Core) countEnded(code tinbeam.Code) {
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

// endCall ends an established call.
func (c *Core) endCall(k *Call) {
	k.established = false
	delete(c.calls, k.ref)
	c.Metrics.Established.Add(-1)
	c.Metrics.Released.Inc()
	c.notifyHook("released", k)
}

// Abandoned handles a caller that left before the final answer: it cancelled the set-up, or its connection was closed.
func (c *Core) Abandoned(k *Call) {
	if !c.claimFinalAnswer(k) {
		return
	}
	c.Metrics.Abandoned.Inc()
	delete(c.calls, k.ref)
	attempt := k.attempt
	if e := c.log.Check(zap.DebugLevel, "abandoned by the caller"); e != nil {
		e.Write(zap.String("call", k.ID), zap.Int("tries", k.attempts), zap.Bool("attempt pending", attempt != nil))
	}
	c.notify(tinbeam.Withdrawn{Ref: k.ref})
	c.dropHeld(k)
	if attempt != nil {
		c.detach(attempt)
		c.farEnds[attempt.Switch].side.Cancel(attempt)
		c.notify(tinbeam.Outcome{Ref: k.ref, Try: attempt.try, Final: true, Took: c.Now() - attempt.SentAt,
			Switch: attempt.Switch, Code: tinbeam.Cancelled})
	}
	c.notifyHook("abandoned", k)
}

// Hangup handles the release of an established call by its caller.
func (c *Core) Hangup(k *Call, cause int) {
	attempt := k.attempt
	if !k.established || attempt == nil {
		c.Metrics.Duplicates.Inc()
		return
	}
	c.detach(attempt)
	c.endCall(k)
	c.farEnds[attempt.Switch].side.Release(attempt, cause)
	c.notify(tinbeam.Outcome{Ref: k.ref, Try: attempt.try, Final: true, Took: c.Now() - attempt.SentAt, Switch: attempt.Switch,
		Code: tinbeam.Cancelled})
}

// UpdateFarEnds applies an update of the far-end list from one side. The decision module has a single list for all sides,
// so a full list from one side is extended by the far ends of the others.
func (c *Core) UpdateFarEnds(version uint64, kind tinbeam.ListKind, entries []tinbeam.Entry, side FarEndSide) {
	c.purgeGone()
	listed := map[uint32]bool{}
	for _, e := range entries {
		listed[e.Switch] = true
		c.farEnds[e.Switch] = &farEnd{side, e}
	}
	if kind != tinbeam.ListDelta {
		entries = slices.Clone(entries)
		for _, id := range slices.Sorted(maps.Keys(c.farEnds)) {
			f := c.farEnds[id]
			if !listed[id] && f.side == side {
				f.entry.Mode = tinbeam.Gone
			} else if !listed[id] {
				entries = append(entries, f.entry)
			}
		}
	}
	c.notify(tinbeam.Topology{Version: version, Kind: kind, Entries: entries})
	c.updateGauges()
}

// purgeGone removes far ends that were already gone before this update. IDs of far ends are never reused, so without this
// the table would grow without limit.
func (c *Core) purgeGone() {
	used := map[uint32]bool{}
	for _, k := range c.calls {
		if k.attempt != nil {
			used[k.attempt.Switch] = true
		}
	}
	for id, f := range c.farEnds {
		if f.entry.Mode == tinbeam.Gone && !used[id] {
			delete(c.farEnds, id)
		}
	}
}

// Mode returns the state of a far end in the list; one that is not listed is gone.
func (c *Core) Mode(id uint32) tinbeam.Mode {
	if f := c.farEnds[id]; f != nil {
		return f.entry.Mode
	}
	return tinbeam.Gone
}

// Report passes an unsolicited load report, the state of a circuit group, to the decision module.
func (c *Core) Report(id uint32, report []float32) {
	c.Metrics.Reports.Inc()
	c.notify(tinbeam.Sampled{Switch: id, Code: tinbeam.OK, Report: report})
}

func (c *Core) probe(id uint32) {
	f := c.farEnds[id]
	if f == nil || c.probeTimers[id] != nil {
		return
	}
	c.Metrics.Probes.Inc()
	c.probeTimers[id] = c.After(probeTimeout, func() { c.Probed(id, tinbeam.TimedOut, probeTimeout, nil) })
	f.side.Probe(id)
}

// Probed handles the result of a load probe.
func (c *Core) Probed(id uint32, code tinbeam.Code, took time.Duration, report []float32) {
	t := c.probeTimers[id]
	if t == nil {
		return // too late, or the result of a health check that the front end sent by itself
	}
	c.Stop(t)
	delete(c.probeTimers, id)
	if report != nil {
		c.Metrics.Reports.Inc()
	}
	c.notify(tinbeam.Sampled{Switch: id, Code: code, Took: max(took, time.Microsecond), Report: report})
}

// FailPending answers every call that is waiting for its final answer as failed, for a shutdown that has run out of time.
// Established calls continue.
func (c *Core) FailPending() {
	for _, ref := range slices.Sorted(maps.Keys(c.calls)) {
		if k := c.calls[ref]; k != nil {
			c.Fail(k)
		}
	}
}

// Fail answers a call that is still waiting for its final answer as failed, and counts the answer as late.
func (c *Core) Fail(k *Call) {
	if !k.answered {
		c.Metrics.LateAnswers.Inc()
		c.refuse(k, true, 0, failedByDeadline)
		c.notify(tinbeam.Withdrawn{Ref: k.ref})
	}
}

// PendingCalls returns the number of calls that are waiting for their final answer.
func (c *Core) PendingCalls() int { return c.pending }

// OpenCalls returns the number of calls that are waiting for their final answer or established.
func (c *Core) OpenCalls() int { return len(c.calls) }
