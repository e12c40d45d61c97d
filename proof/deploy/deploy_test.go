package deploy_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"wigeonplank.example/proof/fleet"
)

var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "wigeonplank-deploy-")
	if err == nil {
		err = fleet.BuildRace(filepath.Join("..", ".."), dir, "relay", "wpctl")
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
