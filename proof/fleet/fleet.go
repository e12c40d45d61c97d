package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	agentsets "wigeonplank.example/agent/sets"
	"wigeonplank.example/base/sets"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/route"
	entryctrl "wigeonplank.example/entry/ctrl"
	entrysets "wigeonplank.example/entry/sets"
	"wigeonplank.example/fakes/cmds"
	"wigeonplank.example/fakes/config"
	"wigeonplank.example/fakes/engine"
	"wigeonplank.example/fakes/list"
	fakeload "wigeonplank.example/fakes/load"
	"wigeonplank.example/fakes/plain"
	"wigeonplank.example/fakes/pool"
	"wigeonplank.example/fakes/weight"
)

const (
	defaultColdMS          = 400
	defaultServiceUS       = 4000
	defaultTokenUS         = 2000
	prefillUS              = 8000
	loadReportAgeMS        = 60
	modelLoadMS            = 200
	weightFetchesPerMinute = 600
	weightFetchBurst       = 8
	entryAcceptPeriod      = 200 * time.Millisecond // time after SIGTERM in which an entry still accepts requests
	pollInterval           = 50 * time.Millisecond
	startTimeout           = 30 * time.Second
	stopTimeout            = 30 * time.Second
)

// Endpoint is a back end and the agent that runs beside it.
type Endpoint struct {
	Instance     roster.Instance
	Kind         string // engine, pool or service
	Addr         string // address of the back end, IP:port
	AgentAdmin   string // admin address of the agent, IP:port
	Agent        *Proc
	settingsFile string // name within the fleet's directory
}

// Entry is an entry process.
type Entry struct {
	Name      string
	Zone      string
	HTTPAddr  string // address for callers, IP:port
	AdminAddr string // IP:port
	Proc      *Proc
	ListAddr  string // instance list that it reads, IP:port
}

// Fleet is a deployment: its stand-ins, agents and entries.
type Fleet struct {
	Plan        Plan
	Doc         *conf.Document // last published document
	Dir         string         // settings, keys and logs
	Bin         string         // built programs
	ConfigAddr  string         // configuration service, IP:port
	WeightsAddr string         // weight store, IP:port
	Endpoints   []*Endpoint
	Entries     []*Entry
	Proxies     *LinkProxies // nil if the plan has no proxies

	standins *Proc
	ports    *portAllocator
}

// New assigns addresses to the processes of a deployment and writes their shared
// files to dir. It starts nothing. bin is the directory with the built
// programs.
func New(plan Plan, dir, bin string) (*Fleet, error) {
	doc, err := conf.Parse(plan.Document)
	if err != nil {
		return nil, fmt.Errorf("parse document of the fleet: %w", err)
	}
	f := &Fleet{Plan: plan, Doc: doc, Dir: dir, Bin: bin, ports: &portAllocator{}}
	if plan.LinkProxies {
		f.Proxies = &LinkProxies{}
	}
	if err := f.prepareFiles(); err != nil {
		return nil, fmt.Errorf("prepare files of the fleet: %w", err)
	}
	return f, nil
}

// prepareFiles assigns addresses and writes the configuration, the keys and the
// settings of the stand-ins.
func (f *Fleet) prepareFiles() error {
	manifest := cmds.Manifest{}
	f.ConfigAddr, f.WeightsAddr = f.ports.next(), f.ports.next()
	manifest.Standins = append(manifest.Standins,
		cmds.Standin{Listen: f.ConfigAddr, Config: &config.Options{File: f.path("config.yaml")}},
		cmds.Standin{Listen: f.WeightsAddr, Weight: &weight.Options{PerMinute: weightFetchesPerMinute, Burst: weightFetchBurst}},
	)
	for _, g := range f.Plan.Groups {
		for i := range g.Count {
			e := f.newEndpoint(g, i)
			f.Endpoints = append(f.Endpoints, e)
			manifest.Standins = append(manifest.Standins, f.standinFor(g, e))
		}
	}
	sharedList := f.ports.next()
	for i, zone := range f.Plan.Entries {
		e := &Entry{Name: fmt.Sprintf("entry-%d", i), Zone: zone, HTTPAddr: f.ports.next(), AdminAddr: f.ports.next(), ListAddr: sharedList}
		if f.Proxies != nil {
			e.ListAddr = f.ports.next()
		}
		f.Entries = append(f.Entries, e)
	}
	for _, addr := range f.listAddrs() {
		manifest.Standins = append(manifest.Standins, cmds.Standin{Listen: addr, List: &list.Options{}})
	}
	if f.ports.err != nil {
		return f.ports.err
	}
	if err := os.WriteFile(f.path("config.yaml"), f.Plan.Document, 0o644); err != nil {
		return err
	}
	if err := f.writeKeys(); err != nil {
		return err
	}
	return f.writeYAML("world.yaml", manifest)
}

