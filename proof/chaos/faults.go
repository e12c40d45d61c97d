// Package chaos runs a short load against a fleet while a pair of faults drawn
// from a seed overlaps, and verifies what the callers received.
package chaos

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/proof/fleet"
)

// faultType is a type of failure. inject chooses a target, injects the failure
// and returns a description of it and a function that clears it.
type faultType struct {
	name   string
	inject func(f *fleet.Fleet, rng *rand.Rand) (desc string, clearFault func() error, err error)
}

// noop clears a fault that needs no clearing.
func noop() error { return nil }

// faultTypes is the set from which seeds draw: its length and order decide what
// a seed injects.
var faultTypes = []faultType{
	{"kill", killProcess},
	{"pause", pauseProcess},
	{"slow", endpointFault("endpoint is slow:", `{"slow": 5}`)},
	// Engines and pools fail every third call. Plain services execute every call
	// and answer it with an error.
	{"failing", endpointFault("endpoint fails calls:", `{"fail_every": 3, "fail_after": true}`)},
	{"cold", endpointFault("endpoint is cold without reporting it:", `{"cold": true, "quiet": true}`)},
	{"no reports", endpointFault("endpoint reports no load:", `{"no_report": true}`)},
	{"broken streams", endpointFault("endpoint breaks streams:", `{"break_after": 10, "double": true}`)},
	{"lost answers", endpointFault("endpoint runs calls without answering:", `{"drop_answer": true}`)},
	{"config down", serviceFault("configuration service is down", func(f *fleet.Fleet) string { return f.ConfigAddr }, `{"down": true}`)},
	{"config stale", serviceFault("configuration service is stale", func(f *fleet.Fleet) string { return f.ConfigAddr }, `{"pin": 1}`)},
	{"list down", serviceFault("instance list is down", func(f *fleet.Fleet) string { return f.Entries[0].ListAddr }, `{"down": true}`)},
	{"list stale", serviceFault("instance list returns to version 1", func(f *fleet.Fleet) string { return f.Entries[0].ListAddr }, `{"pin": 1}`)},
	{"silent connections", linkFault(fleet.ProxyDropExisting)},
	{"partition", linkFault(fleet.ProxyDropAll)},
	{"cut", linkFault(fleet.ProxyCut)},
	{"delay", linkFault(fleet.ProxyDelay)},
	{"drain", drainZone},
	{"leaving", markLeaving},
}

func randomEndpoint(f *fleet.Fleet, rng *rand.Rand) *fleet.Endpoint {
	return f.Endpoints[rng.IntN(len(f.Endpoints))]
}

// randomProcess returns the name of an entry with probability 1/3, otherwise the
// instance of an agent.
func randomProcess(f *fleet.Fleet, rng *rand.Rand) string {
	if rng.IntN(3) == 0 {
		return f.Entries[rng.IntN(len(f.Entries))].Name
	}
	return randomEndpoint(f, rng).Instance.ID
}

// killProcess kills an entry or an agent with SIGKILL.
func killProcess(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	name := randomProcess(f, rng)
	if !f.Proc(name).Running() {
		return name + " is not running", noop, nil
	}
	return "kill " + name, func() error { return f.Restart(name) }, f.Kill(name)
}

// pauseProcess stops an entry or an agent with SIGSTOP.
func pauseProcess(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	p := f.Proc(randomProcess(f, rng))
	if !p.Running() {
		return p.Name + " is not running", noop, nil
	}
	resume := func() error {
		if !p.Running() {
			return nil // killed by the other fault
		}
		return p.Signal(syscall.SIGCONT)
	}
	return "pause " + p.Name, resume, p.Signal(syscall.SIGSTOP)
}

// endpointFault returns a fault of the stand-in of a random endpoint. faults is
// the JSON object that the stand-in accepts; it ignores members of other kinds
// of stand-in.
func endpointFault(desc, faults string) func(*fleet.Fleet, *rand.Rand) (string, func() error, error) {
	return func(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
		e := randomEndpoint(f, rng)
		clearFault := func() error { return f.SetFault(e.Addr, "{}") }
		return desc + " " + e.Instance.ID, clearFault, f.SetFault(e.Addr, faults)
	}
}

// serviceFault returns a fault of the configuration service or of an instance
// list.
func serviceFault(desc string, addr func(*fleet.Fleet) string, faults string) func(*fleet.Fleet, *rand.Rand) (string, func() error, error) {
	return func(f *fleet.Fleet, _ *rand.Rand) (string, func() error, error) {
		a := addr(f)
		return desc, func() error { return f.SetFault(a, "{}") }, f.SetFault(a, faults)
	}
}

// linkFault returns a fault of the links of a random entry: of the link to one
// random agent, or with probability 1/2 of the links to all agents.
func linkFault(m fleet.ProxyMode) func(*fleet.Fleet, *rand.Rand) (string, func() error, error) {
	return func(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
		entry := f.Entries[rng.IntN(len(f.Entries))].Name
		instance := ""
		if rng.IntN(2) == 0 {
			instance = randomEndpoint(f, rng).Instance.ID
		}
		f.Proxies.SetMode(entry, instance, m)
		clearFault := func() error { f.Proxies.SetMode(entry, instance, fleet.ProxyPass); return nil }
		return fmt.Sprintf("links %s to %q: %s", entry, instance, m), clearFault, nil
	}
}

// drainZone publishes a random availability zone as drained.
func drainZone(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	zone := f.Plan.Zones[rng.IntN(len(f.Plan.Zones))]
	publish := func(s conf.ZoneState) error {
		return f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(zone, s))
	}
	return "drain " + zone, func() error { return publish(conf.ZoneServing) }, publish(conf.ZoneDrained)
}

// markLeaving publishes an instance as leaving. An instance never returns under
// the same ID, so the fault isn't cleared, and at most one instance leaves per
// run.
func markLeaving(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	e := randomEndpoint(f, rng)
	for _, other := range f.Endpoints {
		if other.Instance.State == roster.StateLeaving {
			return other.Instance.ID + " is already leaving", noop, nil
		}
	}
	e.Instance.State = roster.StateLeaving
	return "leaving " + e.Instance.ID, noop, f.PublishList(f.Instances())
}

// Summary describes the faults injected in one run.
type Summary struct {
	Seed   uint64
	Faults []string // one description per fault, in order of injection
}

// faultsPerRun is the number of faults that overlap in one run.
const faultsPerRun = 2

// injectFaults injects faultsPerRun random faults one after the other and then
// clears them in the same order, with a random delay before each step.
func (s *Summary) injectFaults(f *fleet.Fleet, rng *rand.Rand) error {
	clearFuncs := make([]func() error, 0, faultsPerRun)
	errs := make([]error, 0, 2*faultsPerRun)
	for range faultsPerRun {
		sleepRandom(rng)
		chosen := faultTypes[rng.IntN(len(faultTypes))]
		desc, clearFault, err := chosen.inject(f, rng)
		s.Faults = append(s.Faults, desc)
		clearFuncs = append(clearFuncs, clearFault)
		errs = append(errs, err)
	}
	for _, clearFault := range clearFuncs {
		sleepRandom(rng)
		errs = append(errs, clearFault())
	}
	return errors.Join(errs...)
}

// sleepRandom sleeps for 200 to 1099 ms.
func sleepRandom(rng *rand.Rand) { time.Sleep(time.Duration(200+rng.IntN(900)) * time.Millisecond) }
