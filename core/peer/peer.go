// Package peer tracks the membership of a deployment's relays and decides which
// of them are linked, which own a key, and which read the platform's store. It
// does no I/O; its user reports the state of the links between relays.
package peer

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// beatPeriod is the period in which each member advances its beat. The beats of
	// all members pass over each link once in it, so it bounds the traffic.
	beatPeriod = 5 * time.Second
	// memberTimeout is how long after the last advance of its beat a member without
	// a link is still counted in the shares of common limits.
	memberTimeout = 20 * time.Second
	// tombstonePeriod is how long the last beat of an expired member is remembered,
	// so that relays that have not expired it yet can't bring it back.
	tombstonePeriod = 3 * memberTimeout
	// discoveryPeriod is how long after its start a relay counts the expected
	// members that it hasn't discovered yet.
	discoveryPeriod = 5 * time.Second

	// maxTickGap is the time between two ticks above which this relay stood still. It doesn't
	// count against the others, whose news it hasn't read meanwhile.
	maxTickGap = 5 * time.Second

	minSuspectPeriod = 2 * time.Second // after a link to a member failed; doubles with each failure in a row
	maxSuspectPeriod = 10 * time.Second

	// followedReaders is the number of members of its zone that a relay learns the
	// store's changes from: the reader, and the one that takes over from it.
	followedReaders = 2
	// mbpsPerCore is the bandwidth that the owner of pools needs for each core.
	mbpsPerCore = 100
	// ownerCandidates is the number of members that a relay links to for a key that it
	// uses, so that the loss of the owner finds the next one linked.
	ownerCandidates = 2
	// minReaders is the minimum number of relays that read the store.
	minReaders = 4
	// readerKey is the key whose owner in each zone reads the store.
	readerKey = "store"
)

// Member is one incarnation of a relay.
type Member struct {
	Instance    string
	Incarnation uint64
	Addr        string  // IP:port for links
	Zone        string  // availability zone
	Beat        uint64  // advances while the relay runs
	Weight      float64 // capacity relative to other relays; 0 counts as 1
}

// Key is what members own: a service, or its endpoints in one availability zone.
type Key struct {
	Name string
	Zone string // members of this zone are preferred; empty: no preference
}

// memberState is what a Group knows of another member.
type memberState struct {
	Member
	up           bool // a link is established
	leaving      bool
	lastAdvance  time.Time // last contact, or advance of the beat
	suspectUntil time.Time // no link to it is needed before this
	silent       bool      // a link to it failed, and its beat has not advanced since; it owns nothing
	failures     int       // links that failed in a row
	changed      int       // Group.version at the last change of identity
	advanced     int       // Group.version at the last advance of the beat
	learnedFrom  string    // instance that reported the last change or advance
}

// tombstone remembers an expired incarnation of a member.
type tombstone struct {
	incarnation uint64
	beat        uint64
	expired     time.Time
	addr, zone  string
	left        bool // it has told that it leaves
}

// Group is the membership of relays as seen by one of them. Set the exported
// fields before use. It is not safe for concurrent use.
type Group struct {
	Self         Member
	ExpectedSize int       // minimum of Size while the relay discovers the others, including itself
	Started      time.Time // start of this relay

	members    map[string]*memberState // the other relays, by instance
	tombstones map[string]tombstone    // by instance
	leaving    bool                    // this relay is stopping
	version    int                     // incremented on each change
	tickedAt   time.Time               // last Tick
}

// Version is incremented by each change that News reports.
func (g *Group) Version() int { return g.version }

// Observe records a member that the relay named from reported, and reports
// whether the member, its incarnation or its address is new.
func (g *Group) Observe(now time.Time, m Member, from string) bool {
	if m.Instance == g.Self.Instance || m.Instance == "" || g.isBuried(m) {
		return false
	}
	if g.members == nil {
		g.members = make(map[string]*memberState)
	}
	s := g.members[m.Instance]
	switch {
	case s == nil:
		s = &memberState{}
		g.members[m.Instance] = s
	case s.Incarnation == m.Incarnation:
		g.advance(now, s, m.Beat, from)
		if s.Addr == m.Addr {
			return false
		}
	case m.Instance != from && !supersedes(m, s.Member):
		return false // news of an incarnation before a restart
	}
	g.version++
	beat := max(m.Beat, s.Beat)
	if s.Incarnation != m.Incarnation {
		*s = memberState{lastAdvance: now}
		beat = m.Beat
	}
	s.Member, s.Beat, s.changed, s.learnedFrom = m, beat, g.version, from
	return true
}

// isBuried reports whether m is an expired incarnation that shows no new sign of
// life.
func (g *Group) isBuried(m Member) bool {
	t, ok := g.tombstones[m.Instance]
	return ok && t.incarnation == m.Incarnation && m.Beat <= t.beat
}

// supersedes reports whether m replaces another incarnation of the same member.
// Incarnations have no order, so that of the later start, which is in the beat,
// wins.
func supersedes(m, other Member) bool { return m.Beat > other.Beat }

