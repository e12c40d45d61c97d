package stream

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/relay/sets"
)

const (
	numZones        = 6
	fatShare        = 0.8 // of a core
	thinShare       = 0.144
	fatOf, allOf    = 18, 68 // relays with fatShare among all
	fatMemory       = 536 << 20
	thinMemory      = 184 << 20
	fatLinkMbps     = 200
	thinLinkMbps    = 20
	storeHistory    = 20 * time.Second
	eventTime       = 100 * time.Millisecond // between two events; the sheet's engines need 17 ms and more
	endTimeout      = 10 * time.Second
	firstVersion    = "v1"
	maxPrintedWrong = 50
	quietTime       = 5 * time.Second // load without faults at the end of a run
	sheetRate       = 118.6
	enginesByRelay  = 78.0 / 68
	othersByRelay   = 100.0 / 68
	maxHosts        = 24  // of engines; each has a keeper, and a listener for each relay
	oneRetryShare   = 0.3 // of the callers, which have one retry as on the sheet
)

// classes are the sheet's two longest kinds of streams, with its rates.
func classes() []site.StreamClass {
	return []site.StreamClass{
		{Name: "exam-review", Rate: 76.3, Deadline: 6 * time.Second, NumEvents: 13},
		{Name: "study-coach", Rate: 42.3, Deadline: 15 * time.Second, NumEvents: 70},
	}
}

// Run is a run of relays under faults that the seed determines.
type Run struct {
	Seed     uint64
	Relays   int
	Duration time.Duration // of the load
	Rate     float64       // streams per second
	Breaks   float64       // share of the streams that callers break off themselves
	Retries  int           // of a caller, apart from relays that it can't reach and what it breaks off itself
	Least    int           // streams that must go on after they were taken up
	Scale    float64       // of the sheet's shares of a core
	Dir, Bin string
	Logf     func(format string, args ...any) // reports each fault
}

// run is the state of a Run.
type run struct {
	Run
	site   site.StreamSite
	dep    *deploy.Deployment
	net    network
	played []played
	mu     sync.Mutex
	clocks map[string]*clock // by relay; guarded by mu
}

// Result is what a Run found.
type Result struct {
	Begun, TakenUp, WentOn, Whole, Broken int            // streams
	Refused                               map[string]int // tries that take streams up, by status and the outcome in the relay's log
	NewRefused                            map[string]int // other tries, by status
	Wrong                                 []string       // streams that Judge finds something wrong with
	Least                                 int
	Conditions                            []Share
	Ages                                  Ages
}

// OK reports whether enough streams went on, and all as they must.
func (r *Result) OK() bool { return len(r.Wrong) == 0 && r.WentOn >= r.Least }

// String returns the verdict and the counts.
func (r *Result) String() string {
	verdict := "ok"
	switch {
	case len(r.Wrong) > 0:
		verdict = fmt.Sprintf("FAILED, %d streams are wrong", len(r.Wrong))
	case r.WentOn < r.Least:
		verdict = fmt.Sprintf("FAILED, too few streams went on: %d of at least %d", r.WentOn, r.Least)
	}
	s := fmt.Sprintf("%s; %d begun, %d taken up, %d went on, %d whole, %d broken", verdict, r.Begun, r.TakenUp, r.WentOn, r.Whole, r.Broken)
	for _, reason := range slices.Sorted(maps.Keys(r.Refused)) {
		s += fmt.Sprintf("\n  refused when taken up: %d with %s", r.Refused[reason], reason)
	}
	s += fmt.Sprintf("\n  refused when new, by status: %v\n%s", r.NewRefused, &r.Ages)
	for _, p := range r.Conditions {
		s += "\n  " + p.String()
	}
	for _, w := range r.Wrong[:min(len(r.Wrong), maxPrintedWrong)] {
		found, _, _ := strings.Cut(w, "\n")
		s += "\n  ! " + found
	}
	return s
}

// Run starts the relays, sends load while faults happen, ends the relays and judges the
// streams. It returns an error if the run couldn't be carried out.
func (c Run) Run(ctx context.Context) (*Result, error) {
	engines := max(2*numZones, int(float64(c.Relays)*enginesByRelay))
	r := &run{Run: c, clocks: make(map[string]*clock), site: site.StreamSite{
		Classes: classes(), Zones: numZones, Engines: engines, Hosts: min(engines, maxHosts), Others: int(float64(c.Relays) * othersByRelay),
		EventTime: eventTime, History: storeHistory,
	}}
	st, err := r.site.Start(firstVersion)
	if err != nil {
		return nil, err
	}
	r.dep = &deploy.Deployment{Site: st, Dir: c.Dir, Bin: c.Bin, Configure: r.configure}
	streams, err := r.play(ctx)
	err = errors.Join(err, r.endAll())
	r.net.close()
	if err = errors.Join(err, st.Close()); err != nil {
		return nil, err
	}
	return r.judge(streams)
}

// play runs the load and the faults.
func (r *run) play(ctx context.Context) ([]*Stream, error) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(done)
	wg.Go(func() { r.keepShares(done) })
	if err := r.startKeepers(); err != nil {
		return nil, err
	}
	for n := range r.Relays {
		name := fmt.Sprintf("relay-%02d", n)
		started, err := r.dep.StartRelay(name, r.site.Zone(n))
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		r.clocks[name] = &clock{relay: started, share: r.share(n), offset: time.Duration(n) * sharePeriod / time.Duration(r.Relays)}
		r.mu.Unlock()
	}
	for _, relay := range r.dep.Relays {
		if err := r.dep.AwaitReady(ctx, relay); err != nil {
			return nil, err
		}
	}
	r.Logf("%d relays are ready", r.Relays)
	streams := make(chan []*Stream, 1)
	go func() { streams <- r.load() }()
	err := r.injectFaults()
	return <-streams, err
}

