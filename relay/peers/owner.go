package peers

import (
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/peer"
)

const (
	poolLinger     = 10 * time.Second       // the owner of a pool counts as needed for this long after the pool's last use
	ownersLifetime = 250 * time.Millisecond // for which the owners of a pool are cached
)

// ownership caches the owner of a pool and the one that takes over from it.
type ownership struct {
	candidates []peer.Member
	chosenAt   time.Time
	usedAt     time.Time
	last       *session // the link that was used last; nil: this relay scheduled the pool
}

// candidates returns the owner of a pool and the one that takes over from it, one of
// which may be this relay. The caller holds m.mu.
func (m *Mesh) candidates(now time.Time, p batch.Pool) []peer.Member {
	o := m.owners[p]
	if o.candidates == nil || now.Sub(o.chosenAt) >= ownersLifetime {
		o.candidates, o.chosenAt = m.Group.Owners(now, peer.Key{Name: p.Service, Zone: p.Zone}), now
		m.owners[p] = o
	}
	return o.candidates
}

// ownerSession returns the link to the owner of a pool, or nil if this relay
// schedules the pool's items itself. While the link to the owner is not up, the
// relay that would take over from it is used, or else the former owner, which may be
// leaving: items are run together only if most relays use the same owner.
func (m *Mesh) ownerSession(p batch.Pool) *session {
	if m.Policy().LocalBatching {
		return nil
	}
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners == nil {
		return nil
	}
	candidates := m.candidates(now, p)
	o := m.owners[p]
	if now.Sub(o.usedAt) > poolLinger {
		m.requestRelink()
	}
	o.usedAt = now
	o.last = m.linkedOwner(candidates, o.last)
	m.owners[p] = o
	return o.last
}

// linkedOwner returns the link to the first of the candidates for a pool that is
// linked, or nil if this relay comes first. Without such a candidate it returns last
// if that link is still up. The caller holds m.mu.
func (m *Mesh) linkedOwner(candidates []peer.Member, last *session) *session {
	for _, p := range candidates {
		if p.Instance == m.Group.Self.Instance {
			return nil
		}
		if s := m.byID[p.Instance]; s != nil {
			return s
		}
	}
	if last != nil && m.sessions[last] {
		return last
	}
	return nil
}

// Owns reports whether this relay is the owner of a pool, so that no other relay
// schedules the pool's items unless its view of the members differs.
func (m *Mesh) Owns(p batch.Pool) bool {
	if m.Policy().LocalBatching {
		return false
	}
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners != nil && m.candidates(now, p)[0].Instance == m.Group.Self.Instance
}

// Submit sends items to the owner of a pool. It reports false if this relay has
// to schedule them itself: it is the owner, the link to the owner is down or its
// queue is full, or the policy is LocalBatching. It doesn't block.
func (m *Mesh) Submit(p batch.Pool, items []*batch.Item) bool {
	s := m.ownerSession(p)
	return s != nil && s.submit(p, items)
}

// Report returns what the owner of a pool has reported of it. It reports false if this
// relay schedules the pool's items itself.
func (m *Mesh) Report(p batch.Pool) (batch.Report, bool) {
	s := m.ownerSession(p)
	if s == nil {
		return batch.Report{}, false
	}
	return s.report(p), true
}

// ItemCount returns the number of items that are queued or in flight at the owner
// of a pool, or -1 if this relay schedules the pool's items itself.
func (m *Mesh) ItemCount(p batch.Pool) int {
	r, ok := m.Report(p)
	if !ok {
		return -1
	}
	return r.Items
}

// Cancel cancels the items of a request that are pending at other relays.
func (m *Mesh) Cancel(request string) {
	m.mu.Lock()
	sessions := make([]*session, 0, len(m.byID))
	for _, s := range m.byID {
		sessions = append(sessions, s)
	}
	m.mu.Unlock()
	for _, s := range sessions {
		s.cancelRequest(request)
	}
}

// Release asks the owner of a pool to release results. It reports false if this
// relay has to release them itself.
func (m *Mesh) Release(p batch.Pool, refs []string) bool {
	s := m.ownerSession(p)
	return s != nil && s.send(&Work{Kind: &Work_Release{Release: &Release{Refs: refs}}})
}
