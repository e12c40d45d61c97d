package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/proof/fleet"
)

// Drill implements the drill command, which measures how relays take a store that
// comes back from a copy.
type Drill struct {
	Root   string        `long:"root" default:"." description:"root directory of the repository"`
	Relays int           `long:"relays" default:"40" description:"number of relays"`
	Zones  int           `long:"zones" default:"4" description:"number of availability zones"`
	Phase  time.Duration `long:"phase" default:"10s" description:"duration of publishing before the drill and after it"`
}

// Execute runs one drill and prints the age of the relays' views and the calls to the
// store.
func (d *Drill) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-drill-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // if this fails, only settings and logs are left
	if err := fleet.Build(d.Root, dir, "relay"); err != nil {
		return err
	}
	res, err := deploy.Drill{Relays: d.Relays, Zones: d.Zones, Phase: d.Phase, Dir: dir, Bin: dir}.Run(context.Background())
	if err != nil {
		return err
	}
	for _, p := range []struct {
		name  string
		phase deploy.DrillPhase
	}{{"steady", res.Steady}, {"after the drill", res.Drill}} {
		age := p.phase.Age
		fmt.Printf("%s: age of the view p50 %d ms, p99 %d ms, worst %d ms over %d; never applied %d; store calls in 5 s: %d\n",
			p.name, age.ValueAtQuantile(50), age.ValueAtQuantile(99), age.Max(), age.TotalCount(), p.phase.Missing, p.phase.Calls)
	}
	return nil
}
