package gate_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
)

// TestColdEndpointIsNotOverrun checks random schedules. No work starts above the
// cold limit once the endpoint has reported that it is cold, and none ever
// starts above the warm limit. Work of a previous agent process occupies slots.
func TestColdEndpointIsNotOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const warmLimit, coldLimit = 6, 1
		now := time.Unix(1000, 0)
		g := gate.New(gate.Settings{WarmLimit: warmLimit, ColdLimit: coldLimit}, now)
		orphaned := rapid.IntRange(0, 3).Draw(t, "orphaned")
		running := map[runs.ID]time.Time{}
		cold, coldReported := true, false
		seq := uint64(0)
		check := func(started int) {
			total := len(running) + orphaned
			if started > 0 && cold && coldReported && total > max(coldLimit, orphaned) {
				t.Fatalf("started work while cold: %d in flight, limit is %d", total, coldLimit)
			}
			if started > 0 && total > warmLimit {
				t.Fatalf("started work: %d in flight, limit is %d", total, warmLimit)
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
				if d := g.Submit(now, gate.Work{ID: id, Budget: 10 * time.Second}); d.Verdict == gate.VerdictStart {
					running[id] = now
					check(1)
				}
			},
			"finish": func(t *rapid.T) {
				for id, startedAt := range running {
					delete(running, id)
					now = now.Add(time.Millisecond)
					apply(g.Finish(now, id, gate.Completion{ServiceTime: now.Sub(startedAt), Units: 1, OK: rapid.Bool().Draw(t, "ok")}))
					return
				}
			},
			"predecessor ends": func(*rapid.T) { orphaned = max(orphaned-1, 0) },
			"report": func(*rapid.T) {
				now = now.Add(time.Millisecond)
				coldReported = coldReported || cold
				apply(g.Observe(now, gate.LoadReport{Running: len(running) + orphaned, Cold: cold, At: now}))
			},
			"warms": func(*rapid.T) { cold, coldReported = false, false },
			"cools": func(*rapid.T) { cold, coldReported = true, false },
		})
	})
}

// TestLoweredLimitIsReported guards against refusals for lack of room that nobody can
// explain afterwards, because nothing tells when and why the limit was lowered.
func TestLoweredLimitIsReported(t *testing.T) {
	now := time.Unix(1000, 0)
	var got []string
	g := gate.New(gate.Settings{WarmLimit: 4}, now)
	g.OnLowered = func(reason gate.LowerReason, from, to int) { got = append(got, fmt.Sprint(reason, " ", from, " ", to)) }
	warm := func() { g.Observe(now, gate.LoadReport{At: now}) }
	run := func(seq uint64, took time.Duration, ok bool) {
		id := runs.ID{Entry: 1, Seq: seq}
		if d := g.Submit(now, gate.Work{ID: id, Budget: time.Minute}); d.Verdict != gate.VerdictStart {
			t.Fatalf("work %d: %+v", seq, d)
		}
		now = now.Add(took)
		g.Finish(now, id, gate.Completion{ServiceTime: took, Units: 1, OK: ok})
	}
	warm()
	for seq := range uint64(3) { // the limit grows while it is used up
		run(seq, 100*time.Millisecond, true)
	}
	run(10, time.Millisecond, false)
	run(11, time.Second, true)
	now = now.Add(time.Millisecond)
	warm()
	run(12, 100*time.Millisecond, true)
	g.Observe(now, gate.LoadReport{At: now, Cold: true})
	// The slow work 11 ran at a limit of 1, which can't be lowered.
	if want := []string{"failed 3 1", "cold 2 1"}; !slices.Equal(got, want) {
		t.Errorf("reported %q, want %q", got, want)
	}
}
