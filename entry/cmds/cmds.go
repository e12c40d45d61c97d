// Package cmds defines the command line of the entry and connects its components.
package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/fasthttp/router"
	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"wigeonplank.example/base/accept"
	"wigeonplank.example/base/admin"
	"wigeonplank.example/base/budget"
	"wigeonplank.example/base/certs"
	"wigeonplank.example/base/fetch"
	"wigeonplank.example/base/logs"
	base "wigeonplank.example/base/sets"
	"wigeonplank.example/base/start"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/route"
	"wigeonplank.example/entry/ctrl"
	"wigeonplank.example/entry/exec"
	"wigeonplank.example/entry/front"
	"wigeonplank.example/entry/report"
	"wigeonplank.example/entry/sets"
)

const (
	defaultAcceptPeriod = time.Second
	defaultMaxWait      = 2 * time.Minute
	windowInterval      = 2 * time.Second // rotation of the latency windows
	teamStatsInterval   = time.Minute     // rotation of the team statistics
)

// Parser returns the parser of the command line. It stores the options in opts.
func Parser(opts *start.Options) *flags.Parser {
	return start.Parser("entry", "Accepts callers' requests and executes their pipelines. Run it behind a load balancer.", opts)
}

// Main runs the entry and returns its exit status.
func Main(args []string) int {
	var opts start.Options
	return start.Main(Parser(&opts), args, func(signals *start.Signals) error { return run(opts, signals) })
}

// run builds the entry and serves until it is stopped.
func run(opts start.Options, signals *start.Signals) error {
	c := dig.New()
	provide := []any{
		func() (*base.Live[sets.Settings], error) { return base.OpenFixed[sets.Settings](opts.Settings) },
		func(live *base.Live[sets.Settings]) sets.Settings { return *live.Get() },
		func() *start.Signals { return signals },
		func() (*logs.Set, error) { return logs.New(os.Stderr, "entry", opts.Log) },
		start.NewIncarnation,
		newComponents,
		newFront,
		newAdmin,
	}
	for _, p := range provide {
		if err := c.Provide(p); err != nil {
			return fmt.Errorf("provide dependencies: %w", err)
		}
	}
	if err := c.Invoke(serveUntilStopped); err != nil {
		return dig.RootCause(err)
	}
	return nil
}

// components are the components of the entry that newComponents connects.
type components struct {
	dig.Out

	Control  *ctrl.Control
	Executor *exec.Executor
	Tickets  *exec.Tickets
}

// newComponents creates the components that execute requests.
func newComponents(s sets.Settings, l *logs.Set, inc start.Incarnation) (components, error) {
	linkTLS, err := certs.ClientConfig(s.TLS.Files())
	if err != nil {
		return components{}, fmt.Errorf("set up TLS to agents: %w", err)
	}
	executor := &exec.Executor{
		Router:          &route.Router{Policy: s.Policy.Route},
		Retry:           &retry.Budget{FixedRetries: s.Policy.FixedRetries},
		Stats:           &exec.Stats{},
		Incarnation:     inc.ID,
		IgnoreEstimates: s.Policy.NoAdmission,
		NoAffinity:      s.Policy.NoAffinity,
		Log:             l.Logger(logs.LayerRequest),
		Results:         budget.Budget{Limit: func() int64 { return exec.MaxResultsBytes }},
	}
	executor.Control = ctrl.New(ctrl.Config{
		Instance:    s.Instance,
		Zone:        s.Zone,
		Incarnation: inc.ID,
		Neighbours:  s.Neighbours,
		Platform:    &fetch.Platform{ConfigAddr: s.Platform.Config, ListAddr: s.Platform.List},
		TLS:         linkTLS,
		Clock:       clock.System{},
		LastSeq:     executor.LastSeq,
		Log:         l.Logger(logs.LayerControl),
	})
	return components{Control: executor.Control, Executor: executor, Tickets: &exec.Tickets{Control: executor.Control, Router: executor.Router}}, nil
}

