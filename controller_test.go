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

// bench plays one controller; far exchanges 1 to 3 are switches 101 to 103, the own one is 100.
type bench struct {
	*testing.T
	c     *Controller
	now   time.Duration
	ref   uint32
	acts  []Action
	final map[uint32]Action
	tries map[uint32]int
	sends map[uint32][]time.Duration // by switch
	to    map[uint32]uint32
	wait  map[uint32]time.Duration // the attempt's own time-out
}

func start(t *testing.T, s Settings) *bench {
	b := &bench{T: t, c: New(s, 7), now: time.Hour, final: map[uint32]Action{}, tries: map[uint32]int{},
		sends: map[uint32][]time.Duration{}, to: map[uint32]uint32{}, wait: map[uint32]time.Duration{}}
	var list []Entry
	for p := 0; p < 4; p++ {
		list = append(list, Entry{Switch: uint32(100 + p), ExchangeNumber: p, Mode: Ready, Zone: p % 2})
	}
	b.do(Topology{Kind: ListCached, Entries: list})
	for p := 1; p < 4; p++ {
		b.free(p, 30)
	}
	return b
}

func (b *bench) do(e Event) []Action {
	b.Helper()
	b.acts = b.c.Handle(b.now, e, nil)
	for _, a := range b.acts {
		switch a := a.(type) {
		case Attempt:
			b.tries[a.Ref]++
			b.sends[a.Switch] = append(b.sends[a.Switch], b.now)
			b.to[a.Ref], b.wait[a.Ref] = a.Switch, a.Timeout
			if b.final[a.Ref] != nil {
				b.Fatalf("call %d sent after its final answer", a.Ref)
			}
		case Decline:
			b.end(a.Ref, a)
		case GiveUp:
			b.end(a.Ref, a)
		}
	}
	return b.acts
}

func (b *bench) end(ref uint32, a Action) {
	b.Helper()
	if b.final[ref] != nil {
		b.Fatalf("call %d answered twice", ref)
	}
	b.final[ref] = a
}

// pass lets time go by, with the controller's own timer.
func (b *bench) pass(d time.Duration) {
	b.Helper()
	for end := b.now + d; b.now < end; {
		b.now += 20 * ms
		b.do(TickDue{Handle: 1})
	}
}

func (b *bench) free(place int, n float32) {
	b.Helper()
	b.do(Sampled{Switch: uint32(100 + place), Code: OK, Report: []float32{n, 60, -1, -1}})
}

func (b *bench) offer(dest int, more ...func(*Offer)) uint32 {
	b.Helper()
	b.ref++
	o := Offer{Ref: b.ref, Number: uint64(b.ref) + 1000, Width: 1, TimeLeft: 3 * time.Second, Dest: dest, Via: -1}
	for _, f := range more {
		f(&o)
	}
	b.do(o)
	return b.ref
}

// sentTo is the switch of the last action's attempt for a call, 0 if none.
func (b *bench) sentTo(ref uint32) uint32 {
	for _, a := range b.acts {
		if t, ok := a.(Attempt); ok && t.Ref == ref {
			return t.Switch
		}
	}
	return 0
}

func (b *bench) ends(ref, sw uint32, code Code, note uint32) {
	b.Helper()
	b.do(Outcome{Ref: ref, Try: b.tries[ref] - 1, Switch: sw, Code: code, Note: note})
}

func (b *bench) stand(ref, sw uint32) {
	b.Helper()
	b.do(Flowing{Ref: ref, Switch: sw, Took: 50 * ms})
}

// standAll answers every attempt that is out.
func (b *bench) standAll() {
	for ref, k := range b.c.calls {
		if k.out && !k.stands {
			b.stand(ref, b.to[ref])
		}
	}
}

// The counter against the paper: about one grant a T under overload, almost no loss below it.
func TestGapCarriesOneCallEachInterval(t *testing.T) {
	for _, c := range []struct{ offered, low, high float64 }{
		{0.9, 0.88, 0.92}, {1.0, 0.96, 1.01}, {1.1, 0.98, 1.01}, {3, 0.98, 1.01}} {
		rng := rand.New(rand.NewPCG(1, 2))
		var g gap
		g.set(0, time.Second, rng)
		g.bank = 16
		granted, now := 0, 0.0
		for now < 5000 {
			now += rng.ExpFloat64() / c.offered
			if g.allows(time.Duration(now * 1e9)) {
				g.spend()
				granted++
			}
		}
		if r := float64(granted) / now; r < c.low || r > c.high {
			t.Errorf("offered %v a T: carried %.3f, want %v to %v", c.offered, r, c.low, c.high)
		}
	}
}

func TestGapBanksAtMostN(t *testing.T) {
	var g gap
	g.set(0, time.Second, rand.New(rand.NewPCG(1, 2)))
	if g.bank != gain {
		t.Errorf("opens with %d, want %d", g.bank, gain)
	}
	n := 0
	for now := time.Hour; g.bank > 0 || now == time.Hour; now++ {
		for g.allows(time.Hour) {
			g.spend()
			n++
		}
		if g.local = 0; n > bankMost {
			break
		}
	}
	if n != bankMost {
		t.Errorf("a long quiet spell grants %d at once, want %d", n, bankMost)
	}
}

func TestGapLocalLimit(t *testing.T) {
	var g gap
	g.set(0, time.Second, rand.New(rand.NewPCG(1, 2)))
	n := 0
	for g.allows(time.Minute) {
		g.spend()
		n++
	}
	if n != localMost {
		t.Errorf("granted %d within an interval, want %d", n, localMost)
	}
}

func TestDirectFirstThenRememberedTandem(t *testing.T) {
	b := start(t, settings())
	if r := b.offer(1); b.sentTo(r) != 101 {
		t.Fatal("not direct while the own group has room")
	}
	b.free(1, 0)
	r := b.offer(1)
	b.pass(800 * ms)
	via := b.c.places[1].via
	if b.tries[r] != 1 || via != 2 && via != 3 {
		t.Fatalf("%d tries over %d, want one over a tandem", b.tries[r], via)
	}
	b.stand(r, uint32(100+via))
	for i := 0; i < 5; i++ {
		r = b.offer(1)
		b.pass(800 * ms)
		if b.c.places[1].via != via {
			t.Fatal("the tandem that works was not used again")
		}
	}
	b.ends(r, uint32(100+via), Full, NoteCrankback)
	if b.c.places[1].via == via {
		t.Error("the tandem is not redrawn after a block")
	}
}

