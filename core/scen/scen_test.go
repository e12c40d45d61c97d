// Package scen_test runs the scripted scenarios of the core: a fake clock, the
// deciding types, and what is expected of them.
package scen_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/place"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

// world is what one script acts on.
type world struct {
	clock   *clock.Fake
	gate    *gate.Gate
	fx      gate.Effects
	keepers map[string]*conf.Tracker
	rosters map[string]*roster.Roster
	books   map[string]*ticket.SerialTable
	serials map[string]*wire.Serial
	tables  map[string]*runs.Table
	planner *planner
	relay   relayWorld
}

type planner struct {
	place.Planner
	in place.Input
}

type worldKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[worldKey{}] = &world{
				clock:   clock.NewFake(time.Unix(1_000_000, 0)),
				keepers: make(map[string]*conf.Tracker),
				rosters: make(map[string]*roster.Roster),
				books:   make(map[string]*ticket.SerialTable),
				serials: make(map[string]*wire.Serial),
				tables:  make(map[string]*runs.Table),
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"clock":  command(clockCmd),
			"gate":   command(gateCmd),
			"keeper": command(keeperCmd),
			"roster": command(rosterCmd),
			"book":   command(bookCmd),
			"table":  command(tableCmd),
			"plan":   command(planCmd),
			"view":   command(viewCmd),
			"config": command(configCmd),
			"pick":   command(pickCmd),
			"batch":  command(batchCmd),
			"group":  command(groupCmd),
			"share":  command(shareCmd),
			"events": command(eventsCmd),
		},
	})
}

// args are a command's words; the ones of the form key=value are options.
type args struct {
	ts    *testscript.TestScript
	words []string
	opts  map[string]string
}

func command(f func(*world, *args) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, list []string) {
		a := &args{ts: ts, opts: make(map[string]string)}
		for _, s := range list {
			if k, v, ok := strings.Cut(s, "="); ok {
				a.opts[k] = v
				continue
			}
			a.words = append(a.words, s)
		}
		err := f(ts.Value(worldKey{}).(*world), a)
		if neg && err == nil {
			ts.Fatalf("expected a failure")
		}
		if !neg && err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

func (a *args) word(i int) string {
	if i >= len(a.words) {
		a.ts.Fatalf("word %d is missing", i)
	}
	return a.words[i]
}

func (a *args) int(key string, otherwise int) int {
	v, ok := a.opts[key]
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	a.ts.Check(err)
	return n
}

func (a *args) duration(key string, otherwise time.Duration) time.Duration {
	v, ok := a.opts[key]
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	a.ts.Check(err)
	return d
}

func want[T comparable](what string, got, expected T) error {
	if got != expected {
		return fmt.Errorf("%s is %v, expected %v", what, got, expected)
	}
	return nil
}

func clockCmd(w *world, a *args) error {
	d, err := time.ParseDuration(a.word(0))
	w.clock.Advance(d)
	return err
}
