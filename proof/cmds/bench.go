package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"wigeonplank.example/proof/bench"
	"wigeonplank.example/proof/fleet"
)

// Bench implements the bench command, which measures the serving policy against
// baselines.
type Bench struct {
	Root      string `long:"root" default:"." description:"root directory of the repository"`
	Repeats   int    `long:"repeats" default:"3" description:"number of runs of each scenario with each variant; repeats are interleaved"`
	Scenarios string `long:"scenarios" default:"." description:"regular expression; runs the scenarios whose names match"`
	Variants  string `long:"variants" default:"." description:"regular expression; runs the variants whose names match"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of the request arrivals"`
	Out       string `long:"out" default:"docs/bench" description:"directory for the results, relative to the root"`
	Keep      bool   `long:"keep" description:"keep the directory with settings and logs"`
}

// Execute runs the selected scenarios and writes the results. Failed runs are
// left out of the results and reported in the returned error.
func (b *Bench) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-bench-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	if b.Keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if err := fleet.Build(b.Root, dir); err != nil {
		return err
	}
	plan, err := fleet.LoadPlan(filepath.Join(b.Root, "proof", "bench", "fleet.yaml"))
	if err != nil {
		return err
	}
	rows, err := b.runAll(&bench.Bench{Plan: plan, Bin: dir, Dir: dir, Seed: b.Seed})
	return errors.Join(err, b.writeResults(rows))
}

// runAll runs the selected scenarios with the selected variants. It returns the
// rows of the successful runs and the joined errors of the others.
func (b *Bench) runAll(runner *bench.Bench) ([]bench.Row, error) {
	scenarios, err := regexp.Compile(b.Scenarios)
	if err != nil {
		return nil, fmt.Errorf("--scenarios: %w", err)
	}
	variants, err := regexp.Compile(b.Variants)
	if err != nil {
		return nil, fmt.Errorf("--variants: %w", err)
	}
	var rows []bench.Row
	var errs []error
	for n := range b.Repeats {
		for _, s := range bench.Scenarios {
			for _, v := range bench.Variants {
				if !scenarios.MatchString(s.Name) || !variants.MatchString(v.Name) {
					continue
				}
				runRows, err := runner.Run(s, v, n)
				if err != nil {
					errs = append(errs, fmt.Errorf("scenario %s, variant %s, repeat %d: %w", s.Name, v.Name, n, err))
					continue
				}
				fmt.Printf("%-15s %-18s %d  %.1f%% in time, p99 %s, %d refused attempts, %d violations\n",
					s.Name, v.Name, n, 100*runRows[0].Attainment, runRows[0].P99, runRows[0].Refusals, runRows[0].Violations)
				rows = append(rows, runRows...)
			}
		}
	}
	return rows, errors.Join(errs...)
}

// writeResults writes the CSV file, the table of medians and the plot, and prints
// the table.
func (b *Bench) writeResults(rows []bench.Row) error {
	if len(rows) == 0 {
		return nil
	}
	dir := filepath.Join(b.Root, b.Out)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create results directory: %w", err)
	}
	csvFile, err := os.Create(filepath.Join(dir, "results.csv"))
	if err != nil {
		return fmt.Errorf("create results file: %w", err)
	}
	tableFile, err := os.Create(filepath.Join(dir, "results.md"))
	if err != nil {
		return fmt.Errorf("create results file: %w", err)
	}
	fmt.Fprintf(tableFile, "Medians over the repeats, for the whole mix of requests. Written by `make bench`.\n\n")
	return errors.Join(
		bench.WriteCSV(csvFile, rows), csvFile.Close(),
		bench.WriteTable(tableFile, rows), tableFile.Close(),
		bench.WritePlot(dir, rows),
		bench.WriteTable(os.Stdout, rows),
	)
}
