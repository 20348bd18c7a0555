package tinbeam

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{
		ReplicaIndex: 0, Replicas: 4, LocalExchange: 0, ReleaseDelay: 200 * ms, MaxAttempts: 4, MaxRetryAfter: 2 * time.Second,
		ReportFields: []string{"idle", "circuits", "mean_ms", "reduce"}, ReportHow: "inline", MarksRedial: true,
		Rules: Rules{AnswerSlack: 20 * ms, DrainGrace: 250 * ms, WarmUp: 15 * time.Second, OverloadWindow: 2 * time.Second,
			WarmUpStart: 0.3, OverloadMultiple: 2},
		ScoreWeights: ScoreWeights{Overall: 0.6, WorstClass: 0.2, WorstWindow: 0.2},
		Classes: []Class{
			{AnswerTarget: 1500 * ms, HardLimit: 9 * time.Second, Value: 1, LateValueShare: 0.1, Width: 1,
				MeanHold: 10 * time.Second, RepeatPolicy: "free"},
			{AnswerTarget: 2 * time.Second, HardLimit: 9 * time.Second, Value: 3, LateValueShare: 0.2, Width: 4,
				MeanHold: 15 * time.Second, RepeatPolicy: "free"}},
	}
}

// testBench runs one controller and checks that each call gets one final answer at most and no attempt after it.
// Far exchanges 1 to 3 are switches 101 to 103, the local one, 0, is 100. Exchanges 1 and 3 are of another zone.
type testBench struct {
	*testing.T
	controller *Controller
	now        time.Duration
	lastRef    uint32
	actions    []Action                   // of the last event
	answers    map[uint32]Action          // final answers, by call
	attempts   map[uint32]int             // by call
	sentAt     map[uint32][]time.Duration // times of the attempts, by switch
	lastSwitch map[uint32]uint32          // of the last attempt, by call
	timeouts   map[uint32]time.Duration   // of the last attempt, by call
}

func newBench(t *testing.T, s Settings) *testBench {
	b := &testBench{T: t, controller: New(s, 7), now: time.Hour, answers: map[uint32]Action{}, attempts: map[uint32]int{},
		sentAt: map[uint32][]time.Duration{}, lastSwitch: map[uint32]uint32{}, timeouts: map[uint32]time.Duration{}}
	var list []Entry
	for number := 0; number < 4; number++ {
		list = append(list, Entry{Switch: uint32(100 + number), ExchangeNumber: number, Mode: Ready, Zone: number % 2})
	}
	b.handle(Topology{Kind: ListCached, Entries: list})
	for number := 1; number < 4; number++ {
		b.reportFree(number, 30)
	}
	return b
}

func (b *testBench) handle(event Event) []Action {
	b.Helper()
	b.actions = b.controller.Handle(b.now, event, nil)
	for _, a := range b.actions {
		switch a := a.(type) {
		case Attempt:
			b.attempts[a.Ref]++
			b.sentAt[a.Switch] = append(b.sentAt[a.Switch], b.now)
			b.lastSwitch[a.Ref], b.timeouts[a.Ref] = a.Switch, a.Timeout
			if b.answers[a.Ref] != nil {
				b.Fatalf("call %d sent after its final answer", a.Ref)
			}
		case Decline:
			b.recordAnswer(a.Ref, a)
		case GiveUp:
			b.recordAnswer(a.Ref, a)
		}
	}
	return b.actions
}

func (b *testBench) recordAnswer(ref uint32, a Action) {
	b.Helper()
	if b.answers[ref] != nil {
		b.Fatalf("call %d answered twice", ref)
	}
	b.answers[ref] = a
}

// advance moves the clock forward in steps of 20 ms, with a tick of the controller at each step.
func (b *testBench) advance(duration time.Duration) {
	b.Helper()
	for end := b.now + duration; b.now < end; {
		b.now += 20 * ms
		b.handle(TickDue{Handle: 1})
	}
}

// reportFree reports to the controller how many circuits of the group to an exchange are free.
func (b *testBench) reportFree(number int, circuits float32) {
	b.Helper()
	b.handle(Sampled{Switch: uint32(100 + number), Code: OK, Report: []float32{circuits, 60, -1, -1}})
}

// offer offers a call with a called number of its own and returns its reference.
func (b *testBench) offer(dest int, change ...func(*Offer)) uint32 {
	b.Helper()
	b.lastRef++
	o := Offer{Ref: b.lastRef, Number: uint64(b.lastRef) + 1000, Width: 1, TimeLeft: 3 * time.Second, Dest: dest, Via: -1}
	for _, f := range change {
		f(&o)
	}
	b.handle(o)
	return b.lastRef
}

// attemptedSwitch is the switch to which the last event sent an attempt of the call, 0 if none.
func (b *testBench) attemptedSwitch(ref uint32) uint32 {
	for _, a := range b.actions {
		if t, ok := a.(Attempt); ok && t.Ref == ref {
			return t.Switch
		}
	}
	return 0
}

func (b *testBench) endAttempt(ref, switchID uint32, code Code, note uint32) {
	b.Helper()
	b.handle(Outcome{Ref: ref, Try: b.attempts[ref] - 1, Switch: switchID, Code: code, Note: note})
}

func (b *testBench) establish(ref, switchID uint32) {
	b.Helper()
	b.handle(Flowing{Ref: ref, Switch: switchID, Took: 50 * ms})
}

// establishAll answers every pending attempt.
func (b *testBench) establishAll() {
	for ref, call := range b.controller.calls {
		if call.attemptPending && !call.established {
			b.establish(ref, b.lastSwitch[ref])
		}
	}
}

// The counter behaves as in Turner and Key's paper: about one grant per interval T under overload, and almost no call
// refused below it.
func TestGapGrantsOneCallPerInterval(t *testing.T) {
	for _, test := range []struct{ offered, low, high float64 }{
		{0.9, 0.88, 0.92}, {1.0, 0.96, 1.01}, {1.1, 0.98, 1.01}, {3, 0.98, 1.01}} {
		rng := rand.New(rand.NewPCG(1, 2))
		var g gap
		g.setInterval(0, time.Second, rng)
		g.bank = 16
		granted, now := 0, 0.0
		for now < 5000 {
			now += rng.ExpFloat64() / test.offered
			if g.allows(time.Duration(now * 1e9)) {
				g.spend()
				granted++
			}
		}
		if perInterval := float64(granted) / now; perInterval < test.low || perInterval > test.high {
			t.Errorf("%v calls offered per interval: %.3f granted, want %v to %v", test.offered, perInterval, test.low, test.high)
		}
	}
}

func TestGapBankLimit(t *testing.T) {
	var g gap
	g.setInterval(0, time.Second, rand.New(rand.NewPCG(1, 2)))
	if g.bank != gainPerInterval {
		t.Errorf("a new gap has %d grants, want %d", g.bank, gainPerInterval)
	}
	n := 0
	for now := time.Hour; g.bank > 0 || now == time.Hour; now++ {
		for g.allows(time.Hour) {
			g.spend()
			n++
		}
		if g.local = 0; n > maxBank {
			break
		}
	}
	if n != maxBank {
		t.Errorf("%d set-ups granted at once after a long time without calls, want %d", n, maxBank)
	}
}

func TestGapLocalLimit(t *testing.T) {
	var g gap
	g.setInterval(0, time.Second, rand.New(rand.NewPCG(1, 2)))
	n := 0
	for g.allows(time.Minute) {
		g.spend()
		n++
	}
	if n != maxLocal {
		t.Errorf("%d set-ups granted within an interval, want %d", n, maxLocal)
	}
}