// Advance records that the beat of a member's incarnation advanced, as the relay
// named from reported. Unknown incarnations are ignored.
func (g *Group) Advance(now time.Time, instance string, incarnation, beat uint64, from string) {
	if s := g.members[instance]; s != nil && s.Incarnation == incarnation {
		g.advance(now, s, beat, from)
	}
}

func (g *Group) advance(now time.Time, s *memberState, beat uint64, from string) {
	if beat <= s.Beat {
		return
	}
	g.version++
	s.Beat, s.lastAdvance, s.advanced, s.learnedFrom, s.silent = beat, now, g.version, from, false
}

// Tick advances the beat of this relay with the time since its start. The beat
// begins with the time of day of the start, so that a restarted relay has higher
// ones than its former incarnation.
func (g *Group) Tick(now time.Time) {
	if stalled := now.Sub(g.tickedAt); stalled > maxTickGap && !g.tickedAt.IsZero() {
		for _, s := range g.members {
			s.lastAdvance = s.lastAdvance.Add(min(stalled, now.Sub(s.lastAdvance)))
		}
	}
	g.tickedAt = now
	g.Self.Beat = uint64(max(0, g.Started.UnixNano()+int64(now.Sub(g.Started)))) / uint64(beatPeriod)
}

// MarkUp records a contact with a member over an established link, and whether the
// member is leaving.
func (g *Group) MarkUp(now time.Time, m Member, leaving bool) {
	delete(g.tombstones, m.Instance)
	g.Observe(now, m, m.Instance)
	if s := g.members[m.Instance]; s != nil && s.Incarnation == m.Incarnation {
		s.up, s.leaving, s.lastAdvance, s.suspectUntil, s.silent, s.failures = true, leaving, now, time.Time{}, false, 0
	}
}

// MarkDown records that a link to a member could not be opened, or has failed. The
// member is suspect for a while, and owns nothing until its beat shows that it lives.
func (g *Group) MarkDown(now time.Time, instance string) {
	s := g.members[instance]
	if s == nil {
		return
	}
	s.up, s.silent = false, true
	// The shift is limited so that it can't overflow.
	s.suspectUntil = now.Add(min(maxSuspectPeriod, minSuspectPeriod<<min(s.failures, 8)))
	s.failures++
}

// MarkClosed records that this relay closed its link to a member.
func (g *Group) MarkClosed(instance string) {
	if s := g.members[instance]; s != nil {
		s.up = false
	}
}

// Leave records that this relay is stopping.
func (g *Group) Leave() { g.leaving = true }

// Expire removes the members without a link whose beat has not advanced for
// memberTimeout, and returns them.
func (g *Group) Expire(now time.Time) []Member {
	var out []Member
	reaches := g.ReachesHalf() // a relay that is cut off must not forget it
	for id, t := range g.tombstones {
		if now.Sub(t.expired) > tombstonePeriod && reaches {
			delete(g.tombstones, id)
		}
	}
	for id, s := range g.members {
		if !s.up && now.Sub(s.lastAdvance) > memberTimeout {
			out = append(out, s.Member)
			delete(g.members, id)
			if g.tombstones == nil {
				g.tombstones = make(map[string]tombstone)
			}
			g.tombstones[id] = tombstone{incarnation: s.Incarnation, beat: s.Beat, expired: now, addr: s.Addr, zone: s.Zone, left: s.leaving}
		}
	}
	return out
}

// News returns what changed after a version: members that are new or have a new
// identity, and those whose beat alone advanced. What was learned from the relay
// named to is left out. Both lists are in no order.
func (g *Group) News(after int, to string) (changed, advanced []Member) {
	for _, s := range g.members {
		switch {
		case s.learnedFrom == to:
		case s.changed > after:
			changed = append(changed, s.Member)
		case s.advanced > after:
			advanced = append(advanced, s.Member)
		}
	}
	return changed, advanced
}

// MemberAt returns the member with an address for links.
func (g *Group) MemberAt(addr string) (Member, bool) {
	for _, s := range g.members {
		if s.Addr == addr {
			return s.Member, true
		}
	}
	return Member{}, false
}

// Size returns the number of relays that share the common limits: the known
// ones including this relay, and at least ExpectedSize during the discovery
// period after the start.
func (g *Group) Size(now time.Time) int {
	n := 1 + len(g.members)
	if now.Sub(g.Started) < discoveryPeriod {
		n = max(n, g.ExpectedSize)
	}
	return n
}

// Rank returns the position of this relay, from 0, in the rendezvous hashing
// order of all known members for key.
func (g *Group) Rank(key string) int {
	own := score(key, g.Self.Instance)
	n := 0
	for id := range g.members {
		if score(key, id) > own {
			n++
		}
	}
	return n
}

