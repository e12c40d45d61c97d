// Package peer is the membership of relays: who is there, and which of them
// looks after what. It has no I/O; links feed it.
package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// forgetAfter is how long a member that no link reaches is still reckoned
	// with in the shares of limits.
	forgetAfter = 20 * time.Second
	// settleTime is how long a new process reckons with members that it has not
	// met yet.
	settleTime = 5 * time.Second
)

// Member is one life of a relay.
type Member struct {
	Instance    string
	Incarnation uint64
	Addr        string // IP:port for links
	Zone        string
}

type record struct {
	Member
	up      bool // a link to it works
	leaving bool
	seen    time.Time
}

// Group is what one relay knows of the others. Set the exported fields before
// use. It is not safe for concurrent use.
type Group struct {
	Self    Member
	Expect  int // members to reckon with until they had time to be met
	Started time.Time

	known   map[string]*record // by instance
	leaving bool               // this relay
}

// Heard records a member of which another relay told, and reports whether it is
// new.
func (g *Group) Heard(now time.Time, m Member) bool {
	if m.Instance == g.Self.Instance || m.Instance == "" {
		return false
	}
	if g.known == nil {
		g.known = make(map[string]*record)
	}
	r := g.known[m.Instance]
	if r == nil {
		g.known[m.Instance] = &record{Member: m, seen: now}
		return true
	}
	if r.Addr != m.Addr {
		r.Addr = m.Addr
		return true
	}
	return false
}

// Up records that a link reaches a member.
func (g *Group) Up(now time.Time, m Member, leaving bool) {
	g.Heard(now, m)
	if r := g.known[m.Instance]; r != nil {
		r.Member, r.up, r.leaving, r.seen = m, true, leaving, now
	}
}

// Down records that no link reaches a member any more.
func (g *Group) Down(instance string) {
	if r := g.known[instance]; r != nil {
		r.up = false
	}
}

// Leave records that this relay is stopping.
func (g *Group) Leave() { g.leaving = true }

// Expire forgets members that were not reached for long.
func (g *Group) Expire(now time.Time) []Member {
	var out []Member
	for id, r := range g.known {
		if !r.up && now.Sub(r.seen) > forgetAfter {
			out = append(out, r.Member)
			delete(g.known, id)
		}
	}
	return out
}

// Members returns the known members but for this relay, by instance.
func (g *Group) Members() []Member {
	out := make([]Member, 0, len(g.known))
	for _, r := range g.known {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// Size returns how many relays to reckon with in shares of common limits: those
// known, and while this process is new at least Expect.
func (g *Group) Size(now time.Time) int {
	n := 1 + len(g.known)
	if now.Sub(g.Started) < settleTime {
		n = max(n, g.Expect)
	}
	return n
}

// Rank returns the place of this relay among the members in an order that
// depends on key alone, from 0.
func (g *Group) Rank(key string) int {
	own := score(key, g.Self.Instance)
	n := 0
	for id := range g.known {
		if score(key, id) > own {
			n++
		}
	}
	return n
}

// Owner returns the member that looks after a key of an availability zone: one
// of that zone if there is any. Relays with the same links agree without asking.
func (g *Group) Owner(key, zone string) Member {
	best := g.Self
	found, near := !g.leaving, g.Self.Zone == zone
	for _, r := range g.known {
		if !r.up || r.leaving {
			continue
		}
		inZone := r.Zone == zone
		switch {
		case !found, inZone && !near, inZone == near && score(key, r.Instance) > score(key, best.Instance):
			best, found, near = r.Member, true, inZone
		}
	}
	return best
}

// score ranks a member for a key (rendezvous hashing).
func score(key, instance string) uint64 {
	h := xxhash.New()
	// Writing to a hash never fails.
	_, _ = h.WriteString(key)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(instance)
	return h.Sum64()
}