func newFront(s sets.Settings, l *logs.Set, c *ctrl.Control, executor *exec.Executor, t *exec.Tickets) (*front.Server, error) {
	cfg, err := certs.ServerConfig(s.HTTP.Cert, s.HTTP.Key, "")
	if err != nil {
		return nil, fmt.Errorf("set up TLS to callers: %w", err)
	}
	return &front.Server{
		Control:      c,
		Executor:     executor,
		Tickets:      t,
		Log:          l.Logger(logs.LayerHTTP),
		MaxBodyBytes: s.HTTP.MaxBodyBytes,
		MaxConns:     s.HTTP.MaxConns,
		TLS:          cfg,
		NoFairShare:  s.Policy.NoAdmission,
	}, nil
}

// newAdmin creates the HTTP server for operators and registers the metrics.
func newAdmin(c *ctrl.Control, executor *exec.Executor, f *front.Server) *admin.Server {
	reg := executor.Stats.Registry()
	metrics.NewRegisteredFunctionalGauge("wigeonplank_entry_revision", reg, func() int64 { return int64(c.Table().Accepted.Revision()) })
	metrics.NewRegisteredFunctionalGauge("wigeonplank_entry_active", reg, f.Active)
	return &admin.Server{
		Ready: f.Ready,
		Status: func() any {
			ok, _ := f.Ready()
			return report.Status{
				Status:       c.Status(),
				Ready:        ok,
				Active:       f.Active(),
				RetryBalance: executor.Retry.Balance(),
				Teams:        executor.Stats.Teams.Snapshot(),
				Costs:        executor.Stats.Costs.Snapshot(),
			}
		},
		Registry: reg,
		AddRoutes: func(r *router.Router) {
			r.GET("/explain/{pipeline}", func(ctx *fasthttp.RequestCtx) { explain(ctx, c) })
		},
	}
}

// explain answers whether each endpoint may run each stage of a pipeline, and why
// not.
func explain(ctx *fasthttp.RequestCtx, c *ctrl.Control) {
	name, _ := ctx.UserValue("pipeline").(string)
	lines := c.Table().Explain(name, string(ctx.QueryArgs().Peek("team")))
	if lines == nil {
		ctx.Error("no such pipeline", fasthttp.StatusNotFound)
		return
	}
	admin.WriteJSON(ctx, fasthttp.StatusOK, lines)
}

// serveUntilStopped serves callers and operators until a signal or a failed
// listener stops the entry.
func serveUntilStopped(s sets.Settings, l *logs.Set, c *ctrl.Control, executor *exec.Executor, f *front.Server, adm *admin.Server, live *base.Live[sets.Settings], signals *start.Signals) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	onShortage := func(addr string, err error) {
		l.Logger(logs.LayerControl).Warn().Str("addr", addr).Err(err).Msg("a connection can't be accepted yet")
	}
	ln, err := accept.Listen(s.HTTP.Listen, onShortage)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	adminLn, err := accept.Listen(s.Admin.Listen, onShortage)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- f.Serve(ln) }()
	go func() { failed <- adm.Serve(adminLn) }()
	go c.Run(ctx)
	go rotateStats(ctx, executor.Stats)

	// No setting can change without a restart.
	reload := func() {
		if _, err := live.Reload(); err != nil {
			l.Logger(logs.LayerControl).Warn().Err(err).Msg("changed settings are not applied")
		}
	}
	if err := signals.AwaitStop(failed, reload); err != nil {
		return err
	}
	l.Logger(logs.LayerControl).Warn().Msg("stopping: reported as not ready, waiting for requests in flight")
	return stop(s, f)
}

// stop shuts the server down gracefully within the periods of the settings.
func stop(s sets.Settings, f *front.Server) error {
	acceptPeriod, maxWait := s.Stop.AcceptPeriod, s.Stop.Timeout
	if acceptPeriod == 0 {
		acceptPeriod = defaultAcceptPeriod
	}
	if maxWait == 0 {
		maxWait = defaultMaxWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptPeriod+maxWait)
	defer cancel()
	return f.Stop(ctx, acceptPeriod)
}

// rotateStats rotates the statistics at regular intervals until ctx ends.
func rotateStats(ctx context.Context, s *exec.Stats) {
	windows, teams := time.NewTicker(windowInterval), time.NewTicker(teamStatsInterval)
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
