// Package scene_test runs the scripts in testdata. Each script starts a whole
// deployment as separate processes built with the race detector, injects
// failures and checks one invariant of the system.
package scene_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"wigeonplank.example/proof/fleet"
)

// binDir is the directory of the programs that TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "wigeonplank-scene-")
	if err == nil {
		err = fleet.BuildRace(filepath.Join("..", ".."), dir)
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

func TestScenes(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			s := newScene()
			env.Values[sceneKey{}] = s
			env.Defer(func() {
				if err := s.stop(); err != nil {
					env.T().Fatal(err)
				}
			})
			return nil
		},
		Cmds: commands(),
	})
}

// checkLogs returns an error with an excerpt if a log in dir contains a data
// race, a panic or a fatal error.
func checkLogs(dir string) error {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	for _, name := range logs {
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, marker := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if i := bytes.Index(raw, []byte(marker)); i >= 0 {
				return fmt.Errorf("%s: %s", filepath.Base(name), raw[i:min(i+3000, len(raw))])
			}
		}
	}
	return nil
}
