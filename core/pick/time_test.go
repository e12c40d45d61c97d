package pick_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
)

// server is a simulated endpoint. Its first Slots jobs run, the others wait.
type server struct {
	*fleet.Endpoint
	speed, pace float64
	offset      int // ms by which its slow periods are shifted
	jobs        []*job
	window      int // requests since the last window of slowEvery began
	total       int // requests since warmUp
}

type job struct {
	relay     int
	work      float64 // ms that remain at speed 1
	startedAt int
	choice    pick.Choice
}

// farm simulates servers of speeds 0.6, 1 and 1.6, a sixth of which take 2.5 times as
// long for half a second at a time, and relays that send requests at 80% of the capacity.
type farm struct {
	rng     *rand.Rand
	servers []*server
	list    []*fleet.Endpoint // of servers
	pickers []*pick.Picker
	now     int // ms
	took    []float64
	worst   float64                 // most that a server got in a window of slowEvery, in multiples of its share
	news    int                     // ms between broadcasts of the loads of all servers to all relays, the only reports then; 0: each answer reports to its relay
	lie     func(s *server) float64 // pace that a server reports; nil: the true one
}

const (
	servers   = 30
	slots     = 4
	usualWork = 100.0 // ms
	slowFor   = 500
	slowEvery = 6 * slowFor
	slowPace  = 2.5
	warmUp    = 10_000 // ms that aren't measured
)

var service = &fleet.Service{Name: "s"}

func newFarm(relays int) *farm {
	f := &farm{rng: rand.New(rand.NewPCG(1, 2))}
	for i := range servers {
		e := &fleet.Endpoint{ID: fmt.Sprint("e-", i), Service: service.Name, Zone: "z", Slots: slots}
		f.list = append(f.list, e)
		f.servers = append(f.servers, &server{Endpoint: e, speed: []float64{0.6, 1, 1.6}[i%3], offset: f.rng.IntN(slowEvery)})
	}
	for i := range relays {
		f.pickers = append(f.pickers, &pick.Picker{Rand: rand.NewPCG(3, uint64(i))})
	}
	return f
}

func (f *farm) time() time.Time { return time.UnixMilli(int64(f.now)) }

// policy returns the server for a job of a relay.
type policy func(f *farm, j *job) *server

// run simulates a number of seconds, of which warmUp isn't measured.
func (f *farm) run(seconds int, choose policy) {
	rate := 0.0 // jobs per ms
	for _, s := range f.servers {
		rate += 0.8 * s.speed * slots * (5 + 1/slowPace) / 6 / usualWork
	}
	for f.now = 0; f.now < seconds*1000; f.now++ {
		for _, s := range f.servers {
			f.step(s)
		}
		if f.news > 0 && f.now%f.news == 0 {
			for _, s := range f.servers {
				for _, p := range f.pickers {
					f.report(p, s)
				}
			}
		}
		if f.now%slowEvery == 0 {
			f.endWindow()
		}
		for n := f.rng.ExpFloat64(); n < rate; n += f.rng.ExpFloat64() {
			j := &job{relay: f.rng.IntN(len(f.pickers)), work: usualWork * (0.5 + f.rng.Float64()), startedAt: f.now}
			s := choose(f, j)
			s.jobs = append(s.jobs, j)
			s.window++
			if f.now >= warmUp {
				s.total++
			}
			f.pickers[j.relay].Begin(f.time(), service, s.Endpoint, false)
		}
	}
	slices.Sort(f.took)
}

// step runs a server's jobs for 1 ms.
func (f *farm) step(s *server) {
	s.pace = 1
	if (f.now+s.offset)%slowEvery < slowFor {
		s.pace = slowPace
	}
	for _, j := range s.jobs[:min(slots, len(s.jobs))] {
		j.work -= s.speed / s.pace
	}
	for i := min(slots, len(s.jobs)) - 1; i >= 0; i-- {
		if j := s.jobs[i]; j.work <= 0 {
			s.jobs = slices.Delete(s.jobs, i, i+1)
			f.end(s, j)
		}
	}
}

// report tells a relay the load and the pace of a server, and returns the pace.
func (f *farm) report(p *pick.Picker, s *server) float64 {
	pace := s.pace
	if f.lie != nil {
		pace = f.lie(s)
	}
	p.RecordLoad(f.time(), s.Endpoint, pick.Load{Running: min(slots, len(s.jobs)), Waiting: max(0, len(s.jobs)-slots), Slots: slots, Pace: pace})
	return pace
}

