// Package place decides which model, adapter and role the engine of an agent
// should load, and when to order the load. It compares the desired model with
// the status that the engine reports, and repeats the order while they differ, so
// that a lost, duplicated or delayed order does no lasting harm.
package place

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/conf"
)

const (
	fenceRevisionShift    = 20               // low bits of a fencing number, for orders within a revision
	confirmTimeout        = 20 * time.Second // maximum wait for the engine to confirm an order; the retry delay ends it sooner
	defaultWaveInterval   = 10 * time.Second
	defaultMaxUnavailable = 1
	minBackoff            = 500 * time.Millisecond // delay before an order is repeated, without refusals
	maxBackoff            = 15 * time.Second
	maxBackoffExponent    = 6
)

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	Model   string // loaded model, in the form of conf.Model.String; empty if none
	Loading string // model that is being loaded; empty if none
	Fence   uint64 // highest fencing number that the engine has accepted
}

// Input contains the external state that Planner.Step depends on.
type Input struct {
	Instance string
	Labels   map[string]string
	Doc      *conf.Document
	PoolSize int // number of endpoints with the same desired model
	PoolRank int // position of this endpoint among them, from 0
	Engine   EngineStatus
	Fresh    bool // Doc and Labels have been confirmed since the last pause of the process
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	ActionNone  ActionKind = "none"  // the engine has the desired model, or needs none
	ActionWait  ActionKind = "wait"  // Reason names what to wait for
	ActionOrder ActionKind = "order" // order the engine to load Model, with Fence
)

// Action is the result of Planner.Step.
type Action struct {
	Kind   ActionKind
	Model  conf.Model
	Fence  uint64 // fencing number of the order
	Reason string // set for ActionWait
}

// Planner is the placement state of one agent. The zero value is ready to use.
// It is not safe for concurrent use.
type Planner struct {
	desired      string    // desired model, in the form of conf.Model.String
	desiredSince time.Time // when desired last changed
	ordered      string    // model of the order that awaits confirmation; empty if none
	orderedAt    time.Time
	lastFence    uint64
	refusals     int       // consecutive refused orders
	retryAt      time.Time // no order is sent before
}

// Desired returns the model that an engine with these labels should load, and
// false if there is none. If selectors of several models match, each instance
// takes the model with the highest hash (rendezvous hashing). This divides the
// endpoints evenly without coordination.
func Desired(d *conf.Document, instance string, labels map[string]string) (conf.Model, bool) {
	var best conf.Model
	var maxHash uint64
	found := false
	for i := range d.Pipelines {
		for j := range d.Pipelines[i].Stages {
			s := &d.Pipelines[i].Stages[j]
			if s.Model == nil || !s.Selects(labels) {
				continue
			}
			h := xxhash.Sum64String(instance + "\x00" + s.Model.Name + s.Model.Adapter + s.Model.Role)
			if !found || h > maxHash {
				best, maxHash, found = *s.Model, h, true
			}
		}
	}
	return best, found
}

// Step compares the desired model with the status of the engine and returns the
// next action. jitter is uniformly distributed in [0,1).
func (p *Planner) Step(now time.Time, in Input, jitter float64) Action {
	if in.Doc == nil || !in.Fresh {
		return waitFor("a confirmed view of the configuration")
	}
	m, ok := Desired(in.Doc, in.Instance, in.Labels)
	if !ok {
		p.setDesired(now, "")
		return Action{Kind: ActionNone}
	}
	p.setDesired(now, m.String())
	switch {
	case in.Engine.Model == p.desired && in.Engine.Loading == "":
		p.ordered = ""
		p.refusals = 0
		return Action{Kind: ActionNone, Model: m}
	case in.Engine.Loading == p.desired:
		return waitFor("model " + p.desired + " to load")
	case p.ordered == p.desired && now.Sub(p.orderedAt) < confirmTimeout && now.Before(p.retryAt):
		return waitFor("the engine to confirm the order for " + p.desired)
	case now.Before(p.retryAt):
		// This text also stands for the backoff after an unconfirmed order and after
		// a refusal by the engine.
		return waitFor("the weight store to allow the load of " + p.desired)
	}
	if at := p.startAt(in); now.Before(at) {
		return waitFor(fmt.Sprintf("its turn to load %s in %s", p.desired, at.Sub(now).Round(time.Millisecond)))
	}
	return p.order(now, in, m, jitter)
}

func waitFor(reason string) Action { return Action{Kind: ActionWait, Reason: reason} }

func (p *Planner) setDesired(now time.Time, model string) {
	if p.desired == model {
		return
	}
	p.desired = model
	p.desiredSince = now
	p.ordered = ""
	p.refusals = 0
	p.retryAt = time.Time{}
}

// startAt returns the earliest time of the first order for the desired model. It
// spreads a change over the pool, so that no more than MaxUnavailable endpoints
// start to load per WaveInterval and the pool's loads stay within the rate of the
// weight store. An engine without a model serves no requests, so its load needs
// no delay.
func (p *Planner) startAt(in Input) time.Time {
	if in.Engine.Model == "" {
		return p.desiredSince
	}
	pl := in.Doc.Placement
	waveInterval := pl.WaveInterval
	if waveInterval == 0 {
		waveInterval = defaultWaveInterval
	}
	maxUnavailable := pl.MaxUnavailable
	if maxUnavailable == 0 {
		maxUnavailable = defaultMaxUnavailable
	}
	delay := time.Duration(in.PoolRank/maxUnavailable) * waveInterval
	if pl.LoadsPerMinute > 0 {
		loadInterval := time.Minute / time.Duration(pl.LoadsPerMinute)
		delay = max(delay, time.Duration(in.PoolRank)*loadInterval)
	}
	return p.desiredSince.Add(delay)
}

// order returns an order with a fencing number above all that the planner and
// the engine have used. The numbers increase across restarts of the agent without
// stored state, because the engine keeps the highest number that it has accepted,
// and the revision of the configuration never decreases.
func (p *Planner) order(now time.Time, in Input, m conf.Model, jitter float64) Action {
	p.lastFence = max(in.Doc.Revision<<fenceRevisionShift, in.Engine.Fence+1, p.lastFence+1)
	p.ordered = p.desired
	p.orderedAt = now
	p.retryAt = now.Add(p.backoff(jitter))
	return Action{Kind: ActionOrder, Model: m, Fence: p.lastFence}
}

// backoff returns the delay before the next order. It doubles with each refusal,
// and jitter takes off up to a half.
func (p *Planner) backoff(jitter float64) time.Duration {
	d := minBackoff * time.Duration(math.Pow(2, float64(min(p.refusals, maxBackoffExponent))))
	return time.Duration(float64(min(d, maxBackoff)) * (0.5 + jitter/2))
}

// RecordRefusal records that the engine or the weight store refused an order at
// now. The next order is sent after the backoff or retryAfter, whichever is
// longer.
func (p *Planner) RecordRefusal(now time.Time, retryAfter time.Duration, jitter float64) {
	p.refusals++
	p.ordered = ""
	p.retryAt = now.Add(max(retryAfter, p.backoff(jitter)))
}
