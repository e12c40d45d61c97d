// Package chaos runs short loads against a fleet while failures drawn from a
// seed come over it, two at a time, and judges what the callers were told.
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

// fault is one failure. on brings it about and returns how to end it.
type fault struct {
	name string
	on   func(f *fleet.Fleet, rng *rand.Rand) (what string, off func() error, err error)
}

func none() error { return nil }

var faults = []fault{
	{"kill", killOne},
	{"pause", pauseOne},
	{"slow", endpointFault("slow", `{"slow": 5}`)},
	{"failing", endpointFault("fails every third call of", `{"fail_every": 3, "fail_after": true}`)},
	{"cold", endpointFault("cold again without a word:", `{"cold": true, "quiet": true}`)},
	{"no reports", endpointFault("no load reports of", `{"no_report": true}`)},
	{"broken streams", endpointFault("streams break of", `{"break_after": 10, "double": true}`)},
	{"lost answers", endpointFault("answers get lost of", `{"drop_answer": true}`)},
	{"config down", standinFault("configuration service down", func(f *fleet.Fleet) string { return f.Config }, `{"down": true}`)},
	{"config stale", standinFault("configuration service stale", func(f *fleet.Fleet) string { return f.Config }, `{"pin": 1}`)},
	{"list down", standinFault("instance list down", func(f *fleet.Fleet) string { return f.Entries[0].List }, `{"down": true}`)},
	{"list backwards", standinFault("instance list goes backwards", func(f *fleet.Fleet) string { return f.Entries[0].List }, `{"pin": 1}`)},
	{"silent", relayFault(fleet.RelaySwallow)},
	{"partition", relayFault(fleet.RelayBlack)},
	{"cut", relayFault(fleet.RelayCut)},
	{"delay", relayFault(fleet.RelayDelay)},
	{"drain", drainZone},
	{"leaving", leaveOne},
}

func anyEndpoint(f *fleet.Fleet, rng *rand.Rand) *fleet.Endpoint {
	return f.Endpoints[rng.IntN(len(f.Endpoints))]
}

func anyProc(f *fleet.Fleet, rng *rand.Rand) string {
	if rng.IntN(3) == 0 {
		return f.Entries[rng.IntN(len(f.Entries))].Name
	}
	return anyEndpoint(f, rng).Instance.ID
}

func killOne(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	name := anyProc(f, rng)
	if !f.Proc(name).Running() {
		return name + " is down already", none, nil
	}
	return "kill " + name, func() error { return f.Restart(name) }, f.Kill(name)
}

func pauseOne(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	p := f.Proc(anyProc(f, rng))
	if !p.Running() {
		return p.Name + " is down already", none, nil
	}
	thaw := func() error {
		if !p.Running() {
			return nil // the other fault ended it
		}
		return p.Signal(syscall.SIGCONT)
	}
	return "pause " + p.Name, thaw, p.Signal(syscall.SIGSTOP)
}

func endpointFault(what, faults string) func(*fleet.Fleet, *rand.Rand) (string, func() error, error) {
	return func(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
		e := anyEndpoint(f, rng)
		off := func() error { return f.Fault(e.Addr, "{}") }
		return what + " " + e.Instance.ID, off, f.Fault(e.Addr, faults)
	}
}

func standinFault(what string, addr func(*fleet.Fleet) string, faults string) func(*fleet.Fleet, *rand.Rand) (string, func() error, error) {
	return func(f *fleet.Fleet, _ *rand.Rand) (string, func() error, error) {
		a := addr(f)
		return what, func() error { return f.Fault(a, "{}") }, f.Fault(a, faults)
	}
}

func relayFault(m fleet.RelayMode) func(*fleet.Fleet, *rand.Rand) (string, func() error, error) {
	return func(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
		entry := f.Entries[rng.IntN(len(f.Entries))].Name
		instance := ""
		if rng.IntN(2) == 0 {
			instance = anyEndpoint(f, rng).Instance.ID
		}
		f.Relays.Set(entry, instance, m)
		off := func() error { f.Relays.Set(entry, instance, fleet.RelayPass); return nil }
		return fmt.Sprintf("links %s to %q: %s", entry, instance, m), off, nil
	}
}

func drainZone(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	zone := f.Plan.Zones[rng.IntN(len(f.Plan.Zones))]
	set := func(s conf.ZoneState) error {
		return f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(zone, s))
	}
	return "drain " + zone, func() error { return set(conf.ZoneServing) }, set(conf.ZoneDrained)
}

// leaveOne marks an instance as leaving. It never comes back under its ID.
func leaveOne(f *fleet.Fleet, rng *rand.Rand) (string, func() error, error) {
	e := anyEndpoint(f, rng)
	for _, other := range f.Endpoints {
		if other.Instance.State == roster.StateLeaving {
			return other.Instance.ID + " is leaving already", none, nil
		}
	}
	e.Instance.State = roster.StateLeaving
	return "leaving " + e.Instance.ID, none, f.PublishList(f.Instances())
}

// Story is what came over a fleet in one run.
type Story struct {
	Seed  uint64
	Lines []string
}

// pair is how many faults come over a fleet in one run.
const pair = 2

// strike brings two faults about, one after the other, and ends them in the
// order in which they came.
func (s *Story) strike(f *fleet.Fleet, rng *rand.Rand) error {
	offs := make([]func() error, 0, pair)
	errs := make([]error, 0, 2*pair)
	for range pair {
		wait(rng)
		chosen := faults[rng.IntN(len(faults))]
		what, off, err := chosen.on(f, rng)
		s.Lines = append(s.Lines, what)
		offs = append(offs, off)
		errs = append(errs, err)
	}
	for _, off := range offs {
		wait(rng)
		errs = append(errs, off())
	}
	return errors.Join(errs...)
}

func wait(rng *rand.Rand) { time.Sleep(time.Duration(200+rng.IntN(900)) * time.Millisecond) }
