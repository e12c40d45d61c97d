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

// TestKeepersSettle lets many processes read a service that is stale, goes back
// and contradicts itself, and talk with each other in any order. No revision
// falls, and once all have talked with all, all have the same.
func TestKeepersSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keepers := make([]conf.Keeper, rapid.IntRange(2, 5).Draw(t, "processes"))
		highest := make([]uint64, len(keepers))
		talk := func(from, to int) {
			var digest uint64
			if cur := keepers[to].Current(); cur != nil {
				digest = cur.Digest
			}
			if raw := keepers[from].Newer(keepers[to].Current().Revision(), digest); raw != nil {
				keepers[to].Offer(raw)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(keepers)-1).Draw(t, "process")
			if rapid.Bool().Draw(t, "reads") {
				keepers[i].Offer(document(rapid.IntRange(1, 4).Draw(t, "revision"), rapid.IntRange(1, 3).Draw(t, "content")))
			} else {
				talk(rapid.IntRange(0, len(keepers)-1).Draw(t, "from"), i)
			}
			for k := range keepers {
				rev := keepers[k].Current().Revision()
				if rev < highest[k] {
					t.Fatalf("process %d went from revision %d back to %d", k, highest[k], rev)
				}
				highest[k] = rev
			}
		}
		for range 2 {
			for i := range keepers {
				for k := range keepers {
					talk(i, k)
				}
			}
		}
		for k := range keepers[1:] {
			a, b := keepers[0].Current(), keepers[k+1].Current()
			if (a == nil) != (b == nil) || a != nil && a.Digest != b.Digest {
				t.Fatalf("processes 0 and %d differ after all have talked", k+1)
			}
		}
	})
}