func TestTrunkReservation(t *testing.T) {
	b := start(t, settings())
	b.free(1, 0)
	b.free(2, 3) // a root of 60 circuits, halved, is kept: 4
	b.free(3, 4)
	r := b.offer(1)
	b.pass(time.Second)
	if b.tries[r] != 0 {
		t.Error("overflow took reserved circuits")
	}
	b.free(1, 4)
	b.pass(20 * ms)
	r = b.offer(1, func(o *Offer) { o.Flags, o.Via = FlagTransit, 3 })
	if b.final[r] == nil {
		t.Error("a call in transit took reserved circuits or was held")
	}
}

func TestPressureOpensAndQuietLiftsTheGap(t *testing.T) {
	b := start(t, settings())
	r := b.offer(1)
	b.ends(r, 101, Full, NoteProcessor)
	if !b.c.places[1].gap.open {
		t.Fatal("processor full opens no gap")
	}
	before := len(b.sends[101])
	for i := 0; i < 20; i++ {
		b.offer(1)
	}
	if sent := len(b.sends[101]) - before; sent > gain {
		t.Errorf("%d set-ups past an empty counter", sent)
	}
	for i := 0; i < 1000; i++ {
		b.pass(20 * ms)
		b.standAll()
	}
	if b.c.places[1].gap.open {
		t.Error("the gap did not lift")
	}
	b.do(Sampled{Switch: 102, Code: OK, Took: ms, Report: []float32{30, 60, 5000, -1}})
	b.pass(20 * ms)
	if !b.c.places[2].gap.open {
		t.Error("a reported wait opens no gap")
	}
}

// A number repeatedly busy is thinned at the source, and others are not.
func TestHotNumber(t *testing.T) {
	b := start(t, settings())
	hot := func(o *Offer) { o.Number = 42 }
	for i := 0; i < 2; i++ {
		r := b.offer(1, hot)
		b.ends(r, 101, Failed, NoteBusy)
		if b.final[r] == nil {
			t.Fatal("a call to a busy number is not answered")
		}
	}
	sent := 0
	for i := 0; i < 50; i++ {
		if r := b.offer(1, hot); b.tries[r] > 0 {
			sent++
		}
	}
	if sent > 1 {
		t.Errorf("%d set-ups to a number found busy", sent)
	}
	if r := b.offer(1); b.tries[r] != 1 {
		t.Error("another number of the same exchange was gapped")
	}
	b.pass(40 * time.Second)
	if len(b.c.numbers) != 0 {
		t.Error("numbers are not forgotten")
	}
}

// Rule 1: every path ends in one final answer in time.
func TestFinalAnswerOnEveryPath(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(b *bench, r uint32)
	}{
		{"held without circuits", func(b *bench, r uint32) {}},
		{"time-out at the deadline", func(b *bench, r uint32) {
			b.free(1, 9)
			b.now += 3*time.Second - 20*ms
			b.ends(r, 101, TimedOut, 0)
		}},
		{"full again and again", func(b *bench, r uint32) {
			b.free(1, 9)
			for b.final[r] == nil && b.now < time.Hour+4*time.Second {
				if b.sentTo(r) != 0 {
					b.ends(r, 101, Full, NoteProcessor)
				} else {
					b.pass(20 * ms)
				}
			}
		}},
		{"destination gone while held", func(b *bench, r uint32) {
			b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Gone}}})
		}},
		{"own processor down", func(b *bench, r uint32) {
			b.free(1, 9)
			b.ends(r, 101, NotAttempted, NoteProcessor)
		}},
		{"reset", func(b *bench, r uint32) {
			b.free(1, 9)
			b.ends(r, 101, Reset, 0)
			b.free(1, 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := start(t, settings())
			for p := 1; p < 4; p++ {
				b.free(p, 0)
			}
			r := b.offer(1)
			c.play(b, r)
			for end := time.Hour + 3*time.Second; b.now < end; {
				if b.final[r] == nil && b.c.calls[r] != nil && b.c.calls[r].out {
					b.ends(r, 101, Full, NoteProcessor)
				}
				b.pass(20 * ms)
			}
			if b.final[r] == nil {
				t.Fatal("no final answer by the end of the caller's time")
			}
			if len(b.c.calls) != 0 {
				t.Error("the call is not forgotten")
			}
		})
	}
}

func TestWithdrawnWhileOut(t *testing.T) {
	b := start(t, settings())
	r := b.offer(1)
	b.do(Withdrawn{Ref: r})
	b.do(Outcome{Ref: r, Switch: 101, Code: Full, Note: NoteCrankback})
	b.pass(time.Second)
	if b.tries[r] != 1 || b.final[r] != nil {
		t.Error("a call withdrawn was sent or answered again")
	}
}

// Rule 2: one attempt at a time.
func TestNeverTwoOut(t *testing.T) {
	b := start(t, settings())
	r := b.offer(1)
	b.c.held = append(b.c.held, b.c.calls[r]) // even if it were held by mistake
	b.pass(time.Second)
	if b.tries[r] != 1 {
		t.Errorf("%d attempts out", b.tries[r])
	}
}

// Rule 3: nothing to a machine that drains or is gone, nor one that a full list no longer has.
func TestDrainsKept(t *testing.T) {
	for _, e := range []Topology{
		{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Draining}}},
		{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Gone}}},
		{Kind: ListFull, Entries: []Entry{{Switch: 102, ExchangeNumber: 2, Mode: Ready},
			{Switch: 103, ExchangeNumber: 3, Mode: Ready}}},
	} {
		b := start(t, settings())
		b.do(e)
		if r := b.offer(1); b.tries[r] != 0 {
			t.Errorf("%+v: sent to it", e)
		}
		b.free(2, 0)
		r := b.offer(2)
		b.pass(time.Second)
		if b.sentTo(r) == 101 || b.c.places[2].via == 1 {
			t.Errorf("%+v: used as a tandem", e)
		}
		b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 201, ExchangeNumber: 1, Mode: Ready}}})
		b.do(Sampled{Switch: 201, Code: OK, Report: []float32{20, 60, -1, -1}})
		if r := b.offer(1); b.sentTo(r) != 201 {
			t.Errorf("%+v: the machine that replaces it gets nothing", e)
		}
	}
}

