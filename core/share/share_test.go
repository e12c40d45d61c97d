package share_test

import (
	"math/rand/v2"
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

// TestRisingDemand guards against admission by estimates that are too short while demand
// rises: they are made from loads that are 300 ms old.
func TestRisingDemand(t *testing.T) {
	const slack, perItem, idle, age = 1200 * ms, 10 * ms, 200 * ms, 300
	now := time.Unix(1000, 0)
	var h share.History
	type request struct{ estimate, actual, end time.Duration }
	var running []request
	var loads [6000]float64
	load, admitted, late := 0.0, 0, 0
	for tick := range 6000 { // milliseconds
		at := time.Duration(tick) * ms
		now = now.Add(ms)
		running = slices.DeleteFunc(running, func(r request) bool {
			if r.end > at {
				return false
			}
			h.RecordStages(now, r.estimate, r.actual)
			return true
		})
		load = max(0, load-0.1)
		loads[tick] = load
		if rate := 0.05 + 0.2*min(1, float64(tick)/1500); int(float64(tick)*rate) == int(float64(tick+1)*rate) {
			continue
		}
		estimate := idle + time.Duration(loads[max(0, tick-age)]*float64(perItem))
		a := share.Admission{Estimate: estimate, Idle: idle, Slack: slack, Limit: slack, Margin: h.Margin(now, slack)}
		if ok, _ := a.Decide(); !ok {
			continue
		}
		load++
		actual := idle + time.Duration(load*float64(perItem))
		running = append(running, request{estimate, actual, at + actual})
		admitted++
		if actual > slack {
			late++
		}
	}
	if late*10 > admitted {
		t.Errorf("%d of %d admitted requests late", late, admitted)
	}
}

// TestMargin guards the bounds of the margin, and its fall once estimates are right.
func TestMargin(t *testing.T) {
	now := time.Unix(1000, 0)
	var h share.History
	if m := h.Margin(now, 1000*ms); m != 0 {
		t.Errorf("margin without requests: %v", m)
	}
	for range 20 {
		h.RecordStages(now, 100*ms, 400*ms)
	}
	if m := h.Margin(now, 1000*ms); m != 300*ms {
		t.Errorf("margin %v, want 300ms", m)
	}
	if m := h.Margin(now, 400*ms); m != 200*ms {
		t.Errorf("margin %v, want half of the slack", m)
	}
	for range 6 {
		h.RecordStages(now.Add(1500*ms), 100*ms, 60*ms)
	}
	if m := h.Margin(now.Add(2000*ms), 1000*ms); m != 0 {
		t.Errorf("margin %v, want 0 once estimates are right for 2 s", m)
	}
}

// TestTail guards the fallback, the quantile and the bound of the time to the first event.
func TestTail(t *testing.T) {
	now := time.Unix(1000, 0)
	var h share.History
	for i := range 5 {
		if d := h.Tail(now, share.TailForDue, 1000*ms, 60*ms); d != 60*ms {
			t.Errorf("%v after %d requests, want the fallback", d, i)
		}
		h.RecordTail(now, time.Duration(i+1)*100*ms)
	}
	for _, c := range []struct {
		q               float64
		objective, want time.Duration
		age             time.Duration
	}{
		{share.TailForDue, time.Second, 300 * ms, 0},
		{share.TailForLimit, time.Second, 400 * ms, 0},
		{share.TailForDue, 400 * ms, 200 * ms, 0},
		{share.TailForDue, time.Second, 60 * ms, 10 * time.Second},
	} {
		if d := h.Tail(now.Add(c.age), c.q, c.objective, 60*ms); d != c.want {
			t.Errorf("quantile %v of an objective of %v: %v, want %v", c.q, c.objective, d, c.want)
		}
	}
}

// TestRefusedReturnAsAWave guards against the return of rejected callers as a wave that is
// rejected again: 300 callers are rejected within 0.3 s, at 50 admitted requests per second.
func TestRefusedReturnAsAWave(t *testing.T) {
	start := time.Unix(1000, 0)
	var r share.Returns
	for i := range 100 {
		r.RecordAdmitted(start.Add(time.Duration(i) * -20 * ms))
	}
	random := rand.New(rand.NewPCG(1, 2))
	returns := make(map[time.Duration]int) // by period of 0.5 s
	for i := range 300 {
		at := time.Duration(i) * ms
		d := r.RetryAfter(start.Add(at), 400*ms, 30*time.Second, random.Float64())
		if d < 300*ms || d > 10*time.Second {
			t.Fatalf("retry after %v", d)
		}
		returns[(at+d)/(500*ms)]++
	}
	for period, n := range returns {
		if n > 75 { // three times what is served in that time
			t.Errorf("%d callers return in the half second after %v", n, period*500*ms)
		}
	}
}

// TestRetryAfter guards the bounds: callers ignore a delay above a third of their time.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ excess, left, min, max time.Duration }{
		{0, 30 * time.Second, 300 * ms, 10 * time.Second},
		{5 * time.Second, 3 * time.Second, 500 * ms, time.Second}, // the backlog outlasts the third
		{100 * ms, 600 * ms, 200 * ms, 200 * ms},
		{100 * ms, -ms, 0, 0},
	} {
		for random, want := range map[float64]time.Duration{0: c.min, 1: c.max} {
			var r share.Returns
			if d := r.RetryAfter(now, c.excess, c.left, random); (d - want).Abs() > ms {
				t.Errorf("backlog for %v, %v left, random %v: retry after %v, want %v", c.excess, c.left, random, d, want)
			}
		}
	}
}

// TestDecide guards which bound decides, and that a team over its share has half of the
// limit, but is admitted while queues are short.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name          string
		estimate      time.Duration
		margin, limit time.Duration
		over, want    bool
		reason        share.Reason
		excess        time.Duration
	}{
		{"in time", 800 * ms, 100 * ms, 900 * ms, false, true, share.ReasonInTime, 0},
		{"late", 1100 * ms, 0, 900 * ms, false, false, share.ReasonObjective, 200 * ms},
		{"margin", 800 * ms, 300 * ms, 700 * ms, false, false, share.ReasonMargin, 100 * ms},
		{"more urgent", 800 * ms, 0, 600 * ms, false, false, share.ReasonUrgent, 200 * ms},
		{"team over its share", 600 * ms, 0, 900 * ms, true, false, share.ReasonTeam, 150 * ms},
		{"short queue", 290 * ms, 0, 100 * ms, true, true, share.ReasonShortQueue, 0},
		{"to the short queue", 500 * ms, 0, 100 * ms, false, false, share.ReasonUrgent, 200 * ms},
	} {
		a := share.Admission{Estimate: c.estimate, Idle: 200 * ms, Slack: 1000 * ms, Margin: c.margin, Limit: c.limit, OverShare: c.over}
		if ok, reason := a.Decide(); ok != c.want || reason != c.reason {
			t.Errorf("%s: %v, %s; want %v, %s", c.name, ok, reason, c.want, c.reason)
		}
		if x := a.Excess(); x != c.excess {
			t.Errorf("%s: excess %v, want %v", c.name, x, c.excess)
		}
	}
}
