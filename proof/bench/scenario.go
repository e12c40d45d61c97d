// Package bench measures how the serving policy behaves under load and faults.
// Each scenario runs against the product and against baselines, in interleaved
// runs.
package bench

import (
	"fmt"
	"syscall"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/proof/fleet"
)

// A run is divided into quarters: faults start after the first quarter and end
// after the third.
const (
	RunDuration     = 6 * time.Second
	quarterDuration = RunDuration / 4
)

// capacityPerSecond is the number of generation requests per second that the
// three engines of the plan sustain: 8 slots each, and per request 60 tokens of
// 4 ms and 8 ms of prefill, at 1.5 times the duration that a request takes on an
// idle engine.
const capacityPerSecond = 3 * 8 / (1.5 * (60*0.004 + 0.008))

// reviewShare is the fraction of the mix that needs an engine.
const reviewShare = 0.7

// Scenario is one combination of load and faults.
type Scenario struct {
	Name        string
	Description string
	Load        float64 // offered load, as a fraction of the engines' capacity
	Burst       float64 // additional load in the second quarter, as a fraction of the capacity
	// Before runs ahead of the load, and During runs concurrently with it. Either
	// may be nil.
	Before func(f *fleet.Fleet) error
	During func(f *fleet.Fleet) error
	// DrainedZone is the zone that During drains, or empty if it drains none.
	DrainedZone string
}

// Rate returns the requests per second that use the given fraction of the
// engines' capacity.
func Rate(fraction float64) float64 { return fraction * capacityPerSecond / reviewShare }

// Scenarios lists all scenarios in the order of the reports.
var Scenarios = []Scenario{
	{Name: "steady_50", Description: "50% of the capacity", Load: 0.5},
	{Name: "steady_80", Description: "80% of the capacity", Load: 0.8},
	{Name: "steady_110", Description: "110% of the capacity", Load: 1.1},
	{Name: "burst", Description: "50% of the capacity, and 150% for a quarter of the run", Load: 0.5, Burst: 1.0},
	{Name: "slow_endpoint", Description: "one of three engines takes 5 times as long", Load: 0.5, During: forMiddleHalf(faultOn("gen-0", `{"slow": 5}`))},
	{Name: "slow_stage", Description: "all encoders and retrievers take 5 times as long", Load: 0.5, During: forMiddleHalf(faultOnAll(`{"slow": 5}`, "pool-0", "pool-1", "pool-2"))},
	{Name: "cold_added", Description: "two of three engines are cold for the first half of the run", Load: 0.5, Before: makeEnginesCold, During: warmEnginesAtHalf},
	{Name: "warm_to_cold", Description: "a warm engine turns cold without reporting it", Load: 0.5, During: forMiddleHalf(faultOn("gen-0", `{"cold": true, "quiet": true}`))},
	{Name: "zone_out_back", Description: "one of three zones is drained and put back in service", Load: 0.5, During: drainAndRestoreZone, DrainedZone: "z1"},
	{Name: "killed", Description: "an agent and an entry are killed and restarted", Load: 0.5, During: killAndRestart},
	{Name: "config_down", Description: "the configuration service is down during the whole run", Load: 0.5, Before: setFault("config", `{"down": true}`)},
	{Name: "silent", Description: "all open connections stop carrying data, twice", Load: 0.5, During: silenceConnections},
	{Name: "slow_and_zone", Description: "an engine is slow while another zone is drained", Load: 0.4, During: slowEngineAndDrain, DrainedZone: "z1"},
}

// faultAddr returns the address at which faults of a process are set.
func faultAddr(f *fleet.Fleet, name string) string {
	if name == "config" {
		return f.ConfigAddr
	}
	return f.Endpoint(name).Addr
}

// setFault returns a function that sets the faults of one process from JSON.
func setFault(name, json string) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error { return f.SetFault(faultAddr(f, name), json) }
}

// temporaryFault holds the functions that start and end a fault.
type temporaryFault struct{ start, end func(*fleet.Fleet) error }

func faultOn(name, json string) temporaryFault {
	return temporaryFault{start: setFault(name, json), end: setFault(name, "{}")}
}

