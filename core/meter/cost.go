package meter

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Use classifies the work of an engine by what became of its result.
type Use string

// Uses of engine work.
const (
	UseUseful    Use = "useful"    // the result is part of an answer
	UseRetried   Use = "retried"   // the result was not used, mostly because the stage ran again at another endpoint
	UseLate      Use = "late"      // the result was used, but the request ended without a complete answer, such as at its deadline
	UseCancelled Use = "cancelled" // the caller disconnected
)

// CostKey identifies the sum that a cost is added to.
type CostKey struct {
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
	Use      Use    `json:"use"`
}

// Cost is an amount of engine work.
type Cost struct {
	Runs       int64         `json:"runs"`      // of a stage at an engine
	EngineTime time.Duration `json:"engine_ns"` // time that engines were in use
	Tokens     int64         `json:"tokens"`
}

// CostLine is the cost of one key in a snapshot.
type CostLine struct {
	CostKey
	Cost
}

// Costs sums up engine work by pipeline, stage and use. The zero value is ready
// to use. It is safe for concurrent use.
type Costs struct {
	mu   sync.Mutex
	sums map[CostKey]Cost
}

// Add adds the cost of one run.
func (c *Costs) Add(k CostKey, engine time.Duration, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sums == nil {
		c.sums = make(map[CostKey]Cost)
	}
	v := c.sums[k]
	v.Runs++
	v.EngineTime += engine
	v.Tokens += int64(tokens)
	c.sums[k] = v
}

// Snapshot returns all costs, sorted by pipeline, stage and use.
func (c *Costs) Snapshot() []CostLine {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]CostLine, 0, len(c.sums))
	for k, v := range c.sums {
		out = append(out, CostLine{CostKey: k, Cost: v})
	}
	slices.SortFunc(out, func(a, b CostLine) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Use, b.Use))
	})
	return out
}
