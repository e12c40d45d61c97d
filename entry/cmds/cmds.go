// Package cmds is the entry's command line and its wiring.
package cmds

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
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
	"wigeonplank.example/base/start"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/route"
	"wigeonplank.example/entry/ctrl"
	"wigeonplank.example/entry/front"
	"wigeonplank.example/entry/pages"
	"wigeonplank.example/entry/sets"
	"wigeonplank.example/entry/walk"
)

const (
	defaultAccept  = time.Second
	defaultLongest = 2 * time.Minute
	statsInterval  = 2 * time.Second
	teamsInterval  = time.Minute
)

// Parser returns the command line, which fills opts.
func Parser(opts *start.Options) *flags.Parser {
	return start.Parser("entry", "Takes callers' requests and carries them through pipelines. Stand it behind the balancer.", opts)
}

// Main runs the entry and returns its exit status.
func Main(args []string) int {
	var opts start.Options
	return start.Main(Parser(&opts), args, func() error { return run(opts) })
}

func run(opts start.Options) error {
	c := dig.New()
	provide := []any{
		func() (sets.Settings, error) { return base.Load[sets.Settings](opts.Settings) },
		func() (*logs.Set, error) { return logs.New(os.Stderr, "entry", opts.Log) },
		start.NewIncarnation,
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

type parts struct {
	dig.Out

	Control *ctrl.Control
	Walker  *walk.Walker
	Tickets *walk.Tickets
}

func newParts(s sets.Settings, l *logs.Set, inc start.Incarnation) (parts, error) {
	linkTLS, err := certs.Client(s.TLS.Files())
	if err != nil {
		return parts{}, fmt.Errorf("set up TLS to agents: %w", err)
	}
	w := &walk.Walker{
		Router:   &route.Router{Policy: s.Policy.Route},
		Retry:    &retry.Budget{FixedRetries: s.Policy.FixedRetries},
		Stats:    &walk.Stats{},
		Entry:    inc.ID,
		NoPlan:   s.Policy.NoAdmission,
		NoPrefix: s.Policy.NoAffinity,
		Log:      l.Of(logs.LayerRequest),
	}
	w.Control = ctrl.New(ctrl.Config{
		Instance:   s.Instance,
		Zone:       s.Zone,
		Entry:      inc.ID,
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

func newAdmin(c *ctrl.Control, w *walk.Walker, f *front.Server) *admin.Server {
	reg := w.Stats.Registry()
	metrics.NewRegisteredFunctionalGauge("wigeonplank_entry_revision", reg, func() int64 { return int64(c.Table().Accepted.Revision()) })
	metrics.NewRegisteredFunctionalGauge("wigeonplank_entry_active", reg, f.Active)
	return &admin.Server{
		Ready: f.Ready,
		Status: func() any {
			ok, _ := f.Ready()
			return pages.Status{
				Status:       c.Status(),
				Ready:        ok,
				Active:       f.Active(),
				RetriesSaved: w.Retry.Balance(),
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

	if err := start.AwaitStop(failed); err != nil {
		return err
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
