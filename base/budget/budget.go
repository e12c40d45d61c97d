// Package budget bounds the memory that a process uses for what it receives from others at the
// same time.
package budget

import (
	"errors"
	"maps"
	"sync"
	"time"

	"wigeonplank.example/core/clock"
)

const (
	defaultBytes = 16 << 20
	// minTracked is the size from which on a reservation may be ended in favour of
	// others. Most responses are smaller and cost no lookup.
	minTracked = 64 << 10
	// suspicion is how long a sender of which a response was given up goes before others.
	suspicion  = time.Minute
	maxSenders = 1024 // that are remembered without a response
	// leavingPart is the part of a budget that responses which were given up may still hold
	// before others wait for their readers, each time for maxPause at most.
	leavingPart = 8
	maxPause    = 50 * time.Millisecond
)

// ErrOver reports that a response was given up because the responses that this process
// holds at the same time are too large together.
var ErrOver = errors.New("responses are too large together")

// Budget bounds the memory for what this process holds of responses at the same time. Once it
// is used up, the largest response of one sender is given up: of one of which a response was
// given up lately, if there is any, and among such of the one whose responses hold most. Its
// memory is free only once its reader has noticed; large responses wait for that. The zero value
// is ready to use. It is safe for concurrent use.
type Budget struct {
	Limit func() int64 // bytes; nil: 16 MB
	Clock clock.Clock  // nil: the system's
	// After returns a channel that receives once a time has passed. If it is nil, time.After is
	// used.
	After func(d time.Duration) <-chan time.Time

	mu      sync.Mutex
	used    int64
	leaving int64                 // bytes of responses that were given up and not released yet
	changed chan struct{}         // closed at the next change of leaving, and when a response is given up; nil: nobody waits
	large   map[*Reservation]bool // those of at least minTracked
	senders map[string]sender
}

// sender is what is known of one that sends responses.
type sender struct {
	bytes   int64     // of all its reservations in large
	endedAt time.Time // when a response was given up last; zero: none was
}

// Reservation is the part of a Budget that one response uses.
type Reservation struct {
	budget *Budget
	sender string
	end    func() // makes the reader of the response stop; may be nil
	bytes  int64
	left   int64 // bytes that it held when it was given up, until it is released
	ended  bool
}

// Reserve returns an empty reservation for a response of a sender. end is called, in any
// goroutine, if the response has to be given up; it must not block. If it is nil, the reader
// learns it from the next Grow.
func (b *Budget) Reserve(sender string, end func()) *Reservation {
	return &Reservation{budget: b, sender: sender, end: end}
}

// limit returns the number of bytes that all reservations may hold together.
func (b *Budget) limit() int64 {
	if b.Limit == nil {
		return defaultBytes
	}
	return b.Limit()
}

// Used returns the number of bytes that all reservations hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Grow adds n bytes. It returns ErrOver if the response has to be given up. It blocks for a
// short time while responses that were given up still hold much.
func (r *Reservation) Grow(n int) error {
	if err := r.add(n); err != nil {
		return err
	}
	changed := r.changed()
	if changed == nil {
		return nil
	}
	after := r.budget.After
	if after == nil {
		after = time.After
	}
	end := after(maxPause)
	for changed != nil {
		select {
		case <-changed:
			changed = r.changed()
		case <-end:
			changed = nil
		}
	}
	if r.Ended() {
		return ErrOver
	}
	return nil
}

// changed returns a channel that is closed when the response may go on, or nil if it needn't
// wait.
func (r *Reservation) changed() <-chan struct{} {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended || !b.large[r] || b.leaving <= b.limit()/leavingPart {
		return nil
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// wake lets those look again that wait. The caller holds b.mu.
func (b *Budget) wake() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// add is Grow without the wait.
func (r *Reservation) add(n int) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return ErrOver
	}
	b.grow(r, int64(n))
	for limit := b.limit(); b.used > limit; {
		victim := b.victim()
		if victim == nil {
			victim = r // all are small
		}
		victim.endLocked()
		if victim == r {
			return ErrOver
		}
	}
	return nil
}

// grow adds n bytes to a reservation. The caller holds b.mu.
func (b *Budget) grow(r *Reservation, n int64) {
	r.bytes += n
	b.used += n
	switch {
	case b.large[r]:
		b.addToSender(r.sender, n)
	case r.bytes >= minTracked:
		if b.large == nil {
			b.large, b.senders = make(map[*Reservation]bool), make(map[string]sender)
		}
		b.large[r] = true
		b.addToSender(r.sender, r.bytes)
	}
}

// addToSender adds n bytes, which may be negative, to what a sender holds. A sender that holds
// nothing is forgotten unless it is suspect. The caller holds b.mu.
func (b *Budget) addToSender(name string, n int64) {
	s := b.senders[name]
	s.bytes += n
	b.senders[name] = s
	if s.bytes == 0 && len(b.senders) > maxSenders {
		b.forgetSenders()
	}
	if s.bytes == 0 && (!b.isSuspect(s) || len(b.senders) > maxSenders) {
		delete(b.senders, name)
	}
}

// forgetSenders forgets the senders that hold nothing and aren't suspect. The caller holds b.mu.
func (b *Budget) forgetSenders() {
	maps.DeleteFunc(b.senders, func(_ string, s sender) bool { return s.bytes == 0 && !b.isSuspect(s) })
}

// isSuspect reports whether a response of a sender was given up lately. The caller holds b.mu.
func (b *Budget) isSuspect(s sender) bool {
	return !s.endedAt.IsZero() && b.now().Sub(s.endedAt) < suspicion
}

func (b *Budget) now() time.Time {
	if b.Clock == nil {
		return clock.System{}.Now()
	}
	return b.Clock.Now()
}

// victim returns the reservation that is given up next, or nil if none is tracked. The caller
// holds b.mu.
func (b *Budget) victim() *Reservation {
	var out *Reservation
	for r := range b.large {
		if out == nil || b.precedes(r, out) {
			out = r
		}
	}
	return out
}

// precedes reports whether r is given up before other.
func (b *Budget) precedes(r, other *Reservation) bool {
	s, o := b.senders[r.sender], b.senders[other.sender]
	suspect, otherSuspect := b.isSuspect(s), b.isSuspect(o)
	switch {
	case r.sender == other.sender:
		return r.bytes > other.bytes
	case suspect != otherSuspect:
		return suspect
	}
	return s.bytes > o.bytes
}

// endLocked gives the response up. The caller holds the budget's mu.
func (r *Reservation) endLocked() {
	r.ended = true
	if b := r.budget; b.large[r] {
		s := b.senders[r.sender]
		s.endedAt = b.now()
		b.senders[r.sender] = s
	}
	if r.end != nil { // its reader stops now, and not only at its next Grow
		r.left = r.bytes
		r.budget.leaving += r.left
	}
	r.releaseLocked()
	if r.end != nil {
		r.end()
	}
	r.budget.wake()
}

// Ended reports whether the response was given up.
func (r *Reservation) Ended() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.ended
}

// Release returns all bytes to the budget. It may be called more than once.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.releaseLocked()
	if r.left > 0 {
		r.budget.leaving -= r.left
		r.left = 0
		r.budget.wake()
	}
}

func (r *Reservation) releaseLocked() {
	b := r.budget
	b.used -= r.bytes
	if b.large[r] {
		delete(b.large, r)
		b.addToSender(r.sender, -r.bytes)
	}
	r.bytes = 0
}
