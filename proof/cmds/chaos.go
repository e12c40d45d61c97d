package cmds

import (
	"fmt"
	"os"
	"path/filepath"

	"wigeonplank.example/proof/chaos"
	"wigeonplank.example/proof/fleet"
)

// Chaos is the command chaos.
type Chaos struct {
	Root  string `long:"root" default:"." description:"top of the repository"`
	First uint64 `long:"first" default:"1" description:"first seed"`
	Seeds uint64 `long:"seeds" default:"10" description:"how many seeds"`
	Keep  bool   `long:"keep" description:"keep the folders with settings and logs"`
}

// Execute runs the seeds. It returns an error if one fails.
func (c *Chaos) Execute([]string) error {
	top, err := os.MkdirTemp("", "wigeonplank-chaos-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if !c.Keep {
		defer func() { _ = os.RemoveAll(top) }()
	}
	if err := fleet.Build(c.Root, top); err != nil {
		return err
	}
	plan, err := chaos.Plan()
	if err != nil {
		return err
	}
	failed := 0
	for seed := c.First; seed < c.First+c.Seeds; seed++ {
		dir := filepath.Join(top, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return fmt.Errorf("make folder: %w", err)
		}
		story, err := chaos.Run(plan, dir, top, seed)
		fmt.Printf("seed %d: %q\n", seed, story.Lines)
		if err != nil {
			failed++
			fmt.Printf("  FAILED in %s: %v\n", dir, err)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, c.Seeds)
	}
	return nil
}
