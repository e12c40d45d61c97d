// Package cmds implements the relay's command line and creates its components.
package cmds

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"time"

	"github.com/fasthttp/router"
	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"wigeonplank.example/base/accept"
	"wigeonplank.example/base/admin"
	"wigeonplank.example/base/budget"
	base "wigeonplank.example/base/sets"
	"wigeonplank.example/base/start"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/quota"
	"wigeonplank.example/core/retry"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/assign"
	"wigeonplank.example/relay/ctrl"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/guard"
	"wigeonplank.example/relay/keeper"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/peers"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/proxy"
	"wigeonplank.example/relay/sets"
	"wigeonplank.example/relay/stage"
	"wigeonplank.example/relay/stats"
)

const (
	tickInterval         = 25 * time.Millisecond // interval at which delayed stage calls are started and results are released
	memoryLimitRatio     = 0.7                   // soft memory limit of the process as a ratio of the instance's memory
	gcPercent            = 200
	bodyMemoryShare      = 4 // one part in this many of the instance's memory is for large bodies of requests in flight
	maxBodyBudget        = 64 << 20
	responseMemoryShare  = 8 // one part in this many of the instance's memory is for responses in flight
	maxResponseBudget    = 16 << 20
	defaultExpectedPeers = 8 // relays
	defaultDrain         = 2 * time.Second
	defaultStable        = 3 * time.Second
	defaultReturn        = 2 * time.Second
	defaultLinkMbps      = 1000
	defaultRetryRatio    = 0.2 // retries per request
	defaultStopTimeout   = 8 * time.Second
	acceptPeriod         = 2500 * time.Millisecond // the load balancer needs two readiness checks, 1 s apart, to notice a stop
	// stopMargin is left of the time for a stop once requests in flight are cancelled. Handlers
	// and log lines may take 200 ms each; the rest is for a machine without idle cores.
	stopMargin       = time.Second
	usableRetryShare = 0.75                   // share of the allowed retries that is used; the rest is a margin
	usableColdShare  = 0.8                    // share of the rate allowed at a cold endpoint that is used; the rest is a margin
	flushTimeout     = 200 * time.Millisecond // bounds the write of the last log lines if standard output is slow
)

// Options are the command line options of the relay.
type Options struct {
	Start  start.Options `no-flag:"true"` // added as a group of its own
	Keeper bool          `long:"keeper" description:"run as a keeper, which remembers for relays where streams began; the settings are those of a keeper"`
}

// Parser returns the parser of the command line, which sets opts.
func Parser(opts *Options) *flags.Parser {
	p := start.Parser("relay", "Accepts callers' requests, runs the stages that precede them, and forwards them to an endpoint.", &opts.Start)
	if _, err := p.AddGroup("Role", "", opts); err != nil {
		panic(err) // only for an invalid tag in Options
	}
	return p
}

// Main runs the relay and returns its exit status.
func Main(args []string) int {
	var opts Options
	return start.Main(Parser(&opts), args, func(signals *start.Signals) error {
		if opts.Keeper {
			return runKeeper(opts.Start.Settings, signals)
		}
		return run(opts.Start, signals)
	})
}

func run(opts start.Options, signals *start.Signals) error {
	container := dig.New()
	constructors := []any{
		func() (*sets.Live, error) { return sets.Open(opts.Settings) },
		func() *start.Signals { return signals },
		newLogger,
		func() *stats.Meters { return &stats.Meters{Registry: metrics.NewRegistry()} },
		newControl,
		newBalancer,
		newPeerMesh,
		newKeeperLinks,
		newAssigner,
		newStages,
		newGuard,
		newLedger,
		start.NewIncarnation,
		newForwarder,
		newFront,
		newAdmin,
		newPool,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return fmt.Errorf("provide components: %w", err)
		}
	}
	if err := container.Invoke(serveUntilStopped); err != nil {
		return dig.RootCause(err)
	}
	return nil
}

func newLogger(live *sets.Live) *logs.Logger {
	return logs.New(os.Stdout, clock.System{}, live.Get().Instance)
}

