package peers

import (
	"fmt"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"wigeonplank.example/core/repl"
	"wigeonplank.example/relay/logs"
)

const (
	pullTimeout     = 700 * time.Millisecond // without progress, after which changes may be requested again, from another relay
	partBytes       = 32 << 10               // of changes in one message
	maxTransfers    = 2                      // responses with changes that a relay sends at a time; with more, none would arrive soon
	maxChangesBytes = 64 << 20               // of changes once they are decompressed
	minPackedBytes  = 16 << 10               // smaller changes are sent as they are: compressing them takes longer
)

// pull is a request for changes of the store.
type pull struct {
	from     *session // nil: no request is in flight
	sentAt   time.Time
	progress time.Time // when the request was sent or the last part of the response arrived
}

// incoming is a response with changes of which some parts have arrived.
type incoming struct {
	entries []repl.Entry // that were sent as they are
	size    int          // of their keys and values
	packed  []byte       // compressed entries
}

// pull requests the changes that the relay at the other end of s has announced, if
// this relay lacks them and no other request makes progress.
func (m *Mesh) pull(s *session, p repl.Position) {
	if !m.Source.Announced(p) {
		return
	}
	now := m.Clock.Now()
	m.mu.Lock()
	last := m.pulling
	pending := last.from != nil && now.Sub(last.progress) < pullTimeout
	if !pending {
		m.pulling = pull{from: s, sentAt: now, progress: now}
	}
	m.mu.Unlock()
	if pending {
		return
	}
	if last.from != nil {
		m.Log.Event(logs.ChangesOverdue).Str("from", last.from.remote.Instance).Dur("took_ms", now.Sub(last.sentAt)).Dur("behind_ms", m.Source.Behind()).Msg("")
	}
	after := m.Source.Position().Point
	s.recordFetch(now)
	s.send(&Work{Kind: &Work_Fetch{Fetch: &SnapshotRequest{
		After: max(0, after.Revision), Changes: after.Revision >= 0, Era: after.Era, Packed: true,
	}}})
}

// recordProgress extends the time limit of the request for changes that was sent to the
// relay at the other end of s.
func (m *Mesh) recordProgress(s *session, now time.Time) {
	m.mu.Lock()
	if m.pulling.from == s {
		m.pulling.progress = now
	}
	m.mu.Unlock()
	m.Source.Receiving()
}

// endPull allows the next request for changes, after the relay at the other end of s has
// sent all parts of its response. It returns the time since the request, or 0 if the
// response was overdue and another request is in flight.
func (m *Mesh) endPull(s *session, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pulling.from != s {
		return 0
	}
	took := now.Sub(m.pulling.sentAt)
	m.pulling = pull{}
	return took
}

// sendChanges sends the changes after a revision, or all entries of this relay's replica,
// in parts. It sends nothing if the replica is empty, if it is sending changes on this link
// already, or if transfers on other links take so long that the other relay has asked
// another one.
func (s *session) sendChanges(r *SnapshotRequest) {
	if !s.sending.CompareAndSwap(false, true) {
		return
	}
	defer s.sending.Store(false)
	t := time.NewTimer(pullTimeout)
	defer t.Stop()
	select {
	case s.mesh.transfers <- struct{}{}:
		defer func() { <-s.mesh.transfers }()
	case <-s.done:
		return
	case <-t.C:
		return
	}
	after := repl.Point{Revision: -1}
	if r.GetChanges() {
		after = repl.Point{Era: r.GetEra(), Revision: r.GetAfter()}
	}
	u, position := s.mesh.Source.Changes(after)
	if position.Revision < 0 {
		return
	}
	now := s.mesh.Clock.Now()
	head := func() *Snapshot {
		return &Snapshot{Changes: !u.Full, After: u.After, To: u.To, Era: u.Era, Position: positionToWire(position, now), AgeMs: now.Sub(position.Contact.At).Milliseconds()}
	}
	entries, size := make([]*StoreEntry, 0, len(u.Entries)), 0
	for _, e := range u.Entries {
		entries = append(entries, &StoreEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed})
		size += len(e.Key) + len(e.Value)
	}
	if !r.GetPacked() || size < minPackedBytes {
		part := head()
		part.First, part.Entries = true, entries
		s.sendPart(part)
		return
	}
	packed, err := packEntries(entries)
	if err != nil {
		s.fail(err)
		return
	}
	for first := true; first || len(packed) > 0; first = false {
		part := head()
		n := min(partBytes, len(packed))
		part.First, part.Packed, part.More = first, packed[:n], n < len(packed)
		packed = packed[n:]
		if !s.sendPart(part) {
			return
		}
	}
}

// sendPart sends a part of changes. It blocks while other messages are sent, and reports
// false if the session has failed.
func (s *session) sendPart(part *Snapshot) bool {
	select {
	case <-s.done:
		return false
	case s.parts <- &Work{Kind: &Work_Learnt{Learnt: part}}:
		return true
	}
}

// addPart collects the parts of changes that the other relay sends, and applies the
// changes once the last part has arrived.
func (s *session) addPart(part *Snapshot) {
	now := s.mesh.Clock.Now()
	s.extendWait(now)
	s.mesh.recordProgress(s, now)
	if part.GetFirst() {
		s.incoming = incoming{}
	}
	in := &s.incoming
	in.packed = append(in.packed, part.GetPacked()...)
	in.entries = append(in.entries, entriesFromWire(part.GetEntries())...)
	for _, e := range part.GetEntries() {
		in.size += len(e.GetKey()) + len(e.GetValue())
	}
	if part.GetMore() {
		return
	}
	entries, err := unpackEntries(in.packed)
	if err != nil {
		s.fail(err)
		return
	}
	u := repl.Update{
		Entries: append(in.entries, entries...), Full: !part.GetChanges(), After: part.GetAfter(), To: part.GetTo(), Era: part.GetEra(),
	}
	t := repl.Transfer{From: s.remote.Instance, Bytes: max(in.size, len(in.packed)), Took: s.mesh.endPull(s, now)}
	s.incoming = incoming{}
	p := positionFromWire(part.GetPosition(), now)
	p.Contact = contactSince(p.Contact, s.takeFetch(), now)
	s.mesh.Source.Apply(t, u, p)
}

// extendWait gives the answer to a heartbeat more time. It may be queued behind what the
// other relay is sending.
func (s *session) extendWait(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting.IsZero() {
		s.waiting = now
	}
}

// packEntries encodes entries and compresses them.
func packEntries(list []*StoreEntry) ([]byte, error) {
	raw, err := proto.Marshal(&StoreEntries{Entries: list})
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	return w.EncodeAll(raw, nil), nil
}

// unpackEntries decodes what packEntries returned.
func unpackEntries(packed []byte) ([]repl.Entry, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChangesBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, fmt.Errorf("decompress changes: %w", err)
	}
	defer r.Close()
	raw, err := r.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress changes: %w", err)
	}
	var list StoreEntries
	if err := proto.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("decode changes: %w", err)
	}
	return entriesFromWire(list.GetEntries()), nil
}

// entriesFromWire converts entries of the store.
func entriesFromWire(list []*StoreEntry) []repl.Entry {
	out := make([]repl.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, repl.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved()})
	}
	return out
}
