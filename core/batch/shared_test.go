package batch_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
)

var (
	simService = &fleet.Service{Name: "encode", Batch: &fleet.Batch{Slots: 1, MaxItems: 8, CallOverhead: 150 * time.Millisecond, ItemTime: 10 * time.Millisecond}}
	simPool    = batch.Pool{Service: simService.Name}
	simStart   = time.UnixMilli(1_700_000_000_000)
)

// sim plays the load of one pool in steps of a millisecond.
type sim struct {
	sched     batch.Scheduler
	share     bool
	group     int // items that arrive together; 0: 1
	endpoints []*fleet.Endpoint
	now       time.Time
	rand      *rand.Rand
	running   []*batch.Call
	items     int // queued so far
	calls     int
	small     int            // calls with a quarter of the items or fewer
	done      int            // items with results
	waited    time.Duration  // of all items with results, from being queued
	asked     map[string]int // items by team, in the time that is measured
	got       map[string]int // those with results
}

func newSim(endpoints int, share bool) *sim {
	s := &sim{
		share: share, now: simStart, rand: rand.New(rand.NewPCG(1, 2)),
		asked: make(map[string]int), got: make(map[string]int),
	}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: simService.Name, State: fleet.StateReady})
	}
	return s
}

// room returns the items per second that the endpoints run in full calls.
func (s *sim) room() float64 {
	return float64(len(s.endpoints)*simService.Batch.MaxItems) / batch.FullCallTime(simService.Batch).Seconds()
}

func (s *sim) add(team string, n int, due time.Duration) {
	for range n {
		s.items++
		s.asked[team]++
		s.sched.Add(simPool, &batch.Item{
			Request: fmt.Sprint(s.items), Team: team, EnqueuedAt: s.now, Due: s.now.Add(due), StartBy: s.now.Add(due), Deadline: s.now.Add(due),
		})
	}
}

// run plays a time in which items arrive at random. rates has the rate of each team,
// relative to the room of the endpoints.
func (s *sim) run(d time.Duration, rates map[string]float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.running = slices.DeleteFunc(s.running, func(c *batch.Call) bool {
			took := simService.Batch.CallOverhead + time.Duration(len(c.Items))*simService.Batch.ItemTime
			if s.now.Sub(c.StartedAt) < took {
				return false
			}
			for _, it := range c.Items {
				s.done++
				s.got[it.Team]++
				s.waited += s.now.Sub(it.EnqueuedAt)
			}
			s.sched.Finish(s.now, c, batch.Outcome{Refs: slices.Repeat([]string{"ref"}, len(c.Items))})
			return true
		})
		for _, team := range slices.Sorted(maps.Keys(rates)) {
			group := max(1, s.group)
			for arriving := rates[team] * s.room() / 1000 / float64(group); s.rand.Float64() < arriving; arriving-- {
				s.add(team, group, 2*time.Second)
			}
		}
		s.sched.RemoveExpired(s.now)
		s.sched.Share(simPool, s.share)
		for c := s.sched.Next(s.now, simService, simPool, s.endpoints); c != nil; c = s.sched.Next(s.now, simService, simPool, s.endpoints) {
			s.calls++
			if len(c.Items) <= simService.Batch.MaxItems/4 {
				s.small++
			}
			s.running = append(s.running, c)
		}
	}
}

// measure forgets the counts by team, plays a time and returns the part of what each
// team asked for that it got, and what it got relative to the room.
func (s *sim) measure(d time.Duration, rates map[string]float64) (part, used map[string]float64) {
	clear(s.asked)
	clear(s.got)
	s.run(d, rates)
	part, used = make(map[string]float64), make(map[string]float64)
	for team, n := range s.asked {
		part[team] = float64(s.got[team]) / float64(n)
		used[team] = float64(s.got[team]) / s.room() / d.Seconds()
	}
	return part, used
}

// loads are the loads that decisions of a shared pool answer. Each returns an error if
// the load isn't answered as it should be.
var loads = map[string]func(share bool) error{
	// All endpoints become free at once. The first one takes all queued items, and the
	// others run almost empty calls, again and again.
	"calls_end_together": func(share bool) error {
		s := newSim(8, share)
		s.add("", 8*len(s.endpoints), 2*time.Second)
		s.run(60*time.Second, map[string]float64{"": 0.9})
		if wait := s.waited / time.Duration(s.done); s.small*20 > s.calls || wait > 275*time.Millisecond {
			return fmt.Errorf("%d small calls of %d and a wait of %v, want at most a twentieth and 275 ms", s.small, s.calls, wait)
		}
		return nil
	},
	// The demand of a team grows sixfold within a moment, in a pool that was not crowded.
	"one_team_surges": func(share bool) error {
		s := newSim(8, share)
		rates := map[string]float64{"a": 0.2, "b": 0.2, "c": 0.2, "d": 0.2}
		s.run(5*time.Second, rates)
		rates["a"] = 1.2
		part, _ := s.measure(5*time.Second, rates)
		return checkParts(part, "b", "c", "d")
	},
	// Demand is twice the room, most of it that of two teams.
	"noisy_neighbour": func(share bool) error {
		s := newSim(8, share)
		rates := map[string]float64{"small": 0.1, "medium": 0.2, "large": 0.7, "larger": 1}
		s.run(5*time.Second, rates)
		part, used := s.measure(20*time.Second, rates)
		if d := used["large"] / used["larger"]; d < 0.9 || d > 1.1 || used["large"]+used["larger"] < 0.6 {
			return fmt.Errorf("large teams got %.3f and %.3f of the room, want equal parts of 0.7", used["large"], used["larger"])
		}
		return checkParts(part, "small", "medium")
	},
	// All items are submitted again to an owner that has counted and measured nothing.
	"owner_restarts": func(share bool) error {
		s := newSim(8, share)
		rates := map[string]float64{"small": 0.1, "medium": 0.2, "large": 0.7, "larger": 1}
		s.run(5*time.Second, rates)
		items := s.sched.RemovePool(simPool)
		for _, c := range s.running {
			items = append(items, c.Items...)
		}
		s.sched, s.running = batch.Scheduler{}, nil
		s.sched.Share(simPool, share)
		s.sched.Add(simPool, items...)
		if r := s.sched.Report(s.now, simPool); r.Delay != 0 || len(r.OverShare) > 0 {
			return fmt.Errorf("report %+v of an owner that has just started", r)
		}
		part, _ := s.measure(4*time.Second, rates)
		return checkParts(part, "small", "medium")
	},
}

