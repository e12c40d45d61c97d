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
	defaultColdMS    = 400
	defaultServiceUS = 4000
	defaultTokenUS   = 2000
	prefillUS        = 8000
	reportLagMS      = 60
	loadMS           = 200
	weightsPerMinute = 600
	weightBurst      = 8
	startLimit       = 30 * time.Second
	stopLimit        = 30 * time.Second
)

// Endpoint is one back end with its agent.
type Endpoint struct {
	Instance roster.Instance
	Kind     string
	Addr     string // of the back end, IP:port
	Admin    string // of the agent
	Agent    *Proc
	settings string
}

// Entry is one entry.
type Entry struct {
	Name  string
	Zone  string
	HTTP  string
	Admin string
	Proc  *Proc
	List  string // its instance list, IP:port
}

// Fleet is a running deployment.
type Fleet struct {
	Plan      Plan
	Doc       *conf.Document // the newest that was published
	Dir       string
	Bin       string
	Config    string // configuration service, IP:port
	Weights   string
	Endpoints []*Endpoint
	Entries   []*Entry
	Relays    *Relays // nil without relays

	fakes *Proc
	ports *ports
}

// New prepares a fleet with its files in dir. bin holds the programs.
func New(plan Plan, dir, bin string) (*Fleet, error) {
	doc, err := conf.Parse(plan.Document)
	if err != nil {
		return nil, fmt.Errorf("fleet's document: %w", err)
	}
	f := &Fleet{Plan: plan, Doc: doc, Dir: dir, Bin: bin, ports: &ports{}}
	if plan.Relays {
		f.Relays = &Relays{}
	}
	if err := f.layOut(); err != nil {
		return nil, fmt.Errorf("lay out fleet: %w", err)
	}
	return f, nil
}

