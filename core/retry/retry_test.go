package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/retry"
)

func TestBudgetIsAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.Budget{Share: 0.2, Reserve: 5}
		first := rapid.IntRange(0, 500).Draw(t, "first attempts")
		spent := 0
		for range first {
			b.Earn()
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if b.Spend(0) {
					spent++
				}
			}
		}
		if most := 5 + 0.2*float64(first); float64(spent) > most {
			t.Fatalf("%d retries for %d first attempts, at most %v", spent, first, most)
		}
	})
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	b := retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	for n, want := range map[int]time.Duration{1: 100, 2: 200, 3: 400, 4: 800, 5: 1000, 50: 1000} {
		if got := b.Wait(n, 0.999999); got > want*time.Millisecond || got < want*time.Millisecond*99/100 {
			t.Errorf("wait %d is %s, expected about %s", n, got, want*time.Millisecond)
		}
		if got := b.Wait(n, 0); got != want*time.Millisecond/2 {
			t.Errorf("shortest wait %d is %s, expected %s", n, got, want*time.Millisecond/2)
		}
	}
}
