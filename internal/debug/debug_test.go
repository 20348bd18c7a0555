package debug

import (
	"testing"

	"tinbeam/internal/metrics"
)

// A violation must be counted in both builds, and panic in a debug build only.
func TestCheck(t *testing.T) {
	m := metrics.New()
	panicked := func(ok bool) (panicked bool) {
		defer func() { panicked = recover() != nil }()
		if Check(ok, m.Violations, "case %v", ok) != ok {
			t.Errorf("Check(%v) returned the opposite", ok)
		}
		return false
	}
	if panicked(true) || m.Violations.Value() != 0 {
		t.Error("an invariant that holds was counted or panicked")
	}
	if panicked(false) != panicOnViolation || m.Violations.Value() != 1 {
		t.Errorf("a violation panicked in the wrong build, or was counted %d times", m.Violations.Value())
	}
}
