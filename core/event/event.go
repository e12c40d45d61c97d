// Package event reads the events of a stream one by one, so that only whole
// ones are passed on.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxBytes bounds one event.
const MaxBytes = 1 << 20

// ErrTooLarge says that an event is larger than MaxBytes.
var ErrTooLarge = errors.New("event is too large")

// OrderError says that an event is not the one that had to come next.
type OrderError struct {
	Last, Got int64
}

// Error names both events.
func (e *OrderError) Error() string { return fmt.Sprintf("event %d after event %d", e.Got, e.Last) }

// Reader splits a stream into events. Set R and Last before use.
type Reader struct {
	R    *bufio.Reader
	Last int64 // id of the newest event; -1: none yet

	buf []byte
}

// Next returns the next whole event with its closing empty line, and its id, or
// -1 if it has none. At the end of the stream it returns io.EOF; if the stream
// ends inside an event, io.ErrUnexpectedEOF. The slice is valid until the next
// call.
func (r *Reader) Next() ([]byte, int64, error) {
	r.buf = r.buf[:0]
	id := int64(-1)
	for {
		line, err := r.R.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > MaxBytes {
			return nil, 0, ErrTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.buf) > 0:
			return nil, 0, io.ErrUnexpectedEOF
		case err != nil:
			return nil, 0, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return r.whole(id)
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			if err != nil {
				return nil, 0, fmt.Errorf("id of an event: %w", err)
			}
			id = n
		}
	}
}

func (r *Reader) whole(id int64) ([]byte, int64, error) {
	if id >= 0 {
		if r.Last >= 0 && id != r.Last+1 {
			return nil, 0, &OrderError{Last: r.Last, Got: id}
		}
		r.Last = id
	}
	return r.buf, id, nil
}
