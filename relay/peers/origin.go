package peers

import (
	"context"
	"time"

	"wigeonplank.example/core/origin"
)

const (
	// originTimeout bounds the wait for the relays that remember a stream. An answer takes
	// some milliseconds, but starved relays answer later, and lost ones are known as lost
	// within a second or two.
	originTimeout = time.Second
	// originInterval is the time between two looks for relays that were linked, or lost,
	// meanwhile.
	originInterval = 25 * time.Millisecond
	// wantedAnswers is the number of relays that must have answered before a stream counts as
	// unrecorded. Records are at more of them.
	wantedAnswers = 5
)

// RecordOrigin remembers where a stream began, here and at the relays that are asked
// for it. It doesn't block.
func (m *Mesh) RecordOrigin(stream string, o origin.Origin) {
	now := m.Clock.Now()
	m.originMu.Lock()
	m.origins.Put(now, stream, o)
	o, _ = m.origins.Get(now, stream)
	m.copies.Put(now, stream, o)
	m.originMu.Unlock()
	if m.Beside != nil {
		m.Beside.Record(stream, o)
	}
	m.sendCopies(now, stream)
}

// FindOrigin finds out where a stream began that is of at most a certain age. It blocks
// until enough of the relays that would remember it have answered, for a second at most.
func (m *Mesh) FindOrigin(ctx context.Context, stream string, maxAge time.Duration) origin.Finding {
	begun := m.Clock.Now()
	o, known, own := m.remembered(begun, stream)
	if known && (own || o == origin.Origin{}) {
		if o == (origin.Origin{}) {
			return origin.Finding{Result: origin.Unknown}
		}
		return origin.Finding{Result: origin.Own, Origin: o}
	}
	timeout := originTimeout
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, end.Sub(begun)/2)
	}
	search := origin.Search{MaxAge: maxAge, Want: wantedAnswers}
	if known {
		search.Add(begun, origin.Keeper{}, origin.Answer{Known: true, Origin: o})
	}
	replies := make(chan originAnswer, maxOriginAnswers)
	asked := make(map[origin.Keeper]bool)
	t := time.NewTicker(originInterval)
	defer t.Stop()
	for {
		now := m.Clock.Now()
		order, linked := m.askBeside(stream, asked, replies)
		keepers := m.originKeepers(now, stream)
		for _, k := range keepers {
			order = append(order, k.Keeper)
		}
		for _, k := range append(keepers, m.formerKeepers(now, stream)...) {
			if k.session != nil && !asked[k.Keeper] && len(asked) < maxOriginAnswers && k.session.askOrigin(stream, replies) {
				asked[k.Keeper] = true
			}
		}
		search.Asked = len(asked)
		f, ok := search.Decide(now, order)
		if f.Result == origin.Unrecorded && (!linked || len(order) == 0 && !m.Informed()) {
			f.Result, ok = origin.Unanswered, false // it isn't known yet whom to ask
		}
		if ok || now.Sub(begun) >= timeout {
			return f
		}
		select {
		case r := <-replies:
			search.Add(m.Clock.Now(), r.from, r.answer)
		case <-t.C:
		case <-ctx.Done():
			return f
		}
	}
}

// askBeside asks the keepers beside endpoints that weren't asked yet, and returns all of them.
// It reports false if there are keepers, but none is in use yet.
func (m *Mesh) askBeside(stream string, asked map[origin.Keeper]bool, replies chan<- originAnswer) ([]origin.Keeper, bool) {
	if m.Beside == nil || !m.Beside.Enabled() {
		return nil, true
	}
	keepers := m.Beside.Keepers()
	for _, k := range keepers {
		if !asked[k] && len(asked) < maxOriginAnswers && m.Beside.Ask(k, stream, func(a origin.Answer) { replies <- originAnswer{from: k, answer: a} }) {
			asked[k] = true
		}
	}
	return keepers, len(keepers) > 0
}

// remembered returns what this relay itself remembers of a stream, and whether it has
// served the stream.
func (m *Mesh) remembered(now time.Time, stream string) (o origin.Origin, known, own bool) {
	m.originMu.Lock()
	defer m.originMu.Unlock()
	o, known = m.origins.Get(now, stream)
	return o, known, known && m.copies.Own(stream)
}

// maxOriginAnswers bounds the answers to one question.
const maxOriginAnswers = 32

// originAnswer is the answer of another relay.
type originAnswer struct {
	from   origin.Keeper
	answer origin.Answer
}

// rememberedFor returns for how long this relay has been one of those that remember streams.
func (m *Mesh) rememberedFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keepersAt(now)
	if m.keepers.since.IsZero() {
		return 0
	}
	return now.Sub(m.keepers.since)
}

// askOrigin asks the other relay where a stream began. It reports false if that isn't
// possible. The reply is sent to replies, which must have room for it, unless the link
// fails.
func (s *session) askOrigin(stream string, replies chan<- originAnswer) bool {
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
		s.awaitingOrigin = make(map[uint64]chan<- originAnswer)
	}
	s.awaitingOrigin[n] = replies
	return true
}

// answerOrigin answers where a stream began, as far as this relay remembers.
func (s *session) answerOrigin(msg *OriginRequest) {
	now := s.mesh.Clock.Now()
	o, known, _ := s.mesh.remembered(now, msg.GetStream())
	a := origin.Answer{Known: known, Origin: o, Since: s.mesh.rememberedFor(now)}
	s.send(&Work{Kind: &Work_FoundOrigin{FoundOrigin: AnswerToWire(msg, a)}})
}

// handleOriginReply hands a reply to the request that waits for it.
func (s *session) handleOriginReply(msg *OriginReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replies := s.awaitingOrigin[msg.GetNumber()]; replies != nil {
		delete(s.awaitingOrigin, msg.GetNumber())
		replies <- originAnswer{from: keeperOf(s.remote), answer: AnswerFromWire(msg)}
	}
}
