package ctrl

import (
	"time"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/place"
)

// ObserveLoad takes the endpoint's report on its load into account.
func (c *Control) ObserveLoad(running int, cold bool, at time.Time) {
	c.do(func() {
		now := c.cfg.Clock.Now()
		c.apply(now, c.gate.Observe(now, gate.LoadReport{Running: running, Cold: cold, At: at}))
	})
}

// Plan takes what the engine says of itself into account and returns what to
// order, if anything, with the time of the decision.
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
		c.waits = a.Reason
		if a.Kind == place.ActionOrder {
			// Until it is read back that the engine has what it should, no stage
			// counts on the model that it had.
			c.waits = "the engine to take the order for " + a.Model.String()
		}
	})
	return a, now
}

func (c *Control) planInput() place.Input {
	in := place.Input{
		Instance: c.cfg.Instance,
		Labels:   c.view.labels,
		PoolSize: c.view.size,
		PoolRank: c.view.rank,
		Engine:   c.engine,
		Fresh:    c.view.fresh && c.view.listed,
	}
	if acc := c.keeper.Current(); acc != nil {
		in.Doc = acc.Doc
	}
	return in
}

// OrderRefused records that the engine refused an order.
func (c *Control) OrderRefused(after time.Duration) {
	c.do(func() { c.planner.RecordRefusal(c.cfg.Clock.Now(), after, c.cfg.Jitter()) })
}
