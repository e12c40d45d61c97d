package stage

import (
	"bytes"
	"fmt"
)

const (
	// MaxEarlyBytes limits the bytes buffered from chunks that arrive ahead of a gap.
	MaxEarlyBytes = 1 << 20
	// MaxResultBytes limits the result of a stage.
	MaxResultBytes = 16 << 20
)

// TooLongError reports a chunk that ends beyond MaxResultBytes.
type TooLongError struct{ Offset int }

// Error returns the message with the offset of the chunk and the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("chunk at offset %d ends beyond the %d bytes that a result may have", e.Offset, MaxResultBytes)
}

// DivergedError reports that a repeated attempt produced other bytes than those
// already returned to the caller. Offset is the position in the result of the
// chunk that differs.
type DivergedError struct{ Offset int }

// Error returns the message with the offset of the chunk that differs.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("repeated answer differs from the first one at offset %d or after", e.Offset)
}

// IncompleteError reports a gap in a result, or a result of another length than
// announced: Received bytes are in order, Expected bytes are needed.
type IncompleteError struct{ Received, Expected int }

// Error returns the message with the received and expected byte counts.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("result has %d of %d bytes", e.Received, e.Expected)
}

// Assembler puts the chunks of one stage's result in order. Duplicate and
// overlapping chunks are accepted, and a repeated attempt must reproduce the
// bytes that were already returned. The zero value is ready to use. It is not
// safe for concurrent use.
type Assembler struct {
	assembled  []byte         // bytes in order, over all attempts
	pos        int            // bytes of the current attempt that are in order
	early      map[int][]byte // chunks beyond pos, by offset
	earlyBytes int            // total size of early
}

// Restart prepares for the chunks of another attempt. Bytes that were already
// returned stay, and the new attempt has to match them.
func (a *Assembler) Restart() {
	a.pos = 0
	a.early = nil
	a.earlyBytes = 0
}

// Offset returns how many bytes of the current attempt are in order.
func (a *Assembler) Offset() int { return a.pos }

// Bytes returns the bytes that are in order, over all attempts.
func (a *Assembler) Bytes() []byte { return a.assembled }

// Add accepts a chunk and returns the bytes that it newly brings into order. The
// returned slice is valid until the next call. Add returns *DivergedError if the
// chunk contradicts bytes that were already returned, *TooLongError if it ends beyond
// MaxResultBytes, and an error that wraps *IncompleteError if buffering it would
// exceed MaxEarlyBytes.
func (a *Assembler) Add(offset int, data []byte) ([]byte, error) {
	if offset < 0 || offset > MaxResultBytes-len(data) {
		return nil, &TooLongError{Offset: offset}
	}
	before := len(a.assembled)
	if err := a.addChunk(offset, data); err != nil {
		return nil, err
	}
	for {
		at, ok := a.nextEarly()
		if !ok {
			return a.assembled[before:], nil
		}
		next := a.early[at]
		delete(a.early, at)
		a.earlyBytes -= len(next)
		if err := a.addChunk(at, next); err != nil {
			return nil, err
		}
	}
}

// nextEarly returns the offset of a buffered chunk that no gap precedes any
// more, and whether there is one.
func (a *Assembler) nextEarly() (int, bool) {
	for at := range a.early {
		if at <= a.pos {
			return at, true
		}
	}
	return 0, false
}

// addChunk appends the part of the chunk that lies beyond pos, or buffers the
// chunk if a gap precedes it.
func (a *Assembler) addChunk(offset int, data []byte) error {
	if offset > a.pos {
		return a.bufferEarly(offset, data)
	}
	if skip := a.pos - offset; skip < len(data) {
		return a.appendInOrder(data[skip:])
	}
	return nil
}

// bufferEarly stores a copy of a chunk until the gap before it is filled. Of two
// chunks at the same offset the longer one is kept.
func (a *Assembler) bufferEarly(offset int, data []byte) error {
	if old := a.early[offset]; len(old) >= len(data) {
		return nil
	}
	if a.earlyBytes+len(data) > MaxEarlyBytes {
		return fmt.Errorf("hold chunk at offset %d: %w", offset, &IncompleteError{Received: a.pos, Expected: offset})
	}
	if a.early == nil {
		a.early = make(map[int][]byte)
	}
	a.earlyBytes += len(data) - len(a.early[offset])
	a.early[offset] = bytes.Clone(data)
	return nil
}

// appendInOrder adds data at pos. Bytes that an earlier attempt already produced
// have to be the same.
func (a *Assembler) appendInOrder(data []byte) error {
	known := min(len(a.assembled)-a.pos, len(data))
	if known > 0 && !bytes.Equal(a.assembled[a.pos:a.pos+known], data[:known]) {
		return &DivergedError{Offset: a.pos}
	}
	a.assembled = append(a.assembled, data[max(known, 0):]...)
	a.pos += len(data)
	return nil
}

// CheckComplete checks that the current attempt has exactly length bytes, all in
// order. It returns *IncompleteError if the attempt has fewer or more, and
// *DivergedError if an earlier attempt produced more than length bytes.
func (a *Assembler) CheckComplete(length int) error {
	if a.pos != length {
		return &IncompleteError{Received: a.pos, Expected: length}
	}
	if len(a.assembled) != length {
		return &DivergedError{Offset: length}
	}
	return nil
}
