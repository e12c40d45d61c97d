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
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"

	"wigeonplank.example/base/admin"
	base "wigeonplank.example/base/sets"
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
	"wigeonplank.example/relay/peers"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/sets"
	"wigeonplank.example/relay/stage"
)

const (
	tickInterval   = 25 * time.Millisecond // of what has to happen without an event
	logBuffer      = 4096                  // lines; more are dropped rather than wait
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
		func() (sets.Settings, error) { return base.Load[sets.Settings](opts.Settings) },
		newLogger,
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

func newLogger(s sets.Settings) *log.Logger {
	return &log.Logger{
		Level:   log.InfoLevel,
		Writer:  &log.AsyncWriter{ChannelSize: logBuffer, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}},
		Context: log.NewContext(nil).Str("program", "relay").Str("instance", s.Instance).Value(),
	}
}

func newControl(s sets.Settings, l *log.Logger, n *carry.Nodes) *ctrl.Control {
	return &ctrl.Control{Store: plat.NewStore(s.Store), Clock: clock.System{}, Log: l, OnView: n.Forget}
}

func expected(s sets.Settings) int {
	if s.Peers.Expect > 0 {
		return s.Peers.Expect
	}
	return defaultExpect
}

func newMesh(s sets.Settings, l *log.Logger, inc start.Incarnation) *peers.Mesh {
	beat := s.Peers.Beat
	if beat == 0 {
		beat = defaultBeat
	}
	return &peers.Mesh{
		Group: &peer.Group{
			Self:   peer.Member{Instance: s.Instance, Incarnation: inc.ID, Addr: s.Peers.Listen, Zone: s.Zone},
			Expect: expected(s), Started: time.Now(),
		},
		Seeds: s.Peers.Seeds, Beat: beat, Clock: clock.System{}, Log: l, Alone: s.Policy.BatchAlone,
	}
}

func newNodes(s sets.Settings, m *peers.Mesh) *carry.Nodes {
	n := &carry.Nodes{Clock: clock.System{}}
	n.Picker.ColdShare = func(svc *fleet.Service, e *fleet.Endpoint) int {
		all := svc.ColdRate*max(1, s.Cold.Overshoot) + s.Cold.Slack
		return quota.Share(all*coldMargin, m.Size(), m.Rank(e.ID))
	}
	return n
}

func newStages(l *log.Logger, c *ctrl.Control, n *carry.Nodes, p *pool.Pool, m *peers.Mesh) *stage.Runner {
	st := &stage.Runner{View: c.View, Health: n, Peers: m, Pool: p, Clock: clock.System{}, Log: l}
	m.Handler = st
	return st
}

func newWalker(s sets.Settings, l *log.Logger, c *ctrl.Control, n *carry.Nodes, p *pool.Pool, st *stage.Runner, m *peers.Mesh) *carry.Walker {
	ratio := s.Retry.Ratio
	if ratio == 0 {
		ratio = defaultRatio
	}
	return &carry.Walker{
		Zone: s.Zone, View: c.View, Ready: c.Ready, Nodes: n, Pool: p, Stages: st, Clock: clock.System{}, Log: l,
		NoAdmission: s.Policy.NoAdmission,
		NewBudget: func() *retry.Budget {
			return &retry.Budget{Share: ratio * ratioShare, Reserve: max(1, s.Retry.Slack*ratioShare/float64(max(expected(s), m.Size())))}
		},
	}
}

func newFront(l *log.Logger, c *ctrl.Control, w *carry.Walker) *front.Server {
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

func newAdmin(c *ctrl.Control, f *front.Server, p *pool.Pool) *admin.Server {
	reg := metrics.NewRegistry()
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

func serveUntilStopped(s sets.Settings, l *log.Logger, c *ctrl.Control, st *stage.Runner, m *peers.Mesh, f *front.Server, adm *admin.Server) error {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
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
	failed := make(chan error, 3)
	go func() { failed <- m.Serve(peerLn) }()
	go m.Run(ctx)
	go func() { failed <- f.Serve(ln) }()
	go func() { failed <- adm.Serve(adminLn) }()
	go c.Run(ctx)
	go tick(ctx, st)
	l.Info().Str("event", "started").Str("zone", s.Zone).Msg("")
	err = await(failed, l)
	if err != nil {
		return err
	}
	m.Leave()
	stop(s, l, f)
	m.Close()
	return nil
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

func await(failed <-chan error, l *log.Logger) error {
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
			l.Info().Str("event", "reload").Msg("")
		}
	}
}

func stop(s sets.Settings, l *log.Logger, f *front.Server) {
	longest := s.Stop.Longest
	if longest == 0 {
		longest = defaultLongest
	}
	l.Info().Str("event", "stopping").Int64("active", f.Active()).Dur("longest", longest).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), longest-stopMargin)
	defer cancel()
	accept, cancelAccept := context.WithTimeout(ctx, min(noticeTime, longest/3))
	defer cancelAccept()
	f.Stop(ctx, accept)
	l.Info().Str("event", "stopped").Int64("active", f.Active()).Msg("")
	if w, ok := l.Writer.(*log.AsyncWriter); ok {
		_ = w.Close() // the last lines are written, or standard output is gone
	}
}
