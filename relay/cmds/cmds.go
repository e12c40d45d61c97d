// Package cmds is the relay's command line and its wiring.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"

	"wigeonplank.example/base/admin"
	"wigeonplank.example/base/start"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/quota"
	"wigeonplank.example/core/retry"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/carry"
	"wigeonplank.example/relay/ctrl"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/gauge"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/peers"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/sets"
	"wigeonplank.example/relay/stage"
)

const (
	tickInterval   = 25 * time.Millisecond // of what has to happen without an event
	memoryShare    = 0.7                   // of the instance's memory that the heap may use
	gcPercent      = 200
	defaultExpect  = 8
	defaultBeat    = 250 * time.Millisecond
	defaultRatio   = 0.2
	defaultLongest = 8 * time.Second
	noticeTime     = 2500 * time.Millisecond // the balancer notices a relay that is not ready by its second question, a second apart
	stopMargin     = 500 * time.Millisecond  // the process ends so long before it would be killed
	ratioShare     = 0.75                    // of the retries that are allowed; the rest is margin
	coldMargin     = 0.8                     // of the requests that a cold endpoint may get
	reloadPause    = time.Second             // between two looks at the settings file
	flushTime      = 200 * time.Millisecond  // for the last lines, if standard output is slow
)

// Parser returns the command line, which fills opts.
func Parser(opts *start.Options) *flags.Parser {
	return start.Parser("relay", "Takes callers' requests, runs the stages before them, and passes them on to an endpoint.", opts)
}

// Main runs the relay and returns its exit status.
func Main(args []string) int {
	var opts start.Options
	return start.Main(Parser(&opts), args, func() error { return run(opts) })
}

func run(opts start.Options) error {
	c := dig.New()
	provide := []any{
		func() (*sets.Live, error) { return sets.Open(opts.Settings) },
		newLogger,
		func() *gauge.Meters { return &gauge.Meters{Registry: metrics.NewRegistry()} },
		newControl,
		newNodes,
		newMesh,
		newStages,
		start.NewIncarnation,
		newWalker,
		newFront,
		newAdmin,
		func() *pool.Pool { return &pool.Pool{} },
	}
	for _, p := range provide {
		if err := c.Provide(p); err != nil {
			return fmt.Errorf("wire: %w", err)
		}
	}
	if err := c.Invoke(serveUntilStopped); err != nil {
		return dig.RootCause(err)
	}
	return nil
}

func newLogger(s *sets.Live) *logs.Logger {
	return logs.New(os.Stdout, clock.System{}, s.Get().Instance)
}

func newControl(s *sets.Live, l *logs.Logger, n *carry.Balancer) *ctrl.Control {
	c := ctrl.New(plat.NewStore(s.Get().Store), clock.System{}, l)
	c.OnView = n.Prune
	return c
}

func policy(s *sets.Live) func() sets.Policy {
	return func() sets.Policy { return s.Get().Policy }
}

func expected(s *sets.Settings) int {
	if s.Peers.Expect > 0 {
		return s.Peers.Expect
	}
	return defaultExpect
}

func newMesh(live *sets.Live, l *logs.Logger, inc start.Incarnation) *peers.Mesh {
	s := live.Get()
	beat := s.Peers.Beat
	if beat == 0 {
		beat = defaultBeat
	}
	return &peers.Mesh{
		Group: &peer.Group{
			Self:         peer.Member{Instance: s.Instance, Incarnation: inc.ID, Addr: s.Peers.Listen, Zone: s.Zone},
			ExpectedSize: expected(s), Started: time.Now(),
		},
		Seeds: func() []string { return live.Get().Peers.Seeds }, Beat: beat, Clock: clock.System{}, Log: l, Policy: policy(live),
	}
}

func newNodes(s *sets.Live, l *logs.Logger, m *peers.Mesh) *carry.Balancer {
	n := &carry.Balancer{Clock: clock.System{}}
	n.Picker.OnSuspect = func(e *fleet.Endpoint, why string, failures int, pause time.Duration) {
		l.Event(logs.EndpointSuspected).Str("endpoint", e.ID).Str("reason", why).Int("failures", failures).Dur("pause_ms", pause).Msg("")
	}
	n.Picker.OnClear = func(e *fleet.Endpoint) { l.Event(logs.EndpointCleared).Str("endpoint", e.ID).Msg("") }
	n.Picker.ColdShare = func(svc *fleet.Service, e *fleet.Endpoint) int {
		cold := s.Get().Cold
		all := svc.ColdRate*max(1, cold.Overshoot) + cold.Slack
		return quota.Share(all*coldMargin, m.Size(), m.Rank(e.ID))
	}
	return n
}

func newStages(l *logs.Logger, g *gauge.Meters, c *ctrl.Control, n *carry.Balancer, p *pool.Pool, m *peers.Mesh) *stage.Runner {
	st := &stage.Runner{View: c.View, Health: n, Peers: m, Pool: p, Clock: clock.System{}, Log: l, Meters: g}
	m.Handler, m.Source = st, c
	return st
}