// faultOnAll returns the same fault for several processes.
func faultOnAll(json string, names ...string) temporaryFault {
	setAll := func(json string) func(*fleet.Fleet) error {
		return func(f *fleet.Fleet) error {
			for _, name := range names {
				if err := f.SetFault(faultAddr(f, name), json); err != nil {
					return err
				}
			}
			return nil
		}
	}
	return temporaryFault{start: setAll(json), end: setAll("{}")}
}

// forMiddleHalf returns a function that applies a fault in the second and third
// quarter of a run.
func forMiddleHalf(t temporaryFault) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error {
		time.Sleep(quarterDuration)
		if err := t.start(f); err != nil {
			return err
		}
		time.Sleep(2 * quarterDuration)
		return t.end(f)
	}
}

// makeEnginesCold makes two engines cold and waits until their agents report it.
func makeEnginesCold(f *fleet.Fleet) error {
	if err := faultOnAll(`{"cold": true}`, "gen-0", "gen-1").start(f); err != nil {
		return err
	}
	return f.Await("agents to report cold engines", func() bool {
		a, err := f.AgentStatus(f.Endpoint("gen-0"))
		b, err2 := f.AgentStatus(f.Endpoint("gen-1"))
		return err == nil && err2 == nil && a.Cold && b.Cold
	})
}

func warmEnginesAtHalf(f *fleet.Fleet) error {
	time.Sleep(2 * quarterDuration)
	return faultOnAll("", "gen-0", "gen-1").end(f)
}

// publishZoneState publishes the next revision with a changed state of zone z1.
func publishZoneState(f *fleet.Fleet, s conf.ZoneState) error {
	return f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState("z1", s))
}

func drainAndRestoreZone(f *fleet.Fleet) error {
	time.Sleep(quarterDuration)
	if err := publishZoneState(f, conf.ZoneDrained); err != nil {
		return err
	}
	time.Sleep(2 * quarterDuration)
	return publishZoneState(f, conf.ZoneServing)
}

func killAndRestart(f *fleet.Fleet) error {
	time.Sleep(quarterDuration)
	for _, name := range []string{"gen-1", "entry-1"} {
		if err := f.Proc(name).Signal(syscall.SIGKILL); err != nil {
			return err
		}
		_ = f.Proc(name).Wait(time.Second) // a killed process always ends with an error
	}
	time.Sleep(quarterDuration)
	for _, name := range []string{"gen-1", "entry-1"} {
		if err := f.Restart(name); err != nil {
			return fmt.Errorf("restart: %w", err)
		}
	}
	return nil
}

// silenceConnections makes the open links stop carrying data at the ends of the
// first and second quarter. New connections work.
func silenceConnections(f *fleet.Fleet) error {
	for range 2 {
		time.Sleep(quarterDuration)
		f.Proxies.SetMode("", "", fleet.ProxyDropExisting)
	}
	return nil
}

func slowEngineAndDrain(f *fleet.Fleet) error {
	if err := f.SetFault(faultAddr(f, "gen-1"), `{"slow": 5}`); err != nil {
		return err
	}
	return drainAndRestoreZone(f)
}

// Variant is a policy: the product, or a baseline that differs in one respect.
type Variant struct {
	Name        string
	Description string
	Apply       func(*fleet.Plan)
}

// ProductVariant is the name of the variant that runs the product unchanged.
const ProductVariant = "product"

// Variants lists all policies in the order of the reports.
var Variants = []Variant{
	{ProductVariant, "routing by reported capacity, with admission control, ramp and retry budget", func(*fleet.Plan) {}},
	{"round_robin", "endpoints in turn", func(p *fleet.Plan) { p.RoutingPolicy = "round_robin" }},
	{"random_two", "of two random endpoints, the one with fewer requests in flight from this entry", func(p *fleet.Plan) { p.RoutingPolicy = "random_two" }},
	{"least_outstanding", "the endpoint with the fewest requests in flight from this entry", func(p *fleet.Plan) { p.RoutingPolicy = "least_outstanding" }},
	{"no_admission", "no fair shares, deadline check, ramp or concurrency limit", func(p *fleet.Plan) { p.NoAdmission, p.GateMode = true, "open" }},
	{"fixed_retries", "three retries for each request instead of a retry budget", func(p *fleet.Plan) { p.FixedRetries = 3 }},
}
