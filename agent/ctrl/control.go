// Package ctrl is an agent's control state: one goroutine owns what is in
// force, what runs, and what may run. Its methods post a question to that
// goroutine and wait for the answer.
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
	TickInterval = 50 * time.Millisecond
	pauseLimit   = time.Second      // a longer gap between ticks is a pause of the process
	resultGrace  = 5 * time.Second  // a result is held so long after its deadline
	entryForget  = 10 * time.Minute // what is known of an entry without a link is kept so long
)

// Config is what a Control is made from.
type Config struct {
	Instance    string
	Zone        string
	Incarnation uint64
	Key         []byte // secret of the incarnation's serials
	Gate        gate.Settings
	Clock       clock.Clock
	// Begin starts a job at the endpoint. It must not block.
	Begin func(*Job)
	// Jitter returns a number in [0,1).
	Jitter func() float64
}

// Job is an attempt that was admitted.
type Job struct {
	ID       runs.ID
	Dispatch *wire.Dispatch
	Stage    *conf.Stage
	Output   *feed.Feed[*wire.Progress]
	Started  time.Time // zero while it is queued
}

// Control is the control state. Make it with New; it works until Close.
type Control struct {
	cfg  Config
	ops  chan func()
	stop chan struct{}
	once sync.Once

	// What follows is owned by the goroutine in loop.
	keeper   conf.Tracker
	gate     *gate.Gate
	table    runs.Table
	book     *ticket.SerialTable
	planner  place.Planner
	jobs     map[runs.ID]*Job
	gap      clock.PauseDetector
	gone     map[uint64]time.Time // entries without a link, since when
	view     view
	engine   place.EngineStatus
	waits    string
	stopping bool
}

// New starts the control goroutine.
func New(cfg Config) *Control {
	c := &Control{
		cfg:  cfg,
		ops:  make(chan func()),
		stop: make(chan struct{}),
		gate: gate.New(cfg.Gate, cfg.Clock.Now()),
		book: ticket.NewSerialTable(cfg.Incarnation, cfg.Key, 0, 0),
		jobs: make(map[runs.ID]*Job),
		gone: make(map[uint64]time.Time),
	}
	go c.loop()
	return c
}

func (c *Control) loop() {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case <-c.stop:
			return
		case op := <-c.ops:
			c.noticePause()
			op()
		case <-t.C:
			c.noticePause()
			c.tick()
		}
	}
}

// noticePause runs before everything else that the goroutine does, so that no
// message which waited through a pause is judged by the view of before.
func (c *Control) noticePause() {
	if c.gap.Tick(c.cfg.Clock.Now(), pauseLimit) {
		c.view.doubt()
	}
}

// do runs f in the control goroutine and waits for it.
func (c *Control) do(f func()) {
	done := make(chan struct{})
	select {
	case c.ops <- func() { f(); close(done) }:
		<-done
	case <-c.stop:
	}
}

// Close ends the control goroutine. Later calls return zero values.
func (c *Control) Close() { c.once.Do(func() { close(c.stop) }) }

func (c *Control) tick() {
	now := c.cfg.Clock.Now()
	c.apply(now, c.gate.Tick(now))
	for _, id := range c.table.ReleaseExpired(now) {
		delete(c.jobs, id)
	}
	for entry, since := range c.gone {
		if now.Sub(since) > entryForget {
			c.table.RemoveEntry(entry)
			delete(c.gone, entry)
		}
	}
}

// apply carries out what the gate decided on queued work.
func (c *Control) apply(now time.Time, fx gate.Effects) {
	for _, id := range fx.Started {
		c.start(now, id)
	}
	for _, r := range fx.Refused {
		c.dropQueued(r)
	}
}

func (c *Control) start(now time.Time, id runs.ID) {
	j := c.jobs[id]
	if j == nil || !c.table.Start(id) {
		return
	}
	j.Started = now
	c.cfg.Begin(j)
}

func (c *Control) dropQueued(r gate.Refusal) {
	j := c.jobs[r.ID]
	if j == nil {
		return
	}
	c.table.Void(r.ID)
	if s := j.Dispatch.GetSerial(); s != nil {
		c.book.MarkNotRun(s)
	}
	delete(c.jobs, r.ID)
	j.Output.End(c.refusal(string(r.Decision.Reason), r.Decision.RetryAfter))
}

func (c *Control) refusal(reason string, after time.Duration) *wire.Progress {
	return &wire.Progress{Kind: &wire.Progress_Refused{Refused: &wire.Refused{
		Reason:       reason,
		RetryAfterUs: after.Microseconds(),
		Room:         c.room(),
	}}}
}

func (c *Control) room() *wire.Room {
	r := c.gate.Capacity()
	closed := string(r.Closed)
	if why := c.view.closed(c.keeper.Current(), c.cfg.Zone); closed == "" {
		closed = why
	}
	return &wire.Room{
		Limit:  uint32(r.Limit),
		Busy:   uint32(r.Busy),
		Queued: uint32(r.Queued),
		Cold:   r.Cold,
		Closed: closed,
		Model:  c.engine.Model,
		Waits:  c.waits,
	}
}

// Drain stops the intake of new work and returns a channel that is closed when
// nothing runs and every result was fetched or has expired.
func (c *Control) Drain() <-chan struct{} {
	idle := make(chan struct{})
	c.do(func() {
		c.stopping = true
		c.gate.Close()
	})
	go func() {
		t := time.NewTicker(TickInterval)
		defer t.Stop()
		for range t.C {
			left := 0
			c.do(func() { left = len(c.jobs) })
			if left == 0 {
				close(idle)
				return
			}
		}
	}()
	return idle
}

// Status is what operators see of an agent.
type Status struct {
	Instance    string `json:"instance"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Fresh       bool   `json:"fresh"`
	Leaving     bool   `json:"leaving"`
	Stopping    bool   `json:"stopping"`
	Closed      string `json:"closed,omitempty"`
	Limit       uint32 `json:"limit"`
	Busy        uint32 `json:"busy"`
	Queued      uint32 `json:"queued"`
	Cold        bool   `json:"cold"`
	Model       string `json:"model,omitempty"`
	Waits       string `json:"waits,omitempty"`
	Held        int    `json:"held"` // attempts running or with a result not fetched
	Error       string `json:"error,omitempty"`
}

// Status returns the agent's state.
func (c *Control) Status() Status {
	var s Status
	c.do(func() {
		r := c.room()
		s = Status{
			Instance:    c.cfg.Instance,
			Zone:        c.cfg.Zone,
			Incarnation: fmt.Sprintf("%016x", c.cfg.Incarnation),
			Revision:    c.keeper.Current().Revision(),
			Fresh:       c.view.fresh,
			Leaving:     c.view.leaving,
			Stopping:    c.stopping,
			Closed:      r.GetClosed(),
			Limit:       r.GetLimit(),
			Busy:        r.GetBusy(),
			Queued:      r.GetQueued(),
			Cold:        r.GetCold(),
			Model:       r.GetModel(),
			Waits:       r.GetWaits(),
			Held:        len(c.jobs),
		}
		if err := c.keeper.LastError(); err != nil {
			s.Error = err.Error()
		}
	})
	return s
}
