package debug

import (
	"testing"

	"tinbeam/internal/metrics"
)

// What does not hold is counted in both builds, and stops a debug build.
func TestMust(t *testing.T) {
	m := metrics.New()
	stopped := func(ok bool) (stopped bool) {
		defer func() { stopped = recover() != nil }()
		if Check(ok, m.Violations, "case %v", ok) != ok {
			t.Errorf("Must(%v) says otherwise", ok)
		}
		return false
	}
	if stopped(true) || m.Violations.Value() != 0 {
		t.Error("what holds was taken not to")
	}
	if stopped(false) != asserting || m.Violations.Value() != 1 {
		t.Errorf("stopped and counted otherwise: %d", m.Violations.Value())
	}
}
