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

// Slopes implements the slopes command, which measures how the resource usage of
// a process grows with the size of the deployment.
type Slopes struct {
	Root string `long:"root" default:"." description:"root directory of the repository"`
	Only string `long:"only" default:"." description:"regular expression; runs the series whose names match"`
	Out  string `long:"out" default:"docs/bench/slopes.md" description:"page for the results, relative to the root"`
}

// Execute runs the selected series and writes the page. Failed measurements are
// left out of the page and reported in the returned error.
func (s *Slopes) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-slopes-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := fleet.Build(s.Root, dir); err != nil {
		return err
	}
	only, err := regexp.Compile(s.Only)
	if err != nil {
		return fmt.Errorf("--only: %w", err)
	}
	rows, err := runSeries(&slope.Runner{Bin: dir, Dir: dir}, only)
	file, createErr := os.Create(filepath.Join(s.Root, s.Out))
	if createErr != nil {
		return errors.Join(err, createErr)
	}
	writeSlopes(os.Stdout, rows)
	fmt.Fprint(file, "CPU time, memory and control traffic of one process as the deployment grows. Written by `make slopes`.\n\n")
	writeSlopes(file, rows)
	return errors.Join(err, file.Close())
}

// series is a measurement that is repeated at several sizes.
type series struct {
	name    string
	sizes   []int
	measure func(r *slope.Runner, name string, n int) ([]slope.Row, error)
}

// singleRow returns a row as a slice of one.
func singleRow(row slope.Row, err error) ([]slope.Row, error) { return []slope.Row{row}, err }

var allSeries = []series{
	{"entry, agents", []int{10, 100, 1000}, func(r *slope.Runner, name string, n int) ([]slope.Row, error) {
		return singleRow(r.MeasureEntry(name, n, n, 100, 12))
	}},
	{"entry, teams with 10 agents", []int{100, 5000, 22000}, func(r *slope.Runner, name string, n int) ([]slope.Row, error) {
		return singleRow(r.MeasureEntry(name, n, 10, n, 12))
	}},
	{"entry, pipelines with 10 agents", []int{12, 48, 192}, func(r *slope.Runner, name string, n int) ([]slope.Row, error) {
		return singleRow(r.MeasureEntry(name, n, 10, 100, n))
	}},
	{"agent, entries", []int{1, 10, 40}, func(r *slope.Runner, name string, n int) ([]slope.Row, error) {
		return singleRow(r.MeasureAgent(name, n, n, 100))
	}},
	{"agent, teams", []int{100, 5000, 22000}, func(r *slope.Runner, name string, n int) ([]slope.Row, error) {
		return singleRow(r.MeasureAgent(name, n, 1, n))
	}},
	{"requests", []int{50, 200, 600}, func(r *slope.Runner, _ string, n int) ([]slope.Row, error) {
		return r.MeasureRequests(n)
	}},
}

// runSeries runs the series whose names match. It returns the rows of the
// successful measurements and the joined errors of the others.
func runSeries(r *slope.Runner, only *regexp.Regexp) ([]slope.Row, error) {
	var rows []slope.Row
	var errs []error
	for _, s := range allSeries {
		if !only.MatchString(s.name) {
			continue
		}
		for _, n := range s.sizes {
			sizeRows, err := s.measure(r, s.name, n)
			if err != nil {
				errs = append(errs, fmt.Errorf("series %s, size %d: %w", s.name, n, err))
				continue
			}
			for _, row := range sizeRows {
				fmt.Printf("%s, %d: %.2f%% of a core, %.1f MB, %.2f KB/s of control traffic\n", row.Series, row.Size, row.CPUPercent, row.RSSMB, row.ControlKBPerSec)
			}
			rows = append(rows, sizeRows...)
		}
	}
	return rows, errors.Join(errs...)
}

// writeSlopes writes the rows as a Markdown table.
func writeSlopes(out io.Writer, rows []slope.Row) {
	w := tabwriter.NewWriter(out, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "| what grows\t| size\t| % of a core\t| MB\t| control KB/s\t| change in force after\t|")
	fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s\t| %d\t| %.2f\t| %.1f\t| %.2f\t| %s\t|\n", r.Series, r.Size, r.CPUPercent, r.RSSMB, r.ControlKBPerSec, formatDuration(r.Propagation))
	}
	_ = w.Flush() // if this fails, the page is incomplete
}
