// Package cmds is the agent's command line and its wiring.
package cmds

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"
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
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/wire"
)

const (
	keyBytes       = 32
	defaultLongest = 2 * time.Minute
)

// Options is the agent's command line.
type Options struct {
	Settings string `long:"settings" short:"s" required:"yes" value-name:"FILE" description:"settings file (YAML)"`
	Log      string `long:"log" value-name:"LAYERS" description:"layers whose debug lines are written: link, control, request, engine, http, all"`
}

// Parser returns the command line, which fills opts.
func Parser(opts *Options) *flags.Parser {
	p := flags.NewNamedParser("agent", flags.Default)
	p.LongDescription = "Runs beside one endpoint and decides what it is given."
	if _, err := p.AddGroup("Options", "", opts); err != nil {
		panic(err) // a wrong tag in Options
	}
	return p
}

// Main runs the agent and returns its exit status.
func Main(args []string) int {
	var opts Options
	if _, err := Parser(&opts).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 2
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		return 1
	}
	return 0
}

func run(opts Options) error {
	c := dig.New()
	provide := []any{
		func() (sets.Settings, error) { return base.Load[sets.Settings](opts.Settings) },
		func() (*logs.Set, error) { return logs.New(os.Stderr, "agent", opts.Log) },
		newIncarnation,
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

// incarnation is one life of the process.
type incarnation struct {
	id  uint64
	key []byte
}

func newIncarnation() (incarnation, error) {
	raw := make([]byte, 8+keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return incarnation{}, fmt.Errorf("draw incarnation: %w", err)
	}
	return incarnation{id: binary.BigEndian.Uint64(raw), key: raw[8:]}, nil
}

type parts struct {
	dig.Out

	Control *ctrl.Control
	Driver  *engine.Driver
}

func newParts(s sets.Settings, l *logs.Set, inc incarnation) parts {
	d := &engine.Driver{
		Client: engine.NewClient(s.Endpoint.Address),
		Orders: s.Endpoint.Kind == sets.KindEngine,
		Log:    l.Of(logs.LayerEngine),
	}
	d.Control = ctrl.New(ctrl.Config{
		Instance:    s.Instance,
		Zone:        s.Zone,
		Incarnation: inc.id,
		Key:         inc.key,
		Gate:        gate.Settings{Max: s.Endpoint.Slots, ColdLimit: s.Endpoint.ColdSlots, Open: s.Gate == sets.GateOpen},
		Clock:       clock.System{},
		Begin:       d.Begin,
		Jitter:      mrand.Float64,
	})
	return parts{Control: d.Control, Driver: d}
}

func newServer(s sets.Settings, l *logs.Set, inc incarnation, c *ctrl.Control, d *engine.Driver) (*link.Server, error) {
	tls, err := certs.Server(s.TLS.Files())
	if err != nil {
		return nil, fmt.Errorf("set up TLS: %w", err)
	}
	lg := l.Of(logs.LayerLink)
	calls := &serve.Calls{Control: c, Stop: d.Stop, Log: l.Of(logs.LayerRequest)}
	return &link.Server{
		Welcome: &wire.Welcome{Incarnation: inc.id, Instance: s.Instance},
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

	term := make(chan os.Signal, 1)
	// A second signal changes nothing: what runs is still brought to its end.
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return errors.Join(errors.New("a listener ended"), err)
	case <-term:
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
