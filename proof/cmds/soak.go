package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/proof/fleet"
)

// Soak implements the soak command, which runs relays under overlapping faults
// chosen by seed.
type Soak struct {
	Root     string        `long:"root" default:"." description:"root directory of the repository"`
	Seeds    int           `long:"seeds" default:"10" description:"number of runs"`
	From     uint64        `long:"from" description:"seed of the first run; 0 derives it from the current time"`
	Duration time.Duration `long:"duration" default:"8s" description:"duration of the faults in each run"`
	Rate     float64       `long:"rate" default:"60" description:"requests per second"`
	Quiet    bool          `long:"quiet" description:"print only the verdicts"`
}

var errSoak = errors.New("some runs violated a guarantee")

// Execute runs all seeds. It returns an error if a run violated a guarantee or
// failed, and keeps the settings and logs of such runs.
func (s *Soak) Execute([]string) error {
	bin, err := os.MkdirTemp("", "wigeonplank-soak-bin-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(bin) }() // if this fails, only built programs are left
	if err := fleet.BuildRace(s.Root, bin, "relay"); err != nil {
		return err
	}
	if s.From == 0 {
		s.From = uint64(time.Now().Unix())
	}
	failed := 0
	for seed := s.From; seed < s.From+uint64(s.Seeds); seed++ {
		if !s.runSeed(seed, bin) {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d", errSoak, failed, s.Seeds)
	}
	return nil
}

// runSeed executes one run, prints its verdict, and reports whether it passed.
func (s *Soak) runSeed(seed uint64, bin string) bool {
	dir := filepath.Join(os.TempDir(), fmt.Sprint("wigeonplank-soak-", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Println("create run directory:", err)
		return false
	}
	start := time.Now()
	run := deploy.Soak{Seed: seed, Duration: s.Duration, Rate: s.Rate, Dir: dir, Bin: bin, Logf: func(format string, args ...any) {
		if !s.Quiet {
			fmt.Printf("  %6.2fs %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
		}
	}}
	v, err := run.Run(context.Background())
	ok := err == nil && v.OK()
	run.RemoveDir(!ok)
	switch {
	case err != nil:
		fmt.Printf("seed %d: FAILED, settings and logs in %s: %v\n", seed, dir, err)
	case !ok:
		fmt.Printf("seed %d: FAILED, settings and logs in %s: %s\n", seed, dir, v)
	default:
		fmt.Printf("seed %d: ok, %s\n", seed, v)
	}
	return ok
}
