package stream_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/stream"
)

var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "wigeonplank-streams-")
	if err == nil {
		err = fleet.BuildRace(filepath.Join("..", ".."), dir, "relay")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build relay:", err)
		os.Exit(1)
	}
	binDir = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// TestRun guards against streams that go on at another version, or not as they must, while all
// relays of a small deployment are lost soon after entries of engines lapsed.
func TestRun(t *testing.T) {
	res, err := stream.Run{
		Seed: 35, Relays: 10, Duration: 15 * time.Second, Rate: 20, Breaks: 0.3, Retries: 3, Least: 20, Scale: 1,
		Dir: t.TempDir(), Bin: binDir, Logf: t.Logf,
	}.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Log(res)
	if !res.OK() {
		for _, w := range res.Wrong {
			t.Log(w)
		}
		t.Error("a stream was wrong, or too few went on")
	}
}
