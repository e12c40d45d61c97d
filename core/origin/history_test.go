package origin_test

import (
	"testing"
	"time"

	"wigeonplank.example/core/origin"
)

// TestBeforeOutOfOrder guards against streams that go on at another version because an
// endpoint that registered late dates revisions that are younger than it.
func TestBeforeOutOfOrder(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		added origin.Additions
		want  int64
	}{
		"in order":                          {origin.Additions{10: at(-30), 12: at(-20), 14: at(-1)}, 12},
		"late after one that is too young":  {origin.Additions{10: at(-30), 12: at(-1), 14: at(-20)}, 10},
		"late after one that is old enough": {origin.Additions{10: at(-20), 12: at(-30), 14: at(-1)}, 12},
		"none":                              {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.added.Before(start); got != c.want {
				t.Errorf("revisions up to %d are older, want %d", got, c.want)
			}
		})
	}
}
