//go:build !debug

package agent

import (
	"reflect"
	"testing"
	"time"
)

// Guards against a process that ends by itself: a fault in the handling of one event or timer must be reported and must not keep
// the others from being handled.
func TestLoopSurvivesFaultyEvent(t *testing.T) {
	l := NewLoop(func() time.Duration { return 0 })
	var reported, handled []any
	l.OnPanic = func(value any, _ []byte) { reported = append(reported, value) }
	l.Post(func() { panic("event") })
	l.After(0, func() { panic("timer") })
	l.Post(func() { handled = append(handled, "event") })
	l.After(0, func() { handled = append(handled, "timer") })
	l.Step()
	if want := []any{"timer", "event"}; !reflect.DeepEqual(reported, want) || !reflect.DeepEqual(handled, want) {
		t.Errorf("reported %v, handled %v, want %v", reported, handled, want)
	}
}