func (f *Fleet) writeKeys() error {
	if !f.Plan.TLS {
		return nil
	}
	a, err := NewAuthority()
	if err != nil {
		return err
	}
	return a.WriteFiles(f.Dir)
}

// listAddrs returns the distinct addresses of the instance lists. All entries share
// one list; with proxies each entry has its own, as its proxies have addresses of
// their own.
func (f *Fleet) listAddrs() []string {
	if f.Proxies == nil {
		return []string{f.Entries[0].ListAddr}
	}
	var out []string
	for _, e := range f.Entries {
		out = append(out, e.ListAddr)
	}
	return out
}

func (f *Fleet) newEndpoint(g Group, i int) *Endpoint {
	zone := g.Zone
	if zone == "" {
		zone = f.Plan.Zones[len(f.Endpoints)%len(f.Plan.Zones)]
	}
	labels := map[string]string{"service": g.Service}
	for k, v := range g.Labels {
		labels[k] = v
	}
	return &Endpoint{
		Kind:       g.Kind,
		Addr:       f.ports.next(),
		AgentAdmin: f.ports.next(),
		Instance: roster.Instance{
			ID:     fmt.Sprintf("%s-%d", g.Name, i),
			Zone:   zone,
			State:  roster.StateLive,
			Agent:  f.ports.next(),
			Labels: labels,
		},
	}
}

