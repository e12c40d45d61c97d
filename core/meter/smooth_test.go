package meter_test

import (
	"testing"
	"time"

	"wigeonplank.example/core/meter"
)

// TestSmoothedFollows checks that the estimate follows a level of durations in a few
// dozen samples, both up and down, and lies above the mean while they vary.
func TestSmoothedFollows(t *testing.T) {
	var s meter.Smoothed
	if got := s.Upper(); got != 0 {
		t.Errorf("without samples: got %s, want 0", got)
	}
	add := func(n int, samples ...time.Duration) {
		for i := range n {
			s.Add(samples[i%len(samples)])
		}
	}
	check := func(when string, from, to time.Duration) {
		t.Helper()
		if got := s.Upper(); got < from || got > to {
			t.Errorf("%s: got %s, want %s to %s", when, got, from, to)
		}
	}
	add(1, 100*time.Millisecond)
	check("after one sample", 100*time.Millisecond, 100*time.Millisecond)
	add(80, 500*time.Millisecond)
	check("after a rise", 480*time.Millisecond, 530*time.Millisecond)
	add(100, 100*time.Millisecond)
	check("after a fall", 95*time.Millisecond, 120*time.Millisecond)
	add(100, 100*time.Millisecond, 300*time.Millisecond)
	check("while they vary", 270*time.Millisecond, 330*time.Millisecond)
}
