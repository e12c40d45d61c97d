package peer_test

import (
	"testing"
	"time"

	"wigeonplank.example/core/peer"
)

// TestDelays guards against messages that waited in a link or unread and count as just
// sent.
func TestDelays(t *testing.T) {
	const (
		ahead = 500 * time.Second     // of the sender's clock
		trip  = 3 * time.Millisecond  // of the fastest messages
		slack = 20 * time.Millisecond // of a clock that runs fast
	)
	var d peer.Delays
	check := func(sent, delay time.Duration, answers bool, want time.Duration, known bool) {
		t.Helper()
		atLeast := time.Duration(-1)
		if answers {
			atLeast = sent - trip
		}
		got, ok := d.Record(sent+delay, sent+ahead, atLeast)
		if ok != known || known && got != want {
			t.Errorf("sent after %v: delay %v, %v, want %v, %v", sent, got, ok, want, known)
		}
		if known && got < delay-slack {
			t.Errorf("sent after %v: delay %v, was %v", sent, got, delay)
		}
	}
	check(time.Second, 400*time.Millisecond, false, 0, false)
	check(2*time.Second, 400*time.Millisecond, true, 400*time.Millisecond+trip, true)
	check(3*time.Second, trip, true, 2*trip, true)
	check(4*time.Second, 5*time.Second, false, 5*time.Second+trip, true)
	for sent := 10 * time.Second; sent < 3*time.Minute; sent += time.Second {
		drift := sent / 10_000
		got, _ := d.Record(sent+trip, sent+ahead+drift, sent-trip)
		if got > 2*trip+slack || got < trip-slack {
			t.Errorf("sent after %v: delay %v, was %v", sent, got, trip)
		}
	}
}
