// Package place decides which model, adapter and role the engine beside an
// agent should have, and when to order it. It compares what is desired with
// what the engine says it has and orders the difference, so a lost, doubled or
// late order heals.
package place

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/conf"
)

const (
	revisionShift      = 20               // bits of a fencing number below the revision
	confirmTimeout     = 20 * time.Second // from an order until it counts as lost
	defaultWave        = 10 * time.Second
	defaultUnavailable = 1
	refusedBase        = 500 * time.Millisecond
	refusedMax         = 15 * time.Second
)

// Engine is what an engine says of itself.
type Engine struct {
	Model   string // identity of the loaded model, as conf.Model.String; empty if none
	Loading string // identity of the model that it loads now
	Fence   uint64 // the newest fencing number that it took
}

// Input is what a step depends on.
type Input struct {
	Instance string
	Labels   map[string]string
	Doc      *conf.Document
	PoolSize int // endpoints that desire the same model
	PoolRank int
	Engine   Engine
	Fresh    bool // the view was confirmed since the last pause
}

// ActionKind says what a step asks for.
type ActionKind string

// Actions.
const (
	ActionNone  ActionKind = "none"  // the engine has what is desired
	ActionWait  ActionKind = "wait"  // Why says for what
	ActionOrder ActionKind = "order" // send an order with Fence for Model
)

// Action is the result of a step.
type Action struct {
	Kind  ActionKind
	Model conf.Model
	Fence uint64
	Why   string
}

// Planner is the state of one agent's placement. The zero value is ready to
// use. One goroutine owns it.
type Planner struct {
	want      string
	since     time.Time // when want was first desired
	ordered   string
	orderedAt time.Time
	fence     uint64
	failures  int
	retryAt   time.Time
}

// Desired returns the model that an engine with these labels should have. Where
// selectors of several models match, each instance takes the one with its
// highest hash, so that a fleet divides itself evenly without talking.
func Desired(d *conf.Document, instance string, labels map[string]string) (conf.Model, bool) {
	var best conf.Model
	var top uint64
	found := false
	for i := range d.Pipelines {
		for j := range d.Pipelines[i].Stages {
			s := &d.Pipelines[i].Stages[j]
			if s.Model == nil || !s.Selects(labels) {
				continue
			}
			h := xxhash.Sum64String(instance + "\x00" + s.Model.Name + s.Model.Adapter + s.Model.Role)
			if !found || h > top {
				best, top, found = *s.Model, h, true
			}
		}
	}
	return best, found
}

// Step compares desired and actual at now. jitter is uniform in [0,1).
func (p *Planner) Step(now time.Time, in Input, jitter float64) Action {
	if in.Doc == nil || !in.Fresh {
		return wait("a confirmed view of the configuration")
	}
	m, ok := Desired(in.Doc, in.Instance, in.Labels)
	if !ok {
		p.desire(now, "")
		return Action{Kind: ActionNone}
	}
	p.desire(now, m.String())
	switch {
	case in.Engine.Model == p.want && in.Engine.Loading == "":
		p.ordered = ""
		p.failures = 0
		return Action{Kind: ActionNone, Model: m}
	case in.Engine.Loading == p.want:
		return wait("model " + p.want + " to load")
	case p.ordered == p.want && now.Sub(p.orderedAt) < confirmTimeout && now.Before(p.retryAt):
		return wait("the engine to confirm the order for " + p.want)
	case now.Before(p.retryAt):
		return wait("the weight store to allow the load of " + p.want)
	}
	if at := p.startAt(in); now.Before(at) {
		return wait(fmt.Sprintf("its turn to load %s in %s", p.want, at.Sub(now).Round(time.Millisecond)))
	}
	return p.order(now, in, m, jitter)
}

func wait(why string) Action { return Action{Kind: ActionWait, Why: why} }

func (p *Planner) desire(now time.Time, want string) {
	if p.want == want {
		return
	}
	p.want = want
	p.since = now
	p.ordered = ""
	p.failures = 0
	p.retryAt = time.Time{}
}

// startAt spreads a change over the endpoints that share it: at most so many
// are unavailable at a time, and together they stay within the weight store's
// rate. An engine that has no model serves nobody, so it doesn't wait.
func (p *Planner) startAt(in Input) time.Time {
	if in.Engine.Model == "" {
		return p.since
	}
	pl := in.Doc.Placement
	wave := pl.WaveInterval
	if wave == 0 {
		wave = defaultWave
	}
	together := pl.MaxUnavailable
	if together == 0 {
		together = defaultUnavailable
	}
	delay := time.Duration(in.PoolRank/together) * wave
	if pl.LoadsPerMinute > 0 {
		each := time.Minute / time.Duration(pl.LoadsPerMinute)
		delay = max(delay, time.Duration(in.PoolRank)*each)
	}
	return p.since.Add(delay)
}

// order takes a fencing number above all that this planner and the engine know.
// It rises over restarts of the agent without stored state, because the engine
// itself keeps the newest number and the accepted revision only rises.
func (p *Planner) order(now time.Time, in Input, m conf.Model, jitter float64) Action {
	p.fence = max(in.Doc.Revision<<revisionShift, in.Engine.Fence+1, p.fence+1)
	p.ordered = p.want
	p.orderedAt = now
	p.retryAt = now.Add(p.backoff(jitter))
	return Action{Kind: ActionOrder, Model: m, Fence: p.fence}
}

func (p *Planner) backoff(jitter float64) time.Duration {
	d := refusedBase * time.Duration(math.Pow(2, float64(min(p.failures, 6))))
	return time.Duration(float64(min(d, refusedMax)) * (0.5 + jitter/2))
}

// Refused records that the engine or the weight store refused the newest order
// at now, and when it may be tried again at the earliest.
func (p *Planner) Refused(now time.Time, after time.Duration, jitter float64) {
	p.failures++
	p.ordered = ""
	p.retryAt = now.Add(max(after, p.backoff(jitter)))
}
