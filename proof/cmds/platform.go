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

// Platform implements the platform command, which runs relays on a stand-in of
// the users' platform.
type Platform struct {
	Root     string        `long:"root" default:"." description:"root directory of the repository"`
	Rate     float64       `long:"rate" default:"40" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"12s" description:"duration of the load"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the requests"`
	Keep     bool          `long:"keep" description:"keep the directory with settings and logs"`
}

const (
	demoSteps      = 6 // equal intervals that the duration is divided into
	exitTimeout    = 10 * time.Second
	minServedRatio = 0.9
	// A relay accepts requests for a third of this time, and a balancer needs up to 2 s to notice a stop.
	demoStopTimeout = 8 * time.Second
	demoEventTime   = 60 * time.Millisecond // between two events of a stream, so that some are in flight at the stop
)

// Execute runs relays on the stand-in while zones, the store, an endpoint and a
// relay are drained, stopped or crash. It returns an error if a reply was wrong,
// duplicate or false, if a relay left a request without a complete response in a planned
// stop, or if too few requests were served.
func (p *Platform) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-platform-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	if p.Keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }() // if this fails, only settings and logs are left
	}
	fmt.Println("building relay")
	if err := fleet.Build(p.Root, dir, "relay"); err != nil {
		return err
	}
	s, err := site.StartStandard()
	if err != nil {
		return err
	}
	for _, e := range s.Endpoints() {
		if e.Kind == site.KindEngine {
			e.WorkTime = demoEventTime
		}
	}
	d := &deploy.Deployment{Site: s, Dir: dir, Bin: dir, StopTimeout: demoStopTimeout}
	err = p.runLoad(d)
	fmt.Println("stopping all relays with SIGTERM")
	return errors.Join(err, d.Stop())
}

// runLoad starts the relays, sends requests through them while operate runs, and
// verifies the replies.
func (p *Platform) runLoad(d *deploy.Deployment) error {
	ctx := context.Background()
	zones := site.StandardZones()
	for i, name := range []string{"relay-1", "relay-2", "relay-3"} {
		r, err := d.StartRelay(name, zones[i%len(zones)])
		if err != nil {
			return err
		}
		if err := d.AwaitReady(ctx, r); err != nil {
			return err
		}
	}
	fmt.Printf("3 relays serve %d endpoints\n", len(d.Site.Endpoints()))
	stop := deploy.PlannedStop{Relay: d.Relay("relay-3")}
	operateDone := make(chan error, 1)
	go func() { operateDone <- p.operate(d, zones[0], &stop) }()
	replies := d.SendLoad(ctx, deploy.Load{Rate: p.Rate, Duration: p.Duration, Seed: p.Seed, Balanced: true})
	if err := <-operateDone; err != nil {
		return err
	}
	printReplies(replies)
	v := d.Verify(replies)
	fmt.Println(v)
	cut := printFailures(replies, stop)
	if !v.OK() {
		return errVerdict
	}
	if cut > 0 {
		return fmt.Errorf("%s left %d requests without a complete response in a planned stop", stop.Relay.Name, cut)
	}
	if float64(v.Served) < minServedRatio*float64(v.Sent) {
		return fmt.Errorf("only %d of %d requests were served", v.Served, v.Sent)
	}
	return nil
}

// operate carries out planned changes and failures, one at a time. It records the stop of
// the relay of stop.
func (p *Platform) operate(d *deploy.Deployment, zone string, stop *deploy.PlannedStop) error {
	step := p.Duration / demoSteps
	last := stop.Relay
	for _, s := range []struct {
		text string
		run  func() error
	}{
		{"zone " + zone + " is drained", func() error { d.Site.DrainZone(zone); return nil }},
		{"zone " + zone + " is restored; the store goes down", func() error {
			d.Site.RestoreZone(zone)
			d.Site.Store.SetOutage(site.OutageDown)
			return nil
		}},
		{"the store is available again; endpoint g1 crashes", func() error {
			d.Site.Store.SetOutage(site.OutageNone)
			return d.Site.CrashEndpoint("g1")
		}},
		{"relay-3 receives SIGTERM", func() error {
			stop.SignalAt = time.Now()
			return last.Proc().Signal(syscall.SIGTERM)
		}},
		{"relay-3 restarts", func() error {
			if err := last.Proc().Wait(exitTimeout); err != nil {
				return err
			}
			stop.EndAt = time.Now()
			_, err := d.StartRelay(last.Name, zone)
			return err
		}},
	} {
		time.Sleep(step)
		fmt.Println("  *", s.text)
		if err := s.run(); err != nil {
			return err
		}
	}
	return nil
}

// printFailures prints the attempts that have no complete response. It returns the number
// of those that were cut off by the stop.
func printFailures(replies []*deploy.Reply, stop deploy.PlannedStop) int {
	byEnd := make(map[deploy.AttemptEnd]int)
	met, cut := 0, 0
	for _, r := range replies {
		for _, a := range r.Attempts {
			byEnd[a.End]++
			if stop.Meets(a) {
				met++
			}
			if stop.Cuts(a) {
				cut++
			}
			if a.End != deploy.EndComplete {
				fmt.Printf("  %s %s, %s after the signal: %s\n", r.ID, r.URI, formatDuration(a.EndedAt.Sub(stop.SignalAt)), a)
			}
		}
	}
	fmt.Printf("connections that no relay accepted %d, requests without a response %d, responses broken off %d\n",
		byEnd[deploy.EndNotAccepted], byEnd[deploy.EndNoResponse], byEnd[deploy.EndBrokenOff])
	fmt.Printf("the stop of %s met %d requests and cut off %d\n", stop.Relay.Name, met, cut)
	return cut
}

// printReplies prints the number of requests and the longest latency of each
// route.
func printReplies(replies []*deploy.Reply) {
	type routeStats struct {
		sent, served int
		maxLatency   time.Duration
	}
	byPrefix := make(map[string]*routeStats)
	for _, r := range replies {
		stats := byPrefix[r.Route.Prefix]
		if stats == nil {
			stats = &routeStats{}
			byPrefix[r.Route.Prefix] = stats
		}
		stats.sent++
		if r.Status == 200 {
			stats.served++
			stats.maxLatency = max(stats.maxLatency, r.EndedAt.Sub(r.StartedAt))
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nROUTE\tSENT\tSERVED\tLONGEST")
	for _, route := range deploy.Routes() {
		if stats := byPrefix[route.Prefix]; stats != nil {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", route.Prefix, stats.sent, stats.served, formatDuration(stats.maxLatency))
		}
	}
	_ = w.Flush() // an error means that standard output can't be written
}
