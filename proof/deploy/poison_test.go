package deploy_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
)

// exposureGrace is the time after which few requests that crash endpoints may still reach
// any, once they have crashed some.
const exposureGrace = 3 * time.Second

// poisonPart implements the command
//
//	poison part=PART | path=PATH body=TEXT | data=KEY
//
// It makes engines crash when they begin to answer a request with a prompt part,
// endpoints when they begin to run a request with a path and a body, or those of stages
// when they begin to run an item with a key.
func poisonPart(cmd *command) error {
	switch s := cmd.state.dep.Site; {
	case cmd.opts["part"] != "":
		s.PoisonPromptPart(cmd.opts["part"])
	case cmd.opts["data"] != "":
		s.PoisonItem(cmd.opts["data"])
	default:
		s.PoisonRequest(cmd.opts["path"], cmd.opts["body"])
	}
	return nil
}

// startPlain implements the command
//
//	plain ID ZONE
//
// It starts a plain endpoint.
func startPlain(cmd *command) error { return cmd.state.dep.Site.StartPlain(cmd.arg(0), cmd.arg(1)) }

// startStage implements the command
//
//	stage ID ZONE SERVICE
//
// It starts an endpoint of a stage.
func startStage(cmd *command) error {
	return cmd.state.dep.Site.StartStage(cmd.arg(0), cmd.arg(1), cmd.arg(2))
}

// sendMixed implements the command
//
//	mixed COUNT GAP EVERY PATH RELAY... part=PART | path=PATH body=TEXT
//
// It sends COUNT requests, one every GAP (a duration), to the relays in turn, and waits
// for their responses, whatever they are. All share the first part of their prompts. One
// of EVERY has PART as another part, or the path and body of the options; the others have
// PATH followed by a number.
func sendMixed(cmd *command) error {
	gap, err := time.ParseDuration(cmd.arg(1))
	cmd.ts.Check(err)
	every, relays := cmd.intArg(2), cmd.args[4:]
	calls := make([]*call, 0, cmd.intArg(0))
	start := time.Now()
	for i := range cmd.intArg(0) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * gap)))
		bad := i%every == every-1
		// The relays change also for the requests that crash endpoints.
		addr := cmd.relay(relays[(i+i/every)%len(relays)]).Settings.HTTP.Listen
		c, parts := mixedCall(cmd, i, bad)
		fields := site.Call{AttemptID: c.name, APIKey: site.StandardKey, Deadline: defaultDeadline, PromptParts: parts}
		go func() {
			defer close(c.done)
			c.send(addr, site.StandardHost, fields, "", "")
		}()
		calls = append(calls, c)
		if !bad {
			cmd.state.sound = append(cmd.state.sound, c)
		}
	}
	for _, c := range calls {
		<-c.done
	}
	return nil
}

// mixedCall returns request i of the command mixed and the parts of its prompt. bad says
// whether it is one that crashes endpoints.
func mixedCall(cmd *command, i int, bad bool) (*call, []string) {
	c := &call{name: fmt.Sprintf("mixed-%d", i), uri: fmt.Sprint(cmd.arg(3), i), done: make(chan struct{})}
	if path := cmd.opts["path"]; path != "" {
		if bad {
			c.uri, c.requestBody = path, cmd.opts["body"]
		}
		return c, nil
	}
	parts := []string{"aa:60", fmt.Sprintf("b%x:20", i%16), fmt.Sprintf("c%x:20", i)}
	if bad {
		parts[1] = cmd.opts["part"] + ":20"
	}
	return c, parts
}

// checkExposures implements the command
//
//	exposed AFTER CRASHES LATE
//
// It checks that requests that crash endpoints have crashed at least one and at most
// CRASHES, and that at most LATE of them reached endpoints later than exposureGrace after
// crash number AFTER.
func checkExposures(cmd *command) error {
	crashes, late := 0, 0
	var graceEnd time.Time
	for _, x := range cmd.state.dep.Site.Exposures() {
		if crashes >= cmd.intArg(0) && x.At.After(graceEnd) {
			late++
		}
		if x.Crashed {
			crashes++
		}
		if x.Crashed && crashes == cmd.intArg(0) {
			graceEnd = x.At.Add(exposureGrace)
		}
	}
	if crashes == 0 || crashes > cmd.intArg(1) || late > cmd.intArg(2) {
		return fmt.Errorf("%d endpoints crashed, want 1 to %s; %d requests late, want at most %s", crashes, cmd.arg(1), late, cmd.arg(2))
	}
	return nil
}

// checkSuspects implements the command
//
//	suspects RELAY PATTERN
//
// It waits until a line that wpctl prints of a relay's suspects matches a pattern.
func checkSuspects(cmd *command) error { return awaitOutput(cmd, "suspects") }

// awaitOutput waits until a line that a command of wpctl prints of a relay matches a
// pattern.
func awaitOutput(cmd *command, name string) error {
	pattern := regexp.MustCompile("(?m)" + cmd.arg(1))
	return await(fmt.Sprintf("%s that match %q", name, cmd.arg(1)), func() bool {
		out, err := exec.Command(filepath.Join(binDir, "wpctl"), name, cmd.relay(cmd.arg(0)).Settings.Admin.Listen).CombinedOutput()
		if err != nil {
			cmd.ts.Logf("wpctl %s: %v: %s", name, err, out)
		}
		return err == nil && pattern.Match(out)
	})
}

// checkSound implements the command
//
//	sound PERCENT
//
// It checks that at least PERCENT of the last half of the sound requests of the command
// mixed were answered in full.
func checkSound(cmd *command) error {
	list := cmd.state.sound[len(cmd.state.sound)/2:]
	served := 0
	failures := make(map[string]int)
	for _, c := range list {
		if c.err == nil && c.status == fasthttp.StatusOK && c.signed {
			served++
			continue
		}
		failures[fmt.Sprint(c.status, c.err)]++
	}
	if served*100 < len(list)*cmd.intArg(0) {
		var b strings.Builder
		for f, n := range failures {
			fmt.Fprintf(&b, "; %d ended with %s", n, f)
		}
		return fmt.Errorf("%d of %d sound requests were answered%s", served, len(list), b.String())
	}
	return nil
}
