package chaos_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"wigeonplank.example/proof/chaos"
	"wigeonplank.example/proof/fleet"
)

// seeds are those that CI runs; `make chaos SEEDS=N` runs more. A seed that was
// found to fail becomes a scenario.
var seeds = []uint64{1, 2, 3, 4, 5, 6}

func TestPairsOfFailures(t *testing.T) {
	bin := t.TempDir()
	if err := fleet.BuildRace(filepath.Join("..", ".."), bin); err != nil {
		t.Fatal(err)
	}
	plan, err := chaos.Plan()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "run")
			if err := os.MkdirAll(dir, 0o755); err != nil {
				t.Fatal(err)
			}
			story, err := chaos.Run(plan, dir, bin, seed)
			if err != nil {
				t.Errorf("%v: %v", story.Lines, err)
			}
		})
	}
}
