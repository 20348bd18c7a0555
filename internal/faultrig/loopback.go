package faultrig

import (
	"fmt"
	"math/rand/v2"
)

// newLoopbackAddress returns an address of the loopback interface with port 0 and a host of its own. A port there stays free while
// nothing listens on it; one at 127.0.0.1 may meanwhile go to another listener or an outgoing connection.
func newLoopbackAddress() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}