// Rule 4: within any OverloadWindow a cold exchange gets less than this controller's share of the breaking budget.
func TestColdIsNotPushedOver(t *testing.T) {
	s := settings()
	b := start(t, s)
	// Ten calls a second stand over three far exchanges before the restart.
	for i := 0; i < 300; i++ {
		r := b.offer(1 + i%3)
		b.stand(r, uint32(101+i%3))
		b.do(Outcome{Ref: r, Switch: uint32(101 + i%3), Code: OK, Final: true})
		b.free(1+i%3, 30)
		b.pass(100 * ms)
	}
	began := b.now
	b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Ready, OnlineSince: began}}})
	before := len(b.sends[101])
	for b.now < began+s.Rules.WarmUp {
		for i := 0; i < 5; i++ {
			b.offer(1)
		}
		b.free(1, 30)
		b.pass(20 * ms)
		b.standAll()
	}
	sent := b.sends[101][before:]
	share := 10.0 / 3
	for i, at := range sent {
		n := 0
		for _, x := range sent[i:] {
			if x < at+s.Rules.OverloadWindow {
				n++
			}
		}
		part := s.Rules.WarmUpStart + (1-s.Rules.WarmUpStart)*(at-began).Seconds()/s.Rules.WarmUp.Seconds()
		// One more for the phase and one for the ramp: as many come in as go out, so the whole budget is twice this.
		if most := s.Rules.OverloadMultiple*share*part*s.Rules.OverloadWindow.Seconds() + 2; float64(n) > most {
			t.Fatalf("%v after the start: %d set-ups within %v, budget %.1f", at-began, n, s.Rules.OverloadWindow, most)
		}
	}
	if len(sent) < 15 {
		t.Errorf("only %d set-ups during the warm-up", len(sent))
	}
}

// Rule 5: the release is awaited.
func TestReleaseAwaited(t *testing.T) {
	for _, code := range []Code{TimedOut, Reset, Cancelled} {
		b := start(t, settings())
		r := b.offer(1)
		at := b.now
		b.ends(r, 101, code, 0)
		for b.tries[r] == 1 && b.now < at+time.Second {
			b.pass(20 * ms)
		}
		if b.now < at+200*ms {
			t.Errorf("%d: sent again after %v", code, b.now-at)
		}
	}
}

// The sum over a large fleet is bounded too, whatever has stood here, and T follows the ramp of a thin stream.
func TestColdPaceInALargeFleet(t *testing.T) {
	s := settings()
	s.Replicas = 92
	b := start(t, s)
	began := b.now
	b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Ready, OnlineSince: began}}})
	first := b.c.places[1].gap.every
	sum := float64(s.Replicas-1) / first.Seconds() // set-ups a second from all far controllers
	if most := s.Rules.OverloadMultiple * s.Rules.WarmUpStart * 1.1; sum > most {
		t.Errorf("%.1f set-ups a second from all, want %.1f at most where one a second is known to stand", sum, most)
	}
	b.now = began + s.Rules.WarmUp/2
	b.pass(20 * ms)
	if now := b.c.places[1].gap.every; now > first*2/3 {
		t.Errorf("T %v half way up the ramp, %v at its start", now, first)
	}
}

// A hung processor sends no refusals: missing answers close the stream to single trial calls.
func TestSilenceLeavesTrialCalls(t *testing.T) {
	b := start(t, settings())
	for i := 0; i < 300; i++ { // 30 s, ten calls a second, no answer at all
		b.offer(1)
		b.pass(100 * ms)
		for ref, k := range b.c.calls {
			if k.out && b.now >= k.deadline {
				b.ends(ref, b.to[ref], TimedOut, 0)
			}
		}
	}
	sent := 0
	for _, at := range b.sends[101] {
		if at > time.Hour+5*time.Second {
			sent++
		}
	}
	if !b.c.places[1].silent || sent > 25 {
		t.Errorf("silent %v, %d set-ups in 25 s", b.c.places[1].silent, sent)
	}
	if b.c.places[1].gap.bank > gain {
		t.Error("a bank builds up while it is silent")
	}
	b.do(Sampled{Switch: 101, Code: OK, Report: []float32{30, 60, -1, -1}})
	for ref, k := range b.c.calls {
		if k.out && b.to[ref] == 101 {
			b.stand(ref, 101)
			break
		}
	}
	if b.c.places[1].silent {
		t.Error("an answer does not end the suspicion")
	}
}

// A crashed processor resets each set-up at once: that is silence too.
func TestResetsAreMissingAnswers(t *testing.T) {
	b := start(t, settings())
	for i := 0; i < 2; i++ {
		b.now += 10 * ms
		r := b.offer(1)
		b.now += 10 * ms
		b.ends(r, 101, Reset, 0)
	}
	if !b.c.places[1].silent {
		t.Error("two resets in a row are not taken for silence")
	}
	b = start(t, settings())
	r := b.offer(1)
	b.stand(r, 101)
	b.do(Outcome{Ref: r, Switch: 101, Code: Reset, Final: true})
	if b.c.places[1].bad != 0 {
		t.Error("a cut of a standing call counts against the processor")
	}
}

// With the own processor down a call keeps its tries, and is sent once it is back.
func TestOwnProcessorDown(t *testing.T) {
	b := start(t, settings())
	b.ends(b.offer(1), 101, NotAttempted, NoteProcessor)
	r := b.offer(1)
	b.pass(200 * ms)
	if b.tries[r] != 0 {
		t.Fatalf("%d tries into a processor that is down", b.tries[r])
	}
	for i := 0; i < 100; i++ {
		b.pass(20 * ms)
		b.standAll()
	}
	if b.c.own.silent || b.tries[r] != 1 {
		t.Errorf("own processor silent %v, %d tries after its return", b.c.own.silent, b.tries[r])
	}
}

// Where the list must be asked for, a failed call is asked again, and the look-round goes on but once.
func TestDiscoveryOnRequest(t *testing.T) {
	s := settings()
	s.Discovery = "on_request"
	b := start(t, s)
	acts := b.do(Topology{Kind: ListFailed})
	asked, timers := false, 0
	for _, a := range acts {
		if w, ok := a.(Schedule); ok && w.Handle == 2 {
			asked = true
		}
	}
	if !asked {
		t.Fatal("a failed call is not asked again later")
	}
	asked = false
	for _, a := range b.do(TickDue{Handle: 2}) {
		switch a.(type) {
		case StreamChanges:
			asked = true
		case Schedule:
			timers++
		}
	}
	if !asked || timers != 0 {
		t.Errorf("asked %v, %d more timers", asked, timers)
	}
}

