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

// TestRivals guards the choice of the routes that limit a request.
func TestRivals(t *testing.T) {
	urgent := route("urgent", 0, 1000*ms, "embed")
	bulk := route("bulk", 2, 3000*ms, "embed", "rank")
	apart := route("apart", 1, 200*ms, "other")
	none := route("none", 0, 0, "rank")
	later := route("later", 3, 500*ms, "rank")
	rivals := share.NewRivals([]*fleet.Route{later, none, apart, bulk, urgent})
	for _, c := range []struct {
		route   *fleet.Route
		urgency int
		want    []*fleet.Route
	}{
		{urgent, 0, nil},
		{bulk, 2, []*fleet.Route{urgent}},
		{bulk, 3, []*fleet.Route{urgent, later}},
		{apart, 1, nil},
		{none, 0, nil},
		{none, 3, []*fleet.Route{bulk, later}},
		{later, 3, []*fleet.Route{bulk}},
		{later, 1, nil},
	} {
		if got := rivals.Of(c.route, c.urgency); !slices.Equal(got, c.want) {
			t.Errorf("rivals of %s with urgency %d: %d routes, want %d", c.route.Name, c.urgency, len(got), len(c.want))
		}
	}
}

// TestLimitBy guards against requests that are rejected for a more urgent route although
// they hardly use the queues in which it waits, and against limits that rise again.
func TestLimitBy(t *testing.T) {
	rival := share.Admission{Estimate: 1600 * ms, Idle: 700 * ms, Slack: 1400 * ms}
	inTime := share.Admission{Estimate: 1300 * ms, Idle: 700 * ms, Slack: 1400 * ms}
	for _, c := range []struct {
		name     string
		estimate time.Duration
		rivals   []share.Admission
		want     time.Duration
	}{
		{"the same queues", 1600 * ms, []share.Admission{rival}, 1400 * ms},
		{"few of the queues", 1100 * ms, []share.Admission{rival}, 0},
		{"rival in time", 1600 * ms, []share.Admission{inTime}, 0},
		{"two rivals", 1600 * ms, []share.Admission{rival, {Estimate: 1500 * ms, Idle: 700 * ms, Slack: 1400 * ms}}, 1400 * ms},
	} {
		a := share.Admission{Estimate: c.estimate, Idle: 700 * ms, Slack: 3000 * ms}
		for _, r := range c.rivals {
			a.LimitBy(r)
		}
		if a.Limit != c.want {
			t.Errorf("%s: limit %v, want %v", c.name, a.Limit, c.want)
		}
	}
	// A more urgent request of the same team would be rejected, so this one is as well.
	a := share.Admission{Estimate: 1300 * ms, Idle: 700 * ms, Slack: 3000 * ms, OverShare: true}
	if a.LimitBy(inTime); a.Limit != 1225*ms {
		t.Errorf("team over its share: limit %v, want 1.225s", a.Limit)
	}
}

