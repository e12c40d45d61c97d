package budget_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/base/budget"
	"wigeonplank.example/core/clock"
)

// TestSuspectsAfterManyOthers guards against a budget that no longer remembers who sends without end,
// as it still holds all who did long ago, and gives a sound response up instead.
func TestSuspectsAfterManyOthers(t *testing.T) {
	const limit = 8 << 20
	clk := clock.NewFake(time.Unix(1000, 0))
	b := &budget.Budget{Limit: func() int64 { return limit }, Clock: clk}
	for i := range 2000 {
		if err := b.Reserve(fmt.Sprint(i), nil).Grow(limit + 1); !errors.Is(err, budget.ErrOver) {
			t.Fatal(err)
		}
	}
	clk.Advance(24 * time.Hour)
	if err := b.Reserve("endless", nil).Grow(limit + 1); !errors.Is(err, budget.ErrOver) {
		t.Fatal(err)
	}
	sound := b.Reserve("sound", func() { t.Error("the sound response was given up") })
	if err := sound.Grow(limit / 4 * 3); err != nil {
		t.Fatal(err)
	}
	if err := b.Reserve("endless", nil).Grow(limit / 2); !errors.Is(err, budget.ErrOver) {
		t.Errorf("endless response: %v", err)
	}
}
