package agent

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/metrics"
)

// bench is a core on a clock of the test's own, with sides that write down what they are asked for.
type bench struct {
	*Core
	clock time.Duration
	did   []string
	sent  []*Attempt
	calls map[string]*Call
}

func (b *bench) Answer(k *Call, d string) { b.did = append(b.did, "answer "+k.ID+" "+d) }
func (b *bench) Refuse(k *Call, failed bool, _ time.Duration) {
	b.did = append(b.did, fmt.Sprintf("refuse %s %v", k.ID, failed))
}

type farBench struct{ *bench }

func (b *bench) Release(k *Call, cause int) {
	b.did = append(b.did, fmt.Sprint("bye ", k.ID, " ", cause))
}
func (b farBench) SetUp(a *Attempt) {
	b.sent = append(b.sent, a)
	b.did = append(b.did, fmt.Sprint("set up ", a.Call.ID))
}
func (b farBench) Cancel(a *Attempt)             { b.did = append(b.did, "give up "+a.Call.ID) }
func (b farBench) Release(a *Attempt, cause int) { b.did = append(b.did, "release "+a.Call.ID) }
func (b farBench) Probe(id uint32)               { b.did = append(b.did, "probe") }

func newBench(hook Hook) *bench {
	b := &bench{clock: time.Hour, calls: map[string]*Call{}}
	set := tinbeam.Settings{LocalExchange: 0, Replicas: 3, MaxAttempts: 4, MarksRedial: true,
		ReleaseDelay: 300 * time.Millisecond,
		ReportFields: []string{"idle", "circuits"}, Classes: []tinbeam.Class{
			{Name: "check", AnswerTarget: time.Second, HardLimit: 9 * time.Second, Value: 1, Width: 1, RepeatPolicy: "free"}}}
	b.Core = New(NewLoop(func() time.Duration { return b.clock }), set, 1, 64<<20, metrics.New(), zap.NewNop(), hook)
	b.list(tinbeam.Ready)
	b.Report(7, []float32{10, 10})
	return b
}

func (b *bench) list(m tinbeam.Mode) {
	b.UpdateFarEnds(1, tinbeam.ListDelta, []tinbeam.Entry{{Switch: 7, ExchangeNumber: 1, Mode: m}}, farBench{b})
}

func (b *bench) offer(id string, left time.Duration) *Call {
	k := &Call{ID: id, Width: 1, TimeLeft: left, Dest: 1, Via: -1, Caller: b}
	b.Offer(k)
	return k
}

// run lets time pass in steps of a millisecond, as the loop would.
func (b *bench) run(d time.Duration) {
	for end := b.clock + d; b.clock < end; b.clock += time.Millisecond {
		b.Step()
	}
	b.Step()
}

func (b *bench) expect(t *testing.T, want ...string) {
	t.Helper()
	if !reflect.DeepEqual(b.did, want) {
		t.Errorf("did %q, want %q", b.did, want)
	}
	if v := b.Metrics.Violations.Value() + b.Metrics.Panics.Value(); v != 0 {
		t.Errorf("%d violations or panics", v)
	}
}

func TestReleaseWait(t *testing.T) {
	b := newBench(nil)
	b.offer("a", 5*time.Second)
	b.Ended(b.sent[0], tinbeam.Reset, 0, nil, 41)
	b.run(295 * time.Millisecond)
	b.expect(t, "set up a")
	b.run(60 * time.Millisecond)
	b.expect(t, "set up a", "set up a")
}

// A far end that says nothing, and a module that waits to the end of the aim: the answer leaves before the caller does.
func TestOneAnswerInTime(t *testing.T) {
	b := newBench(nil)
	b.offer("a", 500*time.Millisecond)
	b.run(480 * time.Millisecond)
	b.expect(t, "set up a")
	b.run(15 * time.Millisecond)
	b.expect(t, "set up a", "give up a", "refuse a false")
	b.Answered(b.sent[0], "late")
	b.Ended(b.sent[0], tinbeam.Full, 0, nil, 34)
	b.run(time.Second)
	b.expect(t, "set up a", "give up a", "refuse a false")
	if b.PendingCalls() != 0 || len(b.Core.calls) != 0 {
		t.Errorf("%d owed, %d held", b.PendingCalls(), len(b.Core.calls))
	}
}

