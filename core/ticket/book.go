package ticket

import (
	"bytes"
	"container/list"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"wigeonplank.example/core/wire"
)

// Bounds of a Book.
const (
	DefaultWindow      = 1 << 20 // serials that a book tells apart
	DefaultAnswerBytes = 4 << 20 // recorded answers
	MaxBlock           = 256     // serials handed out at a time
	macBytes           = 16
)

// State is what a book knows of a serial.
type State string

// States of a serial.
const (
	StateFresh    State = "fresh"    // handed out, not used
	StateVoided   State = "voided"   // not run, and never will be
	StateRunning  State = "running"  // begun, not ended
	StateAnswered State = "answered" // ended; the answer is at hand
	StateRan      State = "ran"      // ended; the answer is no longer held
	StateUnknown  State = "unknown"  // of another incarnation, or older than the window; never runs
	StateForged   State = "forged"   // never handed out
	StateConflict State = "conflict" // used before with another request
)

// Answer is the recorded end of a run. Failure is empty for a whole answer.
type Answer struct {
	Body    []byte
	Failure string
}

type record struct {
	number uint64
	digest []byte
	state  State
	answer Answer
	place  *list.Element
}

// Book is the memory of one agent incarnation over the serials it handed out.
// It needs no clock: a serial is forgotten only by being too far behind the
// newest, and a forgotten serial never runs. It is not safe for concurrent use.
type Book struct {
	incarnation uint64
	key         []byte
	window      uint64
	answerBytes int

	next    uint64 // lowest number not handed out; numbers start at 1
	begun   bitmap
	voided  bitmap
	records map[uint64]*record
	order   *list.List // of *record with an answer, oldest first
	held    int        // bytes of recorded answers
}

// NewBook returns the book of an incarnation. key must be random and known to
// nobody else. window and answerBytes take defaults if 0.
func NewBook(incarnation uint64, key []byte, window, answerBytes int) *Book {
	if window == 0 {
		window = DefaultWindow
	}
	if answerBytes == 0 {
		answerBytes = DefaultAnswerBytes
	}
	return &Book{
		incarnation: incarnation,
		key:         key,
		window:      uint64(window),
		answerBytes: answerBytes,
		next:        1,
		begun:       newBitmap(window),
		voided:      newBitmap(window),
		records:     make(map[uint64]*record),
		order:       list.New(),
	}
}

// Issue hands out n serials, at most MaxBlock.
func (b *Book) Issue(n int) []*wire.Serial {
	n = min(n, MaxBlock)
	out := make([]*wire.Serial, 0, n)
	for range n {
		num := b.next
		b.next++
		b.begun.clear(num)
		b.voided.clear(num)
		out = append(out, &wire.Serial{Incarnation: b.incarnation, Number: num, Mac: b.mac(num)})
	}
	return out
}

func (b *Book) mac(num uint64) []byte {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], num)
	h := hmac.New(sha256.New, b.key)
	h.Write(raw[:])
	return h.Sum(nil)[:macBytes]
}

// State returns what the book knows of a serial.
func (b *Book) State(s *wire.Serial) State {
	if s.GetIncarnation() != b.incarnation {
		return StateUnknown
	}
	num := s.GetNumber()
	if num == 0 || num >= b.next || !hmac.Equal(s.GetMac(), b.mac(num)) {
		return StateForged
	}
	if r, ok := b.records[num]; ok {
		return r.state
	}
	switch {
	case num+b.window < b.next:
		return StateUnknown
	case b.begun.has(num):
		return StateRan
	case b.voided.has(num):
		return StateVoided
	default:
		return StateFresh
	}
}

// Begin marks a fresh serial as running for the request with this digest and
// returns StateFresh. Any other result means that nothing may run: it is the
// serial's state, or StateConflict if another request used the serial.
func (b *Book) Begin(s *wire.Serial, digest []byte) State {
	if st := b.Check(s, digest); st != StateFresh {
		return st
	}
	r := &record{number: s.GetNumber(), state: StateRunning, digest: bytes.Clone(digest)}
	b.records[r.number] = r
	b.begun.set(r.number)
	return StateFresh
}

// Check returns what Begin would return and changes nothing.
func (b *Book) Check(s *wire.Serial, digest []byte) State {
	st := b.State(s)
	r, ok := b.records[s.GetNumber()]
	if ok && (st == StateRunning || st == StateAnswered) && !hmac.Equal(r.digest, digest) {
		return StateConflict
	}
	return st
}

// Finish records how the run of a serial ended. Old answers are dropped to stay
// within the bound.
func (b *Book) Finish(s *wire.Serial, a Answer) {
	r, ok := b.records[s.GetNumber()]
	if !ok || r.state != StateRunning {
		return
	}
	r.state = StateAnswered
	r.answer = a
	r.place = b.order.PushBack(r)
	b.held += len(a.Body) + len(a.Failure)
	b.dropOld()
}

func (b *Book) dropOld() {
	for b.held > b.answerBytes && b.order.Len() > 0 {
		r := b.order.Remove(b.order.Front()).(*record)
		b.held -= len(r.answer.Body) + len(r.answer.Failure)
		delete(b.records, r.number)
	}
}

// NotRun turns a running serial into a voided one. It is for an endpoint that
// said by its protocol that it ran nothing.
func (b *Book) NotRun(s *wire.Serial) {
	r, ok := b.records[s.GetNumber()]
	if !ok || r.state != StateRunning {
		return
	}
	delete(b.records, r.number)
	b.begun.clear(r.number)
	b.voided.set(r.number)
}

// Void makes sure that a fresh serial never runs and returns the state that the
// serial has after the call.
func (b *Book) Void(s *wire.Serial) State {
	st := b.State(s)
	if st != StateFresh {
		return st
	}
	b.voided.set(s.GetNumber())
	return StateVoided
}

// Answer returns the recorded answer of a serial in StateAnswered.
func (b *Book) Answer(s *wire.Serial) (Answer, bool) {
	if b.State(s) != StateAnswered {
		return Answer{}, false
	}
	return b.records[s.GetNumber()].answer, true
}

// bitmap holds one bit for each of the last numbers of a rising sequence.
type bitmap []uint64

func newBitmap(bits int) bitmap { return make(bitmap, (bits+63)/64) }

func (m bitmap) at(n uint64) (*uint64, uint64) {
	i := n % uint64(len(m)*64)
	return &m[i/64], 1 << (i % 64)
}

func (m bitmap) set(n uint64) {
	w, bit := m.at(n)
	*w |= bit
}

func (m bitmap) clear(n uint64) {
	w, bit := m.at(n)
	*w &^= bit
}

func (m bitmap) has(n uint64) bool {
	w, bit := m.at(n)
	return *w&bit != 0
}