// isFat reports whether a relay, by its number, is one of those with a large share.
func isFat(n int) bool { return n*fatOf%allOf < fatOf }

func (r *run) share(n int) float64 {
	if isFat(n) {
		return fatShare * r.Scale
	}
	return thinShare * r.Scale
}

// configure leads the links of a new relay through the network and describes its machine.
func (r *run) configure(s *sets.Settings) error {
	n := len(r.dep.Relays)
	_, port, err := net.SplitHostPort(s.Peers.Listen)
	if err != nil {
		return fmt.Errorf("address of %s: %w", s.Instance, err)
	}
	if _, err := r.net.listen(net.JoinHostPort(networkHost, port), net.JoinHostPort(relayHost, port), &link{side: toPeers, to: s.Instance}); err != nil {
		return err
	}
	if err := r.leadToKeepers(s); err != nil {
		return err
	}
	s.Peers.Listen, s.Peers.ExpectedSize = net.JoinHostPort(relayHost, port), r.Relays
	for i, seed := range s.Peers.Seeds {
		s.Peers.Seeds[i] = strings.Replace(seed, relayHost, networkHost, 1)
	}
	s.Store, err = r.net.listen("127.0.0.1:0", s.Store, &link{side: toStore, from: s.Instance})
	s.Capacity = sets.Capacity{Cores: 1, CPUShare: min(1, r.share(n)), LinkMbps: thinLinkMbps}
	s.MemoryBytes = thinMemory
	if isFat(n) {
		s.Capacity.LinkMbps, s.MemoryBytes = fatLinkMbps, fatMemory
	}
	return err
}

// load sends streams at random times, at the shares of the classes in the sheet, and
// returns them when the last one has ended.
func (r *run) load() []*Stream {
	rng := rand.New(rand.NewPCG(r.Seed, 0))
	var out []*Stream
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(r.Duration)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / r.Rate * float64(time.Second)))
		class := classes()[0]
		if rng.Float64()*sheetRate > class.Rate {
			class = classes()[1]
		}
		wg.Go(func() {
			s := r.call(class, n)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, s)
		})
	}
	wg.Wait()
	return out
}

// judge counts the streams, judges each of them and reads the relays' logs.
func (r *run) judge(streams []*Stream) (*Result, error) {
	res := &Result{Refused: make(map[string]int), NewRefused: make(map[string]int), Least: r.Least}
	wrong, takeUps, shares := make(map[*Stream]string), make(map[string]bool), newShares(r.played)
	for _, s := range streams {
		begun, takenUp, wentOn, whole := false, false, false, false
		for _, t := range s.Tries {
			begun = begun || len(t.Events) > 0
			takenUp = takenUp || t.TakesUp && !errors.Is(t.Err, errUnreached)
			wentOn = wentOn || t.TakesUp && len(t.Events) > 0
			whole = whole || t.Complete && t.Status == 200
			if t.Status != 0 && t.Status != 200 {
				takeUps[t.ID] = t.TakesUp
				res.NewRefused[fmt.Sprint(t.Status)] += count(!t.TakesUp)
			}
		}
		res.Begun += count(begun)
		res.TakenUp += count(takenUp)
		shares.add(s, takenUp, wentOn)
		res.WentOn += count(wentOn)
		res.Whole += count(whole)
		res.Broken += count(begun && !whole)
		if found := Judge(s); len(found) > 0 {
			wrong[s] = strings.Join(found, "; ") + shares.during(s) + "\n    " + s.String()
		}
	}
	res.Conditions = shares.list()
	var err error
	res.Ages, err = r.readLogs(wrong, func(l logLine) {
		if l.Event == "request_done" && takeUps[l.Request] {
			outcome, _, _ := strings.Cut(l.Outcome, ": dial ") // addresses differ
			res.Refused[fmt.Sprint(l.Status, " ", outcome)]++
		}
	})
	for _, w := range wrong {
		res.Wrong = append(res.Wrong, w)
	}
	return res, err
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// endAll ends all relays and keepers by SIGKILL.
func (r *run) endAll() error {
	procs := make([]*fleet.Proc, 0, len(r.dep.Relays)+len(r.dep.Keepers))
	for _, relay := range r.dep.Relays {
		procs = append(procs, relay.Proc())
	}
	for _, k := range r.dep.Keepers {
		procs = append(procs, k.Proc())
	}
	for _, p := range procs {
		kill(p)
	}
	errs := make([]error, len(procs))
	for i, p := range procs {
		errs[i] = awaitEnd(p)
	}
	return errors.Join(errs...)
}

func kill(p *fleet.Proc) {
	if p != nil && p.Running() {
		_ = p.Signal(syscall.SIGKILL) // fails only if the process has ended
	}
}

// awaitEnd waits until a process that was killed has ended.
func awaitEnd(p *fleet.Proc) error {
	if p == nil || !p.Running() {
		return nil
	}
	if _ = p.Wait(endTimeout); p.Running() { // it reports the signal
		return fmt.Errorf("%s outlived SIGKILL", p.Name)
	}
	return nil
}