// share returns the requests that a server got, in multiples of its share of the capacity.
func (f *farm) share(s *server, requests func(*server) int) float64 {
	all, speeds := 0, 0.0
	for _, other := range f.servers {
		all += requests(other)
		speeds += other.speed
	}
	return float64(requests(s)) / float64(all) * speeds / s.speed
}

func inWindow(s *server) int { return s.window }
func inTotal(s *server) int  { return s.total }

func (f *farm) endWindow() {
	for _, s := range f.servers {
		if f.now > warmUp {
			f.worst = max(f.worst, f.share(s, inWindow))
		}
	}
	for _, s := range f.servers {
		s.window = 0
	}
}

func (f *farm) end(s *server, j *job) {
	p, pace := f.pickers[j.relay], s.pace
	p.End(f.time(), s.Endpoint, pick.ResultGood)
	if f.news == 0 {
		pace = f.report(p, s)
	}
	took := f.now - j.startedAt
	p.RecordTime(s.Endpoint, time.Duration(took)*time.Millisecond, j.choice.Ahead, pace)
	if f.now >= warmUp {
		f.took = append(f.took, float64(took))
	}
}

func (f *farm) percentile(q float64) float64 { return f.took[int(q*float64(len(f.took)))] }

// least returns the server with the least cost; equal ones are chosen between at random.
func (f *farm) least(cost func(s *server) float64) *server {
	var best *server
	lowest := math.Inf(1)
	from := f.rng.IntN(len(f.servers))
	for i := range f.servers {
		s := f.servers[(from+i)%len(f.servers)]
		if c := cost(s); c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// seeAll knows the remaining work and the pace of all servers.
func seeAll(f *farm, j *job) *server {
	return f.least(func(s *server) float64 {
		free := make([]float64, slots) // work until a slot is free
		for _, other := range s.jobs {
			i := slices.Index(free, slices.Min(free))
			free[i] += other.work
		}
		return (slices.Min(free) + j.work) * s.pace / s.speed
	})
}

func leastInFlight(f *farm, j *job) *server {
	return f.least(func(s *server) float64 { return float64(f.pickers[j.relay].InFlight(s.Endpoint)) })
}

func randomOfTwo(f *farm, j *job) *server {
	a, b := f.servers[f.rng.IntN(len(f.servers))], f.servers[f.rng.IntN(len(f.servers))]
	if f.pickers[j.relay].InFlight(b.Endpoint) < f.pickers[j.relay].InFlight(a.Endpoint) {
		return b
	}
	return a
}

// picked returns the policy of a Picker.
func picked(byTime bool) policy {
	return func(f *farm, j *job) *server {
		j.choice = f.pickers[j.relay].Pick(f.time(), service, f.list, pick.Criteria{Zone: "z", ByTime: byTime})
		return f.servers[slices.Index(f.list, j.choice.Endpoint)]
	}
}

// TestFastAndSlowEndpoints guards against choices that ignore how fast endpoints are, and
// that they are slow for a while. The targets hold if a relay hears of an endpoint about
// 20 times a second; for 24 relays that hear of one once a second, only the second does.
func TestFastAndSlowEndpoints(t *testing.T) {
	run := func(name string, relays, news int, p policy) float64 {
		f := newFarm(relays)
		f.news = news
		f.run(30, p)
		t.Logf("%2d relays, news each %2d ms, %-15s: p50 %4.0f, p99 %4.0f, p99.9 %4.0f ms", relays, news, name, f.percentile(0.5), f.percentile(0.99), f.percentile(0.999))
		return f.percentile(0.99)
	}
	best := run("see all", 1, 0, seeAll)
	for _, c := range []struct {
		name         string
		relays, news int
		ofLeast      float64 // maximum p99, in multiples of that of leastInFlight
	}{
		// seeAll itself is only a quarter below leastInFlight here, so a third can't be asked.
		{"one_relay", 1, 0, 1},
		{"many_relays_own_answers", 24, 0, 2.0 / 3},
		{"many_relays_told", 24, 50, 2.0 / 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			run("random of two", c.relays, c.news, randomOfTwo)
			run("load alone", c.relays, c.news, picked(false))
			least := run("least in flight", c.relays, c.news, leastInFlight)
			if p99 := run("time", c.relays, c.news, picked(true)); p99 > 1.3*best || p99 > c.ofLeast*least {
				t.Errorf("%d relays, news each %d ms: p99 is %.0f ms; want 1.3 of %.0f and %.2f of %.0f at most", c.relays, c.news, p99, best, c.ofLeast, least)
			}
		})
	}
}

// TestHerdOnFreshNews guards against relays that all choose the same endpoint because
// they are told the same loads at the same time.
func TestHerdOnFreshNews(t *testing.T) {
	for _, relays := range []int{24, 146} {
		for _, news := range []int{50, 250} {
			f := newFarm(relays)
			f.news = news
			f.run(25, picked(true))
			t.Logf("%3d relays, news each %3d ms: %.2f times its share", relays, news, f.worst)
			if f.worst > 1.5 {
				t.Errorf("%d relays, news each %d ms: an endpoint got %.2f times its share in 3 s", relays, news, f.worst)
			}
		}
	}
}

// TestEndpointThatLies guards against a pace that attracts requests although the times of
// answers contradict it.
func TestEndpointThatLies(t *testing.T) {
	f := newFarm(4)
	f.run(30, picked(true))
	honest, honestShare := f.percentile(0.99), f.share(f.servers[0], inTotal)
	// A false pace may cost the endpoint requests, but no more than half of them.
	for name, lie := range map[string]func(f *farm) float64{
		"always fast":   func(*farm) float64 { return 0.01 },
		"fast or slow":  func(f *farm) float64 { return []float64{0.1, 10}[f.rng.IntN(2)] },
		"always slow":   func(*farm) float64 { return 100 },
		"the opposite":  func(f *farm) float64 { return slowPace / f.servers[0].pace },
		"not anymore":   func(*farm) float64 { return 0 },
		"slow, at last": func(f *farm) float64 { return float64(1 + f.now/20_000) },
	} {
		f := newFarm(4)
		f.lie = func(s *server) float64 {
			if s == f.servers[0] {
				return lie(f)
			}
			return s.pace
		}
		f.run(30, picked(true))
		share := f.share(f.servers[0], inTotal)
		t.Logf("%-13s: %.2f times its share, p99 %.0f ms; honest %.2f, %.0f ms", name, share, f.percentile(0.99), honestShare, honest)
		if share > 1.5 || share < honestShare/2 || f.percentile(0.99) > 1.1*honest {
			t.Errorf("%s: the endpoint got %.2f times its share; p99 is %.0f ms, %.0f if it is honest", name, share, f.percentile(0.99), honest)
		}
	}
}

// TestUsualLoad guards against an endpoint that counts as free once its last report is old,
// although all its reports said that it is busy.
func TestUsualLoad(t *testing.T) {
	busy := &fleet.Endpoint{ID: "busy", Service: service.Name, Zone: "z", Slots: slots}
	free := &fleet.Endpoint{ID: "free", Service: service.Name, Zone: "z", Slots: slots}
	p := pick.Picker{Rand: rand.NewPCG(1, 2)}
	now := time.Unix(1000, 0)
	for range 20 {
		now = now.Add(time.Second)
		p.RecordLoad(now, busy, pick.Load{Running: 2 * slots, Slots: slots, Pace: 1})
		p.RecordLoad(now, free, pick.Load{Slots: slots, Pace: 1})
	}
	now = now.Add(time.Second)
	chosen := 0
	for range 320 {
		if c := p.Pick(now, service, []*fleet.Endpoint{busy, free}, pick.Criteria{Zone: "z", ByTime: true}); c.Endpoint == busy {
			chosen++
		}
	}
	if chosen > 20 { // those that take any endpoint
		t.Errorf("the busy endpoint was chosen %d times of 320", chosen)
	}
}

// TestChoiceAllocatesNothing guards against choices whose cost grows with the service.
func TestChoiceAllocatesNothing(t *testing.T) {
	var p pick.Picker
	list := benchEndpoints(1000)
	if n := testing.AllocsPerRun(10_000, func() {
		p.Pick(time.Unix(0, 0), service, list, pick.Criteria{Zone: "z1", ByTime: true})
	}); n != 0 {
		t.Errorf("%.0f allocations, want none", n)
	}
}
