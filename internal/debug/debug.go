// Package debug checks invariants. A build with the tag debug panics on a violation; any other build counts it and
// continues.
package debug

import (
	"fmt"

	"tinbeam/internal/metrics"
)

// Strict reports whether this is a debug build, in which every fault stops the program.
const Strict = panicOnViolation

// Check checks that the invariant ok holds, and returns ok so that the caller can handle a violation safely.
func Check(ok bool, c *metrics.Counter, format string, args ...any) bool {
	if !ok {
		c.Inc()
		if panicOnViolation {
			panic("invariant violated: " + fmt.Sprintf(format, args...))
		}
	}
	return ok
}
