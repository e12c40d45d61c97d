package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/retry"
)

func TestBudgetIsAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.Budget{Ratio: 0.2, MaxBalance: 5}
		attempts := rapid.IntRange(0, 500).Draw(t, "first attempts")
		retries := 0
		for range attempts {
			b.Deposit()
			for range rapid.IntRange(0, 3).Draw(t, "wanted retries") {
				if b.Withdraw(0) {
					retries++
				}
			}
		}
		if limit := 5 + 0.2*float64(attempts); float64(retries) > limit {
			t.Fatalf("%d retries for %d first attempts, expected at most %v", retries, attempts, limit)
		}
	})
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	b := retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	for n, want := range map[int]time.Duration{1: 100, 2: 200, 3: 400, 4: 800, 5: 1000, 50: 1000} {
		if got := b.Delay(n, 0.999999); got > want*time.Millisecond || got < want*time.Millisecond*99/100 {
			t.Errorf("longest delay after %d failures is %s, expected about %s", n, got, want*time.Millisecond)
		}
		if got := b.Delay(n, 0); got != want*time.Millisecond/2 {
			t.Errorf("shortest delay after %d failures is %s, expected %s", n, got, want*time.Millisecond/2)
		}
	}
}

// TestReturnedRetry checks that a retry that isn't made can be withdrawn again, and that
// returned ones never exceed the maximum balance.
func TestReturnedRetry(t *testing.T) {
	b := retry.Budget{MaxBalance: 1}
	for range 3 {
		if !b.Withdraw(0) || b.Withdraw(0) {
			t.Fatalf("balance is %v, want that of one retry", b.Balance())
		}
		b.Return()
	}
	if b.Return(); b.Balance() != 1 {
		t.Errorf("balance is %v, want 1", b.Balance())
	}
}

// TestResize guards against a change of the settings that refills a budget, or that leaves
// more in it than the new settings allow.
func TestResize(t *testing.T) {
	b := retry.Budget{Ratio: 0.2, MaxBalance: 5}
	for range 4 {
		b.Withdraw(0)
	}
	for _, step := range []struct{ maximum, want float64 }{{10, 1}, {0.5, 0.5}, {7, 0.5}} {
		if b.Resize(&retry.Budget{Ratio: 0.5, MaxBalance: step.maximum}); b.Balance() != step.want {
			t.Errorf("maximum %v: balance %v, want %v", step.maximum, b.Balance(), step.want)
		}
	}
	if b.Deposit(); b.Balance() != 1 {
		t.Errorf("balance %v after a deposit with the new ratio, want 1", b.Balance())
	}
}