func TestDirectFirstThenRememberedTandem(t *testing.T) {
	b := newBench(t, settings())
	if r := b.offer(1); b.attemptedSwitch(r) != 101 {
		t.Fatal("not sent on the direct group though it has free circuits")
	}
	b.reportFree(1, 0)
	r := b.offer(1)
	b.advance(800 * ms)
	via := b.controller.exchanges[1].lastTandem
	if b.attempts[r] != 1 || via != 2 && via != 3 {
		t.Fatalf("%d attempts, tandem %d, want one attempt over a tandem", b.attempts[r], via)
	}
	b.establish(r, uint32(100+via))
	for i := 0; i < 5; i++ {
		r = b.offer(1)
		b.advance(800 * ms)
		if b.controller.exchanges[1].lastTandem != via {
			t.Fatal("the tandem that worked was not used again")
		}
	}
	b.endAttempt(r, uint32(100+via), Full, NoteCrankback)
	if b.controller.exchanges[1].lastTandem == via {
		t.Error("the tandem is still remembered after it returned a call")
	}
}

func TestTrunkReservation(t *testing.T) {
	b := newBench(t, settings())
	b.reportFree(1, 0)
	b.reportFree(2, 3) // 4 are reserved: half the square root of 60 circuits
	b.reportFree(3, 4)
	r := b.offer(1)
	b.advance(time.Second)
	if b.attempts[r] != 0 {
		t.Error("a call over a tandem took reserved circuits")
	}
	b.reportFree(1, 4)
	b.advance(20 * ms)
	r = b.offer(1, func(o *Offer) { o.Flags, o.Via = FlagTransit, 3 })
	if b.answers[r] == nil {
		t.Error("a call in transit took reserved circuits or was held")
	}
}

func TestOverloadActivatesGapAndItsEndLiftsIt(t *testing.T) {
	b := newBench(t, settings())
	r := b.offer(1)
	b.endAttempt(r, 101, Full, NoteProcessor)
	if !b.controller.exchanges[1].gap.active {
		t.Fatal("a full processor activates no gap")
	}
	before := len(b.sentAt[101])
	for i := 0; i < 20; i++ {
		b.offer(1)
	}
	if sent := len(b.sentAt[101]) - before; sent > gainPerInterval {
		t.Errorf("%d set-ups sent, though the counter is empty", sent)
	}
	for i := 0; i < 1000; i++ {
		b.advance(20 * ms)
		b.establishAll()
	}
	if b.controller.exchanges[1].gap.active {
		t.Error("the gap was not lifted after the overload")
	}
	b.handle(Sampled{Switch: 102, Code: OK, Took: ms, Report: []float32{30, 60, 5000, -1}})
	b.advance(20 * ms)
	if !b.controller.exchanges[2].gap.active {
		t.Error("a reported wait activates no gap")
	}
}

// Calls to a number that is busy repeatedly are limited here; calls to other numbers of the same exchange are not.
func TestBusyNumberIsGapped(t *testing.T) {
	b := newBench(t, settings())
	busy := func(o *Offer) { o.Number = 42 }
	for i := 0; i < 2; i++ {
		r := b.offer(1, busy)
		b.endAttempt(r, 101, Failed, NoteBusy)
		if b.answers[r] == nil {
			t.Fatal("a call to a busy number gets no final answer")
		}
	}
	sent := 0
	for i := 0; i < 50; i++ {
		if r := b.offer(1, busy); b.attempts[r] > 0 {
			sent++
		}
	}
	if sent > 1 {
		t.Errorf("%d set-ups sent to a number found busy", sent)
	}
	if r := b.offer(1); b.attempts[r] != 1 {
		t.Error("another number of the same exchange was gapped")
	}
	b.advance(40 * time.Second)
	if len(b.controller.numbers) != 0 {
		t.Error("busy numbers are not forgotten")
	}
}

// The rule on final answers: whatever happens to a call, it gets one final answer within its caller's time.
func TestFinalAnswerOnEveryPath(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(b *testBench, r uint32)
	}{
		{"held without circuits", func(b *testBench, r uint32) {}},
		{"timeout at the deadline", func(b *testBench, r uint32) {
			b.reportFree(1, 9)
			b.now += 3*time.Second - 20*ms
			b.endAttempt(r, 101, TimedOut, 0)
		}},
		{"refused repeatedly by a full processor", func(b *testBench, r uint32) {
			b.reportFree(1, 9)
			for b.answers[r] == nil && b.now < time.Hour+4*time.Second {
				if b.attemptedSwitch(r) != 0 {
					b.endAttempt(r, 101, Full, NoteProcessor)
				} else {
					b.advance(20 * ms)
				}
			}
		}},
		{"destination has left while the call is held", func(b *testBench, r uint32) {
			b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Gone}}})
		}},
		{"local processor down", func(b *testBench, r uint32) {
			b.reportFree(1, 9)
			b.endAttempt(r, 101, NotAttempted, NoteProcessor)
		}},
		{"reset", func(b *testBench, r uint32) {
			b.reportFree(1, 9)
			b.endAttempt(r, 101, Reset, 0)
			b.reportFree(1, 0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, settings())
			for p := 1; p < 4; p++ {
				b.reportFree(p, 0)
			}
			r := b.offer(1)
			test.run(b, r)
			for end := time.Hour + 3*time.Second; b.now < end; {
				if b.answers[r] == nil && b.controller.calls[r] != nil && b.controller.calls[r].attemptPending {
					b.endAttempt(r, 101, Full, NoteProcessor)
				}
				b.advance(20 * ms)
			}
			if b.answers[r] == nil {
				t.Fatal("no final answer within the caller's time")
			}
			if len(b.controller.calls) != 0 {
				t.Error("the call is not forgotten")
			}
		})
	}
}

func TestCallWithdrawnWhileAttemptPending(t *testing.T) {
	b := newBench(t, settings())
	r := b.offer(1)
	b.handle(Withdrawn{Ref: r})
	b.handle(Outcome{Ref: r, Switch: 101, Code: Full, Note: NoteCrankback})
	b.advance(time.Second)
	if b.attempts[r] != 1 || b.answers[r] != nil {
		t.Error("a withdrawn call was sent again or answered")
	}
}

// The rule on attempts: a call has one attempt at a time.
func TestOneAttemptAtATime(t *testing.T) {
	b := newBench(t, settings())
	r := b.offer(1)
	b.controller.held = append(b.controller.held, b.controller.calls[r]) // as if it were held by mistake
	b.advance(time.Second)
	if b.attempts[r] != 1 {
		t.Errorf("%d attempts, want one", b.attempts[r])
	}
}

// The rule on drains: no set-ups go to a machine that drains or has left, nor to one that is missing in a full list, neither
// direct nor with it as a tandem. A machine that replaces it gets set-ups.
func TestNoSetUpsToDrainingOrGoneExchange(t *testing.T) {
	for _, e := range []Topology{
		{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Draining}}},
		{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Gone}}},
		{Kind: ListFull, Entries: []Entry{{Switch: 102, ExchangeNumber: 2, Mode: Ready},
			{Switch: 103, ExchangeNumber: 3, Mode: Ready}}},
	} {
		b := newBench(t, settings())
		b.handle(e)
		if r := b.offer(1); b.attempts[r] != 0 {
			t.Errorf("%+v: a set-up was sent to it", e)
		}
		b.reportFree(2, 0)
		r := b.offer(2)
		b.advance(time.Second)
		if b.attemptedSwitch(r) == 101 || b.controller.exchanges[2].lastTandem == 1 {
			t.Errorf("%+v: it was used as a tandem", e)
		}
		b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 201, ExchangeNumber: 1, Mode: Ready}}})
		b.handle(Sampled{Switch: 201, Code: OK, Report: []float32{20, 60, -1, -1}})
		if r := b.offer(1); b.attemptedSwitch(r) != 201 {
			t.Errorf("%+v: the machine that replaces it gets no set-up", e)
		}
	}
}

