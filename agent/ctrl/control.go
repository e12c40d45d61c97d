// Package ctrl is an agent's control state. One goroutine owns the active
// configuration, the view that entries report, the jobs and the gate that
// admits them. The methods of Control run a function in that goroutine and wait
// for it.
package ctrl

import (
	"fmt"
	"sync"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/feed"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/place"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

// Timing of the control state.
const (
	tickInterval    = 50 * time.Millisecond
	pauseThreshold  = time.Second      // a longer gap between ticks counts as a pause of the process
	resultRetention = 5 * time.Second  // time after its deadline for which an unacknowledged result is retained
	entryRetention  = 10 * time.Minute // time for which the attempts of an entry without a link stay known
)

// Config configures a Control.
type Config struct {
	Instance    string // ID of the instance that the agent runs beside
	Zone        string // availability zone of the instance
	Incarnation uint64 // ID of this run of the agent
	Key         []byte // secret that authenticates the incarnation's serials
	Gate        gate.Settings
	Clock       clock.Clock
	// StartJob starts a job at the endpoint. It must not block.
	StartJob func(*Job)
	// Jitter returns a number in [0,1).
	Jitter func() float64
	// OnLimitLowered is called when the gate's limit was lowered. It may be nil.
	OnLimitLowered func(reason gate.LowerReason, from, to int)
}

// Job is an attempt that was admitted.
type Job struct {
	ID       runs.ID
	Dispatch *wire.Dispatch
	Stage    *conf.Stage
	Output   *feed.Feed[*wire.Progress] // the answer's bytes, then a Result or Refused message
	Started  time.Time                  // zero while it is queued
}

// Control is an agent's control state. It is created by New and is safe for
// concurrent use until Close.
type Control struct {
	cfg       Config
	ops       chan func() // functions to run in the goroutine of loop
	stop      chan struct{}
	closeOnce sync.Once

	// The fields below are owned by the goroutine of loop.

	tracker       conf.Tracker
	gate          *gate.Gate
	table         runs.Table          // states of attempts
	serials       *ticket.SerialTable // states of the serials in tickets
	planner       place.Planner
	jobs          map[runs.ID]*Job // queued, running, or with a retained result
	pauseDetector clock.PauseDetector
	disconnected  map[uint64]time.Time // entries without a link, by the time at which it ended
	view          view
	engine        place.EngineStatus // last state that the engine reported
	placementWait string             // what placement waits for, or ""
	stopping      bool
}

// New returns a Control and starts its goroutine.
func New(cfg Config) *Control {
	c := &Control{
		cfg:          cfg,
		ops:          make(chan func()),
		stop:         make(chan struct{}),
		gate:         gate.New(cfg.Gate, cfg.Clock.Now()),
		serials:      ticket.NewSerialTable(cfg.Incarnation, cfg.Key, 0, 0),
		jobs:         make(map[runs.ID]*Job),
		disconnected: make(map[uint64]time.Time),
	}
	c.gate.OnLowered = cfg.OnLimitLowered
	go c.loop()
	return c
}

func (c *Control) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-c.stop:
			return
		case op := <-c.ops:
			c.detectPause()
			op()
		case <-t.C:
			c.detectPause()
			c.tick()
		}
	}
}

// detectPause invalidates the view after a pause of the process. It runs before
// every operation and tick, so that a message which waited in a socket during
// the pause is never judged by the view from before it.
func (c *Control) detectPause() {
	if c.pauseDetector.Tick(c.cfg.Clock.Now(), pauseThreshold) {
		c.view.invalidate()
	}
}

// do runs f in the goroutine of loop and waits for it. After Close it returns
// without running f.
func (c *Control) do(f func()) {
	done := make(chan struct{})
	select {
	case c.ops <- func() { f(); close(done) }:
		<-done
	case <-c.stop:
	}
}

// Close ends the control goroutine. Later calls of other methods return zero
// values.
func (c *Control) Close() { c.closeOnce.Do(func() { close(c.stop) }) }

func (c *Control) tick() {
	now := c.cfg.Clock.Now()
	c.apply(now, c.gate.Tick(now))
	for _, id := range c.table.ReleaseExpired(now) {
		delete(c.jobs, id)
	}
	for entry, since := range c.disconnected {
		if now.Sub(since) > entryRetention {
			c.table.RemoveEntry(entry)
			delete(c.disconnected, entry)
		}
	}
}

