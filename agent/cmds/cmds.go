// Package cmds defines the agent's command line and connects its components.
package cmds

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/agent/engine"
	"wigeonplank.example/agent/serve"
	"wigeonplank.example/agent/sets"
	"wigeonplank.example/base/accept"
	"wigeonplank.example/base/admin"
	"wigeonplank.example/base/certs"
	"wigeonplank.example/base/link"
	"wigeonplank.example/base/logs"
	base "wigeonplank.example/base/sets"
	"wigeonplank.example/base/start"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/wire"
)

const defaultStopTimeout = 2 * time.Minute

// Parser returns the command line parser, which fills opts.
func Parser(opts *start.Options) *flags.Parser {
	return start.Parser("agent", "Runs beside one endpoint and decides which requests it gets, and when.", opts)
}

// Main runs the agent and returns its exit status.
func Main(args []string) int {
	var opts start.Options
	return start.Main(Parser(&opts), args, func(signals *start.Signals) error { return run(opts, signals) })
}

func run(opts start.Options, signals *start.Signals) error {
	c := dig.New()
	constructors := []any{
		func() (*base.Live[sets.Settings], error) { return base.OpenFixed[sets.Settings](opts.Settings) },
		func(live *base.Live[sets.Settings]) sets.Settings { return *live.Get() },
		func() *start.Signals { return signals },
		func() (*logs.Set, error) { return logs.New(os.Stderr, "agent", opts.Log) },
		start.NewIncarnation,
		newComponents,
		newServer,
		newAdmin,
	}
	for _, ctor := range constructors {
		if err := c.Provide(ctor); err != nil {
			return fmt.Errorf("register constructor: %w", err)
		}
	}
	if err := c.Invoke(serveUntilStopped); err != nil {
		return dig.RootCause(err)
	}
	return nil
}

// components are the results of newComponents. Control and Driver refer to each
// other, so one constructor makes both.
type components struct {
	dig.Out

	Control *ctrl.Control
	Driver  *engine.Driver
}

func newComponents(s sets.Settings, l *logs.Set, inc start.Incarnation) components {
	d := &engine.Driver{
		Client:      engine.NewClient(s.Endpoint.Address),
		TakesOrders: s.Endpoint.Kind == sets.KindEngine,
		Log:         l.Logger(logs.LayerEngine),
	}
	gateLog := l.Logger(logs.LayerControl)
	d.Control = ctrl.New(ctrl.Config{
		Instance:    s.Instance,
		Zone:        s.Zone,
		Incarnation: inc.ID,
		Key:         inc.Key,
		Gate:        gate.Settings{WarmLimit: s.Endpoint.Slots, ColdLimit: s.Endpoint.ColdSlots, Open: s.Gate == sets.GateOpen},
		Clock:       clock.System{},
		StartJob:    d.StartJob,
		Jitter:      rand.Float64,
		OnLimitLowered: func(reason gate.LowerReason, from, to int) {
			gateLog.Warn().Str("reason", string(reason)).Int("from", from).Int("to", to).Msg("limit lowered")
		},
	})
	return components{Control: d.Control, Driver: d}
}

func newServer(s sets.Settings, l *logs.Set, inc start.Incarnation, c *ctrl.Control, d *engine.Driver) (*link.Server, error) {
	tls, err := certs.ServerConfig(s.TLS.Files())
	if err != nil {
		return nil, fmt.Errorf("set up TLS: %w", err)
	}
	linkLog := l.Logger(logs.LayerLink)
	handler := &serve.Handler{Control: c, CancelJob: d.CancelJob, Log: l.Logger(logs.LayerRequest)}
	return &link.Server{
		Welcome:       &wire.Welcome{Incarnation: inc.ID, Instance: s.Instance},
		TLS:           tls,
		OnHello:       c.EntryConnected,
		OnPing:        func(_ uint64, p *wire.Ping) *wire.Pong { return c.HandlePing(p) },
		NewerDocument: c.NewerThan,
		OnPublished: func(doc []byte) {
			v, err := c.OfferDocument(doc)
			l.Logger(logs.LayerControl).Info().Str("verdict", string(v)).Err(err).Msg("configuration document received")
		},
		OnCall:       handler.Serve,
		OnDisconnect: c.EntryDisconnected,
		OnError:      func(err error) { linkLog.Info().Err(err).Msg("link failed") },
	}, nil
}

func newAdmin(c *ctrl.Control) *admin.Server {
	reg := metrics.NewRegistry()
	register := metrics.NewRegisteredFunctionalGauge
	register("wigeonplank_agent_limit", reg, func() int64 { return int64(c.Status().Limit) })
	register("wigeonplank_agent_busy", reg, func() int64 { return int64(c.Status().Busy) })
	register("wigeonplank_agent_queued", reg, func() int64 { return int64(c.Status().Queued) })
	register("wigeonplank_agent_revision", reg, func() int64 { return int64(c.Status().Revision) })
	return &admin.Server{
		Ready: func() (bool, string) {
			if reason := c.Status().ClosedReason; reason != "" {
				return false, reason
			}
			return true, "ready"
		},
		Status:   func() any { return c.Status() },
		Registry: reg,
	}
}

// serveUntilStopped serves until a signal asks the agent to stop. It then refuses
// new work and waits, up to the stop timeout, until no work is queued or running
// and no result is retained. If a listener fails, it returns the error at once.
func serveUntilStopped(s sets.Settings, l *logs.Set, c *ctrl.Control, d *engine.Driver, srv *link.Server, adm *admin.Server, live *base.Live[sets.Settings], signals *start.Signals) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	onShortage := func(addr string, err error) {
		l.Logger(logs.LayerControl).Warn().Str("addr", addr).Err(err).Msg("a connection can't be accepted yet")
	}
	ln, err := accept.Listen(s.Link.Listen, onShortage)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	adminLn, err := accept.Listen(s.Admin.Listen, onShortage)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(ln) }()
	go func() { failed <- adm.Serve(adminLn) }()
	go d.Run(ctx)

	// No setting can change without a restart.
	reload := func() {
		if _, err := live.Reload(); err != nil {
			l.Logger(logs.LayerControl).Warn().Err(err).Msg("changed settings are not applied")
		}
	}
	if err := signals.AwaitStop(failed, reload); err != nil {
		return err
	}
	l.Logger(logs.LayerControl).Warn().Msg("stopping: refusing new work and waiting for running work")
	timeout := s.Stop.Timeout
	if timeout == 0 {
		timeout = defaultStopTimeout
	}
	select {
	case <-c.Drain():
	case <-time.After(timeout):
		l.Logger(logs.LayerControl).Error().Msg("stop timeout exceeded; ending with work still running")
	}
	srv.Close()
	c.Close()
	return nil
}
