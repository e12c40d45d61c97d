package peers

import (
	"context"
	"maps"
	"slices"
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
	q := question{stream: stream, replies: make(chan originAnswer, maxOriginAnswers), relays: make(map[origin.Keeper]*session), beside: make(map[origin.Keeper]bool)}
	t := time.NewTicker(originInterval)
	defer t.Stop()
	for {
		now := m.Clock.Now()
		order, linked := m.askBeside(&q)
		order = append(order, m.askRelays(now, &q)...)
		search.Asked = len(q.relays) + len(q.beside)
		f, ok := search.Decide(now, order)
		if (f.Result == origin.Unrecorded || f.Result == origin.Forgotten) && (!linked || len(order) == 0 && !m.Informed()) {
			f.Result, ok = origin.Unanswered, false // it isn't known yet whom to ask
		}
		if ok || now.Sub(begun) >= timeout {
			return f
		}
		select {
		case r := <-q.replies:
			search.Add(m.Clock.Now(), r.from, r.answer)
		case <-t.C:
		case <-ctx.Done():
			return f
		}
	}
}

// question is asked of those that may remember a stream, once over each link.
type question struct {
	stream  string
	replies chan originAnswer
	sent    int                        // so far; replies has room for as many
	relays  map[origin.Keeper]*session // that were asked over their current link
	beside  map[origin.Keeper]bool     // keepers beside endpoints that were
}

// askRelays asks the relays that weren't asked yet over their current link, and returns those
// that remember streams.
func (m *Mesh) askRelays(now time.Time, q *question) []origin.Keeper {
	keepers := m.originKeepers(now, q.stream)
	order := make([]origin.Keeper, 0, len(keepers))
	for _, k := range keepers {
		order = append(order, k.Keeper)
	}
	links := make(map[origin.Keeper]*session)
	for _, k := range append(keepers, m.formerKeepers(now, q.stream)...) {
		links[k.Keeper] = k.session
		if k.session != nil && q.relays[k.Keeper] != k.session && q.sent < maxOriginAnswers && k.session.askOrigin(q.stream, q.replies) {
			q.relays[k.Keeper] = k.session
			q.sent++
		}
	}
	maps.DeleteFunc(q.relays, func(k origin.Keeper, s *session) bool { return links[k] != s })
	return order
}

// askBeside asks the keepers beside endpoints that weren't asked yet over their current link,
// and returns all of them. It reports false if there are keepers, but none is in use yet.
func (m *Mesh) askBeside(q *question) ([]origin.Keeper, bool) {
	if m.Beside == nil || !m.Beside.Enabled() {
		return nil, true
	}
	keepers := m.Beside.Keepers()
	for _, k := range keepers {
		if !q.beside[k] && q.sent < maxOriginAnswers && m.Beside.Ask(k, q.stream, func(a origin.Answer) { q.replies <- originAnswer{from: k, answer: a} }) {
			q.beside[k] = true
			q.sent++
		}
	}
	maps.DeleteFunc(q.beside, func(k origin.Keeper, _ bool) bool { return !slices.Contains(keepers, k) })
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
