package platform

import (
	"slices"
	"strconv"
)

// maxRecentCalls is how many Call-IDs recentCalls holds.
const maxRecentCalls = 256

// recentCalls is a set of the Call-IDs added last. The zero value is empty. It takes memory only once an ID has been added.
type recentCalls struct {
	ids  []uint64
	next int // index of the oldest ID, once the set is full
}

// add adds an ID; one that is not valid is left out.
func (r *recentCalls) add(id string) {
	number, valid := callNumber(id)
	switch {
	case !valid:
	case len(r.ids) < maxRecentCalls:
		r.ids = append(r.ids, number)
	default:
		r.ids[r.next] = number
		r.next = (r.next + 1) % maxRecentCalls
	}
}

func (r *recentCalls) contains(id string) bool {
	if len(r.ids) == 0 {
		return false
	}
	number, valid := callNumber(id)
	return valid && slices.Contains(r.ids, number)
}

// callNumber returns a Call-ID, which has 16 hex digits, as a number.
func callNumber(id string) (number uint64, valid bool) {
	number, err := strconv.ParseUint(id, 16, 64)
	return number, err == nil && len(id) == 16
}
