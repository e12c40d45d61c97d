package meter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Bounds of Teams. A histogram costs about 8 bytes for each sample it keeps.
const (
	DefaultBusiest = 128
	teamSamples    = 256
)

// OtherTeams is the name under which the teams that are not among the busiest
// are counted together.
const OtherTeams = "other"

type teamSlot struct {
	requests int64 // since the last rotation
	inTime   int64
	hist     metrics.Histogram
}

// TeamStats is a snapshot of one team's latencies.
type TeamStats struct {
	Team     string
	Requests int64 // since the last rotation
	InTime   int64
	P50      time.Duration
	P95      time.Duration
	P99      time.Duration
}

// Teams keeps a histogram for each of the busiest teams and one for the rest,
// so its memory doesn't grow with the number of teams beyond a counter each.
// The zero value is ready to use. It is safe for concurrent use.
type Teams struct {
	Busiest int // 0: DefaultBusiest

	mu     sync.Mutex
	counts map[string]int64
	slots  map[string]*teamSlot
	other  *teamSlot
}

func (t *Teams) prepare() {
	if t.slots != nil {
		return
	}
	if t.Busiest == 0 {
		t.Busiest = DefaultBusiest
	}
	t.counts = make(map[string]int64)
	t.slots = make(map[string]*teamSlot)
	t.other = newTeamSlot()
}

func newTeamSlot() *teamSlot {
	return &teamSlot{hist: metrics.NewHistogram(metrics.NewUniformSample(teamSamples))}
}

// Record counts one ended request of a declared team.
func (t *Teams) Record(team string, d time.Duration, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	t.counts[team]++
	s := t.slot(team)
	s.requests++
	if inTime {
		s.inTime++
	}
	s.hist.Update(d.Microseconds())
}

func (t *Teams) slot(team string) *teamSlot {
	if s, ok := t.slots[team]; ok {
		return s
	}
	if len(t.slots) < t.Busiest {
		s := newTeamSlot()
		t.slots[team] = s
		return s
	}
	return t.other
}

// Rotate starts a new interval: the busiest teams of the one that ended keep
// their histograms, and places of others become free.
func (t *Teams) Rotate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	names := make([]string, 0, len(t.counts))
	for n := range t.counts {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(t.counts[b], t.counts[a]) })
	next := make(map[string]*teamSlot, t.Busiest)
	for _, n := range names[:min(len(names), t.Busiest)] {
		s := t.slots[n]
		if s == nil {
			s = newTeamSlot()
		}
		s.requests, s.inTime = 0, 0
		next[n] = s
	}
	t.slots = next
	t.other.requests, t.other.inTime = 0, 0
	clear(t.counts)
}

// Snapshot returns the teams with a histogram, by name, and the rest last.
func (t *Teams) Snapshot() []TeamStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	out := make([]TeamStats, 0, len(t.slots)+1)
	for n, s := range t.slots {
		out = append(out, s.stats(n))
	}
	slices.SortFunc(out, func(a, b TeamStats) int { return cmp.Compare(a.Team, b.Team) })
	return append(out, t.other.stats(OtherTeams))
}

func (s *teamSlot) stats(team string) TeamStats {
	q := s.hist.Percentiles([]float64{0.5, 0.95, 0.99})
	return TeamStats{
		Team:     team,
		Requests: s.requests,
		InTime:   s.inTime,
		P50:      micros(q[0]),
		P95:      micros(q[1]),
		P99:      micros(q[2]),
	}
}

func micros(v float64) time.Duration { return time.Duration(v) * time.Microsecond }
