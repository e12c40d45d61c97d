// Package deploy runs relays as separate processes against a stand-in of the
// platform, sends requests to them and checks the responses.
package deploy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/valyala/fasthttp"

	base "wigeonplank.example/base/sets"
	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/relay/sets"
)

const (
	readyTimeout      = 20 * time.Second // no check depends on how long a relay takes within this limit
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 20 * time.Second
	relayStopTimeout  = 4 * time.Second // relay setting stop.longest: from SIGTERM to the end of the process
	maxSeeds          = 3               // peers that a relay contacts at its start
	retryBudgetSlack  = 50              // relay setting retry.slack, in retries
)

// Relay is a relay process and its files.
type Relay struct {
	Name         string
	Settings     sets.Settings
	SettingsFile string // path of the settings file
	LogFile      string // path of the log

	proc atomic.Pointer[fleet.Proc] // of the last start
}

// Proc returns the process, or nil if it was never started.
func (r *Relay) Proc() *fleet.Proc { return r.proc.Load() }

// Deployment is a site with relays in front of it. Site, Dir and Bin have to be set
// before its first use.
type Deployment struct {
	Site   *site.Site
	Dir    string // directory for settings and logs
	Bin    string // directory with the built programs
	Relays []*Relay

	Keepers    map[string]*Keeper // by name
	keeperPort int                // of all keepers; 0: none was started

	// StopTimeout is the time that relays have from SIGTERM to the end of the process; 0: 4s.
	StopTimeout time.Duration

	// Configure changes the settings of a relay before its first start; nil: as they are.
	Configure func(s *sets.Settings) error

	client fasthttp.Client // of the callers of SendLoad
}

// Relay returns a relay by name, or nil.
func (d *Deployment) Relay(name string) *Relay {
	for _, r := range d.Relays {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// StartRelay starts a relay without waiting until it is ready. Its seeds are the
// first maxSeeds relays of the deployment. A relay that was started before under the
// same name is started again with its settings file; zone is ignored then.
func (d *Deployment) StartRelay(name, zone string) (*Relay, error) {
	if r := d.Relay(name); r != nil {
		return r, d.startProc(r)
	}
	addrs, err := fleet.FreeAddrs(3)
	if err != nil {
		return nil, err
	}
	s := sets.Settings{
		Instance: name, Zone: zone, HTTP: base.Listen{Listen: addrs[0]}, Admin: base.Listen{Listen: addrs[1]},
		Peers: sets.Peers{Listen: addrs[2], ExpectedSize: 1}, Keepers: sets.Keepers{Port: d.keeperPort}, Store: d.Site.StoreAddr,
		Stop: sets.Stop{Timeout: cmp.Or(d.StopTimeout, relayStopTimeout)}, Retry: sets.Retry{Slack: retryBudgetSlack},
	}
	for _, other := range d.Relays[:min(len(d.Relays), maxSeeds)] {
		s.Peers.Seeds = append(s.Peers.Seeds, other.Settings.Peers.Listen)
	}
	if d.Configure != nil {
		if err := d.Configure(&s); err != nil {
			return nil, err
		}
	}
	r := &Relay{
		Name: name, Settings: s, SettingsFile: filepath.Join(d.Dir, name+".yaml"), LogFile: filepath.Join(d.Dir, name+".log"),
	}
	d.Relays = append(d.Relays, r)
	if err := r.WriteSettings(); err != nil {
		return nil, err
	}
	return r, d.startProc(r)
}

// WriteSettings writes Settings to SettingsFile.
func (r *Relay) WriteSettings() error { return writeSettings(r.Name, r.SettingsFile, r.Settings) }

// writeSettings writes the settings file of a process.
func writeSettings(name, file string, settings any) error {
	raw, err := yaml.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", name, err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", name, err)
	}
	return nil
}

func (d *Deployment) startProc(r *Relay) error {
	p, err := fleet.StartProc(r.Name, r.LogFile, filepath.Join(d.Bin, "relay"), "--settings", r.SettingsFile)
	r.proc.Store(p)
	return err
}

// Ready reports whether the relay's readiness check succeeds. It sends one request.
func (r *Relay) Ready() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+r.Settings.Admin.Listen+"/readyz", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// AwaitReady waits until a relay is ready. It returns an error if ctx ends, the
// relay exits or 20 s pass before that.
func (d *Deployment) AwaitReady(ctx context.Context, r *Relay) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if r.Ready() {
			return nil
		}
		if !r.Proc().Running() {
			return fmt.Errorf("relay %s has exited; its log is %s", r.Name, r.LogFile)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for relay %s to be ready: %w", r.Name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// Stop sends SIGTERM to each running relay, waits for its end, and closes the site.
func (d *Deployment) Stop() error {
	var errs []error
	for _, r := range d.Relays {
		if r.Proc() != nil && r.Proc().Running() {
			errs = append(errs, r.Proc().Stop(stopTimeout))
		}
	}
	return errors.Join(append(errs, d.stopKeepers(), d.Site.Close())...)
}
