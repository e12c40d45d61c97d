package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/slope"
)

// Slopes is the command slopes.
type Slopes struct {
	Root string `long:"root" default:"." description:"top of the repository"`
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
	rows, err := sweep(&slope.Runner{Bin: top, Top: top})
	file, createErr := os.Create(filepath.Join(s.Root, s.Out))
	if createErr != nil {
		return errors.Join(err, createErr)
	}
	writeSlopes(os.Stdout, rows)
	fmt.Fprint(file, "What one process costs as its surroundings grow. Written by `make slopes`.\n\n")
	writeSlopes(file, rows)
	return errors.Join(err, file.Close())
}

func sweep(r *slope.Runner) ([]slope.Row, error) {
	var rows []slope.Row
	var errs []error
	add := func(row slope.Row, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s, %d: %w", row.What, row.Size, err))
			return
		}
		fmt.Printf("%s, %d: %.2f%% of a core, %.1f MB, %.2f KB/s\n", row.What, row.Size, row.Core, row.RSS, row.Control)
		rows = append(rows, row)
	}
	for _, n := range []int{10, 100, 1000} {
		add(r.Entry("entry, agents", n, n, 100, 12))
	}
	for _, n := range []int{100, 5000, 22000} {
		add(r.Entry("entry, teams with 10 agents", n, 10, n, 12))
	}
	for _, n := range []int{12, 48, 192} {
		add(r.Entry("entry, pipelines with 10 agents", n, 10, 100, n))
	}
	for _, n := range []int{1, 10, 40} {
		add(r.Agent("agent, entries", n, n, 100))
	}
	for _, n := range []int{100, 5000, 22000} {
		add(r.Agent("agent, teams", n, 1, n))
	}
	for _, n := range []int{50, 200, 600} {
		got, err := r.Requests(n)
		for _, row := range got {
			add(row, err)
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