// The rule on cold exchanges: within any OverloadWindow, an exchange that warms up gets fewer set-ups than this controller's
// share of the load that would overload it.
func TestWarmUpKeepsColdExchangeBelowOverload(t *testing.T) {
	s := settings()
	b := newBench(t, s)
	// Before the restart, ten calls a second are established, spread over three far exchanges.
	for i := 0; i < 300; i++ {
		r := b.offer(1 + i%3)
		b.establish(r, uint32(101+i%3))
		b.handle(Outcome{Ref: r, Switch: uint32(101 + i%3), Code: OK, Final: true})
		b.reportFree(1+i%3, 30)
		b.advance(100 * ms)
	}
	began := b.now
	b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Ready, OnlineSince: began}}})
	before := len(b.sentAt[101])
	for b.now < began+s.Rules.WarmUp {
		for i := 0; i < 5; i++ {
			b.offer(1)
		}
		b.reportFree(1, 30)
		b.advance(20 * ms)
		b.establishAll()
	}
	sent := b.sentAt[101][before:]
	share := 10.0 / 3
	for i, at := range sent {
		count := 0
		for _, other := range sent[i:] {
			if other < at+s.Rules.OverloadWindow {
				count++
			}
		}
		capacityShare := s.Rules.WarmUpStart + (1-s.Rules.WarmUpStart)*(at-began).Seconds()/s.Rules.WarmUp.Seconds()
		// One more for the random phase and one for the rise of the capacity. An exchange receives as many calls as it
		// sends, so the whole budget is twice this.
		if limit := s.Rules.OverloadMultiple*share*capacityShare*s.Rules.OverloadWindow.Seconds() + 2; float64(count) > limit {
			t.Fatalf("%v after the start: %d set-ups within %v, limit %.1f", at-began, count, s.Rules.OverloadWindow, limit)
		}
	}
	if len(sent) < 15 {
		t.Errorf("only %d set-ups during the warm-up, want 15 at least", len(sent))
	}
}

// The rule on releases: after a failed attempt, the next one waits for the release delay.
func TestReleaseDelayBeforeNextAttempt(t *testing.T) {
	for _, code := range []Code{TimedOut, Reset, Cancelled} {
		b := newBench(t, settings())
		r := b.offer(1)
		at := b.now
		b.endAttempt(r, 101, code, 0)
		for b.attempts[r] == 1 && b.now < at+time.Second {
			b.advance(20 * ms)
		}
		if b.now < at+200*ms {
			t.Errorf("code %d: sent again after %v", code, b.now-at)
		}
	}
}

// With many controllers their sum stays below the overload of a cold exchange too, though no call was established here
// before. The interval T of such a stream of few calls follows the rise of the capacity.
func TestWarmUpWithManyControllers(t *testing.T) {
	s := settings()
	s.Replicas = 92
	b := newBench(t, s)
	began := b.now
	b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Ready, OnlineSince: began}}})
	first := b.controller.exchanges[1].gap.interval
	sum := float64(s.Replicas-1) / first.Seconds() // set-ups a second from all far controllers
	if limit := s.Rules.OverloadMultiple * s.Rules.WarmUpStart * 1.1; sum > limit {
		t.Errorf("%.1f set-ups a second from all, want %.1f at most where one a second is known to be established", sum, limit)
	}
	b.now = began + s.Rules.WarmUp/2
	b.advance(20 * ms)
	if now := b.controller.exchanges[1].gap.interval; now > first*2/3 {
		t.Errorf("T %v half way through the warm-up, %v at its start", now, first)
	}
}

// A hung processor sends no refusals. Missing answers limit the stream to single trial calls.
func TestUnresponsiveExchangeGetsTrialCalls(t *testing.T) {
	b := newBench(t, settings())
	for i := 0; i < 300; i++ { // 30 s, ten calls a second, no answer at all
		b.offer(1)
		b.advance(100 * ms)
		for ref, call := range b.controller.calls {
			if call.attemptPending && b.now >= call.deadline {
				b.endAttempt(ref, b.lastSwitch[ref], TimedOut, 0)
			}
		}
	}
	sent := 0
	for _, at := range b.sentAt[101] {
		if at > time.Hour+5*time.Second {
			sent++
		}
	}
	if !b.controller.exchanges[1].unresponsive || sent > 25 {
		t.Errorf("unresponsive %v, %d set-ups in 25 s", b.controller.exchanges[1].unresponsive, sent)
	}
	if b.controller.exchanges[1].gap.bank > gainPerInterval {
		t.Error("grants are banked while it is unresponsive")
	}
	b.handle(Sampled{Switch: 101, Code: OK, Report: []float32{30, 60, -1, -1}})
	for ref, call := range b.controller.calls {
		if call.attemptPending && b.lastSwitch[ref] == 101 {
			b.establish(ref, 101)
			break
		}
	}
	if b.controller.exchanges[1].unresponsive {
		t.Error("still unresponsive after an answer")
	}
}

// A crashed processor resets each set-up at once. Resets count as missing answers.
func TestResetsCountAsMissingAnswers(t *testing.T) {
	b := newBench(t, settings())
	for i := 0; i < 2; i++ {
		b.now += 10 * ms
		r := b.offer(1)
		b.now += 10 * ms
		b.endAttempt(r, 101, Reset, 0)
	}
	if !b.controller.exchanges[1].unresponsive {
		t.Error("not unresponsive after two resets in a row")
	}
	b = newBench(t, settings())
	r := b.offer(1)
	b.establish(r, 101)
	b.handle(Outcome{Ref: r, Switch: 101, Code: Reset, Final: true})
	if b.controller.exchanges[1].failures != 0 {
		t.Error("the reset of an established call counts as a failed set-up")
	}
}

// While the local processor is down a call keeps its attempts, and it is sent when the processor is back.
func TestLocalProcessorDown(t *testing.T) {
	b := newBench(t, settings())
	b.endAttempt(b.offer(1), 101, NotAttempted, NoteProcessor)
	r := b.offer(1)
	b.advance(200 * ms)
	if b.attempts[r] != 0 {
		t.Fatalf("%d attempts while the local processor is down", b.attempts[r])
	}
	for i := 0; i < 100; i++ {
		b.advance(20 * ms)
		b.establishAll()
	}
	if b.controller.local.unresponsive || b.attempts[r] != 1 {
		t.Errorf("local processor unresponsive %v, %d attempts after its return", b.controller.local.unresponsive, b.attempts[r])
	}
}

// Where the list must be requested, a failed request is repeated, and its timer does not start the controller's tick a
// second time.
func TestDiscoveryOnRequest(t *testing.T) {
	s := settings()
	s.Discovery = "on_request"
	b := newBench(t, s)
	acts := b.handle(Topology{Kind: ListFailed})
	requested, timers := false, 0
	for _, a := range acts {
		if w, ok := a.(Schedule); ok && w.Handle == 2 {
			requested = true
		}
	}
	if !requested {
		t.Fatal("a failed request is not repeated later")
	}
	requested = false
	for _, a := range b.handle(TickDue{Handle: 2}) {
		switch a.(type) {
		case StreamChanges:
			requested = true
		case Schedule:
			timers++
		}
	}
	if !requested || timers != 0 {
		t.Errorf("requested %v, %d more timers", requested, timers)
	}
}