// Neighbors returns the members to exchange membership with: on a ring of all
// members, those at the distances 1, 2, 4, 8 and so on from this relay. Their
// number grows with the logarithm of the number of members, and so does the number
// of links from any member to any other.
func (g *Group) Neighbors(now time.Time) []Member {
	type position struct {
		hash   uint64
		member Member
	}
	own := score("", g.Self.Instance)
	ring := make([]position, 0, len(g.members))
	for id, s := range g.members {
		if !s.suspectedAt(now) {
			// The subtraction wraps: it is the distance from this relay on the ring.
			ring = append(ring, position{hash: score("", id) - own, member: s.Member})
		}
	}
	slices.SortFunc(ring, func(a, b position) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	out := make([]Member, 0, bits.Len(uint(len(ring))))
	for i := 1; i <= len(ring); i *= 2 {
		out = append(out, ring[i-1].member)
	}
	return out
}

func (s *memberState) suspectedAt(now time.Time) bool { return now.Before(s.suspectUntil) }

// canOwn reports whether a member may own keys.
func (s *memberState) canOwn(now time.Time) bool {
	return !s.leaving && !s.silent && !s.suspectedAt(now)
}

// Owner returns the member that owns a key. Members of the key's zone are
// preferred. Members that are leaving, suspect or silent own nothing, except that this
// relay owns every key if no other member can, even while it is leaving. Relays with
// the same members choose the same owner without coordination.
func (g *Group) Owner(now time.Time, k Key) Member { return g.ranked(now, k, 1)[0] }

// Owners returns the owner of a key, and the member that takes over from it, if there
// is one.
func (g *Group) Owners(now time.Time, k Key) []Member { return g.ranked(now, k, ownerCandidates) }

// candidate is a member with its score for a key.
type candidate struct {
	Member
	inZone bool
	score  float64
}

// ranked returns the n best members for a key, this relay included, best first.
func (g *Group) ranked(now time.Time, k Key, n int) []Member {
	best := make([]candidate, 0, n+1)
	add := func(m Member) {
		c := candidate{Member: m, inZone: m.Zone == k.Zone, score: weightedScore(k.Name, m)}
		i := len(best)
		for i > 0 && c.precedes(best[i-1]) {
			i--
		}
		best = slices.Insert(best, i, c)
		best = best[:min(len(best), n)]
	}
	for _, s := range g.members {
		if s.canOwn(now) {
			add(s.Member)
		}
	}
	if !g.leaving || len(best) == 0 {
		add(g.Self)
	}
	out := make([]Member, 0, len(best))
	for _, c := range best {
		out = append(out, c.Member)
	}
	return out
}

// precedes reports whether c is a better owner than other.
func (c *candidate) precedes(other candidate) bool {
	if c.inZone != other.inZone {
		return c.inZone
	}
	return c.score > other.score
}

// Readers returns the relays that read the store for the others: the best of each
// zone, and more if these are under minReaders. A relay follows those of its own
// zone, which Followed returns.
func (g *Group) Readers(now time.Time) []Member {
	zones := map[string]bool{g.Self.Zone: true}
	for _, s := range g.members {
		zones[s.Zone] = true
	}
	var out []Member
	for zone := range zones {
		if m := g.ranked(now, Key{Name: readerKey, Zone: zone}, 1)[0]; m.Zone == zone {
			out = append(out, m)
		}
	}
	for _, m := range g.ranked(now, Key{Name: readerKey}, minReaders) {
		if len(out) < minReaders && !containsInstance(out, m.Instance) {
			out = append(out, m)
		}
	}
	return out
}

func containsInstance(list []Member, instance string) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.Instance == instance })
}

// Reads reports whether this relay is one of those that read the store.
func (g *Group) Reads(now time.Time) bool {
	return !g.leaving && containsInstance(g.Readers(now), g.Self.Instance)
}

// Followed returns the members that this relay expects to learn the store's changes
// from: the reader of its zone, and the one that takes over from it.
func (g *Group) Followed(now time.Time) []Member {
	return g.ranked(now, Key{Name: readerKey, Zone: g.Self.Zone}, followedReaders)
}

// Weight returns the weight of a relay with a processor of a number of cores and a
// link of a number of megabits per second. It is the square of the scarcer of the
// two, as the work for a key is the same whoever owns it: a relay with a third of
// another one's capacity should own far less than a third as many.
func Weight(cores, linkMbps float64) float64 {
	capacity := min(cores, linkMbps/mbpsPerCore)
	return capacity * capacity
}

// score returns the rendezvous hashing weight of an instance for a key.
func score(key, instance string) uint64 {
	h := xxhash.New()
	// A hash never returns a write error.
	_, _ = h.WriteString(key)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(instance)
	return h.Sum64()
}

// weightedScore returns the score of a member for a key by weighted rendezvous
// hashing: a member owns a share of all keys that is proportional to its weight.
func weightedScore(key string, m Member) float64 {
	weight := m.Weight
	if weight <= 0 {
		weight = 1
	}
	uniform := (float64(score(key, m.Instance)) + 1) / (math.MaxUint64 + 2.0)
	return -weight / math.Log(uniform)
}
