package peers

import (
	"time"

	"wigeonplank.example/core/repl"
)

// ownTime returns the time of this relay's clock that it tells others. It is positive.
func (m *Mesh) ownTime(now time.Time) time.Duration {
	return max(time.Microsecond, now.Sub(m.Group.Started))
}

// peerTime returns the time in microseconds at which the other relay's clock is at least
// when this relay's is at own; 0: not known.
func (s *session) peerTime(own int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerSent == 0 {
		return 0
	}
	return s.peerSent.Microseconds() + own - s.peerHeard.Microseconds()
}

// receivedPosition returns the position that a heartbeat reports. The time that the
// message was under way at most, unread messages included, adds to the age of the contact,
// which doesn't count while this isn't known.
func (s *session) receivedPosition(hb *Heartbeat, now time.Time) repl.Position {
	p := positionFromWire(hb.GetPosition(), now)
	if hb.GetSentUs() == 0 {
		return p // from a relay of an earlier release
	}
	own, sent, atLeast := s.mesh.ownTime(now), time.Duration(hb.GetSentUs())*time.Microsecond, time.Duration(-1)
	if hb.GetPeerUs() > 0 {
		atLeast = time.Duration(hb.GetPeerUs()) * time.Microsecond
	}
	s.mu.Lock()
	s.peerSent, s.peerHeard = sent, own
	s.mu.Unlock()
	delay, known := s.delays.Record(own, sent, atLeast)
	if !known {
		p.Contact = repl.Contact{}
		return p
	}
	p.Contact = contactSince(p.Contact, now.Add(-delay), now)
	return p
}

// contactSince returns a contact that was sent after a time, as it was then at least. A
// zero time means that nothing is known of when it was sent, so that it doesn't count.
func contactSince(c repl.Contact, sentAfter, now time.Time) repl.Contact {
	if sentAfter.IsZero() || c.At.IsZero() {
		return repl.Contact{}
	}
	c.At = c.At.Add(sentAfter.Sub(now))
	if c.Since.After(c.At) {
		c.Since = c.At
	}
	return c
}

// recordFetch records that changes were requested.
func (s *session) recordFetch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetchedAt.IsZero() {
		s.fetchedAt = now
	}
}

// takeFetch returns when the oldest request without a response was sent; zero: none. There
// is none afterwards.
func (s *session) takeFetch() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.fetchedAt
	s.fetchedAt = time.Time{}
	return at
}
