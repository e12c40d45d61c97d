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
	settleTime     = 500 * time.Millisecond // from the end of the load to the verification
	progressStep   = 50                     // requests between two progress lines
	maxListedLines = 5                      // lines printed for each kind of violation
)

// Demo implements the demo command, which runs an example deployment under load.
type Demo struct {
	Deployment string        `long:"deployment" default:"lone_star" choice:"lone_star" choice:"abay" description:"example deployment to run"`
	Root       string        `long:"root" default:"." description:"root directory of the repository"`
	Bin        string        `long:"bin" description:"directory with the built programs; if empty, they are built"`
	Rate       float64       `long:"rate" default:"40" description:"requests per second"`
	Duration   time.Duration `long:"duration" default:"16s" description:"duration of the load"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the request arrivals"`
	Kill       bool          `long:"kill" description:"kill one agent and one entry with SIGKILL during the run, and restart them"`
	Keep       bool          `long:"keep" description:"keep the directory with settings and logs"`
}

// Execute runs the demo. It returns an error if any request had a wrong,
// duplicate, missing or falsely reported result.
func (d *Demo) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-demo-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
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
	plan, err := fleet.LoadPlan(filepath.Join(d.Root, "examples", d.Deployment, "fleet.yaml"))
	if err != nil {
		return err
	}
	f, err := fleet.New(plan, dir, d.Bin)
	if err != nil {
		return err
	}
	fmt.Printf("starting %d endpoints, each with an agent, and %d entries\n", len(f.Endpoints), len(f.Entries))
	err = f.Start(context.Background())
	if err == nil {
		err = d.runLoad(f)
	}
	fmt.Println("stopping all processes with SIGTERM")
	return errors.Join(err, f.Stop())
}

// runLoad sends requests while an operator drains and restores a zone, then
// verifies and prints the results.
func (d *Demo) runLoad(f *fleet.Fleet) error {
	zone := f.Plan.Zones[0]
	go d.operate(f, zone)
	printed := 0
	rep, err := load.Run(context.Background(), &load.Plan{
		Targets:     f.Targets(),
		Rate:        d.Rate,
		Duration:    d.Duration,
		Mix:         f.Plan.LoadMix(f.Doc),
		Seed:        d.Seed,
		MaxAttempts: 5,
		Input: func(n int, k load.Kind) string {
			return fmt.Sprintf("%s request %d of run %d", k.Pipeline, n, d.Seed)
		},
		Check: verify.ResponseChecker(f.Doc),
		Progress: func(n int) {
			if n > printed && n%progressStep == 0 {
				printed = n
				fmt.Printf("  %d requests finished\n", n)
			}
		},
	})
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	v, err := verify.Check(f, f.Doc, rep)
	if err != nil {
		return err
	}
	printReport(os.Stdout, rep, sumCosts(f))
	return printVerdict(os.Stdout, rep, v)
}

// operate drains a zone and restores it, by publishing configurations as an
// operator does. With --kill it kills and restarts two processes in between.
func (d *Demo) operate(f *fleet.Fleet, zone string) {
	step := d.Duration / 5
	printStep := func(text string, err error) {
		if err != nil {
			text += ": " + err.Error()
		}
		fmt.Println("  *", text)
	}
	time.Sleep(step)
	printStep("drain zone "+zone, f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(zone, conf.ZoneDrained)))
	time.Sleep(step)
	if d.Kill {
		victim := f.Endpoints[1].Instance.ID
		printStep("kill the agent of "+victim+" with SIGKILL", f.Kill(victim))
		printStep("kill "+f.Entries[1].Name+" with SIGKILL", f.Kill(f.Entries[1].Name))
		printStep("restart both processes", errors.Join(f.Restart(victim), f.Restart(f.Entries[1].Name)))
	}
	time.Sleep(step)
	printStep("restore zone "+zone, f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(zone, conf.ZoneServing)))
}

// sumCosts returns the costs of all running entries, added up by their keys.
func sumCosts(f *fleet.Fleet) []meter.CostLine {
	var sum meter.Costs
	for _, e := range f.Entries {
		s, err := f.EntryStatus(e)
		if err != nil {
			continue // the costs of an entry that is down are lost
		}
		for _, c := range s.Costs {
			for range c.Runs {
				sum.Add(c.CostKey, c.EngineTime/time.Duration(c.Runs), int(c.Tokens/c.Runs))
			}
		}
	}
	return sum.Snapshot()
}

// printReport prints attainment and latencies, engine costs and refusals.
func printReport(out io.Writer, rep *load.Report, costs []meter.CostLine) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "\nPIPELINE/CLASS\tSENT\tIN TIME\tP50\tP99\tFIRST TOKEN P95\tENDS")
	for _, l := range rep.ByKind() {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%s\t%s\t%s\t%v\n", l.Key, l.Sent, 100*l.Attainment,
			formatDuration(l.Latency.P50), formatDuration(l.Latency.P99), formatDuration(l.FirstToken.P95), l.Ends)
	}
	fmt.Fprintln(w, "\nCOST BY STAGE\tUSE\tRUNS\tENGINE TIME\tTOKENS")
	for _, c := range costs {
		fmt.Fprintf(w, "%s/%s\t%s\t%d\t%s\t%d\n", c.Pipeline, c.Stage, c.Use, c.Runs, formatDuration(c.EngineTime), c.Tokens)
	}
	fmt.Fprintln(w, "\nREFUSED TRIES\tCOUNT")
	for _, t := range rep.Refusals() {
		fmt.Fprintf(w, "%s\t%d\n", t.Key, t.Count)
	}
}

// formatDuration formats a duration to a tenth of a millisecond.
func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

var errVerdict = errors.New("some requests had a wrong, duplicate, missing or falsely reported result")

// printVerdict prints the violations found. It returns errVerdict if there are
// any.
func printVerdict(out io.Writer, rep *load.Report, v *verify.Verdict) error {
	fmt.Fprintf(out, "\n%d requests, %.1f%% answered completely and in time; %d wrong answers, %d duplicate effects, %d missing effects, %d false refusals\n",
		rep.Sent(), 100*rep.Attainment(), len(v.WrongAnswers), len(v.DuplicateEffects), len(v.MissingEffects), len(v.FalseRefusals))
	for _, list := range [][]string{v.WrongAnswers, v.DuplicateEffects, v.MissingEffects, v.FalseRefusals} {
		for _, line := range list[:min(len(list), maxListedLines)] {
			fmt.Fprintln(out, "  !", line)
		}
	}
	if !v.OK() {
		return errVerdict
	}
	return nil
}
