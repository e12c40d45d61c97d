package cmds

import (
	"fmt"
	"os"
	"path/filepath"

	"wigeonplank.example/proof/chaos"
	"wigeonplank.example/proof/fleet"
)

// Chaos implements the chaos command, which runs a small fleet under pairs of
// faults.
type Chaos struct {
	Root  string `long:"root" default:"." description:"root directory of the repository"`
	First uint64 `long:"first" default:"1" description:"first seed"`
	Seeds uint64 `long:"seeds" default:"10" description:"number of seeds"`
	Keep  bool   `long:"keep" description:"keep the directories with settings and logs"`
}

// Execute runs all seeds. It returns an error if any of them fails.
func (c *Chaos) Execute([]string) error {
	baseDir, err := os.MkdirTemp("", "wigeonplank-chaos-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	if !c.Keep {
		defer func() { _ = os.RemoveAll(baseDir) }()
	}
	if err := fleet.Build(c.Root, baseDir); err != nil {
		return err
	}
	plan, err := chaos.Plan()
	if err != nil {
		return err
	}
	failed := 0
	for seed := c.First; seed < c.First+c.Seeds; seed++ {
		dir := filepath.Join(baseDir, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return fmt.Errorf("create directory of seed %d: %w", seed, err)
		}
		run, err := chaos.Run(plan, dir, baseDir, seed)
		fmt.Printf("seed %d: %q\n", seed, run.Faults)
		if err != nil {
			failed++
			fmt.Printf("  FAILED, settings and logs in %s: %v\n", dir, err)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, c.Seeds)
	}
	return nil
}
