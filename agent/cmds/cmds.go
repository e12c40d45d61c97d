// Package cmds is the agent's command line and its wiring.
package cmds

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/agent/engine"
	"wigeonplank.example/agent/serve"
	"wigeonplank.example/agent/sets"
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

const defaultLongest = 2 * time.Minute

// Parser returns the command line, which fills opts.
func Parser(opts *start.Options) *flags.Parser {
	return start.Parser("agent", "Runs beside one endpoint and decides what it is given.", opts)
}

// Main runs the agent and returns its exit status.
func Main(args []string) int {
	var opts start.Options
	return start.Main(Parser(&opts), args, func() error { return run(opts) })
}

func run(opts start.Options) error {
	c := dig.New()
	provide := []any{
		func() (sets.Settings, error) { return base.Load[sets.Settings](opts.Settings) },
		func() (*logs.Set, error) { return logs.New(os.Stderr, "agent", opts.Log) },
		start.NewIncarnation,
		newParts,
		newServer,
		newAdmin,
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

type parts struct {
	dig.Out

	Control *ctrl.Control
	Driver  *engine.Driver
}

func newParts(s sets.Settings, l *logs.Set, inc start.Incarnation) parts {
	d := &engine.Driver{
		Client: engine.NewClient(s.Endpoint.Address),
		Orders: s.Endpoint.Kind == sets.KindEngine,
		Log:    l.Of(logs.LayerEngine),
	}
	d.Control = ctrl.New(ctrl.Config{
		Instance:    s.Instance,
		Zone:        s.Zone,
		Incarnation: inc.ID,
		Key:         inc.Key,
		Gate:        gate.Settings{WarmLimit: s.Endpoint.Slots, ColdLimit: s.Endpoint.ColdSlots, Open: s.Gate == sets.GateOpen},
		Clock:       clock.System{},
		Begin:       d.Begin,
		Jitter:      rand.Float64,
	})
	return parts{Control: d.Control, Driver: d}
}

func newServer(s sets.Settings, l *logs.Set, inc start.Incarnation, c *ctrl.Control, d *engine.Driver) (*link.Server, error) {
	tls, err := certs.Server(s.TLS.Files())
	if err != nil {
		return nil, fmt.Errorf("set up TLS: %w", err)
	}
	lg := l.Of(logs.LayerLink)
	calls := &serve.Calls{Control: c, Stop: d.Stop, Log: l.Of(logs.LayerRequest)}
	return &link.Server{
		Welcome: &wire.Welcome{Incarnation: inc.ID, Instance: s.Instance},
		TLS:     tls,
		OnHello: c.Meet,
		OnPing:  func(_ uint64, p *wire.Ping) *wire.Pong { return c.Ping(p) },
		Newer:   c.Newer,
		OnPublished: func(doc []byte) {
			v, err := c.Offer(doc)
			l.Of(logs.LayerControl).Info().Str("verdict", string(v)).Err(err).Msg("document offered")
		},
		OnCall:  calls.Serve,
		OnGone:  c.Gone,
		OnError: func(err error) { lg.Info().Err(err).Msg("link") },
	}, nil
}

func newAdmin(c *ctrl.Control) *admin.Server {
	reg := metrics.NewRegistry()
	gauges := metrics.NewRegisteredFunctionalGauge
	gauges("wigeonplank_agent_limit", reg, func() int64 { return int64(c.Status().Limit) })
	gauges("wigeonplank_agent_busy", reg, func() int64 { return int64(c.Status().Busy) })
	gauges("wigeonplank_agent_queued", reg, func() int64 { return int64(c.Status().Queued) })
	gauges("wigeonplank_agent_revision", reg, func() int64 { return int64(c.Status().Revision) })
	return &admin.Server{
		Ready: func() (bool, string) {
			if why := c.Status().Closed; why != "" {
				return false, why
			}
			return true, "ready"
		},
		Status:   func() any { return c.Status() },
		Registry: reg,
	}
}

func serveUntilStopped(s sets.Settings, l *logs.Set, c *ctrl.Control, d *engine.Driver, srv *link.Server, adm *admin.Server) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", s.Link.Listen)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	adminLn, err := net.Listen("tcp", s.Admin.Listen)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(ln) }()
	go func() { failed <- adm.Serve(adminLn) }()
	go d.Run(ctx)

	if err := start.AwaitStop(failed); err != nil {
		return err
	}
	l.Of(logs.LayerControl).Warn().Msg("stopping: no new work, running work goes on")
	longest := s.Stop.Longest
	if longest == 0 {
		longest = defaultLongest
	}
	select {
	case <-c.Drain():
	case <-time.After(longest):
		l.Of(logs.LayerControl).Error().Msg("stopping with work still running: the longest wait has passed")
	}
	srv.Close()
	c.Close()
	return nil
}
