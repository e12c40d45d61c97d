package share_test

import (
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/share"
)

const ms = time.Millisecond

func route(name string, urgency int, objective time.Duration, services ...string) *fleet.Route {
	r := &fleet.Route{Name: name, Priority: urgency, LatencyObjective: objective}
	for _, s := range services {
		r.Stages = append(r.Stages, fleet.Stage{Service: s})
	}
	return r
}

func objective(r *fleet.Route) time.Duration { return r.LatencyObjective }

// TestLimit guards the choice of the routes that limit a request.
func TestLimit(t *testing.T) {
	urgent := route("urgent", 0, 1000*ms, "embed")
	bulk := route("bulk", 2, 3000*ms, "embed", "rank")
	apart := route("apart", 1, 200*ms, "other")
	none := route("none", 0, 0, "rank")
	later := route("later", 3, 500*ms, "rank")
	l := share.NewLimits([]*fleet.Route{later, none, apart, bulk, urgent})
	for _, c := range []struct {
		route   *fleet.Route
		urgency int
		want    *fleet.Route
	}{
		{urgent, 0, urgent}, {bulk, 2, urgent}, {bulk, 3, later}, {apart, 1, apart}, {none, 0, nil}, {none, 3, later}, {later, 3, later},
	} {
		limit, by, ok := l.Limit(c.route, c.urgency, objective)
		if by != c.want || ok != (by != nil) || (ok && limit != by.LatencyObjective) {
			t.Errorf("limit of %s with urgency %d: %v by %v, want that of %v", c.route.Name, c.urgency, limit, by, c.want)
		}
	}
}

// TestUrgentBehindBulk guards against a bulk route with a long objective that fills a pool
// until a more urgent route with a short one is rejected.
func TestUrgentBehindBulk(t *testing.T) {
	urgent, bulk := route("urgent", 1, 1500*ms, "embed"), route("bulk", 2, 3000*ms, "embed")
	l := share.NewLimits([]*fleet.Route{urgent, bulk})
	const perItem, idle = 10 * ms, 200 * ms
	queue := make([]*fleet.Route, 0, 500)
	rejected := make(map[*fleet.Route]int)
	for tick := range 2000 { // each takes perItem; one request of each route arrives, which is twice what the pool can do
		arrivals := []*fleet.Route{bulk, urgent}
		if tick%4 >= 2 {
			slices.Reverse(arrivals)
		}
		for _, r := range arrivals {
			limit, _, _ := l.Limit(r, r.Priority, objective)
			a := share.Admission{Estimate: idle + time.Duration(len(queue))*perItem, Idle: idle, Slack: r.LatencyObjective, Limit: limit}
			if ok, _ := a.Decide(); ok {
				queue = append(queue, r)
			} else if tick >= 1000 {
				rejected[r]++
			}
		}
		if len(queue) > 0 {
			queue = queue[1:]
		}
	}
	if rejected[urgent] > rejected[bulk]*11/10 {
		t.Errorf("%d urgent requests rejected, %d of bulk", rejected[urgent], rejected[bulk])
	}
}
