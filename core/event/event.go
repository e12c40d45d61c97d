// Package event splits a stream of server-sent events into complete events, so
// that a proxy never forwards a truncated one.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode"
)

// MaxBytes is the maximum size of one event.
const MaxBytes = 1 << 20

// ErrTooLarge is returned for an event that is larger than MaxBytes.
var ErrTooLarge = errors.New("event is too large")

// ErrMalformed is returned for lines that are no event, such as another response or the text of an
// error.
var ErrMalformed = errors.New("not an event")

var byteOrderMark = []byte("\ufeff")

// OrderError reports an event whose ID doesn't follow that of the previous one. Got is -1
// for the first event of a resumed stream if it has none.
type OrderError struct {
	Last, Got int64
}

// Error returns both event IDs.
func (e *OrderError) Error() string { return fmt.Sprintf("event %d after event %d", e.Got, e.Last) }

// Reader splits a stream into events. Set R and LastID before use.
type Reader struct {
	R      *bufio.Reader
	LastID int64 // ID of the previous event; -1: none
	// Grow is called before the reader holds n more bytes than before. An error of it ends
	// the stream. It may be nil.
	Grow func(n int) error

	buf      []byte // the current event
	reserved int    // bytes that Grow has allowed
	begun    bool   // a line was read
	numbered bool   // an event with an ID was read
}

// Next returns the next complete event, including its closing empty line, and
// its ID, or -1 if it has none. IDs must increase by one, and what follows LastID must
// begin with one, or Next returns an *OrderError. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event. The slice is valid
// until the next call.
func (r *Reader) Next() ([]byte, int64, error) {
	r.buf = r.buf[:0]
	id := int64(-1)
	standard, comments := false, true
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, 0, err
		}
		if len(line) == 0 {
			if !standard && !comments {
				return nil, 0, ErrMalformed
			}
			return r.finish(id)
		}
		if !r.begun {
			line = bytes.TrimPrefix(line, byteOrderMark)
			r.begun = true
		}
		name, _, colon := bytes.Cut(line, []byte{':'})
		if !isField(name, colon) {
			return nil, 0, ErrMalformed
		}
		comments = comments && len(name) == 0
		standard = standard || isStandardField(name)
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			switch {
			case err != nil:
				return nil, 0, fmt.Errorf("id of an event: %w", err)
			case n < 0, id >= 0:
				return nil, 0, ErrMalformed
			}
			id = n
		}
	}
}

// readLine appends the next line to r.buf and returns it without its line end.
// The line may be longer than the buffer of r.R.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.buf)
	for {
		part, err := r.R.ReadSlice('\n')
		if n := len(r.buf) + len(part) - r.reserved; n > 0 && r.Grow != nil {
			if err := r.Grow(n); err != nil {
				return nil, fmt.Errorf("hold an event: %w", err)
			}
			r.reserved += n
		}
		r.buf = append(r.buf, part...)
		switch {
		case len(r.buf) > MaxBytes:
			return nil, ErrTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.buf) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		return bytes.TrimRight(r.buf[start:], "\r\n"), nil
	}
}

// finish checks the ID of a complete event and returns the event.
func (r *Reader) finish(id int64) ([]byte, int64, error) {
	switch {
	case id < 0 && (r.numbered || r.LastID < 0 || !HasData(r.buf)):
		return r.buf, id, nil
	case r.LastID >= 0 && id != r.LastID+1:
		return nil, 0, &OrderError{Last: r.LastID, Got: id}
	}
	r.LastID, r.numbered = id, true
	return r.buf, id, nil
}

// HasData reports whether an event carries a piece of its stream.
func HasData(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte{':'}); string(name) == "data" {
			return true
		}
	}
	return false
}

// IsComment reports whether an event consists of comments, which endpoints send to keep
// a connection open and which are no progress.
func IsComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// isField reports whether a line with the given field name is a field or a comment, whose name is
// empty. Names are in lower case, unlike those of the headers of a response, and of names without
// a colon only those are fields that the format of event streams defines.
func isField(name []byte, colon bool) bool {
	if !colon {
		return isStandardField(name)
	}
	return bytes.IndexFunc(name, func(r rune) bool { return unicode.IsUpper(r) || unicode.IsControl(r) || r == ' ' || r == '/' }) < 0
}

// isStandardField reports whether the format of event streams defines a field.
func isStandardField(name []byte) bool {
	switch string(name) {
	case "data", "event", "id", "retry":
		return true
	}
	return false
}
