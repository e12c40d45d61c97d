package ctrl

import (
	"time"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/place"
)

// ObserveLoad applies a load report of the endpoint, measured at the time at.
func (c *Control) ObserveLoad(running int, cold bool, at time.Time) {
	c.do(func() {
		now := c.cfg.Clock.Now()
		c.apply(now, c.gate.Observe(now, gate.LoadReport{Running: running, Cold: cold, At: at}))
	})
}

// Plan applies the state that the engine reports. It returns the placement
// action to carry out and the time of the decision.
func (c *Control) Plan(e place.EngineStatus) (place.Action, time.Time) {
	var a place.Action
	var now time.Time
	c.do(func() {
		now = c.cfg.Clock.Now()
		if c.engine.Model != e.Model && e.Model != "" {
			c.gate.RecordModelLoad(now)
		}
		c.engine = e
		a = c.planner.Step(now, c.planInput(), c.cfg.Jitter())
		c.placementWait = a.Reason
		if a.Kind == place.ActionOrder {
			// The engine may unload its current model as soon as it takes the
			// order. Placement is reported as incomplete until the engine
			// reports the desired model, so that no stage relies on the current
			// one.
			c.placementWait = "the engine to take the order for " + a.Model.String()
		}
	})
	return a, now
}

func (c *Control) planInput() place.Input {
	in := place.Input{
		Instance: c.cfg.Instance,
		Labels:   c.view.labels,
		PoolSize: c.view.poolSize,
		PoolRank: c.view.poolRank,
		Engine:   c.engine,
		Fresh:    c.view.fresh && c.view.listed,
	}
	if acc := c.tracker.Current(); acc != nil {
		in.Doc = acc.Doc
	}
	return in
}

// RecordOrderRefusal records that the engine refused the last order and asked
// for no other before retryAfter.
func (c *Control) RecordOrderRefusal(retryAfter time.Duration) {
	c.do(func() { c.planner.RecordRefusal(c.cfg.Clock.Now(), retryAfter, c.cfg.Jitter()) })
}
