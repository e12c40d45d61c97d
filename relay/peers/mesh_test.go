package peers

import (
	"testing"

	"wigeonplank.example/core/peer"
)

// TestOwnerWithoutLink checks which relay schedules a pool while the link to its
// owner is not up. It guards against relays that each schedule a pool on their own
// whenever its owner stops or is replaced: their calls to endpoints would carry few
// items each.
func TestOwnerWithoutLink(t *testing.T) {
	owner, second, former := &session{}, &session{}, &session{}
	m := &Mesh{
		Group:    &peer.Group{Self: peer.Member{Instance: "self"}},
		byID:     map[string]*session{"owner": owner, "second": second},
		sessions: map[*session]bool{owner: true, second: true, former: true},
	}
	candidates := []peer.Member{{Instance: "owner"}, {Instance: "second"}}
	check := func(when string, candidates []peer.Member, last, want *session) {
		t.Helper()
		if got := m.linkedOwner(candidates, last); got != want {
			t.Errorf("%s: got %p, want %p (owner %p, second %p, former %p)", when, got, want, owner, second, former)
		}
	}
	check("all linked", candidates, former, owner)
	delete(m.byID, "owner")
	check("no link to the owner", candidates, former, second)
	delete(m.byID, "second")
	check("no link to either", candidates, former, former)
	delete(m.sessions, former)
	check("no link at all", candidates, former, nil)
	m.byID["second"] = second
	check("this relay is the owner", []peer.Member{{Instance: "self"}, {Instance: "second"}}, former, nil)
	check("this relay takes over", []peer.Member{{Instance: "owner"}, {Instance: "self"}}, former, nil)
}