func (f *Fleet) standinFor(g Group, e *Endpoint) cmds.Standin {
	loadOpts := fakeload.Options{Slots: g.Slots, ColdSlots: 1, ColdMS: orDefault(g.ColdMS, defaultColdMS), LagMS: loadReportAgeMS}
	s := cmds.Standin{Listen: e.Addr}
	switch g.Kind {
	case "engine":
		s.Engine = &engine.Options{
			Options:     loadOpts,
			TokenUS:     orDefault(g.TokenUS, defaultTokenUS),
			PrefillUS:   prefillUS,
			LoadMS:      modelLoadMS,
			WeightStore: f.WeightsAddr,
			ChecksFence: g.Labels["engine"] == "fenced",
		}
	case "pool":
		s.Pool = &pool.Options{Options: loadOpts, ServiceUS: orDefault(g.ServiceUS, defaultServiceUS)}
	default:
		s.Plain = &plain.Options{Options: loadOpts, ServiceUS: orDefault(g.ServiceUS, defaultServiceUS)}
	}
	return s
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func (f *Fleet) path(name string) string { return filepath.Join(f.Dir, name) }

func (f *Fleet) writeYAML(name string, v any) error {
	raw, err := yaml.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	if err := os.WriteFile(f.path(name), raw, 0o644); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// Start starts all processes. It waits until every entry is ready and every
// endpoint accepts work.
func (f *Fleet) Start(ctx context.Context) error {
	f.standins = f.newProc("fakes", "fakes", "all", "--file", f.path("world.yaml"))
	if err := f.standins.start(); err != nil {
		return err
	}
	if err := f.awaitCondition(ctx, "stand-ins", func() bool { return f.PublishList(f.Instances()) == nil }); err != nil {
		return err
	}
	for i, e := range f.Endpoints {
		if err := f.startAgent(i, e); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := f.startEntry(e); err != nil {
			return err
		}
	}
	return f.AwaitReady(ctx)
}

func (f *Fleet) newProc(name, program string, args ...string) *Proc {
	return &Proc{Name: name, log: f.path(name + ".log"), args: append([]string{filepath.Join(f.Bin, program)}, args...)}
}

func (f *Fleet) startAgent(i int, e *Endpoint) error {
	g := f.groupOf(i)
	s := agentsets.Settings{
		Instance: e.Instance.ID,
		Zone:     e.Instance.Zone,
		Link:     sets.Listen{Listen: e.Instance.Agent},
		Admin:    sets.Listen{Listen: e.AgentAdmin},
		Endpoint: agentsets.Endpoint{Address: e.Addr, Kind: agentsets.Kind(e.Kind), Slots: g.Slots, ColdSlots: 1},
		Gate:     agentsets.GateMode(f.Plan.GateMode),
	}
	if f.Plan.TLS {
		s.TLS = &sets.TLS{Cert: f.path("cert.pem"), Key: f.path("key.pem"), CA: f.path("ca.pem")}
	}
	e.settingsFile = "agent-" + e.Instance.ID + ".yaml"
	if err := f.writeYAML(e.settingsFile, s); err != nil {
		return err
	}
	e.Agent = f.newProc("agent-"+e.Instance.ID, "agent", "--settings", f.path(e.settingsFile))
	return e.Agent.start()
}

// groupOf returns the group of the endpoint with index i.
func (f *Fleet) groupOf(i int) Group {
	for _, g := range f.Plan.Groups {
		if i < g.Count {
			return g
		}
		i -= g.Count
	}
	return Group{}
}

func (f *Fleet) startEntry(e *Entry) error {
	s := entrysets.Settings{
		Instance: e.Name,
		Zone:     e.Zone,
		HTTP:     entrysets.HTTP{Listen: e.HTTPAddr},
		Admin:    sets.Listen{Listen: e.AdminAddr},
		Platform: entrysets.Platform{Config: f.ConfigAddr, List: e.ListAddr},
		Policy: entrysets.Policy{
			Route:        route.Policy(f.Plan.RoutingPolicy),
			NoAdmission:  f.Plan.NoAdmission,
			FixedRetries: f.Plan.FixedRetries,
		},
		Stop: entrysets.Stop{AcceptPeriod: entryAcceptPeriod, Timeout: time.Duration(f.Plan.EntryStopMS) * time.Millisecond},
	}
	if f.Plan.TLS {
		s.TLS = &sets.TLS{Cert: f.path("cert.pem"), Key: f.path("key.pem"), CA: f.path("ca.pem")}
	}
	if err := f.writeYAML(e.Name+".yaml", s); err != nil {
		return err
	}
	e.Proc = f.newProc(e.Name, "entry", "--settings", f.path(e.Name+".yaml"))
	return e.Proc.start()
}

// Instances returns the instances of all endpoints.
func (f *Fleet) Instances() []roster.Instance {
	out := make([]roster.Instance, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		out = append(out, e.Instance)
	}
	return out
}

// Targets returns the HTTP addresses of the entries.
func (f *Fleet) Targets() []string {
	out := make([]string, 0, len(f.Entries))
	for _, e := range f.Entries {
		out = append(out, e.HTTPAddr)
	}
	return out
}

// Publish publishes a document to the configuration service.
func (f *Fleet) Publish(d *conf.Document) error {
	raw, err := d.Encode()
	if err != nil {
		return err
	}
	f.Doc = d
	return post(f.ConfigAddr, "/publish", raw)
}

// PublishRaw publishes bytes that may be an invalid document. Doc changes only if
// they are valid.
func (f *Fleet) PublishRaw(raw []byte) error {
	if d, err := conf.Parse(raw); err == nil {
		f.Doc = d
	}
	return post(f.ConfigAddr, "/publish", raw)
}

// PublishList publishes instances to every instance list. With proxies the list
// of each entry has the addresses of that entry's proxies in place of the agents'.
func (f *Fleet) PublishList(in []roster.Instance) error {
	for i, e := range f.Entries {
		instances, err := f.instancesFor(i, in)
		if err != nil {
			return err
		}
		raw, err := json.Marshal(roster.List{Instances: instances})
		if err != nil {
			return fmt.Errorf("encode instance list: %w", err)
		}
		if err := post(e.ListAddr, "/publish", raw); err != nil {
			return err
		}
		if f.Proxies == nil {
			return nil // all entries share this list
		}
	}
	return nil
}

// instancesFor returns the instances as the list of an entry shows them.
func (f *Fleet) instancesFor(entry int, in []roster.Instance) ([]roster.Instance, error) {
	if f.Proxies == nil {
		return in, nil
	}
	out := make([]roster.Instance, 0, len(in))
	for _, inst := range in {
		addr, err := f.Proxies.Addr(f.Entries[entry].Name, inst.ID, inst.Agent)
		if err != nil {
			return nil, err
		}
		inst.Agent = addr
		out = append(out, inst)
	}
	return out, nil
}

// SetFault replaces the faults of the stand-in at addr. faults is a JSON object;
// {} ends all faults.
func (f *Fleet) SetFault(addr, faults string) error { return post(addr, "/fault", []byte(faults)) }

// Endpoint returns the endpoint of an instance, or nil.
func (f *Fleet) Endpoint(id string) *Endpoint {
	for _, e := range f.Endpoints {
		if e.Instance.ID == id {
			return e
		}
	}
	return nil
}

// Proc returns the process of an entry or of the agent of an instance, or nil.
func (f *Fleet) Proc(name string) *Proc {
	for _, e := range f.Entries {
		if e.Name == name {
			return e.Proc
		}
	}
	if e := f.Endpoint(name); e != nil {
		return e.Agent
	}
	return nil
}

// Restart starts a process that has ended. It returns an error if it is running.
func (f *Fleet) Restart(name string) error {
	p := f.Proc(name)
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	if p.Running() {
		return fmt.Errorf("%s is running", name)
	}
	return p.start()
}

// Kill sends SIGKILL to a process and waits for its end.
func (f *Fleet) Kill(name string) error {
	p := f.Proc(name)
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// AwaitReady waits until every running entry is ready and has a link to every
// endpoint, and every endpoint accepts work.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.awaitCondition(ctx, "fleet to be ready", func() bool {
		for _, e := range f.Entries {
			if e.Proc.Running() && !f.entryReady(e) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) entryReady(e *Entry) bool {
	s, err := f.EntryStatus(e)
	if err != nil || !s.Ready || len(s.Endpoints) < len(f.Endpoints) {
		return false
	}
	for _, ep := range s.Endpoints {
		if !isServing(ep) {
			return false
		}
	}
	return true
}

// isServing reports whether an endpoint accepts work from an entry: it is linked,
// not closed and not waiting for a placement, such as that of a model.
func isServing(ep entryctrl.EndpointStatus) bool {
	return ep.Linked && ep.ClosedReason == "" && ep.PlacementWait == ""
}

// AwaitServing waits until every entry is ready and all endpoints that are listed
// as live accept work. Unlike AwaitReady it ignores leaving endpoints and accepts
// a list without some endpoints of the plan.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	return f.awaitCondition(ctx, "fleet to serve", func() bool {
		for _, e := range f.Entries {
			s, err := f.EntryStatus(e)
			if err != nil || !s.Ready {
				return false
			}
			for _, ep := range s.Endpoints {
				if ep.State == roster.StateLive && !isServing(ep) {
					return false
				}
			}
		}
		return true
	})
}

