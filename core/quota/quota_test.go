package quota_test

import (
	"math"
	"testing"

	"wigeonplank.example/core/quota"
)

// TestHugeLimit guards against shares of a limit that an integer can't hold, which some
// processors turn into negative ones.
func TestHugeLimit(t *testing.T) {
	for _, limit := range []float64{1e300, math.Inf(1)} {
		if got := quota.Share(limit, 4, 1); got != math.MaxInt32/4+1 {
			t.Errorf("limit %g: %d", limit, got)
		}
	}
}