// checkParts checks that teams got what they asked for.
func checkParts(part map[string]float64, teams ...string) error {
	for _, team := range teams {
		if part[team] < 0.95 {
			return fmt.Errorf("team %s got %.3f of what it asked for, want 0.95", team, part[team])
		}
	}
	return nil
}

// TestLoads guards against each load with the decisions of shared pools, and checks
// that the load does harm without them.
func TestLoads(t *testing.T) {
	for name, play := range loads {
		t.Run(name, func(t *testing.T) {
			if err := play(true); err != nil {
				t.Error(err)
			}
			if err := play(false); err == nil {
				t.Error("no error in a pool that isn't shared")
			} else {
				t.Log("not shared:", err)
			}
		})
	}
}

// TestHeldCall guards against a call that is held back although an item would miss
// its due time, or that nobody starts afterwards.
func TestHeldCall(t *testing.T) {
	s := newSim(4, true)
	s.add("", 8*3, time.Second)
	s.run(time.Millisecond, nil)
	s.add("", 1, time.Second)
	s.run(time.Millisecond, nil)
	if want := simStart.Add(batch.FullCallTime(simService.Batch) / 4); s.calls != 3 || !s.sched.NextStart().Equal(want) {
		t.Errorf("%d calls, next start %v, want 3 and %v", s.calls, s.sched.NextStart(), want)
	}
	s.add("", 1, 180*time.Millisecond)
	s.run(time.Millisecond, nil)
	if s.calls != 4 || !s.sched.NextStart().IsZero() {
		t.Errorf("%d calls, next start %v, want 4 and none", s.calls, s.sched.NextStart())
	}
}

// TestReport guards against a delay that isn't that of the items or is used for too
// long, and against a team that is told as over its share long after the surge.
func TestReport(t *testing.T) {
	s := newSim(4, true)
	s.run(3*time.Second, map[string]float64{"a": 1.6, "b": 0.1})
	r := s.sched.Report(s.now, simPool)
	if r.Delay < 200*time.Millisecond || r.Delay > 600*time.Millisecond || !slices.Equal(r.OverShare, []string{"a"}) {
		t.Errorf("report %+v, want a delay of 200 to 600 ms and team a over its share", r)
	}
	for _, r := range []batch.Report{r.After(time.Second), s.sched.Report(s.now.Add(time.Second), simPool)} {
		if r.Delay != 0 || r.OverShare != nil {
			t.Errorf("report %+v after a second, want neither delay nor teams", r)
		}
	}
}

// manyTeams returns a crowded pool with items of n teams, 20 of which are large.
func manyTeams(n int) *sim {
	s := newSim(20, true)
	rates := make(map[string]float64)
	for i := range n {
		rates[fmt.Sprint("team", i)] = 0.001
	}
	for i := range 20 {
		rates[fmt.Sprint("team", i)] = 0.1
	}
	s.run(2*time.Second, rates)
	return s
}

// isOverShare is the check of a team as a relay makes it by the report of a pool.
func (s *sim) isOverShare(team string) bool {
	return slices.Contains(s.sched.Report(s.now, simPool).OverShare, team)
}

// TestManyTeams guards against a report or a check whose cost grows with the number of
// teams.
func TestManyTeams(t *testing.T) {
	s := manyTeams(300)
	if n := len(s.sched.Report(s.now, simPool).OverShare); n < 8 || n > 16 {
		t.Errorf("%d teams over their share are told, want 8 to 16", n)
	}
	if s.isOverShare("team299") {
		t.Error("a small team is told as over its share")
	}
	if n := testing.AllocsPerRun(100, func() { s.isOverShare("team299") }); n > 0 {
		t.Errorf("%v allocations, want none", n)
	}
}

func BenchmarkOverShare(b *testing.B) {
	s := manyTeams(64)
	for b.Loop() {
		s.isOverShare("team63")
	}
}