// After silence a stream starts at the spacing it had before the trouble, not at that of its trial calls.
func TestRecoveryAtEarlierSpacing(t *testing.T) {
	b := start(t, settings())
	for i := 0; i < 100; i++ {
		b.offer(1)
		b.standAll()
		b.pass(100 * ms)
		b.free(1, 30)
	}
	for i := 0; i < 100; i++ {
		b.offer(1)
		b.pass(100 * ms)
		b.free(1, 30)
		for ref, k := range b.c.calls {
			if k.out && !k.stands && b.now >= k.sentAt+1500*ms {
				b.ends(ref, b.to[ref], TimedOut, 0)
			}
		}
	}
	if !b.c.places[1].silent {
		t.Fatal("not silent")
	}
	b.standAll()
	if b.c.places[1].silent || b.c.places[1].gap.every > defaultGap {
		t.Errorf("silent %v, T %v after the return", b.c.places[1].silent, b.c.places[1].gap.every)
	}
}

// Redials are past their aim: never held, and refused at source towards a pressed exchange.
func TestRedialsAreNotHeld(t *testing.T) {
	redial := func(o *Offer) { o.Flags = FlagRedial }
	b := start(t, settings())
	b.free(1, 0)
	b.free(2, 0)
	b.free(3, 0)
	if r := b.offer(1, redial); b.final[r] == nil {
		t.Error("a redial without a circuit is held")
	}
	s := settings()
	s.MarksRedial = false
	b = start(t, s)
	for p := 1; p < 4; p++ {
		b.free(p, 0)
	}
	same := func(o *Offer) { o.Number = 77 }
	b.offer(1, same)
	b.pass(2 * time.Second)
	if r := b.offer(1, same); b.final[r] == nil {
		t.Error("an unmarked redial is not known by its number")
	}
	b.pass(20 * time.Second)
	if len(b.c.numbers) != 0 {
		t.Error("refused numbers are not forgotten")
	}
}

// A waiting wide call must not lose every freed circuit to narrower, lesser ones.
func TestWideCallClaimsCircuits(t *testing.T) {
	s := settings()
	s.ScoreWeights.WorstClass = 0.9
	b := start(t, s)
	for p := 1; p < 4; p++ {
		b.free(p, 0)
	}
	b.c.served[1] = 0 // the wide class is the worst served
	wide := b.offer(1, func(o *Offer) { o.Class, o.Width = 1, 4 })
	narrow := b.offer(1)
	b.free(1, 2)
	if b.tries[narrow] != 0 {
		t.Error("a narrow call took the circuits that the wide one waits for")
	}
	b.free(1, 4)
	if b.tries[wide] != 1 {
		t.Error("the wide call was not sent")
	}
}

func TestUnsafeClassesAreNotRepeated(t *testing.T) {
	for _, repeat := range []string{"single_shot", "guarded", ""} {
		s := settings()
		s.Classes[0].RepeatPolicy = repeat
		b := start(t, s)
		r := b.offer(1)
		b.ends(r, 101, TimedOut, 0)
		b.pass(3 * time.Second)
		if _, ok := b.final[r].(GiveUp); !ok || b.tries[r] != 1 {
			t.Errorf("%s: %d tries, then %T", repeat, b.tries[r], b.final[r])
		}
	}
}

// False information must do no lasting harm: reports that are absent, stuck or senseless.
func TestWrongReports(t *testing.T) {
	nan := float32(0)
	nan /= nan
	for _, r := range [][]float32{nil, {5}, {nan, nan, nan, nan}, {30, 60, -1, -1}, {-1, -1, -1, -1}} {
		b := start(t, settings())
		b.do(Sampled{Switch: 101, Code: OK, Took: ms, Report: r})
		b.pass(100 * ms)
		if r := b.offer(1); b.tries[r] != 1 {
			t.Errorf("report %v stops an unpressed stream", r)
		}
	}
	b := start(t, settings())
	b.do(Sampled{Switch: 101, Code: OK, Took: ms, Report: []float32{30, 60, 9000, 1}})
	b.pass(30 * time.Second)
	if b.c.places[1].gap.open {
		t.Error("one stale report holds a gap open for ever")
	}
}

func TestOddSettings(t *testing.T) {
	c := New(Settings{}, 1)
	now := time.Duration(0)
	for _, e := range []Event{
		Offer{Ref: 1, Class: 9, Dest: 5, Via: -1}, Topology{Kind: ListFull}, Topology{Kind: ListFailed},
		Outcome{Ref: 99, Switch: 3, Code: Full}, Flowing{Ref: 99}, Withdrawn{Ref: 99}, TickDue{}, TickDue{Handle: 9},
		Sampled{Switch: 4, Code: TimedOut}, Datagram{}, Offer{Ref: 2, Dest: -1},
		Topology{Entries: []Entry{{Switch: 1, ExchangeNumber: 5, Mode: Ready, OnlineSince: 1}}}, Offer{Ref: 3, Dest: 5},
	} {
		now += 5 * ms
		c.Handle(now, e, nil)
	}
}

// Same events, same actions.
func TestDeterministic(t *testing.T) {
	play := func() []Action {
		b := start(t, settings())
		var all []Action
		for i := 0; i < 400; i++ {
			r := b.offer(1+i%3, func(o *Offer) { o.Number = uint64(i % 7) })
			if i%5 == 0 {
				b.free(1+i%3, float32(i%4))
			}
			if b.tries[r] > 0 {
				b.ends(r, uint32(101+i%3), []Code{Full, Failed, TimedOut, OK}[i%4], uint32(i%5))
			}
			b.pass(20 * ms)
			all = append(all, b.acts...)
		}
		return all
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("the same events gave other actions")
	}
}

// FuzzHandle: no order of events may make the module panic or break a rule that the bench type checks.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7})
	f.Add([]byte{0, 0, 0, 33, 2, 9, 2, 18, 6, 6, 5, 0, 12, 1, 250, 251})
	f.Add([]byte("10002020")) // a call told to stand twice
	f.Fuzz(func(t *testing.T, in []byte) {
		b := start(t, settings())
		for i := 0; i+1 < len(in); i += 2 {
			x, y := in[i], in[i+1]
			ref := uint32(y%16) + 1
			place := 1 + int(y)%3
			switch x % 7 {
			case 0:
				b.offer(int(y)%5, func(o *Offer) { o.Class, o.Number, o.Flags = int(y)%3, uint64(y%4), x&26 })
			case 1:
				b.stand(ref, uint32(100+place))
			case 2:
				codes := []Code{OK, Cancelled, NotAttempted, Failed, ConnectFailed, Full, TimedOut, Reset}
				if k := b.c.calls[ref]; k != nil && k.out {
					b.do(Outcome{Ref: ref, Switch: k.to0(place), Code: codes[x/7%8], Note: uint32(y % 32), Final: k.stands})
				} else {
					b.do(Outcome{Ref: ref, Switch: uint32(100 + place), Code: codes[x/7%8], Note: uint32(y % 32), Final: true})
				}
			case 3:
				b.free(place, float32(int(y)-8))
			case 4:
				b.do(Withdrawn{Ref: ref})
			case 5:
				b.do(Topology{Kind: ListKind(x / 7 % 4), Entries: []Entry{{Switch: uint32(100 + place + int(y)/128*100),
					ExchangeNumber: place, Mode: Mode(y % 3), OnlineSince: b.now * time.Duration(y&1)}}})
			case 6:
				b.pass(time.Duration(y) * 4 * ms)
			}
			for _, a := range b.acts {
				if s, ok := a.(Attempt); ok && b.c.calls[s.Ref] == nil {
					t.Fatalf("attempt for unknown call %d", s.Ref)
				}
			}
		}
	})
}

