// Package scene_test runs the scripted scenarios of whole deployments, as
// separate processes built with the race detector.
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
			s := newStage()
			env.Values[stageKey{}] = s
			env.Defer(func() {
				if err := s.strike(); err != nil {
					env.T().Fatal(err)
				}
			})
			return nil
		},
		Cmds: commands(),
	})
}

// races returns what the race detector wrote into the logs in dir.
func races(dir string) error {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	for _, name := range logs {
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, mark := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if i := bytes.Index(raw, []byte(mark)); i >= 0 {
				return fmt.Errorf("%s: %s", filepath.Base(name), raw[i:min(i+3000, len(raw))])
			}
		}
	}
	return nil
}
