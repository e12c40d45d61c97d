package conf_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"wigeonplank.example/core/conf"
)

func document(revision, weight int) []byte {
	return fmt.Appendf(nil, `
revision: %d
zones: [{name: z, state: serving}]
teams: [{name: t, weight: %d}]
classes: [{name: c, priority: 0}]
pipelines:
  - {name: p, deadline: 1s, stages: [{name: s, kind: encoding, idempotent: true, selectors: [{match: {a: b}}]}]}
`, revision, weight)
}

// TestTrackersConverge offers documents to several processes as from a
// configuration service that returns old revisions and different contents of
// one revision, and lets the processes exchange documents in any order. The
// revision of a process must never decrease. Once every pair of processes has
// exchanged documents, all must have the same one.
func TestTrackersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := make([]conf.Tracker, rapid.IntRange(2, 5).Draw(t, "processes"))
		highest := make([]uint64, len(trackers))
		exchange := func(from, to int) {
			var digest uint64
			if cur := trackers[to].Current(); cur != nil {
				digest = cur.Digest
			}
			if raw := trackers[from].NewerThan(trackers[to].Current().Revision(), digest); raw != nil {
				trackers[to].Offer(raw)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(trackers)-1).Draw(t, "process")
			if rapid.Bool().Draw(t, "reads") {
				trackers[i].Offer(document(rapid.IntRange(1, 4).Draw(t, "revision"), rapid.IntRange(1, 3).Draw(t, "content")))
			} else {
				exchange(rapid.IntRange(0, len(trackers)-1).Draw(t, "from"), i)
			}
			for k := range trackers {
				rev := trackers[k].Current().Revision()
				if rev < highest[k] {
					t.Fatalf("process %d: revision decreased from %d to %d", k, highest[k], rev)
				}
				highest[k] = rev
			}
		}
		// Two rounds, so that every document reaches every process.
		for range 2 {
			for i := range trackers {
				for k := range trackers {
					exchange(i, k)
				}
			}
		}
		for k := range trackers[1:] {
			a, b := trackers[0].Current(), trackers[k+1].Current()
			if (a == nil) != (b == nil) || a != nil && a.Digest != b.Digest {
				t.Fatalf("processes 0 and %d have different documents after all have exchanged theirs", k+1)
			}
		}
	})
}
