package retry_test

import (
	"testing"

	"wigeonplank.example/core/retry"
)

func BenchmarkBudget(b *testing.B) {
	var budget retry.Budget
	b.ReportAllocs()
	for b.Loop() {
		budget.Earn()
		budget.Spend(0)
	}
}
