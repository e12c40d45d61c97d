package route_test

import (
	"errors"
	"fmt"
	"testing"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/route"
)

// fleet returns a table of n endpoints over four zones that all carry one
// stage, ready and idle.
func fleet(tb testing.TB, n int, change func(*roster.Instance)) (*route.Table, *route.Loads) {
	tb.Helper()
	raw := []byte(`
revision: 1
zones:
  - {name: z0, state: serving}
  - {name: z1, state: serving}
  - {name: z2, state: serving}
  - {name: z3, state: drained}
teams: [{name: t, weight: 1}, {name: vip, weight: 1}]
classes: [{name: c, priority: 0}]
pipelines:
  - name: p
    deadline: 1s
    stages:
      - name: s
        kind: encoding
        idempotent: true
        selectors:
          - {match: {role: any}}
          - {match: {role: vip}, teams: [vip]}
`)
	doc, err := conf.Parse(raw)
	if err != nil {
		tb.Fatal(err)
	}
	loads := &route.Loads{}
	members := make([]roster.Instance, n)
	for i := range members {
		m := roster.Instance{
			ID:     fmt.Sprintf("i%05d", i),
			Zone:   fmt.Sprintf("z%d", i%4),
			State:  roster.StateLive,
			Labels: map[string]string{"role": "any"},
		}
		if change != nil {
			change(&m)
		}
		members[i] = m
		l := loads.Of(m.ID)
		l.Link(true, 1)
		l.Observe(route.Report{Limit: 4})
	}
	return route.NewTable(&conf.Accepted{Doc: doc, Raw: raw}, members, "z0", loads), loads
}

func picks(t *testing.T, tab *route.Table, r *route.Router, c route.Choice, n int) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		e, err := r.Pick(tab.Pipeline("p").Stages[0], c)
		if err != nil {
			t.Fatal(err)
		}
		got[e.Instance.ID]++
	}
	return got
}

func TestNoPolicyChoosesDrainedOrLeaving(t *testing.T) {
	tab, _ := fleet(t, 16, func(m *roster.Instance) {
		if m.ID == "i00001" {
			m.State = roster.StateLeaving
		}
	})
	for _, p := range []route.Policy{route.PolicyRoom, route.PolicyRoundRobin, route.PolicyRandomTwo, route.PolicyLeastOutstanding} {
		for id := range picks(t, tab, &route.Router{Policy: p}, route.Choice{Team: "t"}, 500) {
			if e := tab.Endpoint(id); e.Instance.Zone == "z3" || e.Instance.State == roster.StateLeaving {
				t.Errorf("policy %s chose %s in %s, %s", p, id, e.Instance.Zone, e.Instance.State)
			}
		}
	}
}

func TestOwnZoneFirstWhileItHasRoom(t *testing.T) {
	tab, loads := fleet(t, 8, nil)
	for id := range picks(t, tab, &route.Router{}, route.Choice{Team: "t"}, 200) {
		if tab.Endpoint(id).Instance.Zone != "z0" {
			t.Fatalf("chose %s outside the own zone, which has room", id)
		}
	}
	for _, id := range []string{"i00000", "i00004"} {
		loads.Of(id).Observe(route.Report{Limit: 4, Busy: 4})
	}
	for id := range picks(t, tab, &route.Router{}, route.Choice{Team: "t"}, 200) {
		if tab.Endpoint(id).Instance.Zone == "z0" {
			t.Fatalf("chose %s in the own zone, which is full", id)
		}
	}
}

func TestSelectorsOfTeams(t *testing.T) {
	tab, _ := fleet(t, 4, func(m *roster.Instance) {
		if m.ID == "i00000" {
			m.Labels = map[string]string{"role": "vip"}
		}
	})
	if got := picks(t, tab, &route.Router{}, route.Choice{Team: "t"}, 200); got["i00000"] > 0 {
		t.Errorf("an endpoint for team vip carries work of team t: %v", got)
	}
	if got := picks(t, tab, &route.Router{}, route.Choice{Team: "vip"}, 200); got["i00000"] == 0 {
		t.Errorf("an endpoint for team vip carries none of its work: %v", got)
	}
}

func TestReasonsForHavingNone(t *testing.T) {
	tab, loads := fleet(t, 4, nil)
	s := tab.Pipeline("p").Stages[0]
	expect := func(want route.Reason) {
		t.Helper()
		_, err := (&route.Router{}).Pick(s, route.Choice{Team: "t"})
		var none *route.NoEndpointError
		if !errors.As(err, &none) || none.Reason != want || none.RetryAfter <= 0 {
			t.Fatalf("got %v, expected %s with a time to come back", err, want)
		}
	}
	for _, id := range []string{"i00000", "i00001", "i00002"} {
		loads.Of(id).Observe(route.Report{Limit: 4, Busy: 8})
	}
	expect(route.ReasonNoRoom)
	for _, id := range []string{"i00000", "i00001", "i00002"} {
		loads.Of(id).Link(false, 0)
	}
	expect(route.ReasonNoneReady)
	tab, _ = fleet(t, 4, func(m *roster.Instance) { m.State = roster.StateLeaving })
	s = tab.Pipeline("p").Stages[0]
	expect(route.ReasonNoneSelected)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{30, 1000, 12000} {
		for _, state := range []string{"idle", "full"} {
			b.Run(fmt.Sprintf("%s/%d", state, n), func(b *testing.B) {
				tab, loads := fleet(b, n, nil)
				if state == "full" {
					for _, e := range tab.Endpoints {
						loads.Of(e.Instance.ID).Observe(route.Report{Limit: 4, Busy: 5})
					}
				}
				s := tab.Pipeline("p").Stages[0]
				r := &route.Router{}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := r.Pick(s, route.Choice{Team: "t"}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{30, 1000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab, loads := fleet(b, n, nil)
			members := make([]roster.Instance, 0, n)
			for _, e := range tab.Endpoints {
				members = append(members, e.Instance)
			}
			b.ReportAllocs()
			for b.Loop() {
				route.NewTable(tab.Accepted, members, "z0", loads)
			}
		})
	}
}
