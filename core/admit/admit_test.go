package admit_test

import (
	"errors"
	"testing"
	"time"

	"wigeonplank.example/core/admit"
)

// acquire offers n requests of a team of weight 1 and returns how many were
// admitted.
func acquire(t *testing.T, l *admit.Limiter, team string, n int) int {
	t.Helper()
	admitted := 0
	for range n {
		err := l.Acquire(team, 1)
		if err == nil {
			admitted++
			continue
		}
		var over *admit.OverShareError
		if !errors.As(err, &over) || over.RetryAfter <= 0 {
			t.Fatalf("request rejected with %v, expected OverShareError with a positive RetryAfter", err)
		}
	}
	return admitted
}

func TestTeamBelowItsShareGetsIn(t *testing.T) {
	var l admit.Limiter
	if got := acquire(t, &l, "large", 100); got != 100 {
		t.Fatalf("%d of 100 requests admitted before endpoints were full, expected all", got)
	}
	l.ReportOverload(time.Unix(1000, 0))
	if got := acquire(t, &l, "large", 10); got != 0 {
		t.Fatalf("%d requests admitted of a team over its share, expected none", got)
	}
	if got := acquire(t, &l, "small", 10); got != 10 {
		t.Fatalf("%d of 10 requests admitted of a team below its share, expected all", got)
	}
}

func TestLimitGrowsAgain(t *testing.T) {
	var l admit.Limiter
	acquire(t, &l, "a", 20)
	l.ReportOverload(time.Unix(1000, 0))
	_, before := l.Active()
	for range 20 {
		l.Release("a")
	}
	if _, after := l.Active(); after <= before {
		t.Fatalf("limit is %d after 20 completions, expected more than %d", after, before)
	}
}
