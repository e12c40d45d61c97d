// Package scen_test runs the scenario scripts of testdata. A script drives the
// decision types of the core with a fake clock and checks their decisions.
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

// scriptState is the state that the commands of one script share.
type scriptState struct {
	clock         *clock.Fake
	gate          *gate.Gate
	effects       gate.Effects                   // of the latest gate finish, report or tick
	trackers      map[string]*conf.Tracker       // by process name
	rosters       map[string]*roster.Roster      // by process name
	serialTables  map[string]*ticket.SerialTable // by agent name
	serials       map[string]*wire.Serial        // by the name that the script gives them
	attemptTables map[string]*runs.Table         // by agent name
	planner       *plannerState
	relay         relayState
}

// plannerState is a planner with the input of its next step.
type plannerState struct {
	place.Planner
	input place.Input
}

// scriptStateKey is the key of the *scriptState in testscript.Env.Values.
type scriptStateKey struct{}

// TestScenarios runs each script of testdata as a subtest.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[scriptStateKey{}] = &scriptState{
				clock:         clock.NewFake(time.Unix(1_000_000, 0)),
				trackers:      make(map[string]*conf.Tracker),
				rosters:       make(map[string]*roster.Roster),
				serialTables:  make(map[string]*ticket.SerialTable),
				serials:       make(map[string]*wire.Serial),
				attemptTables: make(map[string]*runs.Table),
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"clock":  adaptCommand(runClock),
			"gate":   adaptCommand(runGate),
			"keeper": adaptCommand(runKeeper),
			"roster": adaptCommand(runRoster),
			"book":   adaptCommand(runBook),
			"table":  adaptCommand(runTable),
			"plan":   adaptCommand(runPlan),
			"view":   adaptCommand(runView),
			"config": adaptCommand(runConfig),
			"pick":   adaptCommand(runPick),
			"batch":  adaptCommand(runBatch),
			"group":  adaptCommand(runGroup),
			"prompt": adaptCommand(runPrompt),
			"share":  adaptCommand(runShare),
			"events": adaptCommand(runEvents),
		},
	})
}

// args are the arguments of a command. Those of the form key=value are options,
// the others are positional.
type args struct {
	ts         *testscript.TestScript
	positional []string
	options    map[string]string
}

// adaptCommand returns run as a testscript command. The command fails if run
// returns an error, or, when the script negates the command, if it returns none.
func adaptCommand(run func(*scriptState, *args) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, argv []string) {
		a := &args{ts: ts, options: make(map[string]string)}
		for _, arg := range argv {
			if k, v, ok := strings.Cut(arg, "="); ok {
				a.options[k] = v
				continue
			}
			a.positional = append(a.positional, arg)
		}
		err := run(ts.Value(scriptStateKey{}).(*scriptState), a)
		if neg && err == nil {
			ts.Fatalf("command succeeded, want an error")
		}
		if !neg && err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// arg returns the positional argument of index i and fails the script if there
// is none.
func (a *args) arg(i int) string {
	if i >= len(a.positional) {
		a.ts.Fatalf("positional argument %d is missing", i)
	}
	return a.positional[i]
}

func (a *args) intOption(key string, defaultValue int) int {
	v, ok := a.options[key]
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	a.ts.Check(err)
	return n
}

func (a *args) durationOption(key string, defaultValue time.Duration) time.Duration {
	v, ok := a.options[key]
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	a.ts.Check(err)
	return d
}

// checkEqual returns an error that names what was compared if got isn't want.
func checkEqual[T comparable](what string, got, want T) error {
	if got != want {
		return fmt.Errorf("%s is %v, want %v", what, got, want)
	}
	return nil
}

// runClock implements the command clock, which advances the fake clock:
//
//	clock DURATION
func runClock(st *scriptState, a *args) error {
	d, err := time.ParseDuration(a.arg(0))
	st.clock.Advance(d)
	return err
}