// to0 is the switch of the attempt that is out.
func (k *call) to0(place int) uint32 {
	if k.to != nil {
		return k.to.id
	}
	return uint32(100 + place)
}

// A pair told to have no group: a direct set-up would only burn tries, and no wait brings it a circuit.
func TestPairWithoutGroupGoesRoundAtOnce(t *testing.T) {
	b := start(t, settings())
	b.do(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
	if r := b.offer(1); b.tries[r] != 1 || b.sentTo(r) == 101 {
		t.Errorf("%d tries, the last to %d, want one over a tandem at once", b.tries[r], b.sentTo(r))
	}
	b.c.places[1].size = -1 // not told at all: the direct route is tried
	if r := b.offer(1); b.sentTo(r) != 101 {
		t.Error("a group not told of is taken for none")
	}
}

// Probes go where they are needed, to exchanges used or pressed, and the sum over all controllers at one exchange is
// bounded: to the whole fleet each second they would grow with its square.
func TestProbesByNeed(t *testing.T) {
	for _, c := range []struct{ replicas, least, most int }{{4, 8, 13}, {90, 1, 2}} {
		s := settings()
		s.Probes, s.ReportHow, s.Replicas = true, "on_probe", c.replicas
		b := start(t, s)
		b.c.press(b.c.places[3], false)
		asked := map[uint32]int{}
		for i := 0; i < 500; i++ {
			b.pass(20 * ms)
			for _, a := range b.acts {
				if p, ok := a.(AskLoad); ok {
					asked[p.Switch]++
					b.do(Sampled{Switch: p.Switch, Code: OK, Took: ms, Report: []float32{30, 60, 9000, -1}})
					b.c.press(b.c.places[3], false)
				}
			}
		}
		if n := asked[103]; asked[101] != 0 || n < c.least || n > c.most {
			t.Errorf("%d controllers: probes by exchange in 10 s %v, want %d to %d of a pressed one", c.replicas, asked,
				c.least, c.most)
		}
	}
}

// One lost answer, or callers in a hurry whose set-ups time out before the aim, are no silence, or on a thin
// stream each would shut it; two time-outs past the aim without an answer between are.
func TestLostAnswersAndHurryAreNotSilence(t *testing.T) {
	for _, c := range []struct {
		name   string
		ttl    time.Duration
		times  int
		answer bool
		silent bool
	}{{"hurry", 300 * ms, 5, false, false}, {"one lost", 3 * time.Second, 1, false, false},
		{"lost now and then", 3 * time.Second, 3, true, false}, {"hung", 3 * time.Second, 2, false, true}} {
		b := start(t, settings())
		for i := 0; i < c.times; i++ {
			r := b.offer(1, func(o *Offer) { o.TimeLeft = c.ttl })
			if b.tries[r] == 0 {
				b.pass(time.Second)
			}
			b.now += c.ttl
			if c.answer {
				b.c.hear(b.c.places[1])
			}
			b.ends(r, 101, TimedOut, 0)
		}
		if b.c.places[1].silent != c.silent {
			t.Errorf("%s: silent %v", c.name, !c.silent)
		}
	}
}

// Where tandems mostly turn calls back, further tries only load processors; they come back as tandems work again.
func TestFewerTandemTriesWhenTurnedBack(t *testing.T) {
	b := start(t, settings())
	b.do(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
	tries := func() int {
		b.c.places[1].blocked = map[int]time.Duration{}
		r := b.offer(1)
		for sw := b.sentTo(r); sw != 0 && b.final[r] == nil; sw = b.sentTo(r) {
			b.free(int(sw-100), 30)
			b.acts = nil
			b.ends(r, sw, Full, NoteCrankback)
		}
		b.pass(3 * time.Second)
		return b.tries[r]
	}
	if n := tries(); n != 2 {
		t.Fatalf("%d tries over two tandems, want both", n)
	}
	b.c.round = [3]float64{0.4, 1, 1}
	if n := tries(); n != 1 {
		t.Errorf("%d tries where two in five stand, want one", n)
	}
	b.c.round[0] = 0
	b.c.places[1].blocked = map[int]time.Duration{}
	r := b.offer(1, func(o *Offer) { o.Via = 2 })
	if b.sentTo(r) != 102 {
		t.Error("an advised tandem suffers for those drawn")
	}
	b.standAll()
	b.pass(80 * time.Second)
	if n := tries(); n != 2 {
		t.Errorf("%d tries after a quiet spell, want both", n)
	}
}

// A jammed own processor: while nothing stands anywhere, what is sent only prolongs the jam.
func TestOwnJamLeavesTrialCalls(t *testing.T) {
	b := start(t, settings())
	for i := 0; i < 100; i++ {
		r := b.offer(1 + i%3)
		for p := 1; p < 4; p++ {
			b.c.places[p].gap = gap{} // the far streams alone would let it through
		}
		if b.tries[r] > 0 {
			b.ends(r, b.to[r], Full, NoteProcessor)
		}
		b.pass(100 * ms)
	}
	sent := 0
	for _, at := range append(append(b.sends[101], b.sends[102]...), b.sends[103]...) {
		if at > b.now-5*time.Second {
			sent++
		}
	}
	if !b.c.own.silent || sent > 6 {
		t.Errorf("own stream silent %v, %d set-ups in the last 5 s, want trial calls", b.c.own.silent, sent)
	}
	r := b.offer(1)
	for b.sentTo(r) == 0 && b.final[r] == nil {
		b.pass(20 * ms)
	}
	b.standAll()
	if b.tries[r] > 0 && b.c.own.silent {
		t.Error("a call that stands does not end it")
	}
}

// A set-up is given up when the call's aim has passed: a jammed processor must not work through late ones.
func TestSetUpsAreGivenUpAtTheAim(t *testing.T) {
	b := start(t, settings())
	b.free(1, 0)
	r := b.offer(1)
	b.pass(200 * ms)
	b.free(1, 5)
	late := b.offer(1, func(o *Offer) { o.Flags = FlagRedial })
	for ref, want := range map[uint32]time.Duration{r: 1300 * ms, late: 1500 * ms} {
		if b.tries[ref] != 1 {
			t.Fatalf("call %d: %d tries", ref, b.tries[ref])
		}
		if got := b.wait[ref]; got != want {
			t.Errorf("call %d is waited for %v, want %v", ref, got, want)
		}
	}
}

// While set-ups wait at the own processor nothing goes round: a third processor's work is for calls that go direct.
func TestNoWayRoundWhileTheOwnProcessorWaits(t *testing.T) {
	for _, c := range []struct {
		took  time.Duration
		tries int
	}{{50 * ms, 1}, {600 * ms, 0}} {
		b := start(t, settings())
		for i := 0; i < 12; i++ {
			took := 50 * ms
			if i >= 4 {
				took = c.took
			}
			if i == 4 {
				b.pass(5 * time.Second)
			}
			b.do(Flowing{Ref: b.offer(2 + i%2), Switch: uint32(102 + i%2), Took: took})
		}
		b.pass(20 * ms)
		b.do(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
		b.c.round[0] = 0.5
		if r := b.offer(1); b.tries[r] != c.tries {
			t.Errorf("answers after %v: %d tries round, want %d", c.took, b.tries[r], c.tries)
		}
	}
}

// The own processor's wait is read from whatever set-ups end, not from answers alone: in a jam there are few. And
// work itself, at a small exchange's slow processor, is no wait.
func TestOwnJamIsReadFromSetUpsThatTimeOut(t *testing.T) {
	s := settings()
	s.ResendInterval = 500 * ms // pressure is a quarter of a second
	b := start(t, s)
	for i := 0; i < 12; i++ {
		r := b.offer(1 + i%3)
		b.pass(300 * ms)
		b.do(Flowing{Ref: r, Switch: uint32(101 + i%3), Took: 300 * ms})
	}
	for p, x := range b.c.places {
		if x.gap.open {
			t.Errorf("exchange %d: gapped though it only works slowly", p)
		}
	}
	for i := 0; i < 12; i++ {
		r := b.offer(1 + i%3)
		b.pass(1500 * ms)
		if b.tries[r] == 1 && b.final[r] == nil {
			b.do(Outcome{Ref: r, Switch: b.to[r], Code: TimedOut, Took: 1500 * ms})
		}
	}
	if !b.c.own.gap.open {
		t.Error("all set-ups time out: the own gap should be open")
	}
	for p := 1; p < 4; p++ {
		if b.c.places[p].silent {
			t.Errorf("exchange %d taken for dead in the own exchange's jam", p)
		}
	}
}

// Rule 4 at full size: 91 controllers, all with a flood for one cold exchange, stay under its budget together.
func TestManyControllersAndOneColdExchange(t *testing.T) {
	const fleet, best = 92, 6.0
	s := settings()
	s.Replicas = fleet
	began := time.Hour
	var all []time.Duration
	for i := 0; i < fleet-1; i++ {
		b := start(t, s)
		b.c = New(s, uint64(i))
		b.do(Topology{Kind: ListCached, Entries: []Entry{{Switch: 100, ExchangeNumber: 0, Mode: Ready},
			{Switch: 101, ExchangeNumber: 1, Mode: Ready}, {Switch: 102, ExchangeNumber: 2, Mode: Ready}}})
		b.c.best = best
		b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Ready, OnlineSince: began}}})
		for b.now < began+s.Rules.WarmUp {
			b.free(1, 30)
			b.free(2, 0)
			b.offer(1)
			b.pass(100 * ms)
			for ref, k := range b.c.calls {
				if k.out && !k.stands && b.now >= k.sentAt+200*ms {
					b.stand(ref, b.to[ref])
				}
			}
		}
		all = append(all, b.sends[101]...)
	}
	for at := time.Duration(0); at < s.Rules.WarmUp-s.Rules.OverloadWindow; at += 500 * ms {
		n := 0
		for _, x := range all {
			if x >= began+at && x < began+at+s.Rules.OverloadWindow {
				n++
			}
		}
		part := s.Rules.WarmUpStart + (1-s.Rules.WarmUpStart)*at.Seconds()/s.Rules.WarmUp.Seconds()
		// As many come in as go out: the exchange takes twice what it sends, and its own set-ups count too.
		own := best * 1.4142 * part * s.Rules.OverloadWindow.Seconds()
		// Phases are drawn, so a window may hold some more by chance: a root of its count, twice.
		most := s.Rules.OverloadMultiple*2*best*part*s.Rules.OverloadWindow.Seconds() - own
		if most += 2 * math.Sqrt(own); float64(n) > most {
			t.Fatalf("%v after the start: %d set-ups from all within %v, %.0f at most", at, n, s.Rules.OverloadWindow, most)
		}
	}
	if len(all) < fleet/2 {
		t.Errorf("only %d set-ups from all in the whole warm-up", len(all))
	}
}

