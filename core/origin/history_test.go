package origin_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
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

// TestStreamsWhileEndpointsRegisterLate guards against streams that go on at another version
// after a loss of all relays because endpoints registered 2 s after their start, by times of
// day that are 3 s behind that of the relay: the list changed later than it seems.
func TestStreamsWhileEndpointsRegisterLate(t *testing.T) {
	const late, behind = 2 * time.Second, 3 * time.Second
	known, unknown := 0, 0
	for seed := range uint64(100) {
		m := &listModel{
			rng: rand.New(rand.NewPCG(seed, 5)), now: start,
			live: make(map[string]*fleet.Endpoint), created: make(map[string]int64),
		}
		for i := range 12 {
			m.start(fmt.Sprint("v", i%2))
		}
		m.now = start.Add(40 * time.Second)
		for _, n := range m.rng.Perm(12)[:4] {
			m.drain(m.live[fmt.Sprint("e", n+1)])
			m.now = m.now.Add(500 * time.Millisecond)
			m.startLate("v1", late+behind)
			m.now = m.now.Add(500 * time.Millisecond)
		}
		var after origin.Versions
		began := make(map[string]string)
		beganAt := make(map[string]time.Time)
		for i := range 50 {
			var before origin.Versions
			stream := fmt.Sprint(seed, "/", i)
			beganAt[stream] = m.now.Add(-time.Duration(m.rng.Int64N(int64(4 * time.Second))))
			before.Observe(beganAt[stream], m.seenAt(beganAt[stream].Add(-2900*time.Millisecond)))
			began[stream], _ = before.Choose("s", stream)
		}
		m.now = m.now.Add(4 * time.Second)
		after.Observe(m.now, m.seenAt(m.now))
		after.Recall(m.history(15 * time.Second))
		for _, stream := range slices.Sorted(maps.Keys(began)) {
			got, ok := conclude(&after, m.now, streamOfAge(m.now, stream, m.now.Sub(beganAt[stream])))
			switch {
			case ok && got != began[stream]:
				t.Fatalf("seed %d: stream %s began at %s and goes on at %s", seed, stream, began[stream], got)
			case ok:
				known++
			default:
				unknown++
			}
		}
	}
	t.Logf("%d streams known, %d unknown", known, unknown)
}

// TestColdEndpointsThatDrain guards against streams that go on at another version after a
// loss of all relays, because an endpoint that had drained before the period of the history
// wrote again while it was cold.
func TestColdEndpointsThatDrain(t *testing.T) {
	const changes = "+f:v2:2s -c:v2:1m:40"
	h := historyOf(t, "a:v1:1m e:v2:1m", changes)
	h.Changes[1].Endpoint.ColdUntil = start.Add(time.Second)
	var before, after origin.Versions
	before.Observe(start.Add(-5*time.Second), viewOf(t, "a:v1:1m e:v2:1m -c:v2:1m"))
	after.Observe(start, viewOf(t, "a:v1:1m e:v2:1m f:v2:2s -c:v2:1m:40"))
	after.Recall(h)
	for i := range 100 {
		stream := fmt.Sprint(i)
		version, _ := before.Choose("s", stream)
		if got, ok := conclude(&after, start, streamOfAge(start, stream, streamAge)); ok && got != version {
			t.Fatalf("stream %s began at %s and goes on at %s", stream, version, got)
		}
	}
}
