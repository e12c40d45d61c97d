package meter

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Use says what became of the work that an engine did.
type Use string

// Uses of engine work.
const (
	UseUseful    Use = "useful"    // its result went into an answer
	UseRetried   Use = "retried"   // the stage was run again elsewhere
	UseLate      Use = "late"      // the request missed its deadline
	UseCancelled Use = "cancelled" // the caller went away
)

// CostKey names what a cost is counted under.
type CostKey struct {
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
	Use      Use    `json:"use"`
}

// Cost is engine work.
type Cost struct {
	Runs   int64         `json:"runs"`
	Engine time.Duration `json:"engine_ns"`
	Tokens int64         `json:"tokens"`
}

// CostLine is one line of a snapshot.
type CostLine struct {
	CostKey
	Cost
}

// Costs adds up engine work by pipeline, stage and use. The zero value is ready
// to use. It is safe for concurrent use.
type Costs struct {
	mu sync.Mutex
	m  map[CostKey]Cost
}

// Add counts one run.
func (c *Costs) Add(k CostKey, engine time.Duration, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = make(map[CostKey]Cost)
	}
	v := c.m[k]
	v.Runs++
	v.Engine += engine
	v.Tokens += int64(tokens)
	c.m[k] = v
}

// Snapshot returns all costs in a fixed order.
func (c *Costs) Snapshot() []CostLine {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]CostLine, 0, len(c.m))
	for k, v := range c.m {
		out = append(out, CostLine{CostKey: k, Cost: v})
	}
	slices.SortFunc(out, func(a, b CostLine) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Use, b.Use))
	})
	return out
}