// Calls, numbers, redials and what is remembered of them are forgotten after a long run.
func TestNothingIsKeptForEver(t *testing.T) {
	for _, marks := range []bool{true, false} {
		s := settings()
		s.MarksRedial = marks
		b := start(t, s)
		for i := 0; i < 3000; i++ {
			r := b.offer(1+i%3, func(o *Offer) { o.Number = uint64(i) })
			if b.tries[r] > 0 {
				b.ends(r, b.to[r], []Code{Full, Failed, TimedOut, OK}[i%4], []uint32{2, NoteBusy, 0, 0}[i%4])
			}
			b.free(1+i%3, 20)
			b.pass(20 * ms)
		}
		b.pass(3 * time.Second)
		for ref, k := range b.c.calls {
			if k.out { // what was sent late and never answered
				b.do(Outcome{Ref: ref, Switch: b.to[ref], Code: TimedOut, Final: true})
			}
		}
		b.pass(time.Minute)
		if n := len(b.c.calls) + len(b.c.held) + len(b.c.numbers); n != 0 {
			t.Errorf("marks %v: %d calls, %d held, %d numbers kept", marks, len(b.c.calls), len(b.c.held), len(b.c.numbers))
		}
	}
}

// Where a pair has no group, a tandem once advised for it is drawn before one of which nothing is known: most of
// those have no group to the destination either.
func TestKnownTandemsAreDrawnFirst(t *testing.T) {
	b := start(t, settings())
	b.do(Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}})
	b.offer(1, func(o *Offer) { o.Via = 3 })
	b.standAll()
	for i := 0; i < 12; i++ {
		b.pass(5 * time.Second) // past what is remembered from the last use
		if r := b.offer(1); b.to[r] != 103 {
			t.Fatalf("call %d went over %d, want the tandem that was advised before", i, b.to[r])
		}
		b.standAll()
	}
}

