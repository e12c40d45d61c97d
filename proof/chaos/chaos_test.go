package chaos_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"wigeonplank.example/proof/chaos"
	"wigeonplank.example/proof/fleet"
)

// seeds are the seeds that CI runs; `make chaos SEEDS=N` runs more. A seed that
// fails is turned into a script of proof/scene.
var seeds = []uint64{1, 2, 3, 4, 5, 6}

// Guards against faults that the system handles one at a time but not in pairs:
// a caller gets a wrong or untrue response, or the fleet doesn't serve again
// after both are cleared.
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
			summary, err := chaos.Run(plan, dir, bin, seed)
			if err != nil {
				t.Errorf("faults %q: %v", summary.Faults, err)
			}
		})
	}
}