// When an unresponsive exchange recovers, set-ups restart at the interval that they had before the failure, not at that of
// the trial calls.
func TestRecoveryAtEarlierInterval(t *testing.T) {
	b := newBench(t, settings())
	for i := 0; i < 100; i++ {
		b.offer(1)
		b.establishAll()
		b.advance(100 * ms)
		b.reportFree(1, 30)
	}
	for i := 0; i < 100; i++ {
		b.offer(1)
		b.advance(100 * ms)
		b.reportFree(1, 30)
		for ref, call := range b.controller.calls {
			if call.attemptPending && !call.established && b.now >= call.sentAt+1500*ms {
				b.endAttempt(ref, b.lastSwitch[ref], TimedOut, 0)
			}
		}
	}
	if !b.controller.exchanges[1].unresponsive {
		t.Fatal("not unresponsive after set-ups without an answer")
	}
	b.establishAll()
	if b.controller.exchanges[1].unresponsive || b.controller.exchanges[1].gap.interval > maxAdjustInterval {
		t.Errorf("unresponsive %v, T %v after the recovery", b.controller.exchanges[1].unresponsive,
			b.controller.exchanges[1].gap.interval)
	}
}

// Redials are past their answer target: they are never held. Where callers do not flag redials, they are recognised by the
// called number.
func TestRedialsAreNotHeld(t *testing.T) {
	redial := func(o *Offer) { o.Flags = FlagRedial }
	b := newBench(t, settings())
	b.reportFree(1, 0)
	b.reportFree(2, 0)
	b.reportFree(3, 0)
	if r := b.offer(1, redial); b.answers[r] == nil {
		t.Error("a redial is held for a circuit")
	}
	s := settings()
	s.MarksRedial = false
	b = newBench(t, s)
	for p := 1; p < 4; p++ {
		b.reportFree(p, 0)
	}
	sameNumber := func(o *Offer) { o.Number = 77 }
	b.offer(1, sameNumber)
	b.advance(2 * time.Second)
	if r := b.offer(1, sameNumber); b.answers[r] == nil {
		t.Error("a redial without a flag is not recognised by its number")
	}
	b.advance(20 * time.Second)
	if len(b.controller.numbers) != 0 {
		t.Error("numbers of refused calls are not forgotten")
	}
}

// Without a claim on free circuits, a held call that needs several would lose each one that becomes free to narrower calls
// of lower priority.
func TestWideCallClaimsCircuits(t *testing.T) {
	s := settings()
	s.ScoreWeights.WorstClass = 0.9
	b := newBench(t, s)
	for p := 1; p < 4; p++ {
		b.reportFree(p, 0)
	}
	b.controller.servedByClass[1] = 0 // the wide class is served worst
	wide := b.offer(1, func(o *Offer) { o.Class, o.Width = 1, 4 })
	narrow := b.offer(1)
	b.reportFree(1, 2)
	if b.attempts[narrow] != 0 {
		t.Error("a narrow call took circuits that the wide one claims")
	}
	b.reportFree(1, 4)
	if b.attempts[wide] != 1 {
		t.Error("the wide call was not sent")
	}
}

// A call whose attempt may have taken effect is repeated only if its class has the repeat policy "free".
func TestOnlyFreeClassesAreRepeated(t *testing.T) {
	for _, repeat := range []string{"single_shot", "guarded", ""} {
		s := settings()
		s.Classes[0].RepeatPolicy = repeat
		b := newBench(t, s)
		r := b.offer(1)
		b.endAttempt(r, 101, TimedOut, 0)
		b.advance(3 * time.Second)
		if _, ok := b.answers[r].(GiveUp); !ok || b.attempts[r] != 1 {
			t.Errorf("%s: %d attempts, then %T", repeat, b.attempts[r], b.answers[r])
		}
	}
}

// Reports that are absent, stale or invalid must not do lasting harm.
func TestInvalidReports(t *testing.T) {
	nan := float32(0)
	nan /= nan
	for _, r := range [][]float32{nil, {5}, {nan, nan, nan, nan}, {30, 60, -1, -1}, {-1, -1, -1, -1}} {
		b := newBench(t, settings())
		b.handle(Sampled{Switch: 101, Code: OK, Took: ms, Report: r})
		b.advance(100 * ms)
		if r := b.offer(1); b.attempts[r] != 1 {
			t.Errorf("report %v stops set-ups though there is no overload", r)
		}
	}
	b := newBench(t, settings())
	b.handle(Sampled{Switch: 101, Code: OK, Took: ms, Report: []float32{30, 60, 9000, 1}})
	b.advance(30 * time.Second)
	if b.controller.exchanges[1].gap.active {
		t.Error("one stale report keeps a gap active for ever")
	}
}

// Empty settings and events about unknown calls and exchanges must not make the controller panic.
func TestEmptySettingsAndUnknownEvents(t *testing.T) {
	controller := New(Settings{}, 1)
	now := time.Duration(0)
	for _, e := range []Event{
		Offer{Ref: 1, Class: 9, Dest: 5, Via: -1}, Topology{Kind: ListFull}, Topology{Kind: ListFailed},
		Outcome{Ref: 99, Switch: 3, Code: Full}, Flowing{Ref: 99}, Withdrawn{Ref: 99}, TickDue{}, TickDue{Handle: 9},
		Sampled{Switch: 4, Code: TimedOut}, Datagram{}, Offer{Ref: 2, Dest: -1},
		Topology{Entries: []Entry{{Switch: 1, ExchangeNumber: 5, Mode: Ready, OnlineSince: 1}}}, Offer{Ref: 3, Dest: 5},
	} {
		now += 5 * ms
		controller.Handle(now, e, nil)
	}
}

// The same events and seed give the same actions.
func TestDeterministic(t *testing.T) {
	play := func() []Action {
		b := newBench(t, settings())
		var all []Action
		for i := 0; i < 400; i++ {
			r := b.offer(1+i%3, func(o *Offer) { o.Number = uint64(i % 7) })
			if i%5 == 0 {
				b.reportFree(1+i%3, float32(i%4))
			}
			if b.attempts[r] > 0 {
				b.endAttempt(r, uint32(101+i%3), []Code{Full, Failed, TimedOut, OK}[i%4], uint32(i%5))
			}
			b.advance(20 * ms)
			all = append(all, b.actions...)
		}
		return all
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("the same events gave other actions")
	}
}

// FuzzHandle checks that no order of events makes the controller panic, breaks a rule that testBench checks, or sends an
// attempt for an unknown call.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7})
	f.Add([]byte{0, 0, 0, 33, 2, 9, 2, 18, 6, 6, 5, 0, 12, 1, 250, 251})
	f.Add([]byte("10002020")) // a call reported as established twice
	f.Fuzz(func(t *testing.T, in []byte) {
		b := newBench(t, settings())
		for i := 0; i+1 < len(in); i += 2 {
			kind, value := in[i], in[i+1]
			ref := uint32(value%16) + 1
			number := 1 + int(value)%3
			switch kind % 7 {
			case 0:
				b.offer(int(value)%5, func(o *Offer) { o.Class, o.Number, o.Flags = int(value)%3, uint64(value%4), kind&26 })
			case 1:
				b.establish(ref, uint32(100+number))
			case 2:
				codes := []Code{OK, Cancelled, NotAttempted, Failed, ConnectFailed, Full, TimedOut, Reset}
				if call := b.controller.calls[ref]; call != nil && call.attemptPending {
					b.handle(Outcome{Ref: ref, Switch: call.pendingSwitch(number), Code: codes[kind/7%8],
						Note: uint32(value % 32), Final: call.established})
				} else {
					b.handle(Outcome{Ref: ref, Switch: uint32(100 + number), Code: codes[kind/7%8],
						Note: uint32(value % 32), Final: true})
				}
			case 3:
				b.reportFree(number, float32(int(value)-8))
			case 4:
				b.handle(Withdrawn{Ref: ref})
			case 5:
				b.handle(Topology{Kind: ListKind(kind / 7 % 4), Entries: []Entry{{
					Switch:         uint32(100 + number + int(value)/128*100),
					ExchangeNumber: number, Mode: Mode(value % 3), OnlineSince: b.now * time.Duration(value&1)}}})
			case 6:
				b.advance(time.Duration(value) * 4 * ms)
			}
			for _, a := range b.actions {
				if s, ok := a.(Attempt); ok && b.controller.calls[s.Ref] == nil {
					t.Fatalf("attempt for unknown call %d", s.Ref)
				}
			}
		}
	})
}

