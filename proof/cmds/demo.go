package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/meter"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/verify"
	"wigeonplank.example/wpctl/load"
)

const (
	settleWait = 500 * time.Millisecond
	progressBy = 50
	listed     = 5
)

// Demo is the command demo.
type Demo struct {
	Deployment string        `long:"deployment" default:"lone_star" choice:"lone_star" choice:"abay" description:"example to run"`
	Root       string        `long:"root" default:"." description:"top of the repository"`
	Bin        string        `long:"bin" description:"folder with built programs; empty: they are built"`
	Rate       float64       `long:"rate" default:"40" description:"requests a second"`
	Duration   time.Duration `long:"duration" default:"16s" description:"how long requests are sent"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Kill       bool          `long:"kill" description:"kill -9 one agent and one entry while it runs"`
	Keep       bool          `long:"keep" description:"keep the folder with settings and logs"`
}

// Execute runs the demo. It returns an error if any request got a wrong,
// doubled or missing outcome.
func (d *Demo) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-demo-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if d.Keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if d.Bin == "" {
		fmt.Println("building entry, agent, fakes and wpctl")
		if err := fleet.Build(d.Root, dir); err != nil {
			return err
		}
		d.Bin = dir
	}
	plan, err := fleet.Load(filepath.Join(d.Root, "examples", d.Deployment, "fleet.yaml"))
	if err != nil {
		return err
	}
	f, err := fleet.New(plan, dir, d.Bin)
	if err != nil {
		return err
	}
	fmt.Printf("starting %d endpoints with an agent each, and %d entries\n", len(f.Endpoints), len(f.Entries))
	err = f.Start(context.Background())
	if err == nil {
		err = d.drive(f)
	}
	fmt.Println("stopping everything by SIGTERM")
	return errors.Join(err, f.Stop())
}

func (d *Demo) drive(f *fleet.Fleet) error {
	zone := f.Plan.Zones[0]
	go d.operate(f, zone)
	sent := 0
	rep, err := load.Run(context.Background(), &load.Plan{
		Targets:  f.Targets(),
		Rate:     d.Rate,
		Duration: d.Duration,
		Mix:      f.Plan.LoadMix(f.Doc),
		Seed:     d.Seed,
		Tries:    5,
		Input: func(n int, s load.Share) string {
			return fmt.Sprintf("%s request %d of run %d", s.Pipeline, n, d.Seed)
		},
		Check: verify.Checker(f.Doc),
		Progress: func(n int) {
			if n > sent && n%progressBy == 0 {
				sent = n
				fmt.Printf("  %d requests ended\n", n)
			}
		},
	})
	if err != nil {
		return err
	}
	time.Sleep(settleWait)
	v, err := verify.Run(f, f.Doc, rep)
	if err != nil {
		return err
	}
	printReport(os.Stdout, rep, costs(f))
	return printVerdict(os.Stdout, rep, v)
}

// operate takes a zone out and back, as an operator does: by publishing.
func (d *Demo) operate(f *fleet.Fleet, zone string) {
	step := d.Duration / 5
	say := func(text string, err error) {
		if err != nil {
			text += ": " + err.Error()
		}
		fmt.Println("  *", text)
	}
	time.Sleep(step)
	say("zone "+zone+" taken out", f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(zone, conf.ZoneDrained)))
	time.Sleep(step)
	if d.Kill {
		victim := f.Endpoints[1].Instance.ID
		say("kill -9 of the agent of "+victim, f.Kill(victim))
		say("kill -9 of "+f.Entries[1].Name, f.Kill(f.Entries[1].Name))
		say("both started again", errors.Join(f.Restart(victim), f.Restart(f.Entries[1].Name)))
	}
	time.Sleep(step)
	say("zone "+zone+" taken back", f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(zone, conf.ZoneServing)))
}

func costs(f *fleet.Fleet) []meter.CostLine {
	var sum meter.Costs
	for _, e := range f.Entries {
		s, err := f.EntryStatus(e)
		if err != nil {
			continue // a killed entry's costs are gone with it
		}
		for _, c := range s.Costs {
			for range c.Runs {
				sum.Add(c.CostKey, c.EngineTime/time.Duration(c.Runs), int(c.Tokens/c.Runs))
			}
		}
	}
	return sum.Snapshot()
}

func printReport(out io.Writer, rep *load.Report, costs []meter.CostLine) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "\nPIPELINE/CLASS\tSENT\tIN TIME\tP50\tP99\tFIRST TOKEN P95\tENDS")
	for _, l := range rep.Lines() {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%s\t%s\t%s\t%v\n", l.Key, l.Sent, 100*l.Attainment,
			short(l.Latency.P50), short(l.Latency.P99), short(l.First.P95), l.Ends)
	}
	fmt.Fprintln(w, "\nCOST BY STAGE\tUSE\tRUNS\tENGINE TIME\tTOKENS")
	for _, c := range costs {
		fmt.Fprintf(w, "%s/%s\t%s\t%d\t%s\t%d\n", c.Pipeline, c.Stage, c.Use, c.Runs, short(c.EngineTime), c.Tokens)
	}
	fmt.Fprintln(w, "\nREFUSED TRIES\tCOUNT")
	for _, t := range rep.Refusals() {
		fmt.Fprintf(w, "%s\t%d\n", t.Key, t.Count)
	}
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

var errVerdict = errors.New("some requests got a wrong, doubled, missing or untrue outcome")

func printVerdict(out io.Writer, rep *load.Report, v *verify.Verdict) error {
	fmt.Fprintf(out, "\n%d requests, %.1f%% answered whole and in time; wrong %d, doubled %d, missing %d, untrue refusals %d\n",
		rep.Sent(), 100*rep.Attainment(), len(v.Wrong), len(v.Doubled), len(v.Missing), len(v.Untrue))
	for _, list := range [][]string{v.Wrong, v.Doubled, v.Missing, v.Untrue} {
		for _, line := range list[:min(len(list), listed)] {
			fmt.Fprintln(out, "  !", line)
		}
	}
	if !v.OK() {
		return errVerdict
	}
	return nil
}
