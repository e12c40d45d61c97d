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

// scene is the state of one running script: the deployment under test and what
// the script's commands have recorded so far.
type scene struct {
	fleet        *fleet.Fleet
	markedStarts map[string]int    // starts of each instance's endpoint at its last mark
	tickets      map[string]string // tickets by the name that the script gave them

	mu         sync.Mutex       // guards calls and ticketUses
	calls      map[string]*call // by the name that the script gave them
	ticketUses []ticketUse
	loaded     chan loadResult // receives one value when the load ends
}

// loadResult is what load.Run returned.
type loadResult struct {
	report *load.Report
	err    error
}

// sceneKey is the key of the scene among the script's environment values.
type sceneKey struct{}

func newScene() *scene {
	return &scene{markedStarts: make(map[string]int), tickets: make(map[string]string), calls: make(map[string]*call)}
}

// stop stops the fleet. It returns an error if a process doesn't exit cleanly,
// or if a log contains a data race, a panic or a fatal error.
func (s *scene) stop() error {
	if s.fleet == nil {
		return nil
	}
	return errors.Join(s.fleet.Stop(), checkLogs(s.fleet.Dir))
}

// invocation is one use of a command in a script. Arguments of the form
// key=value are options; the others are positional.
type invocation struct {
	ts    *testscript.TestScript
	scene *scene
	args  []string
	opts  map[string]string
	neg   bool // the command is expected to fail
}

// command executes one command of a script.
type command func(*invocation) error

// commands returns the commands of the scripts by name.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, f := range map[string]command{
		"fleet":   startFleet,
		"crash":   killProcesses,
		"freeze":  signalProcesses("STOP"),
		"thaw":    signalProcesses("CONT"),
		"term":    signalProcesses("TERM"),
		"ended":   awaitExit,
		"restart": restartProcesses,
		"fault":   setFault,
		"relay":   setLinkMode,
		"publish": publishDocument,
		"list":    publishList,
		"await":   awaitCondition,
		"mark":    markStarts,
		"same":    checkNoNewStarts,
		"send":    sendCall,
		"start":   startCall,
		"finish":  awaitCall,
		"reply":   checkReply,
		"effects": checkEffects,
		"outcome": awaitOutcome,
		"history": checkHistory,
		"once":    checkTicketHistory,
		"load":    startLoad,
		"loaded":  checkLoad,
		"reads":   checkConfigReads,
		"pause":   pause,
	} {
		out[name] = adaptCommand(f)
	}
	return out
}

// adaptCommand returns f as a command of testscript: it parses the arguments
// and fails the script unless f returns an error exactly when neg is set.
func adaptCommand(f command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		inv := &invocation{ts: ts, scene: ts.Value(sceneKey{}).(*scene), opts: make(map[string]string), neg: neg}
		for _, arg := range args {
			// A JSON object is positional even if it contains "=".
			if k, v, ok := strings.Cut(arg, "="); ok && !strings.HasPrefix(arg, "{") {
				inv.opts[k] = v
				continue
			}
			inv.args = append(inv.args, arg)
		}
		err := f(inv)
		if err == nil && neg {
			ts.Fatalf("the command succeeded, expected an error")
		}
		if err != nil && !neg {
			ts.Fatalf("%v", err)
		}
	}
}

// arg returns the i-th positional argument. The script fails if it is missing.
func (inv *invocation) arg(i int) string {
	if i >= len(inv.args) {
		inv.ts.Fatalf("positional argument %d is missing", i)
	}
	return inv.args[i]
}

// duration returns the option key as a duration, or defaultValue if the option
// is missing.
func (inv *invocation) duration(key, defaultValue string) time.Duration {
	v := inv.opts[key]
	if v == "" {
		v = defaultValue
	}
	d, err := time.ParseDuration(v)
	inv.ts.Check(err)
	return d
}

// startFleet implements "fleet FILE": start the deployment that the plan in
// FILE describes and wait until it is ready.
func startFleet(inv *invocation) error {
	plan, err := fleet.LoadPlan(inv.ts.MkAbs(inv.arg(0)))
	if err != nil {
		return err
	}
	dir := inv.ts.MkAbs("run")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	inv.scene.fleet, err = fleet.New(plan, dir, binDir)
	if err != nil {
		return err
	}
	return inv.scene.fleet.Start(context.Background())
}

// pause implements "pause DURATION": sleep. A script uses it to let a fault
// take effect; no check depends on the exact duration.
func pause(inv *invocation) error {
	d, err := time.ParseDuration(inv.arg(0))
	time.Sleep(d)
	return err
}

