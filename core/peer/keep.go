package peer

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// KeepersPerStream is the number of other relays to which a relay sends the record of
	// a stream.
	KeepersPerStream = 7

	keeperGroups    = 4 // groups of relays that remember streams
	keepersPerGroup = 3
	// smallGroup is the size of a deployment up to which all relays remember all streams.
	smallGroup = 4
)

// Keepers returns the members that remember where streams began, this relay included if
// it is one of them. Each stream has keepers of its own among them, see OrderKeepers.
func (g *Group) Keepers(now time.Time) []Member {
	if 1+len(g.members) <= smallGroup {
		return g.ranked(now, keeperGroup(0), smallGroup)
	}
	var out []Member
	for n := range keeperGroups {
		want := (n + 1) * keepersPerGroup
		for _, m := range g.ranked(now, keeperGroup(n), want) {
			if len(out) < want && !containsInstance(out, m.Instance) {
				out = append(out, m)
			}
		}
	}
	return out
}

func keeperGroup(n int) Key { return Key{Name: fmt.Sprint("origin/", n)} }

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