// awaitCondition polls ok until it returns true. It returns an error if ctx ends or
// startTimeout passes before that. what names the condition in the error.
func (f *Fleet) awaitCondition(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Await polls ok until it returns true, for at most 30 s. what names the awaited
// condition in the error.
func (f *Fleet) Await(what string, ok func() bool) error {
	return f.awaitCondition(context.Background(), what, ok)
}

// Stop sends SIGTERM to all running processes and waits for their ends, first for
// the entries, then for the agents and then for the stand-ins. It then closes the
// proxies. The returned error joins those of the processes that exit with an error
// or have to be killed.
func (f *Fleet) Stop() error {
	agents := make([]*Proc, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		agents = append(agents, e.Agent)
	}
	entries := make([]*Proc, 0, len(f.Entries))
	for _, e := range f.Entries {
		entries = append(entries, e.Proc)
	}
	err := errors.Join(stopAll(entries), stopAll(agents), stopAll([]*Proc{f.standins}))
	if f.Proxies != nil {
		f.Proxies.Close()
	}
	return err
}

// stopAll resumes, terminates and awaits processes. Processes that were never
// started or have ended are skipped; one that doesn't end in time is killed.
func stopAll(procs []*Proc) error {
	var errs []error
	for _, p := range procs {
		if p != nil && p.cmd != nil && p.Running() {
			errs = append(errs, p.Signal(syscall.SIGCONT), p.Signal(syscall.SIGTERM))
		}
	}
	for _, p := range procs {
		if p == nil || p.cmd == nil || !p.Running() {
			continue
		}
		if err := p.Wait(stopTimeout); err != nil {
			_ = p.Signal(syscall.SIGKILL)
			errs = append(errs, fmt.Errorf("stop %s: %w", p.Name, err))
		}
	}
	return errors.Join(errs...)
}
