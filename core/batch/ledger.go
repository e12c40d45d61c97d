package batch

import (
	"math"
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
)

const (
	maxTeams     = 64          // counted apart for each pool
	maxToldTeams = 16          // in a Report
	useHalfLife  = time.Second // the count of use is halved in this time
	// crowdedShare is the share of a full call to every slot that the queue of a crowded
	// pool exceeds. Below it, the order by due time serves all of them in time, and items
	// of large teams that were put last would expire.
	crowdedShare = 1.5
	// borrowMargin is how far above an equal share a team's use must be for the team to
	// count as a borrower. Teams that ask for the same differ by about a tenth.
	borrowMargin = 1.25
)

// teamUse is the use of a pool by one team, in seconds of endpoint time.
type teamUse struct {
	team   string
	use    float64
	demand float64 // use, and what the queued items of the team would use
}

// ledger counts the use of a pool by team. The first entry is for items without a
// team and for teams beyond maxTeams; it is never over its share, as it may stand for
// many.
type ledger struct {
	entries   []teamUse
	index     map[string]int // in entries, by team
	share     float64        // of a team, with what the others lend
	equal     float64        // share of a team if none lends
	decayedAt time.Time
}

// entry returns the index of a team's entry, which is created if needed. If there
// are too many, it replaces that of the team with the least use and no queued items.
func (l *ledger) entry(team string) int {
	if i, ok := l.index[team]; ok {
		return i
	}
	if l.index == nil {
		l.index = map[string]int{"": 0}
		l.entries = make([]teamUse, 1, maxTeams)
	}
	if team == "" {
		return 0
	}
	i := len(l.entries)
	if i < maxTeams {
		l.entries = append(l.entries, teamUse{})
	} else {
		i = 0
		for j, e := range l.entries {
			if j > 0 && e.demand <= e.use && (i == 0 || e.use < l.entries[i].use) {
				i = j
			}
		}
		if i == 0 {
			return 0
		}
		delete(l.index, l.entries[i].team)
	}
	l.entries[i] = teamUse{team: team}
	l.index[team] = i
	return i
}

// decay lowers the counts for the time that has passed.
func (l *ledger) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(l.decayedAt).Seconds() / useHalfLife.Seconds())
	l.decayedAt = now
	for i := range l.entries {
		l.entries[i].use *= factor
	}
}

// charge adds the endpoint time of a call to the use of its items' teams.
func (l *ledger) charge(items []*Item, took time.Duration) {
	for _, it := range items {
		i := l.entry(it.Team)
		l.entries[i].use = max(0, l.entries[i].use+took.Seconds()/float64(len(items)))
	}
}

// count sets the demand of each team and its share. An item uses itemTime.
func (l *ledger) count(now time.Time, queue []*Item, itemTime time.Duration) {
	l.decay(now)
	for i := range l.entries {
		l.entries[i].demand = l.entries[i].use
	}
	for _, it := range queue {
		l.entries[l.entry(it.Team)].demand += itemTime.Seconds()
	}
	total, teams := 0.0, 0
	for _, e := range l.entries {
		total += e.use
		if e.demand >= itemTime.Seconds() {
			teams++
		}
	}
	l.share, l.equal = l.maxMin(total), total/float64(max(1, teams))
}

// maxMin returns the share of each team if total is split equally, except that a team
// gets no more than its demand and the others get the rest.
func (l *ledger) maxMin(total float64) float64 {
	share := 0.0
	for {
		rest, n := total, 0
		for _, e := range l.entries {
			switch {
			case e.demand <= share:
				rest -= e.demand
			default:
				n++
			}
		}
		if n == 0 {
			return math.Inf(1)
		}
		next := rest / float64(n)
		if next <= share*(1+1e-9) {
			return share
		}
		share = next
	}
}

// isOver reports whether a team uses more than its share with what others lend, and
// whether it uses more than an equal share. A team that has most of the demand is
// alternately over and under its share, as it uses all that others lend.
func (l *ledger) isOver(team string) (over, borrows bool) {
	i := l.index[team]
	return i > 0 && l.entries[i].use > l.share, i > 0 && l.entries[i].use > borrowMargin*l.equal
}

// largestOver returns the teams that use more than an equal share, those that use the
// most first, and at most maxToldTeams.
func (l *ledger) largestOver() []string {
	var over []teamUse
	for i, e := range l.entries {
		if i > 0 && e.use > borrowMargin*l.equal {
			over = append(over, e)
		}
	}
	slices.SortFunc(over, func(a, b teamUse) int {
		if a.use > b.use {
			return -1
		}
		return 1
	})
	out := make([]string, 0, min(len(over), maxToldTeams))
	for _, e := range over[:min(len(over), maxToldTeams)] {
		out = append(out, e.team)
	}
	return out
}

// isCrowded reports whether items wait for long in a pool.
func isCrowded(b *fleet.Batch, queued, slots int) bool {
	return float64(queued) > max(1, crowdedShare*float64(slots))*float64(b.MaxItems)
}
