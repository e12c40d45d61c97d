// Package body reads the bodies of HTTP responses within limits, and tells whether they may have
// been cut off.
package body

import (
	"fmt"
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

const (
	lengthUnknown = -2       // content length of a response that ends with its connection
	chunkBytes    = 32 << 10 // a body is collected in chunks of this size
)

// TooLargeError reports a body that is larger than its reader allows.
type TooLargeError struct {
	Limit int // bytes
}

// Error returns a message with the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.Limit)
}

// Read returns the whole body of a response, of at most limit bytes, whose field StreamBody was set
// before it was received. grow is that of Collect. framed reports whether the response says where
// its body ends. Otherwise the body ends with its connection, also if the server has stopped before
// its end.
func Read(resp *fasthttp.Response, limit int, grow func(n int) error) (b []byte, framed bool, err error) {
	length := resp.Header.ContentLength()
	framed = length != lengthUnknown || resp.StatusCode() == fasthttp.StatusNoContent
	r := resp.BodyStream()
	if r == nil { // it is empty
		return nil, framed, nil
	}
	if length > limit {
		return nil, framed, &TooLargeError{Limit: limit}
	}
	b, err = Collect(r, limit, grow)
	if err != nil {
		return nil, framed, fmt.Errorf("read body: %w", err)
	}
	return b, framed, nil
}

// chunks holds buffers of chunkBytes.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Collect reads r to its end. It returns a *TooLargeError if there are more than limit bytes. grow is
// called with the size of each part before it is kept, and ends the reading with its error; it may be
// nil. Memory is used only for what has arrived.
func Collect(r io.Reader, limit int, grow func(n int) error) ([]byte, error) {
	var full []*[chunkBytes]byte
	defer func() {
		for _, b := range full {
			chunks.Put(b)
		}
	}()
	for size := 0; ; {
		b := chunks.Get().(*[chunkBytes]byte)
		full = append(full, b)
		n, ended, err := fill(r, b[:])
		size += n
		if grow != nil {
			if growErr := grow(n); growErr != nil {
				return nil, growErr
			}
		}
		switch {
		case err != nil:
			return nil, err
		case size > limit:
			return nil, &TooLargeError{Limit: limit}
		case ended:
			return join(full, size), nil
		}
	}
}

// fill reads until b is full or r fails or ends. Unlike io.ReadFull, it returns errors that wrap
// io.EOF as they are.
func fill(r io.Reader, b []byte) (n int, ended bool, err error) {
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// join returns the first size bytes of chunks.
func join(list []*[chunkBytes]byte, size int) []byte {
	out := make([]byte, 0, size)
	for _, b := range list {
		out = append(out, b[:min(chunkBytes, size-len(out))]...)
	}
	return out
}
