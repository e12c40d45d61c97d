package slope

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/wire"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/wpctl/load"
)

const (
	settleTime    = 3 * time.Second // for links and concurrency ramps to settle before a measurement
	measureWindow = 5 * time.Second
	maxWait       = 60 * time.Second
)

// Row is one measurement of one process.
type Row struct {
	Series          string
	Size            int
	CPUPercent      float64 // CPU time as a percentage of one core
	RSSMB           float64
	ControlKBPerSec float64 // on all its links, both directions; 0 if it wasn't measured
	// Propagation is the time from the publication of a change until all agents
	// have applied it, or 0 if it wasn't measured.
	Propagation time.Duration
}

// Runner starts fleets and measures one of their processes.
type Runner struct {
	Bin string // directory with the built programs
	Dir string // parent directory for settings and logs of the fleets
}

// newDocument returns a published document with the given numbers of teams and
// pipelines. Each pipeline has four stages.
func newDocument(revision, teams, pipelines int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "revision: %d\nzones:\n", revision)
	for i := range numZones {
		fmt.Fprintf(&b, "  - {name: z%d, state: serving}\n", i)
	}
	b.WriteString("teams:\n")
	for i := range teams {
		fmt.Fprintf(&b, "  - {name: t%05d, weight: 1}\n", i)
	}
	b.WriteString("classes: [{name: c, priority: 0}]\npipelines:\n")
	for i := range pipelines {
		fmt.Fprintf(&b, "  - name: p%d\n    deadline: 3s\n    stages:\n", i)
		for s := range 4 {
			fmt.Fprintf(&b, "      - {name: s%d, kind: encoding, idempotent: true, selectors: [{match: {role: any}}]}\n", s)
		}
	}
	return []byte(b.String())
}

// newPlan returns the plan of a fleet with one entry and no endpoints, for use
// with simulated agents.
func newPlan(teams, pipelines int) fleet.Plan {
	return fleet.Plan{
		Entries:  []string{"z0"},
		Zones:    []string{"z0"},
		Document: newDocument(1, teams, pipelines),
	}
}

