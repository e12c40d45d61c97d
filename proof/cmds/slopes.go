package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"text/tabwriter"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/slope"
)

// Slopes is the command slopes.
type Slopes struct {
	Root string `long:"root" default:"." description:"top of the repository"`
	Only string `long:"only" default:"." description:"regular expression over what grows"`
	Out  string `long:"out" default:"docs/bench/slopes.md" description:"page for the results, below the root"`
}

// Execute measures and writes the page.
func (s *Slopes) Execute([]string) error {
	top, err := os.MkdirTemp("", "wigeonplank-slopes-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(top) }()
	if err := fleet.Build(s.Root, top); err != nil {
		return err
	}
	only, err := regexp.Compile(s.Only)
	if err != nil {
		return fmt.Errorf("--only: %w", err)
	}
	rows, err := sweep(&slope.Runner{Bin: top, Top: top}, only)
	file, createErr := os.Create(filepath.Join(s.Root, s.Out))
	if createErr != nil {
		return errors.Join(err, createErr)
	}
	writeSlopes(os.Stdout, rows)
	fmt.Fprint(file, "What one process costs as its surroundings grow. Written by `make slopes`.\n\n")
	writeSlopes(file, rows)
	return errors.Join(err, file.Close())
}

// series is one thing that grows, over its sizes.
type series struct {
	what    string
	sizes   []int
	measure func(r *slope.Runner, what string, n int) ([]slope.Row, error)
}

func one(row slope.Row, err error) ([]slope.Row, error) { return []slope.Row{row}, err }

var allSeries = []series{
	{"entry, agents", []int{10, 100, 1000}, func(r *slope.Runner, what string, n int) ([]slope.Row, error) {
		return one(r.Entry(what, n, n, 100, 12))
	}},
	{"entry, teams with 10 agents", []int{100, 5000, 22000}, func(r *slope.Runner, what string, n int) ([]slope.Row, error) {
		return one(r.Entry(what, n, 10, n, 12))
	}},
	{"entry, pipelines with 10 agents", []int{12, 48, 192}, func(r *slope.Runner, what string, n int) ([]slope.Row, error) {
		return one(r.Entry(what, n, 10, 100, n))
	}},
	{"agent, entries", []int{1, 10, 40}, func(r *slope.Runner, what string, n int) ([]slope.Row, error) {
		return one(r.Agent(what, n, n, 100))
	}},
	{"agent, teams", []int{100, 5000, 22000}, func(r *slope.Runner, what string, n int) ([]slope.Row, error) {
		return one(r.Agent(what, n, 1, n))
	}},
	{"requests", []int{50, 200, 600}, func(r *slope.Runner, _ string, n int) ([]slope.Row, error) {
		return r.Requests(n)
	}},
}

func sweep(r *slope.Runner, only *regexp.Regexp) ([]slope.Row, error) {
	var rows []slope.Row
	var errs []error
	for _, s := range allSeries {
		if !only.MatchString(s.what) {
			continue
		}
		for _, n := range s.sizes {
			got, err := s.measure(r, s.what, n)
			if err != nil {
				errs = append(errs, fmt.Errorf("%s, %d: %w", s.what, n, err))
				continue
			}
			for _, row := range got {
				fmt.Printf("%s, %d: %.2f%% of a core, %.1f MB, %.2f KB/s\n", row.What, row.Size, row.Core, row.RSS, row.Control)
			}
			rows = append(rows, got...)
		}
	}
	return rows, errors.Join(errs...)
}

func writeSlopes(out io.Writer, rows []slope.Row) {
	w := tabwriter.NewWriter(out, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "| what grows\t| size\t| % of a core\t| MB\t| control KB/s\t| change in force after\t|")
	fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s\t| %d\t| %.2f\t| %.1f\t| %.2f\t| %s\t|\n", r.What, r.Size, r.Core, r.RSS, r.Control, short(r.InForce))
	}
	_ = w.Flush() // nothing can be done about a page that can't be written
}
