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

// TestStreamsWhileEndpointsComeBack guards against streams that go on at another version
// after a loss of all relays because endpoints came back under their IDs with another
// version, and the first write that the store took from them wasn't their first one.
func TestStreamsWhileEndpointsComeBack(t *testing.T) {
	for name, seq := range map[string]int64{"first write": 1, "second write": 2, "third write": 3} {
		t.Run(name, func(t *testing.T) {
			known, wrong := 0, 0
			for seed := range uint64(20) {
				m := &listModel{
					rng: rand.New(rand.NewPCG(seed, 6)), now: start,
					live: make(map[string]*fleet.Endpoint), created: make(map[string]int64),
				}
				for i := range 12 {
					m.start(fmt.Sprint("v", i%2))
				}
				m.now = start.Add(40 * time.Second)
				var before, after origin.Versions
				before.Observe(m.now, m.seenAt(m.now))
				beganAt := m.now
				m.now = m.now.Add(time.Second)
				for _, id := range slices.Sorted(maps.Keys(m.live)) {
					old := m.live[id]
					if old.Version != "v0" || id == "e1" {
						continue // one stays, so that the version is known
					}
					again := *old
					again.Version, again.Seq, again.StartUnixMs = "v1", seq, m.now.Add(-500*time.Millisecond).UnixMilli()
					m.write(id, &again)
				}
				m.now = m.now.Add(time.Second)
				after.Observe(m.now, m.seenAt(m.now))
				after.Recall(m.history(20 * time.Second))
				for i := range 50 {
					stream := fmt.Sprint(seed, "/", i)
					version, _ := before.Choose("s", stream)
					got, ok := conclude(&after, m.now, streamOfAge(m.now, stream, m.now.Sub(beganAt)))
					if ok {
						known++
					}
					if ok && got != version {
						wrong++
					}
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d streams go on at another version, of 1000", wrong, known)
			}
		})
	}
}
