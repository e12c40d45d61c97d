package scene_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/wpctl/load"
)

// stage is what one script acts on.
type stage struct {
	fleet  *fleet.Fleet
	marks  map[string]int
	values map[string]string

	mu      sync.Mutex
	calls   map[string]*pending
	history []ticketUse
	loaded  chan loadResult
}

type loadResult struct {
	report *load.Report
	err    error
}

type stageKey struct{}

func newStage() *stage {
	return &stage{marks: make(map[string]int), values: make(map[string]string), calls: make(map[string]*pending)}
}

// strike ends the fleet and looks for what went wrong unseen.
func (s *stage) strike() error {
	if s.fleet == nil {
		return nil
	}
	return errors.Join(s.fleet.Stop(), races(s.fleet.Dir))
}

// line is a command's words; those of the form key=value are options.
type line struct {
	ts    *testscript.TestScript
	s     *stage
	words []string
	opts  map[string]string
	neg   bool
}

type command func(*line) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, f := range map[string]command{
		"fleet":   startFleet,
		"crash":   crash,
		"freeze":  signal("STOP"),
		"thaw":    signal("CONT"),
		"term":    signal("TERM"),
		"ended":   awaitEnd,
		"restart": restart,
		"fault":   setFault,
		"relay":   relay,
		"publish": publish,
		"list":    publishList,
		"await":   await,
		"mark":    mark,
		"same":    same,
		"send":    send,
		"start":   startSend,
		"finish":  waitSend,
		"reply":   reply,
		"effects": effects,
		"outcome": outcome,
		"history": history,
		"once":    checkOnce,
		"load":    startLoad,
		"loaded":  endLoad,
		"reads":   reads,
		"pause":   pause,
	} {
		out[name] = wrap(f)
	}
	return out
}

func wrap(f command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, list []string) {
		l := &line{ts: ts, s: ts.Value(stageKey{}).(*stage), opts: make(map[string]string), neg: neg}
		for _, w := range list {
			if k, v, ok := strings.Cut(w, "="); ok && !strings.HasPrefix(w, "{") {
				l.opts[k] = v
				continue
			}
			l.words = append(l.words, w)
		}
		err := f(l)
		if err == nil && neg {
			ts.Fatalf("expected a failure")
		}
		if err != nil && !neg {
			ts.Fatalf("%v", err)
		}
	}
}

func (l *line) word(i int) string {
	if i >= len(l.words) {
		l.ts.Fatalf("word %d is missing", i)
	}
	return l.words[i]
}

func (l *line) duration(key, otherwise string) time.Duration {
	v := l.opts[key]
	if v == "" {
		v = otherwise
	}
	d, err := time.ParseDuration(v)
	l.ts.Check(err)
	return d
}

// fleet FILE: start the deployment that a plan describes.
func startFleet(l *line) error {
	plan, err := fleet.Load(l.ts.MkAbs(l.word(0)))
	if err != nil {
		return err
	}
	dir := l.ts.MkAbs("run")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	l.s.fleet, err = fleet.New(plan, dir, binDir)
	if err != nil {
		return err
	}
	return l.s.fleet.Start(context.Background())
}

// pause DURATION: let time pass. Nothing is judged by it.
func pause(l *line) error {
	d, err := time.ParseDuration(l.word(0))
	time.Sleep(d)
	return err
}

// addr returns the address of a stand-in: config, weights, list-N or that of an
// instance's endpoint.
func (l *line) addr(name string) string {
	f := l.s.fleet
	switch {
	case name == "config":
		return f.Config
	case name == "weights":
		return f.Weights
	case strings.HasPrefix(name, "list-"):
		for _, e := range f.Entries {
			if strings.TrimPrefix(e.Name, "entry-") == strings.TrimPrefix(name, "list-") {
				return e.List
			}
		}
	}
	if e := f.Endpoint(name); e != nil {
		return e.Addr
	}
	l.ts.Fatalf("no stand-in %q", name)
	return ""
}

// fault STAND-IN JSON: replace a stand-in's faults.
func setFault(l *line) error { return l.s.fleet.Fault(l.addr(l.word(0)), l.word(1)) }

// relay ENTRY|* INSTANCE|* MODE.
func relay(l *line) error {
	all := func(s string) string { return strings.Trim(s, "*") }
	l.s.fleet.Relays.Set(all(l.word(0)), all(l.word(1)), fleet.RelayMode(l.word(2)))
	return nil
}

// started returns how often an endpoint began work.
func (l *line) started(instance string) (int, error) {
	e := l.s.fleet.Endpoint(instance)
	if e == nil {
		return 0, fmt.Errorf("no endpoint %q", instance)
	}
	h, err := l.s.fleet.History(e)
	return h.Starts, err
}

// mark INSTANCE...: remember how often the endpoints began work.
func mark(l *line) error {
	for _, name := range l.words {
		n, err := l.started(name)
		if err != nil {
			return err
		}
		l.s.marks[name] = n
	}
	return nil
}

// same INSTANCE...: the endpoints began nothing since the mark.
func same(l *line) error {
	for _, name := range l.words {
		n, err := l.started(name)
		if err != nil {
			return err
		}
		if n != l.s.marks[name] {
			return fmt.Errorf("%s began %d units of work since the mark", name, n-l.s.marks[name])
		}
	}
	return nil
}

// history INSTANCE KEY OP N, OP being at_most or at_least.
func history(l *line) error {
	h, err := l.s.fleet.History(l.s.fleet.Endpoint(l.word(0)))
	if err != nil {
		return err
	}
	got, ok := map[string]int{"overruns": h.Overruns, "most_cold": h.MostCold, "most": h.Most, "starts": h.Starts}[l.word(1)]
	if !ok {
		return fmt.Errorf("unknown key %q", l.word(1))
	}
	return compare(l.word(0)+" "+l.word(1), got, l.word(2), l.word(3))
}

func compare(what string, got int, op, bound string) error {
	var n int
	if _, err := fmt.Sscan(bound, &n); err != nil {
		return err
	}
	if (op == "at_most" && got > n) || (op == "at_least" && got < n) || (op == "is" && got != n) {
		return fmt.Errorf("%s is %d, expected %s %d", what, got, op, n)
	}
	return nil
}

// reads at_most N: the configuration service's calls in its busiest second.
func reads(l *line) error {
	c, err := l.s.fleet.ConfigCounts()
	if err != nil {
		return err
	}
	return compare("reads in a second", c.Busiest, l.word(0), l.word(1))
}

func scriptFile(l *line, name string) ([]byte, error) {
	return os.ReadFile(filepath.Clean(l.ts.MkAbs(name)))
}
