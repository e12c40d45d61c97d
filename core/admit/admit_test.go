package admit_test

import (
	"errors"
	"testing"
	"time"

	"wigeonplank.example/core/admit"
)

// enter lets n requests of a team of weight 1 try to enter.
func enter(t *testing.T, f *admit.Fair, team string, n int) int {
	t.Helper()
	in := 0
	for range n {
		err := f.Enter(team, 1)
		if err == nil {
			in++
			continue
		}
		var over *admit.OverShareError
		if !errors.As(err, &over) || over.RetryAfter <= 0 {
			t.Fatalf("refused with %v, expected OverShareError with a time to come back", err)
		}
	}
	return in
}

func TestTeamBelowItsShareGetsIn(t *testing.T) {
	var f admit.Fair
	if got := enter(t, &f, "large", 100); got != 100 {
		t.Fatalf("%d of 100 got in before endpoints were full", got)
	}
	f.NoRoom(time.Unix(1000, 0))
	if got := enter(t, &f, "large", 10); got != 0 {
		t.Fatalf("%d more of a team over its share got in", got)
	}
	if got := enter(t, &f, "small", 10); got != 10 {
		t.Fatalf("%d of 10 of a team below its share got in", got)
	}
}

func TestLimitGrowsAgain(t *testing.T) {
	var f admit.Fair
	enter(t, &f, "a", 20)
	f.NoRoom(time.Unix(1000, 0))
	_, before := f.Active()
	for range 20 {
		f.Leave("a")
	}
	if _, after := f.Active(); after <= before {
		t.Fatalf("limit went from %d to %d after 20 completions", before, after)
	}
}
