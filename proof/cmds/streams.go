package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/stream"
)

// Streams implements the streams command, which runs as many relays as a large deployment
// has while callers take streams up at other relays.
type Streams struct {
	Root     string        `long:"root" default:"." description:"root directory of the repository"`
	Bin      string        `long:"bin" description:"directory with a relay that was built before; empty: it is built"`
	Dir      string        `long:"dir" description:"directory for settings and logs, one for each seed; empty: the one for temporary files"`
	Seeds    int           `long:"seeds" default:"1" description:"number of runs"`
	From     uint64        `long:"from" default:"1" description:"seed of the first run"`
	Relays   int           `long:"relays" default:"68" description:"number of relays"`
	Duration time.Duration `long:"duration" default:"90s" description:"duration of the load in each run"`
	Rate     float64       `long:"rate" default:"30" description:"streams per second; the sheet has 118"`
	Breaks   float64       `long:"breaks" default:"0.3" description:"share of the streams that callers break off themselves"`
	Retries  int           `long:"retries" default:"3" description:"retries of a caller; the sheet has 1"`
	Least    int           `long:"least" default:"100" description:"streams that must go on after they were taken up"`
	Scale    float64       `long:"scale" default:"1" description:"factor of the sheet's shares of a core; a relay that has used its share of 100 ms stands still until the next"`
	Quiet    bool          `long:"quiet" description:"print only the verdicts"`
	Keep     bool          `long:"keep" description:"keep settings and logs of all runs, not only of those that failed"`
}

var errStreams = errors.New("some runs failed")

// Execute runs all seeds. It returns an error if a stream was wrong, too few went on, or a
// run couldn't be carried out.
func (s *Streams) Execute([]string) error {
	bin := s.Bin
	if bin == "" {
		var err error
		if bin, err = os.MkdirTemp("", "wigeonplank-streams-bin-"); err != nil {
			return fmt.Errorf("create temporary directory: %w", err)
		}
		defer func() { _ = os.RemoveAll(bin) }() // if this fails, only built programs are left
		if err := fleet.Build(s.Root, bin, "relay"); err != nil {
			return err
		}
	}
	failed := 0
	for seed := s.From; seed < s.From+uint64(s.Seeds); seed++ {
		if !s.runSeed(seed, bin) {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d", errStreams, failed, s.Seeds)
	}
	return nil
}

// runSeed executes one run, prints its verdict, and reports whether it passed.
func (s *Streams) runSeed(seed uint64, bin string) bool {
	root := s.Dir
	if root == "" {
		root = os.TempDir()
	}
	dir := filepath.Join(root, fmt.Sprint("streams-", seed))
	if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o755)); err != nil {
		fmt.Println("create run directory:", err)
		return false
	}
	start := time.Now()
	res, err := stream.Run{
		Seed: seed, Relays: s.Relays, Duration: s.Duration, Rate: s.Rate, Breaks: s.Breaks, Retries: s.Retries, Least: s.Least, Scale: s.Scale,
		Dir: dir, Bin: bin, Logf: func(format string, args ...any) {
			if !s.Quiet {
				fmt.Printf("  %6.2fs %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
			}
		},
	}.Run(context.Background())
	ok := err == nil && res.OK()
	if err == nil && !res.OK() {
		err = os.WriteFile(filepath.Join(dir, "wrong.txt"), []byte(strings.Join(res.Wrong, "\n\n")), 0o600)
	}
	if ok && !s.Keep {
		_ = os.RemoveAll(dir) // if this fails, only settings and logs are left
	}
	if err != nil {
		fmt.Printf("seed %d: FAILED, settings and logs in %s: %v\n", seed, dir, err)
		return false
	}
	fmt.Printf("seed %d, %d relays, %.1f streams a second: %s\n", seed, s.Relays, s.Rate, res)
	return ok
}
