package deploy_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/proof/fleet"
)

var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "wigeonplank-deploy-")
	if err == nil {
		err = fleet.BuildRace(filepath.Join("..", ".."), dir, "relay", "wpctl", "agent", "entry")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)
		os.Exit(1)
	}
	binDir = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// TestDeploy runs the scripts in testdata. They act on relays that run as separate
// processes, built with the race detector, against a stand-in of the platform.
func TestDeploy(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			s, err := newScriptState(env.WorkDir)
			if err != nil {
				return err
			}
			env.Values[scriptStateKey{}] = s
			env.Defer(func() {
				if err := s.close(); err != nil {
					env.T().Fatal(err)
				}
			})
			return nil
		},
		Cmds: commands(),
	})
}

// TestSoak runs relays under overlapping faults that fixed seeds choose. Seed 1003 found
// callers that close only their sending side and get no response, seed 1004 kept connections that were
// closed although a request had arrived.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1000, 1003, 1004} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			v, err := deploy.Soak{Seed: seed, Duration: 8 * time.Second, Rate: 60, Dir: t.TempDir(), Bin: binDir, Logf: t.Logf}.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if !v.OK() {
				t.Error(v)
			}
		})
	}
}