func newWalker(live *sets.Live, l *logs.Logger, g *gauge.Meters, c *ctrl.Control, n *carry.Balancer, p *pool.Pool, st *stage.Runner, m *peers.Mesh) *carry.Forwarder {
	return &carry.Forwarder{
		Zone: live.Get().Zone, View: c.View, Ready: c.Ready, Balancer: n, Pool: p, Stages: st, Clock: clock.System{}, Log: l, Meters: g,
		Policy: policy(live),
		NewBudget: func() *retry.Budget {
			s := live.Get()
			ratio := s.Retry.Ratio
			if ratio == 0 {
				ratio = defaultRatio
			}
			return &retry.Budget{Ratio: ratio * ratioShare, MaxBalance: max(1, s.Retry.Slack*ratioShare/float64(max(expected(s), m.Size())))}
		},
	}
}

func newFront(l *logs.Logger, c *ctrl.Control, w *carry.Forwarder) *front.Server {
	return &front.Server{
		Handle: w.Serve,
		Limits: func() fleet.Limits {
			if cfg := c.View().Config; cfg != nil {
				return cfg.Limits
			}
			return fleet.Limits{}
		},
		Log: l,
	}
}

func newAdmin(c *ctrl.Control, f *front.Server, p *pool.Pool, g *gauge.Meters) *admin.Server {
	reg := g.Registry
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_active", reg, f.Active)
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_dials", reg, p.Dials)
	ready := func() (bool, string) {
		if f.Stopping() {
			return false, "stopping"
		}
		return c.Ready()
	}
	return &admin.Server{Ready: ready, Registry: reg, Status: func() any {
		ok, why := ready()
		return map[string]any{"ready": ok, "reason": why, "active": f.Active()}
	}}
}

func serveUntilStopped(live *sets.Live, l *logs.Logger, c *ctrl.Control, w *carry.Forwarder, st *stage.Runner, m *peers.Mesh, f *front.Server, adm *admin.Server) error {
	s := live.Get()
	limitMemory(s)
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", s.HTTP.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	adminLn, err := net.Listen("tcp", s.Admin.Listen)
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	peerLn, err := net.Listen("tcp", s.Peers.Listen)
	if err != nil {
		return fmt.Errorf("listen for relays: %w", err)
	}
	failed := make(chan error, 4)
	if s.Metrics != nil {
		ln, err := net.Listen("tcp", s.Metrics.Listen)
		if err != nil {
			return fmt.Errorf("listen for metrics: %w", err)
		}
		page := *adm
		go func() { failed <- page.Serve(ln) }()
	}
	go func() { failed <- m.Serve(peerLn) }()
	go m.Run(ctx)
	go func() { failed <- f.Serve(ln) }()
	go func() { failed <- adm.Serve(adminLn) }()
	go c.Run(ctx)
	go tick(ctx, st)
	l.Event(logs.Started).Str("zone", s.Zone).Str("store", s.Store).Str("settings", live.File()).Msg("")
	if err := await(failed, func() { reload(live, l, w) }); err != nil {
		return err
	}
	m.Leave()
	stop(live.Get(), l, f)
	m.Close()
	return nil
}

func limitMemory(s *sets.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
}

// reload puts changed settings in force.
func reload(live *sets.Live, l *logs.Logger, w *carry.Forwarder) {
	keys, err := live.Reload()
	if err != nil {
		l.Event(logs.SettingsRejected).Str("settings", live.File()).Err(err).Msg("")
		return
	}
	if len(keys) == 0 {
		return
	}
	limitMemory(live.Get())
	w.ResetBudgets()
	l.Event(logs.SettingsApplied).Str("settings", live.File()).Strs("keys", keys).Msg("")
}

func tick(ctx context.Context, st *stage.Runner) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			st.Tick()
		}
	}
}

// await blocks until a signal to stop, which is no error, or the end of a
// listener. It looks for changed settings on SIGHUP and every now and then.
func await(failed <-chan error, reload func()) error {
	t := time.NewTicker(reloadPause)
	defer t.Stop()
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return errors.Join(errors.New("a listener ended"), err)
		case got := <-sig:
			if got != syscall.SIGHUP {
				return nil
			}
			reload()
		case <-t.C:
			reload()
		}
	}
}

func stop(s *sets.Settings, l *logs.Logger, f *front.Server) {
	longest := s.Stop.Longest
	if longest == 0 {
		longest = defaultLongest
	}
	l.Event(logs.Stopping).Int64("active", f.Active()).Dur("longest_ms", longest).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), longest-stopMargin)
	defer cancel()
	accept, cancelAccept := context.WithTimeout(ctx, min(noticeTime, longest/3))
	defer cancelAccept()
	f.Stop(ctx, accept)
	l.Event(logs.Stopped).Int64("active", f.Active()).Msg("")
	l.Flush(flushTime)
}
