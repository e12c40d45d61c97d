package deploy_test

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	agentsets "wigeonplank.example/agent/sets"
	base "wigeonplank.example/base/sets"
	entrysets "wigeonplank.example/entry/sets"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/relay/sets"
)

const (
	signalsInSeries = 20
	signalGap       = 10 * time.Millisecond
)

// TestSignals guards against a daemon that ends by itself: keepers, agents and entries ended by
// SIGHUP, and each daemon by a log line that it wrote after the reader of its output had gone.
func TestSignals(t *testing.T) {
	for name, d := range map[string]struct {
		program  string
		args     []string
		settings func(addr []string) any // addr[0] is the one that is dialled
	}{
		"relay": {"relay", nil, func(addr []string) any {
			return sets.Settings{
				Instance: "r", Zone: "z1", HTTP: base.Listen{Listen: addr[0]}, Admin: base.Listen{Listen: addr[1]},
				Peers: sets.Peers{Listen: addr[2]}, Store: addr[3], Stop: sets.Stop{Timeout: time.Second},
			}
		}},
		"keeper": {"relay", []string{"--keeper"}, func(addr []string) any {
			return sets.Keeper{Instance: "k", Links: base.Listen{Listen: addr[0]}}
		}},
		"agent": {"agent", nil, func(addr []string) any {
			return agentsets.Settings{
				Instance: "a", Zone: "z1", Link: base.Listen{Listen: addr[0]}, Admin: base.Listen{Listen: addr[1]},
				Endpoint: agentsets.Endpoint{Address: addr[2], Kind: agentsets.KindService, Slots: 1, ColdSlots: 1}, Stop: agentsets.Stop{Timeout: time.Second},
			}
		}},
		"entry": {"entry", nil, func(addr []string) any {
			return entrysets.Settings{
				Instance: "e", Zone: "z1", HTTP: entrysets.HTTP{Listen: addr[0]}, Admin: base.Listen{Listen: addr[1]},
				Platform: entrysets.Platform{Config: addr[2], List: addr[3]}, Stop: entrysets.Stop{AcceptPeriod: 300 * time.Millisecond, Timeout: time.Second},
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addrs, err := fleet.FreeAddrs(4)
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(t.TempDir(), "settings.yaml")
			raw, err := yaml.Marshal(d.settings(addrs))
			if err == nil {
				err = os.WriteFile(file, raw, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			p, output := startWithPipe(t, filepath.Join(binDir, d.program), append(d.args, "--settings", file)...)
			if err := await("listener", func() bool { return dials(addrs[0]) }); err != nil {
				t.Fatal(err)
			}
			_ = output.Close() // from here on, writes of the daemon fail
			if err := os.WriteFile(file, append(raw, "oops: 1\n"...), 0o600); err != nil {
				t.Fatal(err)
			}
			sendSeries(p, syscall.SIGHUP)
			time.Sleep(time.Second) // a daemon that reads the file by itself has read it
			if !dials(addrs[0]) {
				t.Fatalf("it no longer listens: %v", p.Wait())
			}
			sendSeries(p, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
			if err := p.Wait(); err != nil {
				t.Errorf("it didn't stop in order: %v", err)
			}
		})
	}
}

// startWithPipe starts a program whose output goes to a pipe, and returns the end to read.
func startWithPipe(t *testing.T, program string, args ...string) (*exec.Cmd, *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := exec.Command(program, args...)
	p.Stdout, p.Stderr = w, w
	err = errors.Join(p.Start(), w.Close())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() }) // fails if it has ended
	return p, r
}

// sendSeries sends signals to a process, in turn and again and again.
func sendSeries(p *exec.Cmd, signals ...syscall.Signal) {
	for i := range signalsInSeries {
		_ = p.Process.Signal(signals[i%len(signals)]) // fails only if it has ended
		time.Sleep(signalGap)
	}
}

func dials(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}