func newPool(live *sets.Live) *pool.Pool {
	return &pool.Pool{Budget: budget.Budget{Limit: func() int64 { return memoryShare(live.Get().MemoryBytes, responseMemoryShare, maxResponseBudget) }}}
}

// memoryShare returns one part in share of the instance's memory, and most at most. A memory of 0
// is unknown.
func memoryShare(memoryBytes, share, most int64) int64 {
	if memoryBytes <= 0 {
		return most
	}
	return min(most, memoryBytes/share)
}

func newControl(live *sets.Live, l *logs.Logger) *ctrl.Control {
	store := plat.NewStore(live.Get().Store)
	store.OnSkipped = func(entries int) {
		l.Event(logs.EndpointRejected).Err(fmt.Errorf("%d entries of a response have no readable key or revision", entries)).Msg("")
	}
	c := ctrl.New(live.Get().Instance, store, clock.System{}, l)
	c.Limits = func() ctrl.Limits {
		r := live.Get().Removal
		return ctrl.Limits{Drain: cmp.Or(millis(r.DrainMs), defaultDrain), Stable: cmp.Or(millis(r.StableMs), defaultStable), Return: cmp.Or(r.Return, defaultReturn)}
	}
	return c
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// weight returns the weight of this relay among those that own shared work.
func weight(c sets.Capacity) float64 {
	cores, share, link := c.Cores, c.CPUShare, c.LinkMbps
	if cores == 0 {
		cores = 1
	}
	if share == 0 {
		share = 1
	}
	if link == 0 {
		link = defaultLinkMbps
	}
	return peer.Weight(cores*share, link)
}

// policyFunc returns a function that returns the current policy.
func policyFunc(live *sets.Live) func() sets.Policy {
	return func() sets.Policy { return live.Get().Policy }
}

// expectedPeers returns the number of relays to assume until they are known.
func expectedPeers(s *sets.Settings) int {
	if s.Peers.ExpectedSize > 0 {
		return s.Peers.ExpectedSize
	}
	return defaultExpectedPeers
}

func newPeerMesh(live *sets.Live, l *logs.Logger, inc start.Incarnation, meters *stats.Meters) *peers.Mesh {
	s := live.Get()
	return &peers.Mesh{
		Group: &peer.Group{
			Self:         peer.Member{Instance: s.Instance, Incarnation: inc.ID, Addr: s.Peers.Listen, Zone: s.Zone, Weight: weight(s.Capacity)},
			ExpectedSize: expectedPeers(s), Started: time.Now(),
		},
		Seeds: func() []string { return live.Get().Peers.Seeds }, Timing: peers.Timing{Active: s.Peers.HeartbeatInterval},
		Clock: clock.System{}, Log: l, Policy: policyFunc(live), OnStored: meters.RecordStored,
	}
}

// newKeeperLinks returns the links to the keepers beside endpoints, and has the mesh use them.
func newKeeperLinks(live *sets.Live, l *logs.Logger, c *ctrl.Control, m *peers.Mesh) *keeper.Links {
	var view *fleet.View
	var hosts []origin.Host // of view; both are used by one goroutine at a time
	k := &keeper.Links{
		Hosts: func() []origin.Host {
			if v := c.View(); v != view {
				view, hosts = v, origin.Hosts(v)
			}
			return hosts
		},
		Port:  func() int { return live.Get().Keepers.Port },
		Clock: clock.System{}, Log: l, OnStored: m.OnStored,
	}
	m.Beside = k
	return k
}

func newBalancer(live *sets.Live, l *logs.Logger, meters *stats.Meters, c *ctrl.Control, m *peers.Mesh) *proxy.Balancer {
	b := &proxy.Balancer{Clock: clock.System{}, Policy: policyFunc(live)}
	b.Picker.OnSuspect = func(e *fleet.Endpoint, reason string, failures int, pause time.Duration) {
		l.Event(logs.EndpointSuspected).Str("endpoint", e.ID).Str("reason", reason).Int("failures", failures).Dur("pause_ms", pause).Msg("")
	}
	b.Picker.OnClear = func(e *fleet.Endpoint) { l.Event(logs.EndpointCleared).Str("endpoint", e.ID).Msg("") }
	b.Picker.OnNotice = func(endpoint string, before, after notice.Notice) {
		service := ""
		if e := c.View().Endpoint(endpoint); e != nil {
			service = e.Service
		}
		recordNotice(l, meters, service, endpoint, before, after)
		if !after.Says(before) {
			m.Announce()
		}
	}
	b.Picker.LimitShare = func(e *fleet.Endpoint, requests int) int {
		return quota.Share(float64(requests), m.Size(), m.Rank(e.ID))
	}
	m.Notices = b
	b.Picker.ColdShare = func(svc *fleet.Service, e *fleet.Endpoint) int {
		cold := live.Get().Cold
		rate := svc.ColdRate*max(1, cold.RateFactor) + cold.Slack // requests per second, of all relays together
		return quota.Share(rate*usableColdShare, m.Size(), m.Rank(e.ID))
	}
	return b
}

// recordNotice logs and counts what an endpoint announces that it didn't before.
func recordNotice(l *logs.Logger, meters *stats.Meters, service, endpoint string, before, after notice.Notice) {
	if after.Leaving() != notice.LeavingNo && before.Leaving() == notice.LeavingNo {
		l.Event(logs.EndpointLeaving).Str("endpoint", endpoint).Str("source", after.Source()).Msg("")
		meters.RecordNotice(service, stats.NoticeLeaving)
	}
	if t := after.ClosedUntil(); !t.Equal(before.ClosedUntil()) {
		l.Event(logs.EndpointClosed).Str("endpoint", endpoint).Dur("pause_ms", time.Until(t)).Msg("")
		meters.RecordNotice(service, stats.NoticeClosed)
	}
	rate, limited := after.RateLimit()
	switch {
	case after.SameLimit(before):
	case limited:
		l.Event(logs.EndpointLimited).Str("endpoint", endpoint).Float64("rate_limit", rate).Str("source", after.Source()).Msg("")
		meters.RecordNotice(service, stats.NoticeLimited)
	default:
		l.Event(logs.LimitEnded).Str("endpoint", endpoint).Str("source", after.Source()).Msg("")
	}
}

func newAssigner(l *logs.Logger, c *ctrl.Control, b *proxy.Balancer, m *peers.Mesh, lives *life.Ledger) *assign.Assigner {
	a := &assign.Assigner{View: c.View, Health: b, Timing: b, Peers: m, Clock: clock.System{}, Log: l}
	m.Topics = append(m.Topics, a)
	c.OnViewChange = func(v *fleet.View) {
		b.Observe(v)
		lives.Prune(v)
		a.Prune(v)
	}
	return a
}

func newStages(
	l *logs.Logger, meters *stats.Meters, c *ctrl.Control, b *proxy.Balancer, a *assign.Assigner, p *pool.Pool, m *peers.Mesh,
) *stage.Runner {
	r := &stage.Runner{View: c.View, Health: b, Peers: m, Pool: p, Clock: clock.System{}, Log: l, Meters: meters}
	m.Handler, m.Source, m.Engines = r, c, a
	c.Reads, c.Size, c.Announce = m.Reads, m.Size, m.Announce
	return r
}

// readyFunc returns a function that reports whether requests can be served, and what is
// missing if not.
func readyFunc(c *ctrl.Control, m *peers.Mesh) func() (bool, string) {
	return func() (bool, string) {
		if !m.Informed() {
			return false, "other relays have not told yet what they know"
		}
		return c.Ready()
	}
}

func newLedger(l *logs.Logger, m *peers.Mesh) *life.Ledger {
	lives := &life.Ledger{Announce: m.Announce, Clock: clock.System{}, Log: l}
	m.Topics = append(m.Topics, lives)
	return lives
}

func newGuard(
	l *logs.Logger, meters *stats.Meters, c *ctrl.Control, b *proxy.Balancer, p *pool.Pool, r *stage.Runner, m *peers.Mesh, lives *life.Ledger,
) *guard.Guard {
	onCrash := func(e *fleet.Endpoint) {
		b.MarkUnreachable(e)
		lives.Ended(e)
	}
	g := &guard.Guard{
		View: c.View, Rank: m.Rank, Announce: m.Announce, OnCrash: onCrash, Clock: clock.System{}, Log: l, Meters: meters, Pool: p,
	}
	m.Topics = append(m.Topics, g)
	r.Crashed = g.Crashed
	return g
}

func newForwarder(
	live *sets.Live, l *logs.Logger, meters *stats.Meters, c *ctrl.Control, b *proxy.Balancer, a *assign.Assigner, p *pool.Pool, r *stage.Runner,
	m *peers.Mesh, g *guard.Guard, lives *life.Ledger,
) *proxy.Forwarder {
	return &proxy.Forwarder{
		Zone: live.Get().Zone, View: c.View, Ready: readyFunc(c, m), Confirmed: c.Confirmed, Refresh: c.Refresh, History: c.ReadHistory, ViewAge: c.ViewAge, ReachesHalf: m.ReachesHalf, IsAlone: m.IsAlone, Balancer: b, Pool: p, Stages: r, Engines: a, Origins: m, Guard: g, OverShare: r.OverShare, Clock: clock.System{}, Log: l, Meters: meters,
		Policy:       policyFunc(live),
		Incarnations: lives,
		NewBudget: func() *retry.Budget {
			s := live.Get()
			ratio := s.Retry.Ratio
			if ratio == 0 {
				ratio = defaultRetryRatio
			}
			// The slack applies to all relays together, so that each gets its part. The
			// balance must reach 1 for a relay to retry at all.
			relays := float64(max(expectedPeers(s), m.Size()))
			return &retry.Budget{Ratio: ratio * usableRetryShare, MaxBalance: max(1, s.Retry.Slack*usableRetryShare/relays)}
		},
	}
}

func newFront(live *sets.Live, l *logs.Logger, c *ctrl.Control, f *proxy.Forwarder) *front.Server {
	return &front.Server{
		Handle: f.Serve,
		Limits: func() fleet.Limits {
			if cfg := c.View().Config; cfg != nil {
				return cfg.Limits
			}
			return fleet.Limits{}
		},
		BodyBudget: func() int64 { return memoryShare(live.Get().MemoryBytes, bodyMemoryShare, maxBodyBudget) },
		Log:        l,
	}
}

// newAdmin returns the server of the admin address. It registers the gauges of requests in
// flight, dials, responses held, missing changes to the store, suspects and quarantines, and
// reports the relay as not ready while it stops.
func newAdmin(
	c *ctrl.Control, m *peers.Mesh, srv *front.Server, p *pool.Pool, g *guard.Guard, b *proxy.Balancer, st *stage.Runner, meters *stats.Meters,
) *admin.Server {
	reg := meters.Registry
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_active", reg, srv.Active)
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_dials", reg, p.Dials)
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_response_bytes", reg, p.Budget.Used)
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_view_behind_ms", reg, func() int64 { return c.Behind().Milliseconds() })
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_suspects", reg, g.NumSuspects)
	metrics.NewRegisteredFunctionalGauge("wigeonplank_relay_quarantines", reg, g.NumQuarantined)
	serving := readyFunc(c, m)
	ready := func() (bool, string) {
		if srv.Stopping() {
			return false, "stopping"
		}
		return serving()
	}
	return &admin.Server{
		Ready: ready, Registry: reg,
		Status: func() any {
			ok, reason := ready()
			return map[string]any{"ready": ok, "reason": reason, "active": srv.Active()}
		},
		AddRoutes: func(r *router.Router) {
			r.GET("/suspects", func(ctx *fasthttp.RequestCtx) { admin.WriteJSON(ctx, fasthttp.StatusOK, g.Suspects()) })
			r.GET("/endpoints", func(ctx *fasthttp.RequestCtx) { admin.WriteJSON(ctx, fasthttp.StatusOK, b.Endpoints(c.View())) })
			r.GET("/shares", func(ctx *fasthttp.RequestCtx) { admin.WriteJSON(ctx, fasthttp.StatusOK, st.Shares()) })
		},
	}
}

// serveUntilStopped listens on all addresses and serves until the process is
// signalled to stop or a listener fails.
func serveUntilStopped(
	live *sets.Live, l *logs.Logger, c *ctrl.Control, f *proxy.Forwarder, r *stage.Runner, m *peers.Mesh, k *keeper.Links, srv *front.Server, adm *admin.Server,
	signals *start.Signals,
) error {
	s := live.Get()
	setMemoryLimit(s.MemoryBytes)
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	onShortage := func(addr string, err error) { l.Event(logs.AcceptFailed).Str("addr", addr).Err(err).Msg("") }
	ln, err := accept.Listen(s.HTTP.Listen, onShortage)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	adminLn, err := accept.Listen(s.Admin.Listen, onShortage)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	peerLn, err := accept.Listen(s.Peers.Listen, onShortage)
	if err != nil {
		return fmt.Errorf("listen for other relays: %w", err)
	}
	failed := make(chan error, 4)
	if s.Metrics != nil {
		ln, err := accept.Listen(s.Metrics.Listen, onShortage)
		if err != nil {
			return fmt.Errorf("listen for metrics: %w", err)
		}
		metricsSrv := *adm // a copy, as a server has one listener
		go func() { failed <- metricsSrv.Serve(ln) }()
	}
	go func() { failed <- m.Serve(peerLn) }()
	go m.Run(ctx)
	go k.Run(ctx)
	go func() { failed <- srv.Serve(ln) }()
	go func() { failed <- adm.Serve(adminLn) }()
	go c.Run(ctx)
	go runTicks(ctx, r, c)
	l.Event(logs.Started).Str("zone", s.Zone).Str("store", s.Store).Str("settings", live.File()).Msg("")
	apply := func(s *sets.Settings) {
		setMemoryLimit(s.MemoryBytes)
		f.ResizeBudgets()
	}
	if err := signals.AwaitStop(failed, func() { reload(live, l, apply) }); err != nil {
		return err
	}
	m.Leave()
	shutDown(live.Get(), l, srv)
	m.Close()
	return nil
}

// setMemoryLimit sets the soft memory limit of the process for an instance's memory. A memory of
// 0 is unknown.
func setMemoryLimit(memoryBytes int64) {
	limit := int64(math.MaxInt64) // none
	if memoryBytes > 0 {
		limit = int64(math.Ceil(float64(memoryBytes) * memoryLimitRatio))
	}
	debug.SetMemoryLimit(limit)
}

// reload applies a settings file if it has changed. apply is called with the new settings.
func reload[T any](live *base.Live[T], l *logs.Logger, apply func(s *T)) {
	keys, err := live.Reload()
	if err != nil {
		l.Event(logs.SettingsRejected).Str("settings", live.File()).Err(err).Msg("")
		return
	}
	if len(keys) == 0 {
		return
	}
	apply(live.Get())
	l.Event(logs.SettingsApplied).Str("settings", live.File()).Strs("keys", keys).Msg("")
}

// runTicks calls the Tick methods of a stage runner and of the control state periodically
// until ctx ends.
func runTicks(ctx context.Context, r *stage.Runner, c *ctrl.Control) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.Tick()
			r.Tick()
		}
	}
}

// shutDown accepts requests for another acceptPeriod, as the load balancer must
// first detect that the relay isn't ready, and then waits for the requests in
// flight.
func shutDown(s *sets.Settings, l *logs.Logger, srv *front.Server) {
	timeout := s.Stop.Timeout
	if timeout == 0 {
		timeout = defaultStopTimeout
	}
	l.Event(logs.Stopping).Int64("active", srv.Active()).Dur("longest_ms", timeout).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), timeout-min(stopMargin, timeout/4))
	defer cancel()
	accept, cancelAccept := context.WithTimeout(ctx, min(acceptPeriod, timeout/3))
	defer cancelAccept()
	srv.Stop(ctx, accept)
	l.Event(logs.Stopped).Int64("active", srv.Active()).Msg("")
	l.Flush(flushTimeout)
}
