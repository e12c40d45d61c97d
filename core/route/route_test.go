package route_test

import (
	"errors"
	"fmt"
	"testing"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/route"
)

// newTestTable returns a table of n ready, idle endpoints, spread over the serving
// zones z0 to z2 and the drained zone z3. Its pipeline p has one stage; the entry
// is in z0. modify, if not nil, may change each instance before the table is built.
func newTestTable(tb testing.TB, n int, modify func(*roster.Instance)) (*route.Table, *route.Loads) {
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
		if modify != nil {
			modify(&m)
		}
		members[i] = m
		l := loads.Get(m.ID)
		l.SetLink(true, 1)
		l.Observe(route.Report{Limit: 4})
	}
	return route.NewTable(&conf.Accepted{Doc: doc, Raw: raw}, members, "z0", loads), loads
}

// countPicks picks an endpoint n times and returns the number of picks by instance
// ID. It fails the test if a pick returns an error.
func countPicks(t *testing.T, tab *route.Table, r *route.Router, opts route.PickOptions, n int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range n {
		e, err := r.Pick(tab.Pipeline("p").Stages[0], opts)
		if err != nil {
			t.Fatal(err)
		}
		counts[e.Instance.ID]++
	}
	return counts
}

// TestNoPolicyChoosesDrainedOrLeaving checks that no policy returns an endpoint in a
// drained zone or of a leaving instance.
func TestNoPolicyChoosesDrainedOrLeaving(t *testing.T) {
	tab, _ := newTestTable(t, 16, func(m *roster.Instance) {
		if m.ID == "i00001" {
			m.State = roster.StateLeaving
		}
	})
	for _, p := range []route.Policy{route.PolicyCapacity, route.PolicyRoundRobin, route.PolicyRandomTwo, route.PolicyLeastOutstanding} {
		for id := range countPicks(t, tab, &route.Router{Policy: p}, route.PickOptions{Team: "t"}, 500) {
			if e := tab.Endpoint(id); e.Instance.Zone == "z3" || e.Instance.State == roster.StateLeaving {
				t.Errorf("policy %s chose %s in zone %s, state %s", p, id, e.Instance.Zone, e.Instance.State)
			}
		}
	}
}

// TestOwnZoneFirstWhileItHasCapacity checks that work stays in the entry's own zone
// until its endpoints are full, and then goes to other zones.
func TestOwnZoneFirstWhileItHasCapacity(t *testing.T) {
	tab, loads := newTestTable(t, 8, nil)
	for id := range countPicks(t, tab, &route.Router{}, route.PickOptions{Team: "t"}, 200) {
		if tab.Endpoint(id).Instance.Zone != "z0" {
			t.Fatalf("chose %s outside the entry's own zone, which has free capacity", id)
		}
	}
	for _, id := range []string{"i00000", "i00004"} {
		loads.Get(id).Observe(route.Report{Limit: 4, Busy: 4})
	}
	for id := range countPicks(t, tab, &route.Router{}, route.PickOptions{Team: "t"}, 200) {
		if tab.Endpoint(id).Instance.Zone == "z0" {
			t.Fatalf("chose %s in the entry's own zone, which is full", id)
		}
	}
}

// TestTeamSelectors checks that a selector that names a team admits that team and no
// other.
func TestTeamSelectors(t *testing.T) {
	tab, _ := newTestTable(t, 4, func(m *roster.Instance) {
		if m.ID == "i00000" {
			m.Labels = map[string]string{"role": "vip"}
		}
	})
	if got := countPicks(t, tab, &route.Router{}, route.PickOptions{Team: "t"}, 200); got["i00000"] > 0 {
		t.Errorf("the endpoint for team vip was chosen for team t: %v", got)
	}
	if got := countPicks(t, tab, &route.Router{}, route.PickOptions{Team: "vip"}, 200); got["i00000"] == 0 {
		t.Errorf("the endpoint for team vip was never chosen for it: %v", got)
	}
}

// TestNoEndpointReasons checks the reason and the retry delay when all endpoints are
// full, have no link, or belong to leaving instances.
func TestNoEndpointReasons(t *testing.T) {
	tab, loads := newTestTable(t, 4, nil)
	s := tab.Pipeline("p").Stages[0]
	expect := func(want route.Reason) {
		t.Helper()
		_, err := (&route.Router{}).Pick(s, route.PickOptions{Team: "t"})
		var none *route.NoEndpointError
		if !errors.As(err, &none) || none.Reason != want || none.RetryAfter <= 0 {
			t.Fatalf("got %v, want reason %s with a retry delay", err, want)
		}
	}
	for _, id := range []string{"i00000", "i00001", "i00002"} {
		loads.Get(id).Observe(route.Report{Limit: 4, Busy: 8})
	}
	expect(route.ReasonNoCapacity)
	for _, id := range []string{"i00000", "i00001", "i00002"} {
		loads.Get(id).SetLink(false, 0)
	}
	expect(route.ReasonNoneReady)
	tab, _ = newTestTable(t, 4, func(m *roster.Instance) { m.State = roster.StateLeaving })
	s = tab.Pipeline("p").Stages[0]
	expect(route.ReasonNoneSelected)
}

// BenchmarkPick measures one pick among endpoints that are all idle, or all full
// with free places in the agents' queues.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{30, 1000, 12000} {
		for _, state := range []string{"idle", "full"} {
			b.Run(fmt.Sprintf("%s/%d", state, n), func(b *testing.B) {
				tab, loads := newTestTable(b, n, nil)
				if state == "full" {
					for _, e := range tab.Endpoints {
						loads.Get(e.Instance.ID).Observe(route.Report{Limit: 4, Busy: 5})
					}
				}
				s := tab.Pipeline("p").Stages[0]
				r := &route.Router{}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := r.Pick(s, route.PickOptions{Team: "t"}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkTable measures building a table.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{30, 1000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab, loads := newTestTable(b, n, nil)
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