// TestUrgentBehindBulk guards against a bulk route with a long objective that fills a pool
// until a more urgent route with a short one is rejected.
func TestUrgentBehindBulk(t *testing.T) {
	urgent, bulk := route("urgent", 1, 1500*ms, "embed"), route("bulk", 2, 3000*ms, "embed")
	rivals := share.NewRivals([]*fleet.Route{urgent, bulk})
	const perItem, idle = 10 * ms, 200 * ms
	queue := make([]*fleet.Route, 0, 500)
	rejected := make(map[*fleet.Route]int)
	for tick := range 2000 { // each takes perItem; one request of each route arrives, which is twice what the pool can do
		arrivals := []*fleet.Route{bulk, urgent}
		if tick%4 >= 2 {
			slices.Reverse(arrivals)
		}
		for _, r := range arrivals {
			a := share.Admission{Estimate: idle + time.Duration(len(queue))*perItem, Idle: idle, Slack: r.LatencyObjective}
			for _, other := range rivals.Of(r, r.Priority) {
				a.LimitBy(share.Admission{Estimate: a.Estimate, Idle: idle, Slack: other.LatencyObjective})
			}
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
			h.RecordStages(now, r.estimate, idle, r.actual)
			return true
		})
		load = max(0, load-0.1)
		loads[tick] = load
		if rate := 0.05 + 0.2*min(1, float64(tick)/1500); int(float64(tick)*rate) == int(float64(tick+1)*rate) {
			continue
		}
		estimate := idle + time.Duration(loads[max(0, tick-age)]*float64(perItem))
		a := share.Admission{Estimate: h.Correct(now, estimate, idle), Idle: idle, Slack: slack}
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

// TestCorrect guards the bounds of the correction, that it is forgotten, and that requests
// which hardly waited say nothing.
func TestCorrect(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name              string
		estimated, actual time.Duration
		age               time.Duration
		want              time.Duration
	}{
		{"passes others", 1200 * ms, 700 * ms, 0, 700 * ms},
		{"too short", 700 * ms, 1200 * ms, 0, 2200 * ms},
		{"far too long", 1200 * ms, 200 * ms, 0, 600 * ms},
		{"far too short", 700 * ms, 5000 * ms, 0, 2700 * ms},
		{"long ago", 1200 * ms, 700 * ms, 10 * time.Second, 1200 * ms},
		{"hardly any queue", 290 * ms, 1200 * ms, 0, 1200 * ms},
	} {
		var h share.History
		if d := h.Correct(now, 1200*ms, 200*ms); d != 1200*ms {
			t.Errorf("without requests: %v", d)
		}
		for range 20 {
			h.RecordStages(now, c.estimated, 200*ms, c.actual)
		}
		if d := h.Correct(now.Add(c.age), 1200*ms, 200*ms); d != c.want {
			t.Errorf("%s: %v, want %v", c.name, d, c.want)
		}
	}
}

// TestItems guards the mean numbers of items, by which a rival's stages are estimated.
func TestItems(t *testing.T) {
	var h share.History
	if got := h.Items(2); !slices.Equal(got, []int{1, 1}) {
		t.Errorf("without requests: %v", got)
	}
	for range 50 {
		h.RecordItems([]int{4, 0})
		h.RecordItems([]int{8, 0, 3})
	}
	if got := h.Items(3); !slices.Equal(got, []int{6, 0, 3}) {
		t.Errorf("%v, want the means", got)
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
		{share.TailForLimit, time.Second, 200 * ms, 0},
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
		name            string
		estimate, limit time.Duration
		over, want      bool
		reason          share.Reason
		excess          time.Duration
	}{
		{"in time", 800 * ms, 900 * ms, false, true, share.ReasonInTime, 0},
		{"late", 1100 * ms, 0, false, false, share.ReasonObjective, 100 * ms},
		{"more urgent", 800 * ms, 600 * ms, false, false, share.ReasonUrgent, 200 * ms},
		{"team over its share", 800 * ms, 900 * ms, true, false, share.ReasonTeam, 75 * ms},
		{"team over its share, no limit", 850 * ms, 0, true, false, share.ReasonTeam, 50 * ms},
		{"team over its share, long queue", 950 * ms, 0, true, false, share.ReasonTeam, 150 * ms},
		{"short queue", 290 * ms, 100 * ms, true, true, share.ReasonShortQueue, 0},
		{"to the short queue", 500 * ms, 100 * ms, false, false, share.ReasonUrgent, 200 * ms},
	} {
		a := share.Admission{Estimate: c.estimate, Idle: 200 * ms, Slack: 1000 * ms, Limit: c.limit, OverShare: c.over}
		if ok, reason := a.Decide(); ok != c.want || reason != c.reason {
			t.Errorf("%s: %v, %s; want %v, %s", c.name, ok, reason, c.want, c.reason)
		}
		if x := a.Excess(); x != c.excess {
			t.Errorf("%s: excess %v, want %v", c.name, x, c.excess)
		}
	}
}

// TestDuration guards against conclusions about the durations of a route from too few requests
// or old ones.
func TestDuration(t *testing.T) {
	var h share.History
	now := time.Unix(1000, 0)
	for i := range 11 {
		if _, known := h.Duration(now, 0.5); known != (i >= 10) {
			t.Errorf("known after %d requests: %v", i, known)
		}
		h.RecordDuration(now, time.Duration(i)*time.Second)
	}
	if d, _ := h.Duration(now, 0.5); d != 5*time.Second {
		t.Errorf("median %v, want 5s", d)
	}
	if _, known := h.Duration(now.Add(2*time.Minute), 0.5); known {
		t.Error("known from old requests")
	}
}
