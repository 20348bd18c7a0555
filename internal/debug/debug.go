// Package debug checks what must hold. A build with the tag debug stops where it does not; any other counts it
// and goes on.
package debug

import (
	"fmt"

	"tinbeam/internal/metrics"
)

// Check states that ok holds, and returns it, so that the caller can act safely where it does not.
func Check(ok bool, c *metrics.Counter, format string, args ...any) bool {
	if !ok {
		c.Inc()
		if asserting {
			panic("does not hold: " + fmt.Sprintf(format, args...))
		}
	}
	return ok
}
