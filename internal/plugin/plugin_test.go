package plugin

import (
	"bytes"
	"testing"
	"time"

	"go.uber.org/zap"

	"tinbeam/internal/agent"
	"tinbeam/internal/metrics"
)

// module returns a WebAssembly binary whose export refuse has the given body and whose export event does nothing.
func module(memoryPages byte, refuse ...byte) []byte {
	b := []byte{0, 'a', 's', 'm', 1, 0, 0, 0,
		1, 17, 2, 0x60, 5, 0x7f, 0x7e, 0x7f, 0x7f, 0x7f, 1, 0x7f, 0x60, 4, 0x7f, 0x7e, 0x7f, 0x7f, 0, // two types
		3, 3, 2, 0, 1} // two functions
	if memoryPages > 0 {
		b = append(b, 5, 3, 1, 0, memoryPages)
	}
	b = append(b, 7, 18, 2, 6, 'r', 'e', 'f', 'u', 's', 'e', 0, 0, 5, 'e', 'v', 'e', 'n', 't', 0, 1)
	n := byte(len(refuse))
	b = append(b, 10, 1+2+n+3, 2, n+1, 0)
	return append(append(b, refuse...), 2, 0, 0x0b)
}

var (
	refuses71   = []byte{0x20, 1, 0x42, 0xf1, 0, 0x51, 0x0b}                     // number == 0x71
	neverEnds   = []byte{0x03, 0x40, 0x0c, 0, 0x0b, 0x41, 0, 0x0b}               // an endless loop
	traps       = []byte{0x00, 0x0b}                                             // unreachable
	ampleBudget = 10 * time.Second                                               // not exceeded even on a slow test machine
	call71      = &agent.Call{ID: "a", NumberKey: 0x71, TimeLeft: time.Second}   // refused
	call72      = &agent.Call{ID: "b", NumberKey: 0x72, TimeLeft: 2 * time.Hour} // not refused
)

func startPlugin(t *testing.T, budget time.Duration, clock *time.Duration, raw []byte) (*Plugin, *metrics.Set) {
	t.Helper()
	m := metrics.New()
	p, err := New(raw, Options{Budget: budget}, func() time.Duration { return *clock }, m, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return p, m
}

func TestRefuses(t *testing.T) {
	var clock time.Duration
	p, m := startPlugin(t, ampleBudget, &clock, module(1, refuses71...))
	if !p.Refuse(call71) || p.Refuse(call72) {
		t.Error("it must refuse number 0x71 and no other")
	}
	p.Event("answered", call72)
	if m.PluginCalls.Value() != 3 || m.PluginFailures.Value() != 0 {
		t.Errorf("%d calls, %d failures", m.PluginCalls.Value(), m.PluginFailures.Value())
	}
}

// A plug-in that traps or never ends must not hold up calls: it is stopped, the failure is counted, the call proceeds,
// and after maxFailures failures in a row the plug-in is disabled for a while.
func TestFailures(t *testing.T) {
	for name, c := range map[string]struct {
		budget time.Duration
		body   []byte
	}{"never ends": {time.Millisecond, neverEnds}, "traps": {ampleBudget, traps}} {
		var clock time.Duration
		p, m := startPlugin(t, c.budget, &clock, module(0, c.body...))
		for range maxFailures + 3 {
			if p.Refuse(call71) {
				t.Errorf("%s: the call was refused", name)
			}
		}
		if n := m.PluginFailures.Value(); n != maxFailures {
			t.Errorf("%s: %d failures counted", name, n)
		}
		clock += disabledTime
		p.Refuse(call71)
		if n := m.PluginFailures.Value(); n != maxFailures+1 {
			t.Errorf("%s: %d failures counted after the disabled time", name, n)
		}
	}
}

func TestBadPlugins(t *testing.T) {
	wrongSignature := bytes.Replace(module(0, refuses71...), []byte("refuse\x00\x00"), []byte("refuse\x00\x01"), 1)
	for name, raw := range map[string][]byte{"not wasm": []byte("hello"), "too much memory": module(100, refuses71...),
		"refuse with a wrong signature": wrongSignature} {
		if _, err := New(raw, Options{}, func() time.Duration { return 0 }, metrics.New(), zap.NewNop()); err == nil {
			t.Errorf("%s: the plug-in started", name)
		}
	}
}

// The example plug-in in deploy refuses redials, as its name says.
func TestExample(t *testing.T) {
	m := metrics.New()
	p, err := Load(Options{Path: "../../deploy/plugin/refuse-redials.wasm", Budget: ampleBudget},
		func() time.Duration { return 0 }, m, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if p.Refuse(&agent.Call{Flags: 8}) || !p.Refuse(&agent.Call{Flags: 2 | 16}) || m.PluginFailures.Value() != 0 {
		t.Error("it must refuse redials and nothing else")
	}
	p.Event("answered", call72) // the example does not export event
	if n := m.PluginCalls.Value(); n != 2 {
		t.Errorf("%d calls", n)
	}
}