// MeasureEntry measures an entry with simulated agents and a document with the
// given numbers of teams and pipelines, and the time until all agents have
// applied a change of the document. Series and size label the row.
func (r *Runner) MeasureEntry(series string, size, agents, teams, pipelines int) (row Row, err error) {
	a, err := startAgents(agents)
	if err != nil {
		return row, err
	}
	defer a.stop()
	f, err := r.newFleet(fmt.Sprintf("entry-%s-%d", strings.ReplaceAll(series, " ", "-"), size), newPlan(teams, pipelines))
	if err != nil {
		return row, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.StartWithoutAgents(context.Background(), a.instances); err != nil {
		return row, err
	}
	if err := f.Await("agents to apply the configuration", func() bool { return a.allHaveRevision(1) }); err != nil {
		return row, err
	}
	time.Sleep(settleTime)
	row, err = measure(f.Entries[0].Proc.PID(), &a.traffic)
	if err != nil {
		return row, err
	}
	row.Series, row.Size = series, size
	publishedAt := time.Now()
	if err := f.PublishRaw(newDocument(2, teams, pipelines)); err != nil {
		return row, err
	}
	err = f.Await("agents to apply the change", func() bool { return a.allHaveRevision(2) })
	row.Propagation = time.Since(publishedAt)
	return row, err
}

// newFleet prepares a fleet, with its settings and logs in a directory of that
// name.
func (r *Runner) newFleet(name string, p fleet.Plan) (*fleet.Fleet, error) {
	dir := filepath.Join(r.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create fleet directory: %w", err)
	}
	return fleet.New(p, dir, r.Bin)
}

// measure observes a process and the traffic on its links for measureWindow.
func measure(pid int, traffic *byteCounter) (Row, error) {
	before, err := readUsage(pid)
	if err != nil {
		return Row{}, err
	}
	bytesBefore := traffic.total()
	time.Sleep(measureWindow)
	after, err := readUsage(pid)
	if err != nil {
		return Row{}, err
	}
	return Row{
		CPUPercent:      100 * (after.cpu - before.cpu).Seconds() / measureWindow.Seconds(),
		RSSMB:           float64(after.rss) / 1e6,
		ControlKBPerSec: float64(traffic.total()-bytesBefore) / measureWindow.Seconds() / 1e3,
	}, nil
}

// MeasureAgent measures an agent with simulated entries and a document with the
// given number of teams. Series and size label the row.
func (r *Runner) MeasureAgent(series string, size, entries, teams int) (row Row, err error) {
	p := newPlan(teams, 12)
	p.Groups = []fleet.Group{{Name: "pool", Service: "pool", Kind: "pool", Count: 1, Slots: 8, Labels: map[string]string{"role": "any"}}}
	f, err := r.newFleet(fmt.Sprintf("agent-%s-%d", strings.ReplaceAll(series, " ", "-"), size), p)
	if err != nil {
		return row, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.Start(context.Background()); err != nil {
		return row, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	traffic := &byteCounter{}
	addr, err := startCountingProxy(f.Endpoints[0].Instance.Agent, traffic)
	if err != nil {
		return row, err
	}
	for i := range entries {
		go newSimulatedEntry(addr, uint64(i)+1, p.Document).Run(ctx)
	}
	time.Sleep(settleTime)
	row, err = measure(f.Endpoints[0].Agent.PID(), traffic)
	row.Series, row.Size = series, size
	return row, err
}

// newSimulatedEntry returns the link of a simulated entry to the agent at addr.
// The entry has applied the given document and sends no requests.
func newSimulatedEntry(addr string, entry uint64, doc []byte) *link.Peer {
	sim := &simulatedPeer{}
	sim.offer(doc)
	seq := uint64(0)
	var echo uint64 // number of the last pong received
	return &link.Peer{
		Addr:    addr,
		Entry:   entry,
		LastSeq: func() uint64 { return 0 },
		NewPing: func() *wire.Ping {
			seq++
			cur := sim.tracker.Current()
			return &wire.Ping{Seq: seq, Fresh: true, Revision: cur.Revision(), Digest: cur.Digest, Echo: echo}
		},
		NewerDocument: sim.newerThan,
		OnUp:          func(*wire.Welcome) {},
		OnDown:        func(error) {},
		OnPong:        func(p *wire.Pong) { echo = p.GetNumber() },
		OnPublished:   sim.offer,
	}
}

// MeasureRequests measures an entry and an agent under the given number of
// requests per second. It returns an error if less than 99% of the requests are
// answered in time.
func (r *Runner) MeasureRequests(rate int) (rows []Row, err error) {
	p := newPlan(100, 1)
	p.Groups = []fleet.Group{{Name: "pool", Service: "pool", Kind: "pool", Count: 1, Slots: 200, ServiceUS: 1000, Labels: map[string]string{"role": "any"}}}
	p.Mix = []fleet.MixEntry{{Pipeline: "p0", Team: "t00001", Weight: 1}}
	f, err := r.newFleet(fmt.Sprintf("requests-%d", rate), p)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.Start(context.Background()); err != nil {
		return nil, err
	}
	// Warm up until the agent's concurrency ramp has reached its limit.
	if _, err := load.Run(context.Background(), newLoadPlan(f, rate, 1, settleTime)); err != nil {
		return nil, err
	}
	// The load starts 2 s before the measurement and ends 1 s after it.
	done := make(chan error, 1)
	go func() {
		rep, err := load.Run(context.Background(), newLoadPlan(f, rate, 2, measureWindow+3*time.Second))
		if err == nil && rep.Attainment() < 0.99 {
			err = fmt.Errorf("only %.1f%% of the requests were answered in time", 100*rep.Attainment())
		}
		done <- err
	}()
	time.Sleep(2 * time.Second)
	entryRow := make(chan Row, 1)
	go func() {
		row, _ := measure(f.Entries[0].Proc.PID(), &byteCounter{})
		entryRow <- row
	}()
	agent, err := measure(f.Endpoints[0].Agent.PID(), &byteCounter{})
	entry := <-entryRow
	entry.Series, entry.Size = "entry, requests/s of 4 stages", rate
	agent.Series, agent.Size = "agent, dispatches/s", 4*rate
	return []Row{entry, agent}, errors.Join(err, <-done)
}

// newLoadPlan returns a plan that sends the mix of the fleet at the given number
// of requests per second.
func newLoadPlan(f *fleet.Fleet, rate int, seed uint64, d time.Duration) *load.Plan {
	return &load.Plan{Targets: f.Targets(), Rate: float64(rate), Duration: d, Mix: f.Plan.LoadMix(f.Doc), Seed: seed}
}
