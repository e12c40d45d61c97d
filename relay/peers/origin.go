package peers

import (
	"context"
	"time"

	"wigeonplank.example/core/origin"
)

// originTimeout bounds the wait for the keepers of a stream. An answer takes some
// milliseconds.
const originTimeout = 150 * time.Millisecond

// RecordOrigin remembers where a stream began, here and at the relays that are asked
// for it. It doesn't block.
func (m *Mesh) RecordOrigin(stream string, o origin.Origin) {
	now := m.Clock.Now()
	m.originMu.Lock()
	m.origins.Put(now, stream, o)
	o, _ = m.origins.Get(now, stream)
	m.copies.Put(now, stream, o)
	m.originMu.Unlock()
	m.sendCopies(now, stream)
}

// FindOrigin returns where a stream began, and false if no relay that could be asked
// knows it. It blocks for a short time at most.
func (m *Mesh) FindOrigin(ctx context.Context, stream string) (origin.Origin, bool) {
	now := m.Clock.Now()
	if o, ok := m.origin(now, stream); ok {
		return o, true
	}
	keepers := m.originKeepers(now, stream)
	replies := make(chan *OriginReply, len(keepers))
	asked := 0
	for _, k := range keepers {
		if k.session != nil && k.session.askOrigin(stream, replies) {
			asked++
		}
	}
	t := time.NewTimer(originTimeout)
	defer t.Stop()
	for range asked {
		select {
		case r := <-replies:
			if r.GetKnown() {
				return originFromWire(r, m.Clock.Now()), true
			}
		case <-t.C:
			return origin.Origin{}, false
		case <-ctx.Done():
			return origin.Origin{}, false
		}
	}
	return origin.Origin{}, false
}

// origin returns what this relay itself remembers of a stream.
func (m *Mesh) origin(now time.Time, stream string) (origin.Origin, bool) {
	m.originMu.Lock()
	defer m.originMu.Unlock()
	return m.origins.Get(now, stream)
}

// askOrigin asks the other relay where a stream began. It reports false if that isn't
// possible. The reply is sent to replies, which must have room for it, unless the link
// fails.
func (s *session) askOrigin(stream string, replies chan<- *OriginReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.originRequests++
	n := s.originRequests
	if !s.send(&Work{Kind: &Work_FindOrigin{FindOrigin: &OriginRequest{Number: n, Stream: stream}}}) {
		return false
	}
	if s.awaitingOrigin == nil {
		s.awaitingOrigin = make(map[uint64]chan<- *OriginReply)
	}
	s.awaitingOrigin[n] = replies
	return true
}

// answerOrigin answers where a stream began, as far as this relay remembers.
func (s *session) answerOrigin(msg *OriginRequest) {
	now := s.mesh.Clock.Now()
	o, known := s.mesh.origin(now, msg.GetStream())
	w := originToWire(msg.GetStream(), o, now)
	s.send(&Work{Kind: &Work_FoundOrigin{FoundOrigin: &OriginReply{
		Number: msg.GetNumber(), Known: known, Service: w.GetService(), Version: w.GetVersion(),
		Endpoint: w.GetEndpoint(), Incarnation: w.GetIncarnation(), AgeUs: w.GetAgeUs(),
	}}})
}

// handleOriginReply hands a reply to the request that waits for it.
func (s *session) handleOriginReply(msg *OriginReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replies := s.awaitingOrigin[msg.GetNumber()]; replies != nil {
		delete(s.awaitingOrigin, msg.GetNumber())
		replies <- msg
	}
}
