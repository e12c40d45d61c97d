// Package peer tracks the membership of a deployment's relays and decides which
// of them owns a key. It does no I/O; its user reports the state of the links
// between relays.
package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memberTimeout is how long after the last contact a member without a link is
	// still counted in the shares of common limits.
	memberTimeout = 20 * time.Second
	// discoveryPeriod is how long after its start a relay counts the expected
	// members that it hasn't discovered yet.
	discoveryPeriod = 5 * time.Second
)

// Member is one incarnation of a relay.
type Member struct {
	Instance    string
	Incarnation uint64
	Addr        string // IP:port for links
	Zone        string
}

// memberState is a member and the state of the link to it.
type memberState struct {
	Member
	up          bool // a link is established
	leaving     bool
	lastContact time.Time // last call of MarkUp; before the first one, when the member was first reported
}

// Group is the membership of relays as seen by one of them. Set the exported
// fields before use. It is not safe for concurrent use.
type Group struct {
	Self         Member
	ExpectedSize int       // minimum of Size while the relay discovers the others, including itself
	Started      time.Time // start of this relay

	members map[string]*memberState // the other relays, by instance
	leaving bool                    // this relay is stopping
}

// Observe records a member that another relay reported, and reports whether the
// member or its address is new.
func (g *Group) Observe(now time.Time, m Member) bool {
	if m.Instance == g.Self.Instance || m.Instance == "" {
		return false
	}
	if g.members == nil {
		g.members = make(map[string]*memberState)
	}
	s := g.members[m.Instance]
	if s == nil {
		g.members[m.Instance] = &memberState{Member: m, lastContact: now}
		return true
	}
	if s.Addr != m.Addr {
		s.Addr = m.Addr
		return true
	}
	return false
}

// MarkUp records a contact with a member over an established link, and whether the
// member is leaving.
func (g *Group) MarkUp(now time.Time, m Member, leaving bool) {
	g.Observe(now, m)
	if s := g.members[m.Instance]; s != nil {
		s.Member, s.up, s.leaving, s.lastContact = m, true, leaving, now
	}
}

// MarkDown records that there is no link to a member any more.
func (g *Group) MarkDown(instance string) {
	if s := g.members[instance]; s != nil {
		s.up = false
	}
}

// Leave records that this relay is stopping.
func (g *Group) Leave() { g.leaving = true }

// Expire removes the members without a link whose last contact is more than
// memberTimeout ago, and returns them.
func (g *Group) Expire(now time.Time) []Member {
	var out []Member
	for id, s := range g.members {
		if !s.up && now.Sub(s.lastContact) > memberTimeout {
			out = append(out, s.Member)
			delete(g.members, id)
		}
	}
	return out
}

// Members returns the known members other than this relay, sorted by instance.
func (g *Group) Members() []Member {
	out := make([]Member, 0, len(g.members))
	for _, s := range g.members {
		out = append(out, s.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return out
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

// Owner returns the member that owns a key of an availability zone. Members of
// that zone are preferred. Members that are leaving or without a link own nothing,
// except that this relay owns every key if no other member can, even while it is
// leaving. Relays with the same links choose the same owner without coordination.
func (g *Group) Owner(key, zone string) Member {
	best := g.Self
	found, bestInZone := !g.leaving, g.Self.Zone == zone
	for _, s := range g.members {
		if !s.up || s.leaving {
			continue
		}
		inZone := s.Zone == zone
		switch {
		case !found, inZone && !bestInZone, inZone == bestInZone && score(key, s.Instance) > score(key, best.Instance):
			best, found, bestInZone = s.Member, true, inZone
		}
	}
	return best
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