// pendingSwitch is the switch of the pending attempt, or that of the given exchange if there is none.
func (call *call) pendingSwitch(number int) uint32 {
	if call.nextHop != nil {
		return call.nextHop.switchID
	}
	return uint32(100 + number)
}

// Between exchanges without a direct group a call goes over a tandem at once: a direct set-up would only use up attempts, and
// no circuit can become free. If the size of the group was not reported, the direct route is tried.
func TestNoDirectGroupUsesTandemAtOnce(t *testing.T) {
	b := newBench(t, settings())
	b.handle(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
	if r := b.offer(1); b.attempts[r] != 1 || b.attemptedSwitch(r) == 101 {
		t.Errorf("%d attempts, the last to %d, want one over a tandem at once", b.attempts[r], b.attemptedSwitch(r))
	}
	b.controller.exchanges[1].groupSize = -1 // not reported
	if r := b.offer(1); b.attemptedSwitch(r) != 101 {
		t.Error("a group whose size is not reported is taken for missing")
	}
}

// Load probes go only to exchanges that are used or overloaded, and the sum of the probes of all controllers at one exchange
// is bounded. If every controller probed every exchange each second, the probes would grow with the square of their number.
func TestProbesOnlyWhereNeeded(t *testing.T) {
	for _, test := range []struct{ replicas, low, high int }{{4, 8, 13}, {90, 1, 2}} {
		s := settings()
		s.Probes, s.ReportHow, s.Replicas = true, "on_probe", test.replicas
		b := newBench(t, s)
		b.controller.markOverloaded(b.controller.exchanges[3], false)
		probes := map[uint32]int{}
		for i := 0; i < 500; i++ {
			b.advance(20 * ms)
			for _, a := range b.actions {
				if p, ok := a.(AskLoad); ok {
					probes[p.Switch]++
					b.handle(Sampled{Switch: p.Switch, Code: OK, Took: ms, Report: []float32{30, 60, 9000, -1}})
					b.controller.markOverloaded(b.controller.exchanges[3], false)
				}
			}
		}
		if n := probes[103]; probes[101] != 0 || n < test.low || n > test.high {
			t.Errorf("%d controllers: probes by switch in 10 s %v, want %d to %d of the overloaded one", test.replicas, probes,
				test.low, test.high)
		}
	}
}

// One lost answer, or set-ups that time out before the answer target since their callers have little time left, do not make
// an exchange unresponsive; otherwise each would block a stream of few calls. Two timeouts past the answer target without an
// answer in between do.
func TestLostAnswersAndEarlyTimeouts(t *testing.T) {
	for _, test := range []struct {
		name         string
		timeLeft     time.Duration
		times        int
		answer       bool
		unresponsive bool
	}{{"callers with little time", 300 * ms, 5, false, false}, {"one lost answer", 3 * time.Second, 1, false, false},
		{"lost answers with others in between", 3 * time.Second, 3, true, false},
		{"hung exchange", 3 * time.Second, 2, false, true}} {
		b := newBench(t, settings())
		for i := 0; i < test.times; i++ {
			r := b.offer(1, func(o *Offer) { o.TimeLeft = test.timeLeft })
			if b.attempts[r] == 0 {
				b.advance(time.Second)
			}
			b.now += test.timeLeft
			if test.answer {
				b.controller.markAnswered(b.controller.exchanges[1])
			}
			b.endAttempt(r, 101, TimedOut, 0)
		}
		if b.controller.exchanges[1].unresponsive != test.unresponsive {
			t.Errorf("%s: unresponsive %v", test.name, !test.unresponsive)
		}
	}
}

// Where most tandems return calls, further attempts only load processors, so fewer are made. After some time without
// returned calls the attempts are made again.
func TestFewerTandemAttemptsAfterCrankback(t *testing.T) {
	b := newBench(t, settings())
	b.handle(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
	attemptsOfCall := func() int {
		b.controller.exchanges[1].avoidTandemUntil = map[int]time.Duration{}
		r := b.offer(1)
		for switchID := b.attemptedSwitch(r); switchID != 0 && b.answers[r] == nil; switchID = b.attemptedSwitch(r) {
			b.reportFree(int(switchID-100), 30)
			b.actions = nil
			b.endAttempt(r, switchID, Full, NoteCrankback)
		}
		b.advance(3 * time.Second)
		return b.attempts[r]
	}
	if n := attemptsOfCall(); n != 2 {
		t.Fatalf("%d attempts with two tandems, want both", n)
	}
	b.controller.tandemSuccess = [3]float64{0.4, 1, 1}
	if n := attemptsOfCall(); n != 1 {
		t.Errorf("%d attempts where two in five succeed, want one", n)
	}
	b.controller.tandemSuccess[0] = 0
	b.controller.exchanges[1].avoidTandemUntil = map[int]time.Duration{}
	r := b.offer(1, func(o *Offer) { o.Via = 2 })
	if b.attemptedSwitch(r) != 102 {
		t.Error("an advised tandem is not used since others return calls")
	}
	b.establishAll()
	b.advance(80 * time.Second)
	if n := attemptsOfCall(); n != 2 {
		t.Errorf("%d attempts after 80 s without returned calls, want both", n)
	}
}

// While the local processor is overloaded no call is established anywhere, and further set-ups only prolong the overload. So
// only trial calls are sent.
func TestLocalOverloadLeavesTrialCalls(t *testing.T) {
	b := newBench(t, settings())
	for i := 0; i < 100; i++ {
		r := b.offer(1 + i%3)
		for p := 1; p < 4; p++ {
			b.controller.exchanges[p].gap = gap{} // removed: only the local gap may limit the set-ups here
		}
		if b.attempts[r] > 0 {
			b.endAttempt(r, b.lastSwitch[r], Full, NoteProcessor)
		}
		b.advance(100 * ms)
	}
	sent := 0
	for _, at := range append(append(b.sentAt[101], b.sentAt[102]...), b.sentAt[103]...) {
		if at > b.now-5*time.Second {
			sent++
		}
	}
	if !b.controller.local.unresponsive || sent > 6 {
		t.Errorf("local processor unresponsive %v, %d set-ups in the last 5 s, want trial calls",
			b.controller.local.unresponsive, sent)
	}
	r := b.offer(1)
	for b.attemptedSwitch(r) == 0 && b.answers[r] == nil {
		b.advance(20 * ms)
	}
	b.establishAll()
	if b.attempts[r] > 0 && b.controller.local.unresponsive {
		t.Error("still unresponsive after a call was established")
	}
}

// An attempt times out at the call's answer target, so that an overloaded processor does not work through set-ups that are
// too late.
func TestAttemptTimesOutAtAnswerTarget(t *testing.T) {
	b := newBench(t, settings())
	b.reportFree(1, 0)
	r := b.offer(1)
	b.advance(200 * ms)
	b.reportFree(1, 5)
	late := b.offer(1, func(o *Offer) { o.Flags = FlagRedial })
	for ref, want := range map[uint32]time.Duration{r: 1300 * ms, late: 1500 * ms} {
		if b.attempts[ref] != 1 {
			t.Fatalf("call %d: %d attempts", ref, b.attempts[ref])
		}
		if got := b.timeouts[ref]; got != want {
			t.Errorf("call %d: timeout %v, want %v", ref, got, want)
		}
	}
}

// While set-ups wait at the local processor no call goes over a tandem: the work of a third processor is left to calls that
// go direct.
func TestNoTandemWhileLocalProcessorIsSlow(t *testing.T) {
	for _, test := range []struct {
		took     time.Duration
		attempts int
	}{{50 * ms, 1}, {600 * ms, 0}} {
		b := newBench(t, settings())
		for i := 0; i < 12; i++ {
			took := 50 * ms
			if i >= 4 {
				took = test.took
			}
			if i == 4 {
				b.advance(5 * time.Second)
			}
			b.handle(Flowing{Ref: b.offer(2 + i%2), Switch: uint32(102 + i%2), Took: took})
		}
		b.advance(20 * ms)
		b.handle(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
		b.controller.tandemSuccess[0] = 0.5
		if r := b.offer(1); b.attempts[r] != test.attempts {
			t.Errorf("answers after %v: %d attempts over a tandem, want %d", test.took, b.attempts[r], test.attempts)
		}
	}
}

// The wait at the local processor is measured from all set-ups that end, timeouts too, not from answers alone: under overload
// there are few answers. The work itself, at a small exchange's slow processor, does not count as waiting.
func TestLocalOverloadIsDetectedFromTimeouts(t *testing.T) {
	s := settings()
	s.ResendInterval = 500 * ms // so a wait of a quarter of a second means overload
	b := newBench(t, s)
	for i := 0; i < 12; i++ {
		r := b.offer(1 + i%3)
		b.advance(300 * ms)
		b.handle(Flowing{Ref: r, Switch: uint32(101 + i%3), Took: 300 * ms})
	}
	for number, exchange := range b.controller.exchanges {
		if exchange.gap.active {
			t.Errorf("exchange %d: gapped though it only works slowly", number)
		}
	}
	for i := 0; i < 12; i++ {
		r := b.offer(1 + i%3)
		b.advance(1500 * ms)
		if b.attempts[r] == 1 && b.answers[r] == nil {
			b.handle(Outcome{Ref: r, Switch: b.lastSwitch[r], Code: TimedOut, Took: 1500 * ms})
		}
	}
	if !b.controller.local.gap.active {
		t.Error("all set-ups time out, but the local gap is not active")
	}
	for p := 1; p < 4; p++ {
		if b.controller.exchanges[p].unresponsive {
			t.Errorf("exchange %d unresponsive though only the local exchange is overloaded", p)
		}
	}
}

// The rule on cold exchanges with many controllers: 91 of them, all with more calls for one cold exchange than it can take,
// together stay below the load that would overload it.
func TestManyControllersAndOneColdExchange(t *testing.T) {
	const replicas, establishedPerSecond = 92, 6.0
	s := settings()
	s.Replicas = replicas
	began := time.Hour
	var all []time.Duration
	for i := 0; i < replicas-1; i++ {
		b := newBench(t, s)
		b.controller = New(s, uint64(i))
		b.handle(Topology{Kind: ListCached, Entries: []Entry{{Switch: 100, ExchangeNumber: 0, Mode: Ready},
			{Switch: 101, ExchangeNumber: 1, Mode: Ready}, {Switch: 102, ExchangeNumber: 2, Mode: Ready}}})
		b.controller.maxEstablishedRate = establishedPerSecond
		b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Ready, OnlineSince: began}}})
		for b.now < began+s.Rules.WarmUp {
			b.reportFree(1, 30)
			b.reportFree(2, 0)
			b.offer(1)
			b.advance(100 * ms)
			for ref, call := range b.controller.calls {
				if call.attemptPending && !call.established && b.now >= call.sentAt+200*ms {
					b.establish(ref, b.lastSwitch[ref])
				}
			}
		}
		all = append(all, b.sentAt[101]...)
	}
	for at := time.Duration(0); at < s.Rules.WarmUp-s.Rules.OverloadWindow; at += 500 * ms {
		count := 0
		for _, sentAt := range all {
			if sentAt >= began+at && sentAt < began+at+s.Rules.OverloadWindow {
				count++
			}
		}
		capacityShare := s.Rules.WarmUpStart + (1-s.Rules.WarmUpStart)*at.Seconds()/s.Rules.WarmUp.Seconds()
		// An exchange receives as many calls as it sends, so it handles twice what it sends; its own set-ups count too.
		ownSetUps := establishedPerSecond * 1.4142 * capacityShare * s.Rules.OverloadWindow.Seconds()
		// The phases are random, so a window may hold more by chance: twice the square root of its count is allowed.
		limit := s.Rules.OverloadMultiple*2*establishedPerSecond*capacityShare*s.Rules.OverloadWindow.Seconds() - ownSetUps
		if limit += 2 * math.Sqrt(ownSetUps); float64(count) > limit {
			t.Fatalf("%v after the start: %d set-ups from all within %v, want %.0f at most", at, count,
				s.Rules.OverloadWindow, limit)
		}
	}
	if len(all) < replicas/2 {
		t.Errorf("only %d set-ups from all in the whole warm-up", len(all))
	}
}

