package peer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// KeepersPerStream is the number of other relays to which a relay sends the record of
	// a stream.
	KeepersPerStream = 9

	maxKeepers = 12 // that remember streams
	// keeperKey is the key by which they are chosen.
	keeperKey = "streams"
	// smallGroup is the size of a deployment up to which all relays remember all streams.
	smallGroup = 4

	formerGroups  = 4 // groups of relays that remember streams of relays of the former release
	formerKeepers = 3 // in each of them
)

// Keepers returns the members that remember where streams began, this relay included if
// it is one of them. Each stream has keepers of its own among them, see OrderKeepers. They
// are no stronger than the rest, as strong relays may be lost together.
func (g *Group) Keepers(now time.Time) []Member {
	if 1+len(g.members) <= smallGroup {
		return g.ranked(now, formerGroup(0), smallGroup)
	}
	out := make([]Member, 0, 1+len(g.members))
	for _, s := range g.members {
		if s.canOwn(now) {
			out = append(out, s.Member)
		}
	}
	if !g.leaving || len(out) == 0 {
		out = append(out, g.Self)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(score(keeperKey, b.Instance), score(keeperKey, a.Instance)) })
	return out[:min(len(out), maxKeepers)]
}

// FirstFormerKeepers returns the first member of each group of the former release.
func (g *Group) FirstFormerKeepers(now time.Time) []Member {
	out := make([]Member, 0, formerGroups)
	for n := range formerGroups {
		out = append(out, g.ranked(now, formerGroup(n), 1)...)
	}
	return out
}

// FormerKeepers returns the members that remember a stream which began at a relay of the
// former release.
func (g *Group) FormerKeepers(now time.Time, stream string) []Member {
	return g.ranked(now, formerGroup(int(xxhash.Sum64String(stream)%formerGroups)), formerKeepers)
}

func formerGroup(n int) Key { return Key{Name: fmt.Sprint("origin/", n)} }

// OrderKeepers returns keepers in the order in which they remember a stream: by rendezvous
// hash, and one of each availability zone before a second one of any.
func OrderKeepers(keepers []Member, stream string) []Member {
	type place struct {
		member Member
		score  uint64
		nth    int // of its zone
	}
	places := make([]place, 0, len(keepers))
	for _, m := range keepers {
		places = append(places, place{member: m, score: score(stream, m.Instance)})
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(b.score, a.score) })
	zones := make(map[string]int)
	for i, p := range places {
		places[i].nth = zones[p.member.Zone]
		zones[p.member.Zone]++
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.nth, b.nth) })
	out := make([]Member, 0, len(places))
	for _, p := range places {
		out = append(out, p.member)
	}
	return out
}
