package origin_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

// TestStreamsOfALateView guards against streams that began at a relay with an old view and,
// after a loss of all relays, go on at another version than they began at.
func TestStreamsOfALateView(t *testing.T) {
	const streams = 20
	began, known := 0, 0
	for late := time.Duration(0); late <= 14*time.Second; late += time.Second {
		for seed := range uint64(8) {
			m := &listModel{
				rng: rand.New(rand.NewPCG(seed, 5)), now: start,
				live: make(map[string]*fleet.Endpoint), created: make(map[string]int64),
			}
			former := 6
			for range former {
				m.start("v1")
			}
			for range 2 {
				m.start("v2")
			}
			m.now = start.Add(30 * time.Second)
			releasedAt := m.now
			for _, count := range []int{2, 1, 7} { // of endpoints of v1
				for ; former > count; former-- {
					m.leave(m.anyOf("v1"), false)
					m.start("v2")
				}
				for ; former < count; former++ {
					m.leave(m.anyOf("v2"), false)
					m.start("v1")
				}
				m.now = m.now.Add(time.Second)
			}
			m.now = releasedAt.Add(10 * time.Second)
			var before, after origin.Versions
			before.Observe(m.now, m.seenAt(m.now.Add(-late)))
			if !origin.MayBegin(late, false) {
				continue
			}
			beganAt := m.now
			m.now = m.now.Add(time.Second)
			after.Observe(m.now, m.seenAt(m.now))
			after.Recall(m.history([]time.Duration{20 * time.Second, 12 * time.Second}[seed%2]))
			for i := range streams {
				stream := fmt.Sprint(seed, "/", i)
				version, _ := before.Choose("s", stream)
				began++
				c := after.Began(m.now, origin.Stream{Service: "s", ID: stream, Since: beganAt})
				got, ok := c.Version, c.Known()
				if ok && got != version {
					t.Errorf("view %v late, seed %d: stream %s began at %s and goes on at %s", late, seed, stream, version, got)
				}
				if ok {
					known++
				}
			}
		}
	}
	t.Logf("%d streams began, %d known", began, known)
	if began == 0 {
		t.Error("no stream began")
	}
}

// anyOf returns the ID of an endpoint of a version that accepts work.
func (m *listModel) anyOf(version string) string {
	for id, e := range m.live {
		if e.Version == version && e.State == fleet.StateReady {
			return id
		}
	}
	return ""
}
