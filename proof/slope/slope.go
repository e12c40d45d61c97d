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
	settle  = 3 * time.Second
	window  = 5 * time.Second
	maxWait = 60 * time.Second
)

// Row is one measurement.
type Row struct {
	What    string
	Size    int
	Core    float64       // % of one core, in the window
	RSS     float64       // MB
	Control float64       // KB/s over all its links
	InForce time.Duration // from the publication of a change to its last link
}

// Runner measures.
type Runner struct {
	Bin string
	Top string
}

// document returns a published document of so many teams and pipelines.
func document(revision, teams, pipelines int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "revision: %d\nzones:\n", revision)
	for i := range zones {
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

// plan is a fleet of an entry alone; its agents are simulated.
func plan(teams, pipelines int) fleet.Plan {
	return fleet.Plan{
		Entries:  []string{"z0"},
		Zones:    []string{"z0"},
		Document: document(1, teams, pipelines),
	}
}

// Entry measures an entry with n agents under a document of that size, and the
// time that a change takes to all of them.
func (r *Runner) Entry(what string, size, n, teams, pipelines int) (row Row, err error) {
	a, err := startAgents(n)
	if err != nil {
		return row, err
	}
	defer a.stop()
	f, err := r.fleet(fmt.Sprintf("entry-%s-%d", strings.ReplaceAll(what, " ", "-"), size), plan(teams, pipelines))
	if err != nil {
		return row, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.StartBare(context.Background(), a.list); err != nil {
		return row, err
	}
	if err := f.Await("agents to have the configuration", func() bool { return a.haveAll(1) }); err != nil {
		return row, err
	}
	time.Sleep(settle)
	row, err = measure(f.Entries[0].Proc.ID(), &a.count)
	if err != nil {
		return row, err
	}
	row.What, row.Size = what, size
	began := time.Now()
	if err := f.PublishRaw(document(2, teams, pipelines)); err != nil {
		return row, err
	}
	err = f.Await("agents to have the change", func() bool { return a.haveAll(2) })
	row.InForce = time.Since(began)
	return row, err
}

func (r *Runner) fleet(name string, p fleet.Plan) (*fleet.Fleet, error) {
	dir := filepath.Join(r.Top, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	return fleet.New(p, dir, r.Bin)
}

func measure(pid int, c *counter) (Row, error) {
	before, err := readUsage(pid)
	if err != nil {
		return Row{}, err
	}
	bytes := c.total()
	time.Sleep(window)
	after, err := readUsage(pid)
	if err != nil {
		return Row{}, err
	}
	return Row{
		Core:    100 * (after.cpu - before.cpu).Seconds() / window.Seconds(),
		RSS:     float64(after.rss) / 1e6,
		Control: float64(c.total()-bytes) / window.Seconds() / 1e3,
	}, nil
}

// Agent measures an agent with n entries, which are simulated, under a document
// of so many teams.
func (r *Runner) Agent(what string, size, n, teams int) (row Row, err error) {
	p := plan(teams, 12)
	p.Groups = []fleet.Group{{Name: "pool", Service: "pool", Kind: "pool", Count: 1, Slots: 8, Labels: map[string]string{"role": "any"}}}
	f, err := r.fleet(fmt.Sprintf("agent-%s-%d", strings.ReplaceAll(what, " ", "-"), size), p)
	if err != nil {
		return row, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.Start(context.Background()); err != nil {
		return row, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	count := &counter{}
	addr, err := countingRelay(f.Endpoints[0].Instance.Agent, count)
	if err != nil {
		return row, err
	}
	for i := range n {
		go simulatedEntry(addr, uint64(i)+1, p.Document).Run(ctx)
	}
	time.Sleep(settle)
	row, err = measure(f.Endpoints[0].Agent.ID(), count)
	row.What, row.Size = what, size
	return row, err
}

// simulatedEntry is a link of an entry that has a document in force.
func simulatedEntry(addr string, entry uint64, doc []byte) *link.Peer {
	h := &held{}
	h.offer(doc)
	seq := uint64(0)
	var echo uint64
	return &link.Peer{
		Addr:    addr,
		Entry:   entry,
		LastSeq: func() uint64 { return 0 },
		Ping: func() *wire.Ping {
			seq++
			cur := h.keeper.Current()
			return &wire.Ping{Seq: seq, Fresh: true, Revision: cur.Revision(), Digest: cur.Digest, Echo: echo}
		},
		Newer:       h.newer,
		OnUp:        func(*wire.Welcome) {},
		OnDown:      func(error) {},
		OnPong:      func(p *wire.Pong) { echo = p.GetNumber() },
		OnPublished: h.offer,
	}
}

// Requests measures what requests cost an entry and an agent.
func (r *Runner) Requests(rate int) (rows []Row, err error) {
	p := plan(100, 1)
	p.Groups = []fleet.Group{{Name: "pool", Service: "pool", Kind: "pool", Count: 1, Slots: 200, ServiceUS: 1000, Labels: map[string]string{"role": "any"}}}
	p.Mix = []fleet.Share{{Pipeline: "p0", Team: "t00001", Weight: 1}}
	f, err := r.fleet(fmt.Sprintf("requests-%d", rate), p)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.Start(context.Background()); err != nil {
		return nil, err
	}
	// The ramp reaches its limit first.
	if _, err := load.Run(context.Background(), requests(f, rate, 1, settle)); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		rep, err := load.Run(context.Background(), requests(f, rate, 2, window+3*time.Second))
		if err == nil && rep.Attainment() < 0.99 {
			err = fmt.Errorf("only %.1f%% of the requests were answered", 100*rep.Attainment())
		}
		done <- err
	}()
	time.Sleep(2 * time.Second)
	entry := make(chan Row, 1)
	go func() {
		row, _ := measure(f.Entries[0].Proc.ID(), &counter{})
		entry <- row
	}()
	agent, err := measure(f.Endpoints[0].Agent.ID(), &counter{})
	e := <-entry
	e.What, e.Size = "entry, requests/s of 4 stages", rate
	agent.What, agent.Size = "agent, dispatches/s", 4*rate
	return []Row{e, agent}, errors.Join(err, <-done)
}

func requests(f *fleet.Fleet, rate int, seed uint64, d time.Duration) *load.Plan {
	return &load.Plan{Targets: f.Targets(), Rate: float64(rate), Duration: d, Mix: f.Plan.LoadMix(f.Doc), Seed: seed}
}
