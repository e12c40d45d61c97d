package deploy_test

import (
	"fmt"
	"time"
)

// limitRate implements the command
//
//	limit ENDPOINT RATE|none
//
// It makes an endpoint name a limit of RATE requests per second, or none.
func limitRate(cmd *command) error {
	rate := cmd.arg(1)
	if rate == "none" {
		rate = ""
	}
	cmd.endpoint(cmd.arg(0)).LimitRate(rate)
	return nil
}

// sayLeaving implements the command
//
//	leaving ENDPOINT
//
// It makes an endpoint say in all responses that it leaves.
func sayLeaving(cmd *command) error {
	cmd.endpoint(cmd.arg(0)).Leave()
	return nil
}

// closeEndpoint implements the command
//
//	closed ENDPOINT SECONDS N
//
// It makes an endpoint reject the next N requests and name a retry delay.
func closeEndpoint(cmd *command) error {
	cmd.endpoint(cmd.arg(0)).CloseFor(cmd.arg(1), cmd.intArg(2))
	return nil
}

// checkArrived implements the command
//
//	arrived ENDPOINT FROM TO MIN MAX
//
// It checks how many requests arrived at an endpoint between two times after it first
// said that it leaves or named a retry delay.
func checkArrived(cmd *command) error {
	from, err := time.ParseDuration(cmd.arg(1))
	cmd.ts.Check(err)
	to, err := time.ParseDuration(cmd.arg(2))
	cmd.ts.Check(err)
	if n := cmd.endpoint(cmd.arg(0)).ArrivalsSinceMark(from, to); n < cmd.intArg(3) || n > cmd.intArg(4) {
		return fmt.Errorf("%d requests arrived at %s", n, cmd.arg(0))
	}
	return nil
}

// restartEndpoint implements the command
//
//	restart ENDPOINT
//
// It makes an endpoint another incarnation of itself, and registers it.
func restartEndpoint(cmd *command) error {
	cmd.endpoint(cmd.arg(0)).Restart()
	return cmd.state.dep.Site.Register(cmd.arg(0), "ready")
}

// startAgain implements the command
//
//	again ENDPOINT VERSION
//
// It starts a crashed endpoint again at its address, with a software version, and leaves
// its store entry.
func startAgain(cmd *command) error {
	return cmd.state.dep.Site.StartAgain(cmd.arg(0), cmd.arg(1))
}

const (
	arrivalWindow = 4 * time.Second
	limitGrace    = 3 * time.Second // after a limit is first named, before arrivals count
)

// checkMostArrivals implements the command
//
//	most ENDPOINT MIN MAX
//
// It checks the highest number of requests that an endpoint got in any
// arrivalWindow, from limitGrace after it first named a limit.
func checkMostArrivals(cmd *command) error {
	times := cmd.endpoint(cmd.arg(0)).Arrivals(limitGrace)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > arrivalWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	if most < cmd.intArg(1) || most > cmd.intArg(2) {
		return fmt.Errorf("%s got %d requests in %s, want %s to %s", cmd.arg(0), most, arrivalWindow, cmd.arg(1), cmd.arg(2))
	}
	return nil
}

// startEngine implements the command
//
//	engine ID ZONE VERSION WORK
//
// It starts an engine of a software version that needs WORK, a duration, for each
// event.
func startEngine(cmd *command) error {
	work, err := time.ParseDuration(cmd.arg(3))
	cmd.ts.Check(err)
	return cmd.state.dep.Site.StartEngine(cmd.arg(0), cmd.arg(1), cmd.arg(2), work)
}

// drainUsed implements the command
//
//	leave CALL
//
// It registers the endpoints that ran the request of a call as draining.
func drainUsed(cmd *command) error {
	for id := range cmd.runsOf(cmd.arg(0)) {
		if err := cmd.state.dep.Site.Register(id, "draining"); err != nil {
			return err
		}
	}
	return nil
}

// checkVersions implements the command
//
//	builds N CALL...
//
// It checks that the endpoints that ran the requests of the calls have N software
// versions.
func checkVersions(cmd *command) error {
	versions := make(map[string]bool)
	for _, name := range cmd.args[1:] {
		for id := range cmd.runsOf(name) {
			versions[cmd.endpoint(id).Version] = true
		}
	}
	if len(versions) != cmd.intArg(0) {
		return fmt.Errorf("ran at versions %v", versions)
	}
	return nil
}

// pause implements the command
//
//	pause D
//
// It waits for a duration.
func pause(cmd *command) error {
	d, err := time.ParseDuration(cmd.arg(0))
	cmd.ts.Check(err)
	time.Sleep(d)
	return nil
}
