// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For blocks until d has passed or ctx ends. It reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
