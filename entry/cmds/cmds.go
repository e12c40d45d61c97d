// Package cmds is the entry's command line and its wiring.
package cmds

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/fasthttp/router"
	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"wigeonplank.example/base/admin"
	"wigeonplank.example/base/certs"
	"wigeonplank.example/base/fetch"
	"wigeonplank.example/base/logs"
	base "wigeonplank.example/base/sets"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/meter"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/route"
	"wigeonplank.example/entry/ctrl"
	"wigeonplank.example/entry/front"
	"wigeonplank.example/entry/sets"
	"wigeonplank.example/entry/walk"
)

const (
	defaultAccept  = time.Second
	defaultLongest = 2 * time.Minute
	statsInterval  = 2 * time.Second
	teamsInterval  = time.Minute
)

// Options is the entry's command line.
type Options struct {
	Settings string `long:"settings" short:"s" required:"yes" value-name:"FILE" description:"settings file (YAML)"`
	Log      string `long:"log" value-name:"LAYERS" description:"layers whose debug lines are written: link, control, request, engine, http, all"`
}

// Parser returns the command line, which fills opts.
func Parser(opts *Options) *flags.Parser {
	p := flags.NewNamedParser("entry", flags.Default)
	p.LongDescription = "Takes callers' requests and carries them through pipelines. Stand it behind the balancer."
	if _, err := p.AddGroup("Options", "", opts); err != nil {
		panic(err) // a wrong tag in Options
	}
	return p
}

// Main runs the entry and returns its exit status.
func Main(args []string) int {
	var opts Options
	if _, err := Parser(&opts).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 2
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return 1
	}
	return 0
}

func run(opts Options) error {
	c := dig.New()
	provide := []any{
		func() (sets.Settings, error) { return base.Load[sets.Settings](opts.Settings) },
		func() (*logs.Set, error) { return logs.New(os.Stderr, "entry", opts.Log) },
		newIncarnation,
		newParts,
		newFront,
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
type incarnation uint64

func newIncarnation() (incarnation, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("draw incarnation: %w", err)
	}
	return incarnation(binary.BigEndian.Uint64(raw[:])), nil
}

type parts struct {
	dig.Out

	Control *ctrl.Control
	Walker  *walk.Walker
	Tickets *walk.Tickets
}

func newParts(s sets.Settings, l *logs.Set, inc incarnation) (parts, error) {
	linkTLS, err := certs.Client(s.TLS.Files())
	if err != nil {
		return parts{}, fmt.Errorf("set up TLS to agents: %w", err)
	}
	w := &walk.Walker{
		Router:   &route.Router{Policy: s.Policy.Route},
		Retry:    &retry.Budget{Fixed: s.Policy.FixedRetries},
		Stats:    &walk.Stats{},
		Entry:    uint64(inc),
		NoPlan:   s.Policy.NoAdmission,
		NoPrefix: s.Policy.NoAffinity,
		Log:      l.Of(logs.LayerRequest),
	}
	w.Control = ctrl.New(ctrl.Config{
		Instance:   s.Instance,
		Zone:       s.Zone,
		Entry:      uint64(inc),
		Neighbours: s.Neighbours,
		Platform:   &fetch.Platform{Config: s.Platform.Config, List: s.Platform.List},
		TLS:        linkTLS,
		Clock:      clock.System{},
		LastSeq:    w.LastSeq,
		Log:        l.Of(logs.LayerControl),
	})
	return parts{Control: w.Control, Walker: w, Tickets: &walk.Tickets{Control: w.Control, Router: w.Router}}, nil
}

func newFront(s sets.Settings, l *logs.Set, c *ctrl.Control, w *walk.Walker, t *walk.Tickets) *front.Server {
	return &front.Server{
		Control:  c,
		Walker:   w,
		Tickets:  t,
		Log:      l.Of(logs.LayerHTTP),
		MaxBody:  s.HTTP.MaxBodyBytes,
		MaxConns: s.HTTP.MaxConns,
		NoFair:   s.Policy.NoAdmission,
	}
}

// status is what an entry tells operators.
type status struct {
	ctrl.Status
	Ready        bool              `json:"ready"`
	Active       int64             `json:"active"`
	RetriesSaved float64           `json:"retries_saved"`
	Teams        []meter.TeamStats `json:"teams"`
	Costs        []meter.CostLine  `json:"costs"`
}

func newAdmin(c *ctrl.Control, w *walk.Walker, f *front.Server) *admin.Server {
	reg := w.Stats.Registry()
	metrics.NewRegisteredFunctionalGauge("wigeonplank_entry_revision", reg, func() int64 { return int64(c.Table().Accepted.Revision()) })
	metrics.NewRegisteredFunctionalGauge("wigeonplank_entry_active", reg, f.Active)
	return &admin.Server{
		Ready: f.Ready,
		Status: func() any {
			ok, _ := f.Ready()
			return status{
				Status:       c.Status(),
				Ready:        ok,
				Active:       f.Active(),
				RetriesSaved: w.Retry.Saved(),
				Teams:        w.Stats.Teams.Snapshot(),
				Costs:        w.Stats.Costs.Snapshot(),
			}
		},
		Registry: reg,
		Extra: func(r *router.Router) {
			r.GET("/explain/{pipeline}", func(ctx *fasthttp.RequestCtx) { explain(ctx, c) })
		},
	}
}

func explain(ctx *fasthttp.RequestCtx, c *ctrl.Control) {
	name, _ := ctx.UserValue("pipeline").(string)
	lines := c.Table().Explain(name, string(ctx.QueryArgs().Peek("team")))
	if lines == nil {
		ctx.Error("no such pipeline", fasthttp.StatusNotFound)
		return
	}
	admin.JSON(ctx, fasthttp.StatusOK, lines)
}

func listenCallers(s sets.Settings) (net.Listener, error) {
	ln, err := net.Listen("tcp", s.HTTP.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	cfg, err := certs.Server(s.HTTP.Cert, s.HTTP.Key, "")
	if err != nil {
		return nil, fmt.Errorf("set up TLS to callers: %w", err)
	}
	if cfg == nil {
		return ln, nil
	}
	return tls.NewListener(ln, cfg), nil
}

func serveUntilStopped(s sets.Settings, l *logs.Set, c *ctrl.Control, w *walk.Walker, f *front.Server, adm *admin.Server) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := listenCallers(s)
	if err != nil {
		return err
	}
	adminLn, err := net.Listen("tcp", s.Admin.Listen)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- f.Serve(ln) }()
	go func() { failed <- adm.Serve(adminLn) }()
	go c.Run(ctx)
	go rotate(ctx, w.Stats)

	term := make(chan os.Signal, 1)
	// A second signal changes nothing: what runs is still brought to its end.
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return errors.Join(errors.New("a listener ended"), err)
	case <-term:
	}
	l.Of(logs.LayerControl).Warn().Msg("stopping: not ready, running requests go on")
	return stop(s, f)
}

func stop(s sets.Settings, f *front.Server) error {
	accept, longest := s.Stop.Accept, s.Stop.Longest
	if accept == 0 {
		accept = defaultAccept
	}
	if longest == 0 {
		longest = defaultLongest
	}
	ctx, cancel := context.WithTimeout(context.Background(), accept+longest)
	defer cancel()
	return f.Stop(ctx, accept)
}

func rotate(ctx context.Context, s *walk.Stats) {
	windows, teams := time.NewTicker(statsInterval), time.NewTicker(teamsInterval)
	defer windows.Stop()
	defer teams.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-windows.C:
			s.Rotate()
		case <-teams.C:
			s.Teams.Rotate()
		}
	}
}
