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

// Soak is the command soak.
type Soak struct {
	Root     string        `long:"root" default:"." description:"top of the repository"`
	Seeds    int           `long:"seeds" default:"10" description:"how many runs"`
	From     uint64        `long:"from" description:"seed of the first run; 0: by the time of day"`
	Duration time.Duration `long:"duration" default:"8s" description:"time with faults, of each run"`
	Rate     float64       `long:"rate" default:"60" description:"requests a second"`
	Quiet    bool          `long:"quiet" description:"tell only the verdicts"`
}

var errSoak = errors.New("some runs broke a promise")

// Execute runs the soak. It returns an error if a run broke a promise; its
// settings and logs are kept then.
func (s *Soak) Execute([]string) error {
	bin, err := os.MkdirTemp("", "wigeonplank-soak-bin-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(bin) }() // only built programs
	if err := fleet.BuildRace(s.Root, bin, "relay"); err != nil {
		return err
	}
	if s.From == 0 {
		s.From = uint64(time.Now().Unix())
	}
	failed := 0
	for seed := s.From; seed < s.From+uint64(s.Seeds); seed++ {
		if !s.one(seed, bin) {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d", errSoak, failed, s.Seeds)
	}
	return nil
}

func (s *Soak) one(seed uint64, bin string) bool {
	dir := filepath.Join(os.TempDir(), fmt.Sprint("wigeonplank-soak-", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Println("make folder:", err)
		return false
	}
	began := time.Now()
	run := deploy.Soak{Seed: seed, Duration: s.Duration, Rate: s.Rate, Dir: dir, Bin: bin, Say: func(format string, args ...any) {
		if !s.Quiet {
			fmt.Printf("  %6.2fs %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
		}
	}}
	v, err := run.Run(context.Background())
	ok := err == nil && v.OK()
	run.Kept(!ok)
	switch {
	case err != nil:
		fmt.Printf("seed %d: FAILED, logs in %s: %v\n", seed, dir, err)
	case !ok:
		fmt.Printf("seed %d: FAILED, logs in %s: %s\n", seed, dir, v)
	default:
		fmt.Printf("seed %d: ok, %s\n", seed, v)
	}
	return ok
}
