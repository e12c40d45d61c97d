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

// Bench is the command bench.
type Bench struct {
	Root      string `long:"root" default:"." description:"top of the repository"`
	Repeats   int    `long:"repeats" default:"3" description:"runs of each scenario with each variant, interleaved"`
	Scenarios string `long:"scenarios" default:"." description:"regular expression over the names"`
	Variants  string `long:"variants" default:"." description:"regular expression over the names"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of the arrivals"`
	Out       string `long:"out" default:"docs/bench" description:"folder for the results, below the root"`
	Keep      bool   `long:"keep" description:"keep the folders with settings and logs"`
}

// Execute measures and writes the results. Runs that fail are named and left
// out.
func (b *Bench) Execute([]string) error {
	top, err := os.MkdirTemp("", "wigeonplank-bench-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if b.Keep {
		fmt.Println("settings and logs:", top)
	} else {
		defer func() { _ = os.RemoveAll(top) }()
	}
	if err := fleet.Build(b.Root, top); err != nil {
		return err
	}
	plan, err := fleet.Load(filepath.Join(b.Root, "proof", "bench", "fleet.yaml"))
	if err != nil {
		return err
	}
	rows, err := b.runs(&bench.Bench{Plan: plan, Bin: top, Top: top, Seed: b.Seed})
	return errors.Join(err, b.write(rows))
}

func (b *Bench) runs(r *bench.Bench) ([]bench.Row, error) {
	scenarios, err := regexp.Compile(b.Scenarios)
	if err != nil {
		return nil, fmt.Errorf("--scenarios: %w", err)
	}
	variants, err := regexp.Compile(b.Variants)
	if err != nil {
		return nil, fmt.Errorf("--variants: %w", err)
	}
	var rows []bench.Row
	var failed []error
	for n := range b.Repeats {
		for _, s := range bench.Scenarios {
			for _, v := range bench.Variants {
				if !scenarios.MatchString(s.Name) || !variants.MatchString(v.Name) {
					continue
				}
				got, err := r.Run(s, v, n)
				if err != nil {
					failed = append(failed, fmt.Errorf("%s, %s, repeat %d: %w", s.Name, v.Name, n, err))
					continue
				}
				fmt.Printf("%-15s %-18s %d  %.1f%% in time, p99 %s, %d refused, %d wrong\n",
					s.Name, v.Name, n, 100*got[0].Attainment, got[0].P99, got[0].Refused, got[0].Wrong)
				rows = append(rows, got...)
			}
		}
	}
	return rows, errors.Join(failed...)
}

func (b *Bench) write(rows []bench.Row) error {
	if len(rows) == 0 {
		return nil
	}
	dir := filepath.Join(b.Root, b.Out)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	csv, err := os.Create(filepath.Join(dir, "results.csv"))
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	table, err := os.Create(filepath.Join(dir, "results.md"))
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	fmt.Fprintf(table, "Medians of the repeats, whole mix. Written by `make bench`.\n\n")
	return errors.Join(
		bench.WriteCSV(csv, rows), csv.Close(),
		bench.WriteTable(table, rows), table.Close(),
		bench.Plot(dir, rows),
		bench.WriteTable(os.Stdout, rows),
	)
}
