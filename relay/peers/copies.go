package peers

import (
	"context"
	"slices"
	"time"

	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/relay/logs"
)

const (
	// copyInterval is the time between two looks for records to be sent again or handed on.
	copyInterval = 100 * time.Millisecond
	// maxCopiesPerInterval bounds the messages that a look sends.
	maxCopiesPerInterval = 20
	// maxAwaitedRecords bounds the records of a link whose acknowledgement is awaited.
	// Relays of the former release send none.
	maxAwaitedRecords = 1024
)

// keepers caches the relays that remember streams.
type keepers struct {
	members  []peer.Member // in no order that matters
	chosenAt time.Time
	since    time.Time // since when this relay is one of them; zero: it isn't
}

// keeperLink is the link to a relay that remembers streams.
type keeperLink struct {
	origin.Keeper
	session *session // nil: it isn't linked
}

// awaitedRecord is a record that a keeper has not acknowledged yet.
type awaitedRecord struct {
	stream string
	origin origin.Origin
}

func keeperOf(p peer.Member) origin.Keeper {
	return origin.Keeper{Instance: p.Instance, Incarnation: p.Incarnation}
}

// keepersAt returns the relays that remember streams. The caller holds m.mu.
func (m *Mesh) keepersAt(now time.Time) []peer.Member {
	if m.keepers.members != nil && now.Sub(m.keepers.chosenAt) < ownersLifetime {
		return m.keepers.members
	}
	m.keepers.members, m.keepers.chosenAt = m.Group.Keepers(now), now
	isKeeper := slices.ContainsFunc(m.keepers.members, func(p peer.Member) bool { return p.Instance == m.Group.Self.Instance })
	switch {
	case !isKeeper:
		m.keepers.since = time.Time{}
	case m.keepers.since.IsZero():
		m.keepers.since = now
	}
	return m.keepers.members
}

// originKeepers returns the relays that remember streams, without this relay, in the order
// in which they remember a stream.
func (m *Mesh) originKeepers(now time.Time, stream string) []keeperLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []keeperLink
	for _, p := range peer.OrderKeepers(m.keepersAt(now), stream) {
		if p.Instance != m.Group.Self.Instance {
			out = append(out, keeperLink{Keeper: keeperOf(p), session: m.byID[p.Instance]})
		}
	}
	return out
}

// formerKeepers returns the relays that remember a stream of a relay of the former release.
func (m *Mesh) formerKeepers(now time.Time, stream string) []keeperLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := m.Group.FormerKeepers(now, stream)
	out := make([]keeperLink, 0, len(former))
	for _, p := range former {
		out = append(out, keeperLink{Keeper: keeperOf(p), session: m.byID[p.Instance]})
	}
	return out
}

// keepCopies sends the records of this relay's streams again that aren't acknowledged, and
// to relays that have become their keepers, until ctx ends.
func (m *Mesh) keepCopies(ctx context.Context) {
	t := time.NewTicker(copyInterval)
	defer t.Stop()
	var last []keeperLink
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := m.Clock.Now()
		current := m.originKeepers(now, "")
		m.originMu.Lock()
		if !slices.Equal(current, last) {
			m.copies.Reconsider(now)
			last = current
		}
		due := m.copies.Due(now)
		m.originMu.Unlock()
		sent := 0
		for _, stream := range due {
			if sent >= maxCopiesPerInterval {
				break
			}
			sent += m.sendCopies(now, stream)
		}
	}
}

// sendCopies sends the record of a stream of this relay to the keepers that are to have
// it, and returns their number. It doesn't block.
func (m *Mesh) sendCopies(now time.Time, stream string) int {
	sessions := make(map[origin.Keeper]*session)
	var reachable []origin.Keeper
	for _, k := range m.originKeepers(now, stream) {
		if k.session != nil {
			sessions[k.Keeper] = k.session
			reachable = append(reachable, k.Keeper)
		}
	}
	m.originMu.Lock()
	defer m.originMu.Unlock()
	o, to := m.copies.Next(now, stream, reachable, peer.KeepersPerStream)
	for _, k := range to {
		if sessions[k].sendRecord(stream, o) {
			m.copies.Sent(now, stream, k)
		}
	}
	return len(to)
}

// sendRecord sends the record of a stream. It reports false if that isn't possible.
func (s *session) sendRecord(stream string, o origin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := OriginToWire(stream, o)
	w.Number = s.recordsSent + 1
	if s.closed || !s.send(&Work{Kind: &Work_Origin{Origin: w}}) {
		return false
	}
	s.recordsSent++
	if s.awaitingStored == nil {
		s.awaitingStored = make(map[uint64]awaitedRecord)
	}
	s.awaitingStored[w.GetNumber()] = awaitedRecord{stream: stream, origin: o}
	if w.GetNumber() > maxAwaitedRecords {
		delete(s.awaitingStored, w.GetNumber()-maxAwaitedRecords)
	}
	return true
}

// recordOrigin remembers where a stream of the other relay began, and acknowledges this.
func (s *session) recordOrigin(msg *StreamOrigin) {
	now := s.mesh.Clock.Now()
	s.mesh.originMu.Lock()
	s.mesh.origins.Put(now, msg.GetStream(), OriginFromWire(msg))
	s.mesh.originMu.Unlock()
	if msg.GetNumber() != 0 {
		s.send(&Work{Kind: &Work_Stored{Stored: &OriginStored{Number: msg.GetNumber()}}})
	}
}

// handleStored records that the other relay has a record.
func (s *session) handleStored(msg *OriginStored) {
	s.mu.Lock()
	a, ok := s.awaitingStored[msg.GetNumber()]
	delete(s.awaitingStored, msg.GetNumber())
	s.mu.Unlock()
	if !ok {
		return
	}
	m := s.mesh
	m.originMu.Lock()
	took, first := m.copies.Stored(m.Clock.Now(), a.stream, keeperOf(s.remote), a.origin)
	m.originMu.Unlock()
	if first {
		m.Log.Event(logs.OriginStored).Str("stream", a.stream).Str("member", s.remote.Instance).Dur("acked_ms", took).Msg("")
		if m.OnStored != nil {
			m.OnStored(took)
		}
	}
}