// After a long run, nothing is kept of calls that are over, of busy numbers and of redials.
func TestNoStateIsLeaked(t *testing.T) {
	for _, callersFlagRedials := range []bool{true, false} {
		s := settings()
		s.MarksRedial = callersFlagRedials
		b := newBench(t, s)
		for i := 0; i < 3000; i++ {
			r := b.offer(1+i%3, func(o *Offer) { o.Number = uint64(i) })
			if b.attempts[r] > 0 {
				b.endAttempt(r, b.lastSwitch[r], []Code{Full, Failed, TimedOut, OK}[i%4], []uint32{2, NoteBusy, 0, 0}[i%4])
			}
			b.reportFree(1+i%3, 20)
			b.advance(20 * ms)
		}
		b.advance(3 * time.Second)
		for ref, call := range b.controller.calls {
			if call.attemptPending { // sent late and never answered
				b.handle(Outcome{Ref: ref, Switch: b.lastSwitch[ref], Code: TimedOut, Final: true})
			}
		}
		b.advance(time.Minute)
		if n := len(b.controller.calls) + len(b.controller.held) + len(b.controller.numbers); n != 0 {
			t.Errorf("callers flag redials %v: %d calls, %d held, %d numbers kept", callersFlagRedials,
				len(b.controller.calls), len(b.controller.held), len(b.controller.numbers))
		}
	}
}