func TestAnswerCrossesWhatEndsIt(t *testing.T) {
	b := newBench(nil)
	k := b.offer("a", 5*time.Second)
	b.Abandoned(k)
	b.Answered(b.sent[0], "late")
	b.expect(t, "set up a", "give up a")

	b = newBench(nil)
	k = b.offer("a", 5*time.Second)
	b.Answered(b.sent[0], "x")
	b.Answered(b.sent[0], "y")
	b.Abandoned(k)
	b.Hangup(k, 16)
	b.Ended(b.sent[0], tinbeam.OK, 0, nil, 16) // the far end's own release crosses the caller's
	b.Hangup(k, 16)
	b.expect(t, "set up a", "answer a x", "release a")
	if n := b.Metrics.Established.Value(); n != 0 {
		t.Errorf("%d stand", n)
	}
}

// When there is no more time, every call that is owed an answer gets it, and what stands goes on.
func TestClear(t *testing.T) {
	b := newBench(nil)
	b.offer("a", 5*time.Second)
	b.offer("b", 5*time.Second)
	b.Answered(b.sent[0], "x")
	b.FailPending()
	b.FailPending()
	b.expect(t, "set up a", "set up b", "answer a x", "give up b", "refuse b true")
	if b.PendingCalls() != 0 || b.Metrics.Established.Value() != 1 {
		t.Errorf("%d owed, %d stand", b.PendingCalls(), b.Metrics.Established.Value())
	}
}

// What is open keeps its class when the settings change; what comes has the new one, and fewer attempts hold for all. However
// often they change, the table of classes does not grow.
func TestRetune(t *testing.T) {
	b := newBench(nil)
	was := b.Settings
	b.offer("a", 5*time.Second)
	b.offer("b", 5*time.Second)
	now := was
	now.Classes = []tinbeam.Class{was.Classes[0],
		{Name: "pull", AnswerTarget: time.Second, HardLimit: time.Second, RepeatPolicy: "free"}}
	now.Classes[0].RepeatPolicy, now.MaxAttempts = "single_shot", 2
	b.Retune(now)
	k := &Call{ID: "c", Class: b.ClassIndex("check"), Width: 1, TimeLeft: 5 * time.Second, Dest: 1, Via: -1, Caller: b}
	b.Offer(k)
	for _, at := range b.sent {
		b.Ended(at, tinbeam.Failed, 0, nil, 47)
	}
	b.run(50 * time.Millisecond) // a and b are sent again, and not a third time
	b.Ended(b.sent[3], tinbeam.Failed, 0, nil, 47)
	b.expect(t, "set up a", "set up b", "set up c", "set up a", "set up b", "refuse c true", "refuse a false")
	now.Classes, now.MaxAttempts = now.Classes[1:], 1
	b.Retune(now)
	if b.ClassIndex("check") >= 0 || b.ClassIndex("pull") < 0 || b.Settings.Classes[b.sent[4].Call.Class].RepeatPolicy != "free" {
		t.Errorf("%+v", b.Settings.Classes)
	}
	b.Ended(b.sent[4], tinbeam.Failed, 0, nil, 47)
	for i := 0; i < 100; i++ {
		now.Classes = []tinbeam.Class{{Name: "check", HardLimit: time.Duration(i + 1)}}
		b.Retune(now)
	}
	if n := len(b.Settings.Classes); n > 3 {
		t.Errorf("%d classes", n)
	}
}

func TestNothingFreshToOneThatDrains(t *testing.T) {
	b := newBench(nil)
	b.list(tinbeam.Draining)
	b.offer("a", 5*time.Second)
	b.expect(t, "refuse a false")
}

