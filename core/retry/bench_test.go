package retry_test

import (
	"testing"

	"wigeonplank.example/core/retry"
)

func BenchmarkBudget(b *testing.B) {
	var budget retry.Budget
	b.ReportAllocs()
	for b.Loop() {
		budget.Deposit()
		budget.Withdraw(0)
	}
}
