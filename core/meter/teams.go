package meter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Bounds of the memory of Teams. A histogram takes about 8 bytes for each sample.
const (
	DefaultMaxTracked = 128
	samplesPerTeam    = 256
)

// OtherTeams is the name under which the teams without a histogram of their own
// are reported together.
const OtherTeams = "other"

// teamCounter holds the statistics of one team, or of all others together.
type teamCounter struct {
	requests int64 // since the last rotation
	inTime   int64 // since the last rotation
	hist     metrics.Histogram
}

// TeamStats is a snapshot of the statistics of one team. The percentiles are those
// of a random sample of all latencies since the team got its histogram; a rotation
// doesn't reset them.
type TeamStats struct {
	Team     string
	Requests int64 // since the last rotation
	InTime   int64 // since the last rotation
	P50      time.Duration
	P95      time.Duration
	P99      time.Duration
}

// Teams keeps one latency histogram for each of the busiest teams, and one for
// all others together. An additional team costs no more memory than one counter.
// The zero value is ready to use. It is safe for concurrent use.
type Teams struct {
	MaxTracked int // teams with a histogram of their own; 0: DefaultMaxTracked

	mu       sync.Mutex
	requests map[string]int64        // by team, since the last rotation
	tracked  map[string]*teamCounter // by team
	others   *teamCounter
}

// initLocked creates the counters at the first use. mu must be held.
func (t *Teams) initLocked() {
	if t.tracked != nil {
		return
	}
	if t.MaxTracked == 0 {
		t.MaxTracked = DefaultMaxTracked
	}
	t.requests = make(map[string]int64)
	t.tracked = make(map[string]*teamCounter)
	t.others = newTeamCounter()
}

func newTeamCounter() *teamCounter {
	return &teamCounter{hist: metrics.NewHistogram(metrics.NewUniformSample(samplesPerTeam))}
}

// Record counts a request of a team that has ended. d is its latency, and inTime
// says whether it was answered by its deadline. The team must be one of the
// configuration, which bounds the number of counters.
func (t *Teams) Record(team string, d time.Duration, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	t.requests[team]++
	c := t.counterLocked(team)
	c.requests++
	if inTime {
		c.inTime++
	}
	c.hist.Update(d.Microseconds())
}

// counterLocked returns the counter of a team. Until MaxTracked is reached, a new
// team gets a counter of its own. mu must be held.
func (t *Teams) counterLocked(team string) *teamCounter {
	if c, ok := t.tracked[team]; ok {
		return c
	}
	if len(t.tracked) < t.MaxTracked {
		c := newTeamCounter()
		t.tracked[team] = c
		return c
	}
	return t.others
}

// Rotate starts a new interval. The busiest teams of the last interval have
// histograms of their own from now on; those that had one before keep it. If fewer
// than MaxTracked teams had requests, the first other teams in the new interval get
// the remaining histograms.
func (t *Teams) Rotate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	names := make([]string, 0, len(t.requests))
	for n := range t.requests {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(t.requests[b], t.requests[a]) })
	next := make(map[string]*teamCounter, t.MaxTracked)
	for _, n := range names[:min(len(names), t.MaxTracked)] {
		c := t.tracked[n]
		if c == nil {
			c = newTeamCounter()
		}
		c.requests, c.inTime = 0, 0
		next[n] = c
	}
	t.tracked = next
	t.others.requests, t.others.inTime = 0, 0
	clear(t.requests)
}

// Snapshot returns the statistics of the teams with a histogram of their own,
// sorted by name, and at the end those of all others as OtherTeams.
func (t *Teams) Snapshot() []TeamStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	out := make([]TeamStats, 0, len(t.tracked)+1)
	for n, c := range t.tracked {
		out = append(out, c.stats(n))
	}
	slices.SortFunc(out, func(a, b TeamStats) int { return cmp.Compare(a.Team, b.Team) })
	return append(out, t.others.stats(OtherTeams))
}

func (c *teamCounter) stats(team string) TeamStats {
	q := c.hist.Percentiles([]float64{0.5, 0.95, 0.99})
	return TeamStats{
		Team:     team,
		Requests: c.requests,
		InTime:   c.inTime,
		P50:      fromMicros(q[0]),
		P95:      fromMicros(q[1]),
		P99:      fromMicros(q[2]),
	}
}

func fromMicros(v float64) time.Duration { return time.Duration(v) * time.Microsecond }
