package mgcp

import (
	"slices"
	"strconv"
)

// maxEarlierRequests is how many request identifiers of earlier calls a line remembers.
const maxEarlierRequests = 16

// notificationRequests holds the RequestIdentifiers of the notification requests sent for a line. A notification names the request
// that it answers, and may arrive when another call has begun on the line.
type notificationRequests struct {
	earlier []uint32 // sent before the last call on the line began
	present []uint32 // sent since
}

// add records a request.
func (r *notificationRequests) add(id uint32) {
	r.present = append(r.present, id)
	if n := len(r.present) - maxEarlierRequests; n > 0 {
		r.present = slices.Delete(r.present, 0, n)
	}
}

// startCall records that a call begins on the line: the requests sent so far do not concern it.
func (r *notificationRequests) startCall() {
	r.earlier = append(r.earlier, r.present...)
	r.present = nil
	if n := len(r.earlier) - maxEarlierRequests; n > 0 {
		r.earlier = slices.Delete(r.earlier, 0, n)
	}
}

// isEarlier reports whether a notification answers a request from before the last call on the line began. One without a readable
// identifier, or with an unknown one, does not count as such.
func (r *notificationRequests) isEarlier(m *Message) bool {
	value, _ := m.Get("X")
	id, err := strconv.ParseUint(value, 16, 32)
	return err == nil && slices.Contains(r.earlier, uint32(id))
}