// A pair without a group goes round even while the own gap is open, by its grants: it has no other way. Overflow of
// a pair with a group stays home then.
func TestOpenOwnGapLeavesPairsWithoutAGroup(t *testing.T) {
	for size, tries := range map[float32]int{0: 1, 30: 0} {
		b := start(t, settings())
		b.do(Sampled{Switch: 101, Code: OK, Report: []float32{0, size, -1, -1}})
		b.c.own.gap.set(b.now, time.Second, rand.New(rand.NewPCG(1, 1)))
		r := b.offer(1)
		b.pass(1200 * ms)
		if b.tries[r] != tries {
			t.Errorf("a group of %v, none free, own gap open: %d tries round, want %d", size, b.tries[r], tries)
		}
	}
}

// A district that is cut off: thin streams share what they see of it, its trial calls and its return. Lost answers
// do not close it, nor does one dead exchange.
func TestDistrictCutOff(t *testing.T) {
	fail := func(b *bench, dests ...int) {
		var refs []uint32
		for _, d := range dests {
			refs = append(refs, b.offer(d))
		}
		b.pass(1500 * ms)
		b.do(Flowing{Ref: b.offer(2), Switch: 102, Took: 50 * ms})
		for i, r := range refs {
			if b.tries[r] > 0 && b.final[r] == nil {
				b.do(Outcome{Ref: r, Switch: uint32(100 + dests[i]), Code: TimedOut, Took: 1500 * ms})
			}
		}
	}
	b := start(t, settings()) // exchanges 1 and 3 are of another district, 2 of the own one
	fail(b, 1, 3, 1, 3)
	sent := len(b.sends[101]) + len(b.sends[103])
	for i := 0; i < 8; i++ {
		var refs []uint32
		for j := 0; j < 5; j++ {
			refs = append(refs, b.offer(1+j%2*2))
			b.pass(100 * ms)
		}
		for _, r := range refs[:3] {
			if b.tries[r] == 0 && b.final[r] == nil {
				t.Fatal("a call to a district cut off is held though nothing is expected")
			}
		}
	}
	if n := len(b.sends[101]) + len(b.sends[103]) - sent; n < 3 || n > 9 {
		t.Errorf("%d trial calls in 4 s, want some two a second for the whole district", n)
	}
	if r := b.offer(2); b.tries[r] != 1 {
		t.Error("the own district suffers")
	}
	var last uint32
	for ref := range b.tries {
		if sw := b.to[ref]; (sw == 101 || sw == 103) && ref > last && b.final[ref] == nil {
			last = ref
		}
	}
	b.do(Flowing{Ref: last, Switch: b.to[last], Took: 50 * ms})
	for _, d := range []int{1, 3} {
		if r := b.offer(d); b.tries[r] != 1 {
			t.Errorf("exchange %d: not called at once after an answer from its district", d)
		}
	}
	for _, c := range []struct {
		name  string
		dests []int
		hears bool
	}{{"one dead exchange", []int{1, 1, 1, 1, 1, 1}, false}, {"lost answers", []int{1, 3, 1, 3}, true}} {
		b := start(t, settings())
		fail(b, c.dests[:2]...)
		if c.hears {
			b.do(Flowing{Ref: b.offer(3), Switch: 103, Took: 50 * ms})
		}
		fail(b, c.dests[2:]...)
		if b.c.places[3].zone.silent {
			t.Errorf("%s closes the district", c.name)
		}
	}
}

// A call for which nothing can come any more is answered at once, not held to its aim.
func TestNothingToWaitForIsAnsweredAtOnce(t *testing.T) {
	none := Sampled{Switch: 101, Code: OK, Report: []float32{0, 0, -1, -1}}
	full := Sampled{Switch: 101, Code: OK, Report: []float32{0, 30, -1, -1}}
	for _, c := range []struct {
		name string
		run  func(b *bench) uint32
	}{
		{"may have run and must not repeat", func(b *bench) uint32 {
			r := b.offer(1)
			b.pass(100 * ms)
			b.do(Outcome{Ref: r, Switch: 101, Code: Reset, Took: 100 * ms})
			return r
		}},
		{"the destination drains", func(b *bench) uint32 {
			b.do(full)
			r := b.offer(1)
			b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: 101, ExchangeNumber: 1, Mode: Draining, Zone: 1}}})
			return r
		}},
		{"no group, and no tries round left", func(b *bench) uint32 {
			b.do(none)
			b.c.round = [3]float64{0.4, 0.4, 0.4} // one try of four
			r := b.offer(1)
			b.do(Outcome{Ref: r, Switch: b.to[r], Code: Full, Note: NoteCrankback, Took: 50 * ms})
			return r
		}},
		{"no group, and nothing stands round", func(b *bench) uint32 {
			b.do(none)
			b.c.round = [3]float64{0.1, 0.1, 0.1}
			return b.offer(1)
		}},
	} {
		s := settings()
		s.Classes[0].RepeatPolicy = "guarded"
		b := start(t, s)
		if r := c.run(b); b.final[r] == nil {
			t.Errorf("%s: still held", c.name)
		}
	}
	b := start(t, settings())
	b.do(full)
	if r := b.offer(1); b.final[r] != nil {
		t.Error("a circuit may come free: should be held")
	}
}

// Where aims and holding times are a fifth, a gap comes and goes in a fifth of the time.
func TestPaceFollowsTheSettings(t *testing.T) {
	lasts := func(f time.Duration) time.Duration {
		s := settings()
		for i := range s.Classes {
			s.Classes[i].AnswerTarget /= f
			s.Classes[i].MeanHold /= f
		}
		b := start(t, s)
		x := b.c.places[1]
		for i := 0; i < 200; i++ {
			b.now += 100 * ms / f
			b.offer(1, func(o *Offer) { o.TimeLeft /= f })
			b.standAll()
			b.free(1, 30)
			if i > 150 && i < 170 {
				b.c.press(x, false)
			}
		}
		if !x.gap.open {
			t.Fatal("no gap")
		}
		at := b.now
		for x.gap.open && b.now < at+time.Minute {
			b.pass(20 * ms)
			b.standAll()
		}
		return b.now - at
	}
	slow, fast := lasts(1), lasts(5)
	if slow < 600*ms || fast > slow/4 {
		t.Errorf("a gap lasts %v after its time, and %v where all is five times as fast", slow, fast)
	}
}

