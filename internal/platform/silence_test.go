package platform

import (
	"sync/atomic"
	"testing"
	"time"

	"tinbeam/internal/agent"
	"tinbeam/internal/farend"
)

// These tests have a clock that only they advance, so that nothing depends on how long something takes.

const standingCallID = "0123456789abcdef"

// steppedFixture is a farEndFixture with such a clock.
type steppedFixture struct {
	*farEndFixture
	clock atomic.Int64
}

func newSteppedFixture(t *testing.T) *steppedFixture {
	f := &steppedFixture{}
	f.clock.Store(int64(time.Hour))
	f.farEndFixture = newFarEndFixtureAt(t, func() time.Duration { return time.Duration(f.clock.Load()) })
	return f
}

// advance lets time pass in steps that are shorter than any interval of the far-end side.
func (f *steppedFixture) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.Add(int64(step))
		f.onLoop(func() {})
	}
}

// waitFor waits, while time passes or not, until the condition holds on the loop.
func (f *steppedFixture) waitFor(what string, timePasses bool, condition func(x *farEnd) bool) {
	f.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		holds := false
		f.onLoop(func() { holds = condition(f.farEnds.byID[7]) })
		if holds {
			return
		}
		if timePasses {
			f.advance(10 * time.Millisecond)
		}
	}
	f.Fatal(what)
}

// standingCall sets a call up, and returns the connection that carries it.
func (f *steppedFixture) standingCall() *peerConn {
	f.Helper()
	k := &agent.Call{ID: standingCallID, Width: 1, TimeLeft: 15 * time.Second, Dest: 1, Via: -1, Description: "v=0", Caller: f}
	f.onLoop(func() { f.core.Offer(k) })
	launch := f.next(farend.Launch)
	_, _ = launch.conn.Write((&farend.Message{Kind: farend.Running, UID: standingCallID, Body: "v=0 standing"}).Append(nil))
	f.nextAnswer()
	f.freeCircuits.Add(-1)
	return launch.conn
}

// Guards against a call that runs twice: the time before a set-up, when a far end had nothing to answer, is no silence.
func TestFirstCallAfterQuietTime(t *testing.T) {
	for _, quiet := range []time.Duration{4 * time.Second, 6500 * time.Millisecond, time.Minute} {
		for _, answerTime := range []time.Duration{50 * time.Millisecond, sweepInterval, 1800 * time.Millisecond} {
			f := newSteppedFixture(t)
			f.open()
			f.advance(quiet)
			f.offer()
			launch := f.next(farend.Launch)
			f.advance(answerTime)
			if n := f.core.Metrics.IdleLinks.Value(); n > 0 {
				t.Fatalf("quiet for %v: the far end was given up %v after the set-up", quiet, answerTime)
			}
			launch.conn.send(farend.Running, "v=0 first", 0)
			if got := f.nextAnswer(); got != "answer v=0 first" {
				t.Errorf("quiet for %v: the caller got %q", quiet, got)
			}
		}
	}
}

// Guards against calls that are cut: a far end that hangs answers no health check, however long, but its machine accepts connections.
func TestHangingFarEndKeepsItsCalls(t *testing.T) {
	f := newSteppedFixture(t)
	ln := f.listener
	f.open()
	f.standingCall()
	go func() { // from now on connections come up and nothing is sent on them
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
		}
	}()
	for range 80 {
		f.advance(sweepInterval)
		f.waitFor("a dial takes long", false, func(x *farEnd) bool { return x.dials == 0 })
	}
	if len(f.answers) > 0 {
		t.Errorf("the caller got %q", <-f.answers)
	}
}
