package ticket

import (
	"bytes"
	"container/list"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"wigeonplank.example/core/wire"
)

// Limits of a SerialTable.
const (
	DefaultWindow         = 1 << 20 // number of latest serials whose state is recorded
	DefaultMaxAnswerBytes = 4 << 20 // total size of recorded answers
	MaxIssue              = 256     // number of serials issued by one call
	macBytes              = 16      // length of a serial's MAC, a truncated HMAC-SHA256
)

// State is the state of a serial.
type State string

// States of a serial.
const (
	StateFresh    State = "fresh"    // issued, not used
	StateVoided   State = "voided"   // has not run and never will
	StateRunning  State = "running"  // the request is in flight
	StateAnswered State = "answered" // the request completed; its answer is recorded
	StateRan      State = "ran"      // the request completed; its answer has been evicted
	StateUnknown  State = "unknown"  // issued by another incarnation or older than the window; never runs
	StateForged   State = "forged"   // never issued
	StateConflict State = "conflict" // already used with a different request
)

// Answer is the recorded result of a request. Failure is empty if the answer is
// complete.
type Answer struct {
	Body    []byte
	Failure string
}

type record struct {
	number uint64
	digest []byte
	state  State
	answer Answer
	elem   *list.Element // in SerialTable.answered
}

// SerialTable records the state of the serials that one incarnation of an agent has
// issued. It needs no clock: the state of a serial is dropped only when the
// serial is too far behind the latest one, and such a serial never runs. It is
// not safe for concurrent use.
type SerialTable struct {
	incarnation    uint64
	key            []byte
	window         uint64 // number of serials
	maxAnswerBytes int

	next        uint64 // number of the next serial; numbers start at 1
	begun       bitmap
	voided      bitmap
	records     map[uint64]*record // by number; in StateRunning or StateAnswered
	answered    *list.List         // of *record in StateAnswered, oldest first
	answerBytes int                // total size of recorded answers
}

// NewSerialTable returns an empty table for an incarnation. key must be random and
// secret. If window or maxAnswerBytes is 0, it takes its default.
func NewSerialTable(incarnation uint64, key []byte, window, maxAnswerBytes int) *SerialTable {
	if window == 0 {
		window = DefaultWindow
	}
	if maxAnswerBytes == 0 {
		maxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &SerialTable{
		incarnation:    incarnation,
		key:            key,
		window:         uint64(window),
		maxAnswerBytes: maxAnswerBytes,
		next:           1,
		begun:          newBitmap(window),
		voided:         newBitmap(window),
		records:        make(map[uint64]*record),
		answered:       list.New(),
	}
}

// Issue returns n new serials, but at most MaxIssue.
func (t *SerialTable) Issue(n int) []*wire.Serial {
	n = min(n, MaxIssue)
	out := make([]*wire.Serial, 0, n)
	for range n {
		num := t.next
		t.next++
		t.begun.clear(num)
		t.voided.clear(num)
		out = append(out, &wire.Serial{Incarnation: t.incarnation, Number: num, Mac: t.mac(num)})
	}
	return out
}

func (t *SerialTable) mac(num uint64) []byte {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], num)
	h := hmac.New(sha256.New, t.key)
	h.Write(raw[:])
	return h.Sum(nil)[:macBytes]
}

// State returns the state of a serial. It never returns StateConflict.
func (t *SerialTable) State(s *wire.Serial) State {
	if s.GetIncarnation() != t.incarnation {
		return StateUnknown
	}
	num := s.GetNumber()
	if num == 0 || num >= t.next || !hmac.Equal(s.GetMac(), t.mac(num)) {
		return StateForged
	}
	if r, ok := t.records[num]; ok {
		return r.state
	}
	switch {
	case t.expired(num):
		return StateUnknown
	case t.begun.has(num):
		return StateRan
	case t.voided.has(num):
		return StateVoided
	default:
		return StateFresh
	}
}

// expired reports whether a number has left the window.
func (t *SerialTable) expired(num uint64) bool { return num+t.window < t.next }

// Begin marks a fresh serial as running for the request with the given digest
// and returns StateFresh. On any other result the request must not run: the
// result is the state of the serial, or StateConflict if the serial was used
// with a different request.
func (t *SerialTable) Begin(s *wire.Serial, digest []byte) State {
	if st := t.Check(s, digest); st != StateFresh {
		return st
	}
	r := &record{number: s.GetNumber(), state: StateRunning, digest: bytes.Clone(digest)}
	t.records[r.number] = r
	t.begun.set(r.number)
	return StateFresh
}

// Check returns the result that Begin would return, without changing any state.
func (t *SerialTable) Check(s *wire.Serial, digest []byte) State {
	st := t.State(s)
	r, ok := t.records[s.GetNumber()]
	if ok && (st == StateRunning || st == StateAnswered) && !hmac.Equal(r.digest, digest) {
		return StateConflict
	}
	return st
}

// Finish records the answer of a running serial. It evicts the oldest answers
// while their total size exceeds the maximum.
func (t *SerialTable) Finish(s *wire.Serial, a Answer) {
	r, ok := t.records[s.GetNumber()]
	if !ok || r.state != StateRunning {
		return
	}
	r.state = StateAnswered
	r.answer = a
	r.elem = t.answered.PushBack(r)
	t.answerBytes += len(a.Body) + len(a.Failure)
	t.evictAnswers()
}

func (t *SerialTable) evictAnswers() {
	for t.answerBytes > t.maxAnswerBytes && t.answered.Len() > 0 {
		r := t.answered.Remove(t.answered.Front()).(*record)
		t.answerBytes -= len(r.answer.Body) + len(r.answer.Failure)
		delete(t.records, r.number)
	}
}

// MarkNotRun marks a running serial as voided, after the endpoint reported that it
// did not run the request. A serial that has left the window only becomes unknown,
// as its bits belong to a newer one.
func (t *SerialTable) MarkNotRun(s *wire.Serial) {
	r, ok := t.records[s.GetNumber()]
	if !ok || r.state != StateRunning {
		return
	}
	delete(t.records, r.number)
	if t.expired(r.number) {
		return
	}
	t.begun.clear(r.number)
	t.voided.set(r.number)
}

// Void ensures that a fresh serial never runs, and returns the resulting state.
func (t *SerialTable) Void(s *wire.Serial) State {
	st := t.State(s)
	if st != StateFresh {
		return st
	}
	t.voided.set(s.GetNumber())
	return StateVoided
}

// Answer returns the recorded answer of a serial in StateAnswered.
func (t *SerialTable) Answer(s *wire.Serial) (Answer, bool) {
	if t.State(s) != StateAnswered {
		return Answer{}, false
	}
	return t.records[s.GetNumber()].answer, true
}

// bitmap is a ring of bits for the latest numbers of an increasing sequence. A
// number reuses the bit of an older one that has left the window.
type bitmap []uint64

func newBitmap(bits int) bitmap { return make(bitmap, (bits+63)/64) }

// locate returns the word that contains the bit of n, and the bit's mask.
func (m bitmap) locate(n uint64) (*uint64, uint64) {
	i := n % uint64(len(m)*64)
	return &m[i/64], 1 << (i % 64)
}

func (m bitmap) set(n uint64) {
	w, mask := m.locate(n)
	*w |= mask
}

func (m bitmap) clear(n uint64) {
	w, mask := m.locate(n)
	*w &^= mask
}

func (m bitmap) has(n uint64) bool {
	w, mask := m.locate(n)
	return *w&mask != 0
}