// addr returns the address of a stand-in: "config" and "weights" are the
// configuration service and the weight store, "list-N" is the instance list of
// entry N, and an instance ID is that instance's endpoint. The script fails if
// there is none.
func (inv *invocation) addr(name string) string {
	f := inv.scene.fleet
	switch {
	case name == "config":
		return f.ConfigAddr
	case name == "weights":
		return f.WeightsAddr
	case strings.HasPrefix(name, "list-"):
		for _, e := range f.Entries {
			if strings.TrimPrefix(e.Name, "entry-") == strings.TrimPrefix(name, "list-") {
				return e.ListAddr
			}
		}
	}
	if e := f.Endpoint(name); e != nil {
		return e.Addr
	}
	inv.ts.Fatalf("no stand-in %q", name)
	return ""
}

// setFault implements "fault STAND-IN JSON": replace all faults of a stand-in.
func setFault(inv *invocation) error {
	return inv.scene.fleet.SetFault(inv.addr(inv.arg(0)), inv.arg(1))
}

// setLinkMode implements "relay ENTRY|* INSTANCE|* MODE": set the mode of the
// link proxies between entries and instances; "*" selects all.
func setLinkMode(inv *invocation) error {
	emptyIfAll := func(s string) string { return strings.Trim(s, "*") }
	inv.scene.fleet.Proxies.SetMode(emptyIfAll(inv.arg(0)), emptyIfAll(inv.arg(1)), fleet.ProxyMode(inv.arg(2)))
	return nil
}

// starts returns how many calls an instance's endpoint has started so far.
func (inv *invocation) starts(instance string) (int, error) {
	e := inv.scene.fleet.Endpoint(instance)
	if e == nil {
		return 0, fmt.Errorf("no endpoint %q", instance)
	}
	h, err := inv.scene.fleet.History(e)
	return h.Starts, err
}

// markStarts implements "mark INSTANCE...": record how many calls each endpoint
// has started, for a later "same".
func markStarts(inv *invocation) error {
	for _, name := range inv.args {
		n, err := inv.starts(name)
		if err != nil {
			return err
		}
		inv.scene.markedStarts[name] = n
	}
	return nil
}

// checkNoNewStarts implements "same INSTANCE...": fail if an endpoint has
// started a call since its mark.
func checkNoNewStarts(inv *invocation) error {
	for _, name := range inv.args {
		n, err := inv.starts(name)
		if err != nil {
			return err
		}
		if n != inv.scene.markedStarts[name] {
			return fmt.Errorf("endpoint %s has started %d calls since the mark, expected none", name, n-inv.scene.markedStarts[name])
		}
	}
	return nil
}

// checkHistory implements "history INSTANCE KEY OP N": compare a counter of an
// endpoint with a bound. KEY is overruns (starts above the cold limit while
// cold), most_cold and most (maximum concurrent calls, while cold and overall)
// or starts; OP is at_most, at_least or is.
func checkHistory(inv *invocation) error {
	h, err := inv.scene.fleet.History(inv.scene.fleet.Endpoint(inv.arg(0)))
	if err != nil {
		return err
	}
	got, ok := map[string]int{"overruns": h.Overruns, "most_cold": h.MaxRunningCold, "most": h.MaxRunning, "starts": h.Starts}[inv.arg(1)]
	if !ok {
		return fmt.Errorf("unknown key %q", inv.arg(1))
	}
	return checkBound(inv.arg(0)+" "+inv.arg(1), got, inv.arg(2), inv.arg(3))
}

// checkBound returns an error unless "got op bound" is true. what names the
// value in the error.
func checkBound(what string, got int, op, bound string) error {
	var n int
	if _, err := fmt.Sscan(bound, &n); err != nil {
		return err
	}
	if (op == "at_most" && got > n) || (op == "at_least" && got < n) || (op == "is" && got != n) {
		return fmt.Errorf("%s is %d, expected %s %d", what, got, op, n)
	}
	return nil
}

// checkConfigReads implements "reads OP N": compare the maximum number of calls
// that the configuration service received in one second with a bound. OP is as
// for "history".
func checkConfigReads(inv *invocation) error {
	c, err := inv.scene.fleet.ConfigCounts()
	if err != nil {
		return err
	}
	return checkBound("maximum of configuration reads per second", c.MaxPerSecond, inv.arg(0), inv.arg(1))
}

// readScriptFile returns the content of a file of the script's archive.
func readScriptFile(inv *invocation, name string) ([]byte, error) {
	return os.ReadFile(filepath.Clean(inv.ts.MkAbs(name)))
}
