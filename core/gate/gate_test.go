package gate_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
)

// TestColdEndpointIsNotOverrun checks over any schedule that nothing is started
// above the cold limit while the endpoint is cold and has said so at least once
// since, and never above the warm limit.
func TestColdEndpointIsNotOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, cold = 6, 1
		now := time.Unix(1000, 0)
		g := gate.New(gate.Settings{Max: most, ColdLimit: cold}, now)
		predecessor := rapid.IntRange(0, 3).Draw(t, "predecessor")
		running := map[runs.ID]time.Time{}
		isCold, told := true, false
		seq := uint64(0)
		check := func(started int) {
			total := len(running) + predecessor
			if started > 0 && isCold && told && total > max(cold, predecessor) {
				t.Fatalf("started to %d at a time on a cold endpoint that bears %d", total, cold)
			}
			if started > 0 && total > most {
				t.Fatalf("started to %d at a time on an endpoint that bears %d", total, most)
			}
		}
		apply := func(fx gate.Effects) {
			for _, id := range fx.Started {
				running[id] = now
			}
			check(len(fx.Started))
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				apply(g.Tick(now))
			},
			"offer": func(*rapid.T) {
				seq++
				id := runs.ID{Entry: 1, Seq: seq}
				if d := g.Offer(now, gate.Work{ID: id, Budget: 10 * time.Second}); d.Verdict == gate.Start {
					running[id] = now
					check(1)
				}
			},
			"finish": func(t *rapid.T) {
				for id, since := range running {
					delete(running, id)
					now = now.Add(time.Millisecond)
					apply(g.Finish(now, id, gate.Sample{Service: now.Sub(since), Units: 1, OK: rapid.Bool().Draw(t, "ok")}))
					return
				}
			},
			"predecessor ends": func(*rapid.T) { predecessor = max(predecessor-1, 0) },
			"report": func(*rapid.T) {
				now = now.Add(time.Millisecond)
				told = told || isCold
				apply(g.Observe(now, gate.Report{Running: len(running) + predecessor, Cold: isCold, At: now}))
			},
			"warms": func(*rapid.T) { isCold, told = false, false },
			"cools": func(*rapid.T) { isCold, told = true, false },
		})
	})
}
