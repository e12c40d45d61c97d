// Package wait lets time pass unless there is a reason not to.
package wait

import (
	"context"
	"time"
)

// For blocks for d, or until ctx ends. It reports whether d has passed.
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