func (f *Fleet) layOut() error {
	world := cmds.World{}
	f.Config, f.Weights = f.ports.next(), f.ports.next()
	world.Standins = append(world.Standins,
		cmds.Standin{Listen: f.Config, Config: &config.Options{File: f.path("config.yaml")}},
		cmds.Standin{Listen: f.Weights, Weight: &weight.Options{PerMinute: weightsPerMinute, Burst: weightBurst}},
	)
	for _, g := range f.Plan.Groups {
		for i := range g.Count {
			e := f.newEndpoint(g, i)
			f.Endpoints = append(f.Endpoints, e)
			world.Standins = append(world.Standins, f.standin(g, e))
		}
	}
	shared := f.ports.next()
	for i, zone := range f.Plan.Entries {
		e := &Entry{Name: fmt.Sprintf("entry-%d", i), Zone: zone, HTTP: f.ports.next(), Admin: f.ports.next(), List: shared}
		if f.Relays != nil {
			e.List = f.ports.next()
		}
		f.Entries = append(f.Entries, e)
	}
	for _, addr := range f.lists() {
		world.Standins = append(world.Standins, cmds.Standin{Listen: addr, List: &list.Options{}})
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
	return f.writeYAML("world.yaml", world)
}

func (f *Fleet) writeKeys() error {
	if !f.Plan.TLS {
		return nil
	}
	a, err := NewAuthority()
	if err != nil {
		return err
	}
	return a.Write(f.Dir)
}

// lists returns the addresses of the instance lists, each once.
func (f *Fleet) lists() []string {
	if f.Relays == nil {
		return []string{f.Entries[0].List}
	}
	var out []string
	for _, e := range f.Entries {
		out = append(out, e.List)
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
		Kind:  g.Kind,
		Addr:  f.ports.next(),
		Admin: f.ports.next(),
		Instance: roster.Instance{
			ID:     fmt.Sprintf("%s-%d", g.Name, i),
			Zone:   zone,
			State:  roster.StateLive,
			Agent:  f.ports.next(),
			Labels: labels,
		},
	}
}

func (f *Fleet) standin(g Group, e *Endpoint) cmds.Standin {
	bears := fakeload.Options{Slots: g.Slots, ColdSlots: 1, ColdMS: or(g.ColdMS, defaultColdMS), LagMS: reportLagMS}
	s := cmds.Standin{Listen: e.Addr}
	switch g.Kind {
	case "engine":
		s.Engine = &engine.Options{
			Options:   bears,
			TokenUS:   or(g.TokenUS, defaultTokenUS),
			PrefillUS: prefillUS,
			LoadMS:    loadMS,
			Store:     f.Weights,
			Fences:    g.Labels["engine"] == "fenced",
		}
	case "pool":
		s.Pool = &pool.Options{Options: bears, ServiceUS: or(g.ServiceUS, defaultServiceUS)}
	default:
		s.Plain = &plain.Options{Options: bears, ServiceUS: or(g.ServiceUS, defaultServiceUS)}
	}
	return s
}

func or(v, otherwise int) int {
	if v == 0 {
		return otherwise
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

// Start starts all processes and waits until every entry is ready and every
// endpoint takes work.
func (f *Fleet) Start(ctx context.Context) error {
	f.fakes = f.proc("fakes", "fakes", "all", "--file", f.path("world.yaml"))
	if err := f.fakes.start(); err != nil {
		return err
	}
	if err := f.await(ctx, "stand-ins", func() bool { return f.PublishList(f.Instances()) == nil }); err != nil {
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

// StartBare starts the stand-ins and the entries under a list of instances that
// somebody else runs.
func (f *Fleet) StartBare(ctx context.Context, in []roster.Instance) error {
	f.fakes = f.proc("fakes", "fakes", "all", "--file", f.path("world.yaml"))
	if err := f.fakes.start(); err != nil {
		return err
	}
	if err := f.await(ctx, "stand-ins", func() bool { return f.PublishList(in) == nil }); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := f.startEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) proc(name, program string, args ...string) *Proc {
	return &Proc{Name: name, log: f.path(name + ".log"), args: append([]string{filepath.Join(f.Bin, program)}, args...)}
}

func (f *Fleet) startAgent(i int, e *Endpoint) error {
	g := f.group(i)
	s := agentsets.Settings{
		Instance: e.Instance.ID,
		Zone:     e.Instance.Zone,
		Link:     sets.Listen{Listen: e.Instance.Agent},
		Admin:    sets.Listen{Listen: e.Admin},
		Endpoint: agentsets.Endpoint{Address: e.Addr, Kind: agentsets.Kind(e.Kind), Slots: g.Slots, ColdSlots: 1},
		Gate:     agentsets.GateMode(f.Plan.Gate),
	}
	if f.Plan.TLS {
		s.TLS = &sets.TLS{Cert: f.path("cert.pem"), Key: f.path("key.pem"), CA: f.path("ca.pem")}
	}
	e.settings = "agent-" + e.Instance.ID + ".yaml"
	if err := f.writeYAML(e.settings, s); err != nil {
		return err
	}
	e.Agent = f.proc("agent-"+e.Instance.ID, "agent", "--settings", f.path(e.settings))
	return e.Agent.start()
}

func (f *Fleet) group(i int) Group {
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
		HTTP:     entrysets.HTTP{Listen: e.HTTP},
		Admin:    sets.Listen{Listen: e.Admin},
		Platform: entrysets.Platform{Config: f.Config, List: e.List},
		Policy: entrysets.Policy{
			Route:        route.Policy(f.Plan.Route),
			NoAdmission:  f.Plan.Admit,
			FixedRetries: f.Plan.Retries,
		},
		Stop: entrysets.Stop{Accept: 200 * time.Millisecond},
	}
	if f.Plan.TLS {
		s.TLS = &sets.TLS{Cert: f.path("cert.pem"), Key: f.path("key.pem"), CA: f.path("ca.pem")}
	}
	if err := f.writeYAML(e.Name+".yaml", s); err != nil {
		return err
	}
	e.Proc = f.proc(e.Name, "entry", "--settings", f.path(e.Name+".yaml"))
	return e.Proc.start()
}

// Instances returns the fleet's endpoints as the list shows them.
func (f *Fleet) Instances() []roster.Instance {
	out := make([]roster.Instance, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		out = append(out, e.Instance)
	}
	return out
}

// Targets returns the entries' addresses for callers.
func (f *Fleet) Targets() []string {
	out := make([]string, 0, len(f.Entries))
	for _, e := range f.Entries {
		out = append(out, e.HTTP)
	}
	return out
}

// Publish publishes a document.
func (f *Fleet) Publish(d *conf.Document) error {
	raw, err := d.Encode()
	if err != nil {
		return err
	}
	f.Doc = d
	return post(f.Config, "/publish", raw)
}

// PublishRaw publishes bytes that need not be a valid document.
func (f *Fleet) PublishRaw(raw []byte) error {
	if d, err := conf.Parse(raw); err == nil {
		f.Doc = d
	}
	return post(f.Config, "/publish", raw)
}

// PublishList publishes instances to every list. With relays each entry sees
// addresses of its own.
func (f *Fleet) PublishList(in []roster.Instance) error {
	for i, e := range f.Entries {
		shown, err := f.shown(i, in)
		if err != nil {
			return err
		}
		raw, err := json.Marshal(roster.List{Instances: shown})
		if err != nil {
			return fmt.Errorf("encode list: %w", err)
		}
		if err := post(e.List, "/publish", raw); err != nil {
			return err
		}
		if f.Relays == nil {
			return nil
		}
	}
	return nil
}

func (f *Fleet) shown(entry int, in []roster.Instance) ([]roster.Instance, error) {
	if f.Relays == nil {
		return in, nil
	}
	out := make([]roster.Instance, 0, len(in))
	for _, i := range in {
		addr, err := f.Relays.Addr(f.Entries[entry].Name, i.ID, i.Agent)
		if err != nil {
			return nil, err
		}
		i.Agent = addr
		out = append(out, i)
	}
	return out, nil
}

// Fault switches faults of the stand-in at addr, given as JSON.
func (f *Fleet) Fault(addr, faults string) error { return post(addr, "/fault", []byte(faults)) }

// Endpoint returns the endpoint of an instance, or nil.
func (f *Fleet) Endpoint(id string) *Endpoint {
	for _, e := range f.Endpoints {
		if e.Instance.ID == id {
			return e
		}
	}
	return nil
}

// Proc returns the process of an entry or of an instance's agent, or nil.
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

// Restart starts a process again that has ended.
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

// Kill ends a process at once and waits for its end.
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

// AwaitReady waits until every running entry is ready and links to every
// endpoint, and every endpoint has what it needs.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.await(ctx, "fleet to be ready", func() bool {
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
		if !serves(ep) {
			return false
		}
	}
	return true
}

func serves(ep entryctrl.EndpointStatus) bool {
	return ep.Linked && ep.Closed == "" && ep.Waits == ""
}

// AwaitServing is AwaitReady without the endpoints that leave.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	return f.await(ctx, "fleet to serve", func() bool {
		for _, e := range f.Entries {
			s, err := f.EntryStatus(e)
			if err != nil || !s.Ready {
				return false
			}
			for _, ep := range s.Endpoints {
				if ep.State == roster.StateLive && !serves(ep) {
					return false
				}
			}
		}
		return true
	})
}

