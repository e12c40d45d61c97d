package stall

import "time"

const (
	// Grace is how long what arrived during a standstill of this process may take to come through
	// the goroutines and buffers of a link.
	Grace = 100 * time.Millisecond

	lateMargin = 30 * time.Millisecond
)

// Late reports whether the end of a time limit at due is noticed so late that this process must
// have stood still. What arrived meanwhile has not been looked at.
func Late(due time.Time) bool { return time.Since(due) >= lateMargin }