// The sides hold one list each; a whole list of one must not end the far ends of the other.
func TestWholeListOfOneSide(t *testing.T) {
	b := newBench(nil)
	other := farBench{&bench{}}
	b.UpdateFarEnds(2, tinbeam.ListFull, []tinbeam.Entry{{Switch: 8, ExchangeNumber: 2, Mode: tinbeam.Ready}}, other)
	b.offer("a", 5*time.Second)
	b.expect(t, "set up a")
}

// Far ends come and go all day under ever new ids: what is gone is forgotten, but not while a call is out there.
func TestGoneFarEndsAreForgotten(t *testing.T) {
	b := newBench(nil)
	b.offer("a", 5*time.Second)
	for id := uint32(8); id < 100; id++ {
		b.UpdateFarEnds(uint64(id), tinbeam.ListDelta, []tinbeam.Entry{{Switch: id - 1, ExchangeNumber: 1, Mode: tinbeam.Gone},
			{Switch: id, ExchangeNumber: 1, Mode: tinbeam.Ready}}, farBench{b})
	}
	if n := len(b.places); n != 3 || b.places[7] == nil { // the last, the one before, and where the call is out
		t.Errorf("%d far ends are kept", n)
	}
	b.Ended(b.sent[0], tinbeam.Full, 0, nil, 34)
}

type no struct{ seen []string }

func (n *no) Refuse(k *Call) bool        { return k.ID == "a" }
func (n *no) Event(name string, k *Call) { n.seen = append(n.seen, name+" "+k.ID) }

func TestHook(t *testing.T) {
	h := &no{}
	b := newBench(h)
	b.offer("a", 5*time.Second)
	b.offer("b", 5*time.Second)
	b.expect(t, "refuse a false", "set up b")
	if want := []string{"refused a", "attempt b"}; !reflect.DeepEqual(h.seen, want) {
		t.Errorf("saw %q, want %q", h.seen, want)
	}
}

// A fault of the module is counted, and the call gets its answer all the same.
func TestModuleFails(t *testing.T) {
	b := newBench(nil)
	k := b.offer("a", 500*time.Millisecond)
	b.ctl = nil // every decision panics from here on
	b.run(600 * time.Millisecond)
	if want := []string{"set up a", "give up a", "refuse a true"}; !reflect.DeepEqual(b.did, want) {
		t.Errorf("did %q, want %q", b.did, want)
	}
	if b.Metrics.Panics.Value() == 0 || !k.answered || b.Metrics.LateAnswers.Value() != 1 {
		t.Error("not counted")
	}
}

// A full queue must not stop the loop from closing a connection, whose end is posted by the loop itself.
func TestEndsDoNotWait(t *testing.T) {
	l := NewLoop(func() time.Duration { return 0 })
	did := 0
	for i := 0; i < queueMost; i++ {
		l.Post(func() { did++ })
	}
	l.PostNonBlocking(func() {
		if did != queueMost {
			t.Errorf("told after %d of %d events", did, queueMost)
		}
		did = -1
	})
	if l.Step(); did != -1 {
		t.Error("the end was not told")
	}
}

func TestTimersInOrder(t *testing.T) {
	now := time.Duration(0)
	l := NewLoop(func() time.Duration { return now })
	var got []int
	for i, at := range []time.Duration{5, 3, 5, 1} {
		l.At(at, func() { got = append(got, i) })
	}
	off := l.At(4, func() { t.Error("a stopped timer struck") })
	l.Stop(off)
	l.Stop(off)
	now = 4
	if next, ok := l.Step(); !ok || next != 5 {
		t.Errorf("next %v %v", next, ok)
	}
	now = 5
	l.Step()
	if want := []int{3, 1, 0, 2}; !reflect.DeepEqual(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

func TestKey(t *testing.T) {
	if NumberKey("") != 0 || NumberKey("7f3a9c21e0b4d655") != 0x7f3a9c21e0b4d655 || NumberKey("71") != 0x71 {
		t.Error("hex digits are the number itself")
	}
	if a, b := NumberKey("71#"), NumberKey("desk.one"); a == 0 || b == 0 || a == b || a != NumberKey("71#") {
		t.Error("other numbers are told apart")
	}
}