func (f *Fleet) await(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// Await waits until ok returns true, for at most half a minute.
func (f *Fleet) Await(what string, ok func() bool) error {
	return f.await(context.Background(), what, ok)
}

// Stop ends all processes by SIGTERM, entries first, and returns an error if
// one does not end in order.
func (f *Fleet) Stop() error {
	agents := make([]*Proc, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		agents = append(agents, e.Agent)
	}
	entries := make([]*Proc, 0, len(f.Entries))
	for _, e := range f.Entries {
		entries = append(entries, e.Proc)
	}
	err := errors.Join(stopAll(entries), stopAll(agents), stopAll([]*Proc{f.fakes}))
	if f.Relays != nil {
		f.Relays.Close()
	}
	return err
}

func stopAll(group []*Proc) error {
	var errs []error
	for _, p := range group {
		if p != nil && p.cmd != nil && p.Running() {
			errs = append(errs, p.Signal(syscall.SIGCONT), p.Signal(syscall.SIGTERM))
		}
	}
	for _, p := range group {
		if p == nil || p.cmd == nil || !p.Running() {
			continue
		}
		if err := p.Wait(stopLimit); err != nil {
			_ = p.Signal(syscall.SIGKILL)
			errs = append(errs, fmt.Errorf("stop %s: %w", p.Name, err))
		}
	}
	return errors.Join(errs...)
}