// Errors are answers, and a broken connection is no exchange down: neither may shut a sound exchange out.
func TestErrorsAndBrokenLinksAreNotSilence(t *testing.T) {
	b := start(t, settings())
	for i := 0; i < 12; i++ {
		r := b.offer(1, func(o *Offer) { o.Flags = FlagRedial })
		b.ends(r, 101, Failed, 0)
		r = b.offer(1, func(o *Offer) { o.Flags = FlagRedial })
		b.ends(r, 101, Reset, NoteLinkLost)
	}
	if x := b.c.places[1]; x.silent || x.gap.open || x.bad != 0 {
		t.Errorf("silent %v, gap %v, bad %d after errors and resets", x.silent, x.gap.open, x.bad)
	}
}

// Calls for the own exchange come here while another agent is away. No group leads to it, so they go round, and one in
// transit, which has been round, does not.
func TestCallsForTheOwnExchange(t *testing.T) {
	b := start(t, settings())
	r := b.offer(0)
	if sw := b.sentTo(r); sw == 0 || sw == 100 {
		t.Fatalf("sent to %d", sw)
	}
	b.stand(r, b.to[r])
	if x := b.offer(0, func(o *Offer) { o.Flags = FlagTransit }); b.final[x] == nil || b.tries[x] != 0 {
		t.Error("a call in transit to the own exchange is not turned back")
	}
	for p := 1; p < 4; p++ {
		b.free(p, 0)
	}
	x := b.offer(0)
	b.pass(3 * time.Second)
	if b.tries[x] != 0 || b.final[x] == nil {
		t.Errorf("%d tries without a tandem, final %v", b.tries[x], b.final[x])
	}
}

// A new machine at a place inherits nothing of the last one, and the last one's id is forgotten.
func TestNewMachineAtAPlace(t *testing.T) {
	b := start(t, settings())
	b.c.hush(b.c.places[1])
	for id := uint32(200); id < 300; id++ {
		b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: id, ExchangeNumber: 1, Mode: Ready, Zone: 1}}})
		b.do(Topology{Kind: ListDelta, Entries: []Entry{{Switch: id - 1, ExchangeNumber: 1, Mode: Gone, Zone: 1}}})
	}
	if x := b.c.places[1]; x.silent || x.gap.open || x.id != 299 {
		t.Errorf("silent %v, gap %v", x.silent, x.gap.open)
	}
	if n := len(b.c.ids); n != 4 {
		t.Errorf("%d ids are kept of 4 machines", n)
	}
}

// An exchange that answers errors to most set-ups gets three tries of a call; the last goes over a tandem, even one that has just
// turned a call back. A call in transit has tries of its own, but none at a number found busy.
func TestErrors(t *testing.T) {
	b := start(t, settings())
	for range 2 { // the second call finds its tandem remembered as one that turns back
		r := b.offer(1)
		for i := 0; i < 3; i++ {
			if b.to[r] != 101 || b.tries[r] != i+1 {
				t.Fatalf("try %d of %d went to %d", i+1, b.tries[r], b.to[r])
			}
			b.ends(r, 101, Failed, 0)
		}
		if b.tries[r] != 4 || b.to[r] == 101 {
			t.Errorf("after %d tries the last went to %d", b.tries[r], b.to[r])
		}
		b.ends(r, b.to[r], Full, NoteCrankback)
		if b.final[r] == nil {
			t.Error("no answer")
		}
	}
	transit := func(o *Offer) { o.Flags = FlagTransit }
	r := b.offer(1, transit)
	for i := 0; i < 4; i++ {
		if b.final[r] != nil || b.to[r] != 101 {
			t.Fatalf("in transit: try %d", i+1)
		}
		b.ends(r, 101, Failed, 0)
	}
	if b.final[r] == nil || b.tries[r] != 4 {
		t.Errorf("in transit: %d tries", b.tries[r])
	}
	if r := b.offer(1, transit); b.tries[r] == 1 {
		if b.ends(r, 101, Failed, NoteBusy); b.final[r] == nil || b.tries[r] != 1 {
			t.Error("a busy number was tried again in transit")
		}
	}
}

// Settings that change: fewer attempts hold for open calls too, one that is open keeps its class, and a class that was dropped
// weighs no more among those that are served worst.
func TestRetune(t *testing.T) {
	s := settings()
	s.Classes[0].Name, s.Classes[1].Name = "a", "b"
	b := start(t, s)
	old := b.offer(1)
	b.c.served[0] = 0 // the worst served
	now := s
	now.MaxAttempts = 2
	now.Classes = append([]Class{}, s.Classes...)
	now.Classes[0].Retired = true
	now.Classes = append(now.Classes, Class{Name: "c",
		AnswerTarget: 500 * ms, HardLimit: time.Second, RepeatPolicy: "single_shot"})
	b.do(Retune{Settings: now})
	if b.c.target != 0.25 || b.c.offered[2] != 1 || len(b.c.served) != 3 {
		t.Errorf("target %v, %v offered", b.c.target, b.c.offered)
	}
	b.ends(old, 101, Failed, 0)
	b.ends(old, 101, Failed, 0)
	if b.tries[old] != 2 || b.final[old] == nil {
		t.Errorf("%d tries", b.tries[old])
	}
	if _, failed := b.final[old].(GiveUp); failed {
		t.Error("a call of a class that may be repeated is told as failed")
	}
	once := b.offer(1, func(o *Offer) { o.Class = 2 })
	b.ends(once, 101, Failed, 0)
	if _, failed := b.final[once].(GiveUp); !failed || b.tries[once] != 1 {
		t.Errorf("%d tries of a call that may not be repeated, %v", b.tries[once], b.final[once])
	}
	for _, dest := range []int{1, 1} { // held, so that they are ranked
		b.free(1, 0)
		b.offer(dest, func(o *Offer) { o.Class = 1 })
	}
	for _, k := range b.c.held {
		if k.Class == 1 && math.IsNaN(k.rank) || k.rank <= 0 {
			t.Errorf("rank %v", k.rank)
		}
	}
	now.Classes = append([]Class{}, now.Classes...)
	now.Classes[0] = Class{Name: "d", AnswerTarget: time.Second, HardLimit: time.Second} // its place is another's
	b.c.offered[0] = 7
	if b.do(Retune{Settings: now}); b.c.offered[0] != 1 {
		t.Error("a class inherits what was counted of another")
	}
}