// Towards a destination without a direct group, a tandem that was advised for it before is preferred to one of which nothing
// is known: most of the latter have no group to the destination either.
func TestKnownTandemsArePreferred(t *testing.T) {
	b := newBench(t, settings())
	b.handle(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
	b.offer(1, func(o *Offer) { o.Via = 3 })
	b.establishAll()
	for i := 0; i < 12; i++ {
		b.advance(5 * time.Second) // so that the last tandem is forgotten
		if r := b.offer(1); b.lastSwitch[r] != 103 {
			t.Fatalf("call %d went over switch %d, want the tandem that was advised before", i, b.lastSwitch[r])
		}
		b.establishAll()
	}
}

// While the local gap is active, a call without a direct group still goes over a tandem, with a grant of the gap, since it
// has no other route. A call whose direct group is full does not.
func TestActiveLocalGapAndTandems(t *testing.T) {
	for size, attempts := range map[float32]int{0: 1, 30: 0} {
		b := newBench(t, settings())
		b.handle(Sampled{Switch: 101, Code: OK, Report: []float32{0, size, -1, -1}})
		b.controller.local.gap.setInterval(b.now, time.Second, rand.New(rand.NewPCG(1, 1)))
		r := b.offer(1)
		b.advance(1200 * ms)
		if b.attempts[r] != attempts {
			t.Errorf("direct group of %v circuits, none free, local gap active: %d attempts over a tandem, want %d", size,
				b.attempts[r], attempts)
		}
	}
}

// When a zone is cut off, its exchanges share the missing answers, the trial calls and the recovery, so that streams of few
// calls notice it too. Single lost answers do not make a zone unresponsive, nor does one failed exchange.
func TestZoneCutOff(t *testing.T) {
	fail := func(b *testBench, dests ...int) {
		var refs []uint32
		for _, d := range dests {
			refs = append(refs, b.offer(d))
		}
		b.advance(1500 * ms)
		b.handle(Flowing{Ref: b.offer(2), Switch: 102, Took: 50 * ms})
		for i, r := range refs {
			if b.attempts[r] > 0 && b.answers[r] == nil {
				b.handle(Outcome{Ref: r, Switch: uint32(100 + dests[i]), Code: TimedOut, Took: 1500 * ms})
			}
		}
	}
	b := newBench(t, settings()) // exchanges 1 and 3 are of another zone, 2 of the local one
	fail(b, 1, 3, 1, 3)
	sent := len(b.sentAt[101]) + len(b.sentAt[103])
	for i := 0; i < 8; i++ {
		var refs []uint32
		for j := 0; j < 5; j++ {
			refs = append(refs, b.offer(1+j%2*2))
			b.advance(100 * ms)
		}
		for _, r := range refs[:3] {
			if b.attempts[r] == 0 && b.answers[r] == nil {
				t.Fatal("a call to an unresponsive zone is held")
			}
		}
	}
	if n := len(b.sentAt[101]) + len(b.sentAt[103]) - sent; n < 3 || n > 9 {
		t.Errorf("%d trial calls in 4 s, want about two a second for the whole zone", n)
	}
	if r := b.offer(2); b.attempts[r] != 1 {
		t.Error("a call within the local zone was not sent")
	}
	var last uint32
	for ref := range b.attempts {
		if switchID := b.lastSwitch[ref]; (switchID == 101 || switchID == 103) && ref > last && b.answers[ref] == nil {
			last = ref
		}
	}
	b.handle(Flowing{Ref: last, Switch: b.lastSwitch[last], Took: 50 * ms})
	for _, d := range []int{1, 3} {
		if r := b.offer(d); b.attempts[r] != 1 {
			t.Errorf("exchange %d: not called at once after an answer from its zone", d)
		}
	}
	for _, test := range []struct {
		name     string
		dests    []int
		answered bool
	}{{"one failed exchange", []int{1, 1, 1, 1, 1, 1}, false}, {"lost answers", []int{1, 3, 1, 3}, true}} {
		b := newBench(t, settings())
		fail(b, test.dests[:2]...)
		if test.answered {
			b.handle(Flowing{Ref: b.offer(3), Switch: 103, Took: 50 * ms})
		}
		fail(b, test.dests[2:]...)
		if b.controller.exchanges[3].zone.unresponsive {
			t.Errorf("%s: the zone is unresponsive", test.name)
		}
	}
}

// A call for which no circuit can become free in time is refused at once, not held to its answer target.
func TestHopelessCallIsAnsweredAtOnce(t *testing.T) {
	none := Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}}
	full := Sampled{Switch: 101, Code: OK, Report: []float32{0, 30, -1, -1}}
	for _, test := range []struct {
		name string
		run  func(b *testBench) uint32
	}{
		{"may have taken effect and must not be repeated", func(b *testBench) uint32 {
			r := b.offer(1)
			b.advance(100 * ms)
			b.handle(Outcome{Ref: r, Switch: 101, Code: Reset, Took: 100 * ms})
			return r
		}},
		{"the destination drains", func(b *testBench) uint32 {
			b.handle(full)
			r := b.offer(1)
			b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Draining, Zone: 1}}})
			return r
		}},
		{"no direct group, and no attempts over tandems left", func(b *testBench) uint32 {
			b.handle(none)
			b.controller.tandemSuccess = [3]float64{0.4, 0.4, 0.4} // one attempt of four
			r := b.offer(1)
			b.handle(Outcome{Ref: r, Switch: b.lastSwitch[r], Code: Full, Note: NoteCrankback, Took: 50 * ms})
			return r
		}},
		{"no direct group, and no tandem succeeds", func(b *testBench) uint32 {
			b.handle(none)
			b.controller.tandemSuccess = [3]float64{0.1, 0.1, 0.1}
			return b.offer(1)
		}},
	} {
		s := settings()
		s.Classes[0].RepeatPolicy = "guarded"
		b := newBench(t, s)
		if r := test.run(b); b.answers[r] == nil {
			t.Errorf("%s: still held", test.name)
		}
	}
	b := newBench(t, settings())
	b.handle(full)
	if r := b.offer(1); b.answers[r] != nil {
		t.Error("not held though a circuit may become free")
	}
}

// With a fifth of the answer targets and holding times, a gap lasts a fifth of the time.
func TestAdjustIntervalFollowsSettings(t *testing.T) {
	gapDuration := func(factor time.Duration) time.Duration {
		s := settings()
		for i := range s.Classes {
			s.Classes[i].AnswerTarget /= factor
			s.Classes[i].MeanHold /= factor
		}
		b := newBench(t, s)
		x := b.controller.exchanges[1]
		for i := 0; i < 200; i++ {
			b.now += 100 * ms / factor
			b.offer(1, func(o *Offer) { o.TimeLeft /= factor })
			b.establishAll()
			b.reportFree(1, 30)
			if i > 150 && i < 170 {
				b.controller.markOverloaded(x, false)
			}
		}
		if !x.gap.active {
			t.Fatal("the gap is not active")
		}
		at := b.now
		for x.gap.active && b.now < at+time.Minute {
			b.advance(20 * ms)
			b.establishAll()
		}
		return b.now - at
	}
	slow, fast := gapDuration(1), gapDuration(5)
	if slow < 600*ms || fast > slow/4 {
		t.Errorf("a gap lasts %v after the overload, and %v with all times divided by five", slow, fast)
	}
}

// Errors are answers, and a broken connection does not mean that the exchange is down. Neither may limit the set-ups to an
// exchange that works.
func TestErrorsAndLostLinksAreNotMissingAnswers(t *testing.T) {
	b := newBench(t, settings())
	for i := 0; i < 12; i++ {
		r := b.offer(1, func(o *Offer) { o.Flags = FlagRedial })
		b.endAttempt(r, 101, Failed, 0)
		r = b.offer(1, func(o *Offer) { o.Flags = FlagRedial })
		b.endAttempt(r, 101, Reset, NoteLinkLost)
	}
	if exchange := b.controller.exchanges[1]; exchange.unresponsive || exchange.gap.active || exchange.failures != 0 {
		t.Errorf("unresponsive %v, gap %v, %d failures after errors and resets", exchange.unresponsive, exchange.gap.active,
			exchange.failures)
	}
}

// Calls for the local exchange arrive here when another agent is down. No direct group leads to it, so they go over a tandem.
// A call in transit has been over a tandem already and is refused.
func TestCallsForLocalExchange(t *testing.T) {
	b := newBench(t, settings())
	r := b.offer(0)
	if switchID := b.attemptedSwitch(r); switchID == 0 || switchID == 100 {
		t.Fatalf("sent to switch %d, want a tandem", switchID)
	}
	b.establish(r, b.lastSwitch[r])
	if x := b.offer(0, func(o *Offer) { o.Flags = FlagTransit }); b.answers[x] == nil || b.attempts[x] != 0 {
		t.Error("a call in transit to the local exchange is not refused")
	}
	for p := 1; p < 4; p++ {
		b.reportFree(p, 0)
	}
	x := b.offer(0)
	b.advance(3 * time.Second)
	if b.attempts[x] != 0 || b.answers[x] == nil {
		t.Errorf("%d attempts without a tandem, final answer %v", b.attempts[x], b.answers[x])
	}
}

