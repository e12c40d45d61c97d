// Package bench measures the policy under load and faults: the same scenarios
// against the product and against baselines, interleaved.
package bench

import (
	"fmt"
	"syscall"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/proof/fleet"
)

// Timing of a run, which is divided into quarters: faults come after the first
// and end after the third.
const (
	RunTime = 6 * time.Second
	quarter = RunTime / 4
)

// capacity is the requests a second that the three engines of the plan bear: 8
// slots each, 60 tokens of 4 ms at 1.5 times their time alone, and the prefill.
const capacity = 3 * 8 / (1.5 * (60*0.004 + 0.008))

// reviewShare is the share of the mix that needs an engine.
const reviewShare = 0.7

// Scenario is one situation.
type Scenario struct {
	Name  string
	About string
	Load  float64 // share of the engines' capacity
	Burst float64 // added for the second quarter
	// Before and During act on the fleet; nil: nothing. During runs beside the
	// load.
	Before func(f *fleet.Fleet) error
	During func(f *fleet.Fleet) error
	// Drained is the zone that During takes out; empty: none.
	Drained string
}

// Rate returns the requests a second of a share of the capacity.
func Rate(share float64) float64 { return share * capacity / reviewShare }

// Scenarios are all situations that are measured.
var Scenarios = []Scenario{
	{Name: "steady_50", About: "half of the capacity", Load: 0.5},
	{Name: "steady_80", About: "80% of the capacity", Load: 0.8},
	{Name: "steady_110", About: "110% of the capacity", Load: 1.1},
	{Name: "burst", About: "50%, and 150% for a quarter of the time", Load: 0.5, Burst: 1.0},
	{Name: "slow_endpoint", About: "one engine of three takes 5 times as long", Load: 0.5, During: between(fault("gen-0", `{"slow": 5}`))},
	{Name: "slow_stage", About: "all encoders and retrievers take 5 times as long", Load: 0.5, During: between(faults(`{"slow": 5}`, "pool-0", "pool-1", "pool-2"))},
	{Name: "cold_added", About: "two engines of three were cold until half of the time", Load: 0.5, Before: chill, During: warm},
	{Name: "warm_to_cold", About: "a warm engine turns cold without a word", Load: 0.5, During: between(fault("gen-0", `{"cold": true, "quiet": true}`))},
	{Name: "zone_out_back", About: "a zone of three is taken out and back", Load: 0.5, During: zoneOutAndBack, Drained: "z1"},
	{Name: "killed", About: "an agent and an entry are killed and come back", Load: 0.5, During: killed},
	{Name: "config_down", About: "the configuration service is down all the time", Load: 0.5, Before: fault2("config", `{"down": true}`)},
	{Name: "silent", About: "all connections go silent twice", Load: 0.5, During: silent},
	{Name: "slow_and_zone", About: "an engine is slow and another zone is taken out", Load: 0.4, During: slowAndZone, Drained: "z1"},
}

func addr(f *fleet.Fleet, name string) string {
	if name == "config" {
		return f.Config
	}
	return f.Endpoint(name).Addr
}

func fault2(name, json string) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error { return f.Fault(addr(f, name), json) }
}

// change is a fault and its end.
type change struct{ on, off func(*fleet.Fleet) error }

func fault(name, json string) change {
	return change{on: fault2(name, json), off: fault2(name, "{}")}
}

func faults(json string, names ...string) change {
	all := func(json string) func(*fleet.Fleet) error {
		return func(f *fleet.Fleet) error {
			for _, n := range names {
				if err := f.Fault(addr(f, n), json); err != nil {
					return err
				}
			}
			return nil
		}
	}
	return change{on: all(json), off: all("{}")}
}

func between(c change) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error {
		time.Sleep(quarter)
		if err := c.on(f); err != nil {
			return err
		}
		time.Sleep(2 * quarter)
		return c.off(f)
	}
}

func chill(f *fleet.Fleet) error {
	if err := faults(`{"cold": true}`, "gen-0", "gen-1").on(f); err != nil {
		return err
	}
	return f.Await("engines to be known as cold", func() bool {
		a, err := f.AgentStatus(f.Endpoint("gen-0"))
		b, err2 := f.AgentStatus(f.Endpoint("gen-1"))
		return err == nil && err2 == nil && a.Cold && b.Cold
	})
}

func warm(f *fleet.Fleet) error {
	time.Sleep(2 * quarter)
	return faults("", "gen-0", "gen-1").off(f)
}

func setZone(f *fleet.Fleet, s conf.ZoneState) error {
	return f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState("z1", s))
}

func zoneOutAndBack(f *fleet.Fleet) error {
	time.Sleep(quarter)
	if err := setZone(f, conf.ZoneDrained); err != nil {
		return err
	}
	time.Sleep(2 * quarter)
	return setZone(f, conf.ZoneServing)
}

func killed(f *fleet.Fleet) error {
	time.Sleep(quarter)
	for _, name := range []string{"gen-1", "entry-1"} {
		if err := f.Proc(name).Signal(syscall.SIGKILL); err != nil {
			return err
		}
		_ = f.Proc(name).Wait(time.Second) // its status is that of a killed process
	}
	time.Sleep(quarter)
	for _, name := range []string{"gen-1", "entry-1"} {
		if err := f.Restart(name); err != nil {
			return fmt.Errorf("restart: %w", err)
		}
	}
	return nil
}

func silent(f *fleet.Fleet) error {
	for range 2 {
		time.Sleep(quarter)
		f.Relays.Set("", "", fleet.RelaySwallow)
	}
	return nil
}

func slowAndZone(f *fleet.Fleet) error {
	if err := f.Fault(addr(f, "gen-1"), `{"slow": 5}`); err != nil {
		return err
	}
	return zoneOutAndBack(f)
}

// Variant is a policy: the product, or a baseline that differs in one point.
type Variant struct {
	Name  string
	About string
	Set   func(*fleet.Plan)
}

// Product is the name of the variant that is the product.
const Product = "product"

// Variants are all policies that are measured.
var Variants = []Variant{
	{Product, "by room, with admission, ramp and retry budget", func(*fleet.Plan) {}},
	{"round_robin", "endpoints in turn", func(p *fleet.Plan) { p.Route = "round_robin" }},
	{"random_two", "the lesser of two by own outstanding work", func(p *fleet.Plan) { p.Route = "random_two" }},
	{"least_outstanding", "the least own outstanding work", func(p *fleet.Plan) { p.Route = "least_outstanding" }},
	{"no_admission", "no fair share, no check of the deadline, no ramp, no limit", func(p *fleet.Plan) { p.Admit, p.Gate = true, "open" }},
	{"fixed_retries", "three retries for each request in place of a budget", func(p *fleet.Plan) { p.Retries = 3 }},
}