// apply carries out the gate's decisions on queued work.
func (c *Control) apply(now time.Time, fx gate.Effects) {
	for _, id := range fx.Started {
		c.start(now, id)
	}
	for _, r := range fx.Refused {
		c.refuseQueued(r)
	}
}

func (c *Control) start(now time.Time, id runs.ID) {
	j := c.jobs[id]
	if j == nil || !c.table.Start(id) {
		return
	}
	j.Started = now
	c.cfg.StartJob(j)
}

// refuseQueued removes a queued job, voids its attempt and serial, and ends its
// output with a refusal.
func (c *Control) refuseQueued(r gate.Refusal) {
	j := c.jobs[r.ID]
	if j == nil {
		return
	}
	c.table.Void(r.ID)
	if s := j.Dispatch.GetSerial(); s != nil {
		c.serials.MarkNotRun(s)
	}
	delete(c.jobs, r.ID)
	j.Output.End(c.refusedMessage(string(r.Decision.Reason), r.Decision.RetryAfter))
}

func (c *Control) refusedMessage(reason string, retryAfter time.Duration) *wire.Progress {
	return &wire.Progress{Kind: &wire.Progress_Refused{Refused: &wire.Refused{
		Reason:       reason,
		RetryAfterUs: retryAfter.Microseconds(),
		Room:         c.capacity(),
	}}}
}

// capacity returns the capacity that is reported to entries. A reason for which
// the gate is closed takes precedence over one from the view.
func (c *Control) capacity() *wire.Room {
	r := c.gate.Capacity()
	closed := string(r.ClosedReason)
	if reason := c.view.closedReason(c.tracker.Current(), c.cfg.Zone); closed == "" {
		closed = reason
	}
	return &wire.Room{
		Limit:  uint32(r.Limit),
		Busy:   uint32(r.Busy),
		Queued: uint32(r.Queued),
		Cold:   r.Cold,
		Closed: closed,
		Model:  c.engine.Model,
		Waits:  c.placementWait,
	}
}

// Drain refuses new work from now on. It returns a channel that is closed when
// no job is queued or running and every result was acknowledged or has expired.
func (c *Control) Drain() <-chan struct{} {
	idle := make(chan struct{})
	c.do(func() {
		c.stopping = true
		c.gate.Close()
	})
	go func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for range t.C {
			n := 0
			c.do(func() { n = len(c.jobs) })
			if n == 0 {
				close(idle)
				return
			}
		}
	}()
	return idle
}

// Status is an agent's state, as shown to operators.
type Status struct {
	Instance      string `json:"instance"`
	Zone          string `json:"zone"`
	Incarnation   string `json:"incarnation"` // 16 hexadecimal digits
	Revision      uint64 `json:"revision"`    // revision of the active configuration; 0: none
	Fresh         bool   `json:"fresh"`       // the view was confirmed since the start or the last pause
	Leaving       bool   `json:"leaving"`
	Stopping      bool   `json:"stopping"`
	ClosedReason  string `json:"closed,omitempty"` // why new work is refused; empty if it isn't
	Limit         uint32 `json:"limit"`            // jobs that may run at a time
	Busy          uint32 `json:"busy"`             // jobs running
	Queued        uint32 `json:"queued"`
	Cold          bool   `json:"cold"`
	Model         string `json:"model,omitempty"` // model that the engine reports as loaded
	PlacementWait string `json:"waits,omitempty"` // what placement waits for
	Retained      int    `json:"held"`            // attempts queued, running or with a retained result
	Error         string `json:"error,omitempty"` // why the last configuration document was rejected
}

// Status returns the agent's state.
func (c *Control) Status() Status {
	var s Status
	c.do(func() {
		r := c.capacity()
		s = Status{
			Instance:      c.cfg.Instance,
			Zone:          c.cfg.Zone,
			Incarnation:   fmt.Sprintf("%016x", c.cfg.Incarnation),
			Revision:      c.tracker.Current().Revision(),
			Fresh:         c.view.fresh,
			Leaving:       c.view.leaving,
			Stopping:      c.stopping,
			ClosedReason:  r.GetClosed(),
			Limit:         r.GetLimit(),
			Busy:          r.GetBusy(),
			Queued:        r.GetQueued(),
			Cold:          r.GetCold(),
			Model:         r.GetModel(),
			PlacementWait: r.GetWaits(),
			Retained:      len(c.jobs),
		}
		if err := c.tracker.LastError(); err != nil {
			s.Error = err.Error()
		}
	})
	return s
}