// A new machine that serves an exchange number starts without what was learnt about the last one, whose switch ID is
// forgotten.
func TestNewMachineAtExchangeNumber(t *testing.T) {
	b := newBench(t, settings())
	b.controller.markUnresponsive(b.controller.exchanges[1])
	for id := uint32(200); id < 300; id++ {
		b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: id, ExchangeNumber: 1, Mode: Ready, Zone: 1}}})
		b.handle(Topology{Kind: ListDelta, Entries: []Entry{{Switch: id - 1, ExchangeNumber: 1, Mode: Gone, Zone: 1}}})
	}
	if exchange := b.controller.exchanges[1]; exchange.unresponsive || exchange.gap.active || exchange.switchID != 299 {
		t.Errorf("unresponsive %v, gap %v", exchange.unresponsive, exchange.gap.active)
	}
	if n := len(b.controller.numberBySwitch); n != 4 {
		t.Errorf("%d switch IDs are kept of 4 machines", n)
	}
}

// An exchange that answers set-ups with errors gets three attempts of a call. The last one goes over a tandem, even one that
// has just returned a call. A call in transit gets further attempts here, but not if the called number is busy.
func TestAttemptsAfterErrors(t *testing.T) {
	b := newBench(t, settings())
	for range 2 { // at the second call, the tandem is known to have returned one
		r := b.offer(1)
		for i := 0; i < 3; i++ {
			if b.lastSwitch[r] != 101 || b.attempts[r] != i+1 {
				t.Fatalf("attempt %d of %d went to switch %d", i+1, b.attempts[r], b.lastSwitch[r])
			}
			b.endAttempt(r, 101, Failed, 0)
		}
		if b.attempts[r] != 4 || b.lastSwitch[r] == 101 {
			t.Errorf("after %d attempts the last went to switch %d", b.attempts[r], b.lastSwitch[r])
		}
		b.endAttempt(r, b.lastSwitch[r], Full, NoteCrankback)
		if b.answers[r] == nil {
			t.Error("no final answer")
		}
	}
	transit := func(o *Offer) { o.Flags = FlagTransit }
	r := b.offer(1, transit)
	for i := 0; i < 4; i++ {
		if b.answers[r] != nil || b.lastSwitch[r] != 101 {
			t.Fatalf("in transit: attempt %d", i+1)
		}
		b.endAttempt(r, 101, Failed, 0)
	}
	if b.answers[r] == nil || b.attempts[r] != 4 {
		t.Errorf("in transit: %d attempts", b.attempts[r])
	}
	if r := b.offer(1, transit); b.attempts[r] == 1 {
		if b.endAttempt(r, 101, Failed, NoteBusy); b.answers[r] == nil || b.attempts[r] != 1 {
			t.Error("a call in transit was sent again to a busy number")
		}
	}
}

// When settings change, a lower limit of attempts also holds for open calls, an open call keeps its class, and a class that
// was dropped is no longer considered as the one that is served worst.
func TestRetune(t *testing.T) {
	s := settings()
	s.Classes[0].Name, s.Classes[1].Name = "a", "b"
	b := newBench(t, s)
	openCall := b.offer(1)
	b.controller.servedByClass[0] = 0 // served worst
	changed := s
	changed.MaxAttempts = 2
	changed.Classes = append([]Class{}, s.Classes...)
	changed.Classes[0].Retired = true
	changed.Classes = append(changed.Classes, Class{Name: "c",
		AnswerTarget: 500 * ms, HardLimit: time.Second, RepeatPolicy: "single_shot"})
	b.handle(Retune{Settings: changed})
	if b.controller.maxWait != 0.25 || b.controller.offeredByClass[2] != 1 || len(b.controller.servedByClass) != 3 {
		t.Errorf("overload at a wait of %v s, offered %v", b.controller.maxWait, b.controller.offeredByClass)
	}
	b.endAttempt(openCall, 101, Failed, 0)
	b.endAttempt(openCall, 101, Failed, 0)
	if b.attempts[openCall] != 2 || b.answers[openCall] == nil {
		t.Errorf("%d attempts of the open call, want 2", b.attempts[openCall])
	}
	if _, failed := b.answers[openCall].(GiveUp); failed {
		t.Error("a call that may be repeated was failed instead of refused")
	}
	once := b.offer(1, func(o *Offer) { o.Class = 2 })
	b.endAttempt(once, 101, Failed, 0)
	if _, failed := b.answers[once].(GiveUp); !failed || b.attempts[once] != 1 {
		t.Errorf("%d attempts of a call that must not be repeated, %v", b.attempts[once], b.answers[once])
	}
	for _, dest := range []int{1, 1} { // held, so that they get a priority
		b.reportFree(1, 0)
		b.offer(dest, func(o *Offer) { o.Class = 1 })
	}
	for _, call := range b.controller.held {
		if call.Class == 1 && math.IsNaN(call.priority) || call.priority <= 0 {
			t.Errorf("priority %v", call.priority)
		}
	}
	changed.Classes = append([]Class{}, changed.Classes...)
	changed.Classes[0] = Class{Name: "d", AnswerTarget: time.Second, HardLimit: time.Second} // another class gets its index
	b.controller.offeredByClass[0] = 7
	if b.handle(Retune{Settings: changed}); b.controller.offeredByClass[0] != 1 {
		t.Error("a class starts with the counts of another")
	}
}

// Guards against calls that are lost or sent twice after a decision has failed: the set-ups decided before the failure must reach
// the caller of Handle, and each call that was not sent must be held once.
func TestFailedDecisionKeepsHeldCalls(t *testing.T) {
	b := newBench(t, settings())
	c := b.controller
	b.reportFree(1, 0)
	for range 3 {
		b.offer(1)
	}
	if len(c.held) != 3 {
		t.Fatalf("%d calls are held, want 3", len(c.held))
	}
	first, last := c.held[0], c.held[2]
	c.held[1] = nil // deciding on it fails
	for number := 1; number < 4; number++ {
		c.exchangeByNumber(number).freeCircuits = 1
	}
	func() {
		defer func() {
			if recover() == nil {
				t.Fatal("the decision did not fail")
			}
		}()
		c.admitHeld()
	}()
	if !first.attemptPending || len(c.held) != 1 || c.held[0] != last {
		t.Errorf("first call sent %t; held %v, want only the last call", first.attemptPending, c.held)
	}
	sent := 0
	for _, a := range c.TakeActions() {
		if a, ok := a.(Attempt); ok && a.Ref == first.Ref {
			sent++
		}
	}
	if sent != 1 || len(c.TakeActions()) != 0 {
		t.Errorf("the first call was sent %d times, want 1", sent)
	}
}

// Guards against answers that come late beside a crowd: to go through thousands of held calls at every event takes all the time.
func TestEventsInACrowdOfHeldCalls(t *testing.T) {
	const crowd, events, during = 3000, 3000, 100 * ms
	b := newBench(t, settings())
	b.reportFree(2, 0)
	for range crowd {
		b.offer(2)
	}
	if n := len(b.controller.held); n != crowd {
		t.Fatalf("%d calls are held", n)
	}
	before := b.controller.pass
	for range events {
		b.now += during / events
		b.reportFree(2, 0)
	}
	if passes := b.controller.pass - before; passes > int(during/(crowd*servePause))+1 {
		t.Errorf("%d passes over %d held calls in %v", passes, crowd, during)
	}
	usual := b.offer(1)
	b.advance(tickInterval)
	if b.attempts[usual] != 1 {
		t.Errorf("a call to another exchange: %d attempts after a tick", b.attempts[usual])
	}
	b.reportFree(2, 1)
	b.advance(tickInterval)
	if n := len(b.sentAt[102]); n != 1 {
		t.Errorf("a circuit became free: %d calls sent after a tick", n)
	}
}

// A few held calls are served at once.
func TestFewHeldCallsAreServedAtEveryEvent(t *testing.T) {
	b := newBench(t, settings())
	b.reportFree(2, 0)
	for range maxHeldServedAtOnce {
		b.offer(2)
	}
	b.reportFree(2, 1)
	if n := len(b.sentAt[102]); n != 1 {
		t.Errorf("a circuit became free: %d calls sent at once", n)
	}
}
