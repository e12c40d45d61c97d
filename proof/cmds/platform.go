package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"text/tabwriter"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/proof/fleet"
)

// Platform is the command platform.
type Platform struct {
	Root     string        `long:"root" default:"." description:"top of the repository"`
	Rate     float64       `long:"rate" default:"40" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"12s" description:"how long requests are sent"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the requests"`
	Keep     bool          `long:"keep" description:"keep the folder with settings and logs"`
}

const (
	demoSteps   = 6
	endLimit    = 10 * time.Second
	leastServed = 0.9 // of the requests of the demo; those at the killed relay are lost
)

// Execute runs relays over a stand-in of the users' platform. It returns an
// error if an answer was wrong, doubled or untrue, or if too few were served.
func (p *Platform) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-platform-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if p.Keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }() // only settings and logs
	}
	fmt.Println("building relay")
	if err := fleet.Build(p.Root, dir, "relay"); err != nil {
		return err
	}
	s, err := site.StartStandard()
	if err != nil {
		return err
	}
	d := &deploy.Deploy{Site: s, Dir: dir, Bin: dir}
	err = p.drive(d)
	fmt.Println("stopping everything by SIGTERM")
	return errors.Join(err, d.Stop())
}

func (p *Platform) drive(d *deploy.Deploy) error {
	ctx := context.Background()
	zones := site.StandardZones()
	for i, name := range []string{"relay-1", "relay-2", "relay-3"} {
		r, err := d.Start(name, zones[i%len(zones)])
		if err != nil {
			return err
		}
		if err := d.AwaitReady(ctx, r); err != nil {
			return err
		}
	}
	fmt.Printf("3 relays before %d endpoints\n", len(d.Site.Servers()))
	operated := make(chan error, 1)
	go func() { operated <- p.operate(d, zones[0]) }()
	replies := d.Drive(ctx, deploy.Load{Rate: p.Rate, Duration: p.Duration, Seed: p.Seed})
	if err := <-operated; err != nil {
		return err
	}
	printReplies(replies)
	v := d.Judge(replies)
	fmt.Println(v)
	if !v.OK() {
		return errVerdict
	}
	if float64(v.Served) < leastServed*float64(v.Sent) {
		return fmt.Errorf("only %d of %d requests were served", v.Served, v.Sent)
	}
	return nil
}

// operate does what operators, and accidents, do.
func (p *Platform) operate(d *deploy.Deploy, zone string) error {
	step := p.Duration / demoSteps
	last := d.Relay("relay-3")
	for _, s := range []struct {
		what string
		do   func() error
	}{
		{"zone " + zone + " is drained", func() error { d.Site.Drain(zone); return nil }},
		{"zone " + zone + " is back; the store goes down", func() error {
			d.Site.Return(zone)
			d.Site.Store.Fail(site.OutageDown)
			return nil
		}},
		{"the store is back; endpoint g1 crashes", func() error {
			d.Site.Store.Fail(site.OutageNone)
			return d.Site.Crash("g1")
		}},
		{"relay-3 gets SIGTERM", func() error { return last.Proc().Signal(syscall.SIGTERM) }},
		{"relay-3 starts again", func() error {
			if err := last.Proc().Wait(endLimit); err != nil {
				return err
			}
			_, err := d.Start(last.Name, zone)
			return err
		}},
	} {
		time.Sleep(step)
		fmt.Println("  *", s.what)
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}

func printReplies(replies []*deploy.Reply) {
	type row struct {
		sent, served int
		longest      time.Duration
	}
	rows := make(map[string]*row)
	for _, r := range replies {
		x := rows[r.Route.Prefix]
		if x == nil {
			x = &row{}
			rows[r.Route.Prefix] = x
		}
		x.sent++
		if r.Status == 200 {
			x.served++
			x.longest = max(x.longest, r.Ended.Sub(r.Began))
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nROUTE\tSENT\tSERVED\tLONGEST")
	for _, route := range deploy.Routes() {
		if x := rows[route.Prefix]; x != nil {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", route.Prefix, x.sent, x.served, short(x.longest))
		}
	}
	_ = w.Flush() // standard output is gone if this fails
}
