package stage

import (
	"bytes"
	"fmt"
)

// MaxGapBytes bounds what is held of chunks that arrive before their turn.
const MaxGapBytes = 1 << 20

// DivergedError says that a repeated attempt gave other bytes than those already
// passed on.
type DivergedError struct{ Offset int }

// Error names the offset of the chunk that differs.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("repeated answer differs from the first one at offset %d or after", e.Offset)
}

// GapError says that a result ended before all its bytes arrived.
type GapError struct{ Have, Want int }

// Error says how many bytes are there and how many were announced.
func (e *GapError) Error() string {
	return fmt.Sprintf("result has %d of %d bytes", e.Have, e.Want)
}

// Assembler puts the chunks of one stage's result in order. Doubled chunks are
// harmless, and a repeated attempt must repeat the bytes that were passed on.
// The zero value is ready to use. One goroutine owns it.
type Assembler struct {
	whole []byte
	pos   int // how far the current attempt has come
	early map[int][]byte
	held  int
}

// Restart prepares for the chunks of another attempt. Bytes that were passed on
// stay; the new attempt has to match them.
func (a *Assembler) Restart() {
	a.pos = 0
	a.early = nil
	a.held = 0
}

// Offset returns how many bytes of the current attempt are in order.
func (a *Assembler) Offset() int { return a.pos }

// Bytes returns what is in order, of any attempt.
func (a *Assembler) Bytes() []byte { return a.whole }

// Add takes a chunk and returns the bytes that are new and in order. The result
// is valid until the next call.
func (a *Assembler) Add(offset int, data []byte) ([]byte, error) {
	before := len(a.whole)
	if err := a.place(offset, data); err != nil {
		return nil, err
	}
	for {
		at, ok := a.due()
		if !ok {
			return a.whole[before:], nil
		}
		next := a.early[at]
		delete(a.early, at)
		a.held -= len(next)
		if err := a.place(at, next); err != nil {
			return nil, err
		}
	}
}

// due returns the offset of an early chunk whose turn has come.
func (a *Assembler) due() (int, bool) {
	for at := range a.early {
		if at <= a.pos {
			return at, true
		}
	}
	return 0, false
}

func (a *Assembler) place(offset int, data []byte) error {
	if offset > a.pos {
		return a.hold(offset, data)
	}
	if skip := a.pos - offset; skip < len(data) {
		return a.extend(data[skip:])
	}
	return nil
}

func (a *Assembler) hold(offset int, data []byte) error {
	if old := a.early[offset]; len(old) >= len(data) {
		return nil
	}
	if a.held+len(data) > MaxGapBytes {
		return fmt.Errorf("hold chunk at offset %d: %w", offset, &GapError{Have: a.pos, Want: offset})
	}
	if a.early == nil {
		a.early = make(map[int][]byte)
	}
	a.held += len(data) - len(a.early[offset])
	a.early[offset] = bytes.Clone(data)
	return nil
}

func (a *Assembler) extend(data []byte) error {
	known := min(len(a.whole)-a.pos, len(data))
	if known > 0 && !bytes.Equal(a.whole[a.pos:a.pos+known], data[:known]) {
		return &DivergedError{Offset: a.pos}
	}
	a.whole = append(a.whole, data[max(known, 0):]...)
	a.pos += len(data)
	return nil
}

// Close checks that all bytes of a result of that length are in order. A longer
// earlier attempt counts as a difference.
func (a *Assembler) Close(length int) error {
	if a.pos != length {
		return &GapError{Have: a.pos, Want: length}
	}
	if len(a.whole) != length {
		return &DivergedError{Offset: length}
	}
	return nil
}
