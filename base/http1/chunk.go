package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	maxSizeDigits   = 15      // hexadecimal, of a number that an int64 holds
	maxTrailerBytes = 8 << 10 // of all lines together
)

// chunkPart is a part of a body in chunks.
type chunkPart string

const (
	partSize    chunkPart = "" // the line with the size of a chunk
	partData    chunkPart = "data"
	partEnd     chunkPart = "end" // the line end after the data
	partTrailer chunkPart = "trailer"
	partNone    chunkPart = "none" // the body is complete
)

// chunks tracks the parts of a body in chunks.
type chunks struct {
	part    chunkPart
	left    int64 // bytes of the data that haven't been read
	trailer int   // bytes of the trailer so far
}

// peekFrame waits for the next line that isn't data, checks it and returns its size with its end. It
// stays in br.
func (c *chunks) peekFrame(br *bufio.Reader) (int, error) {
	line, err := peekLine(br, 0)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return 0, err
	}
	size := len(line) + len(lineEnd)
	switch c.part {
	case partSize:
		if c.left, err = parseChunkSize(line); c.left > 0 {
			c.part = partData
		} else {
			c.part = partTrailer
		}
	case partEnd:
		if c.part = partSize; len(line) > 0 {
			err = malformed("a chunk is longer than its size")
		}
	case partTrailer:
		if c.trailer += size; c.trailer > maxTrailerBytes {
			return 0, ErrLineTooLong
		}
		if len(line) > 0 {
			_, _, err = ParseField(line)
		} else {
			c.part = partNone
		}
	}
	return size, err
}

// advance records that n bytes of the data have been read.
func (c *chunks) advance(n int) {
	if c.left -= int64(n); c.left == 0 {
		c.part = partEnd
	}
}

// parseChunkSize parses the line before a chunk: its size, and maybe extensions, which have no
// meaning here.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, extended := bytes.Cut(line, []byte{';'})
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	if len(digits) == 0 || len(digits) > maxSizeDigits || len(bytes.Trim(digits, "0123456789abcdefABCDEF")) > 0 {
		return 0, malformed("size of a chunk %q", line)
	}
	n, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return 0, malformed("size of a chunk %q", line)
	}
	return n, checkText("an extension of a chunk", line)
}

// ChunkedReader reads the data of a body in chunks, and the trailer behind it, which it drops.
type ChunkedReader struct {
	br     *bufio.Reader
	chunks chunks
}

// NewChunkedReader returns a reader of the body whose head was read from br last.
func NewChunkedReader(br *bufio.Reader) *ChunkedReader { return &ChunkedReader{br: br} }

// Read reads data. It returns io.EOF once the body is complete.
func (r *ChunkedReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for r.chunks.part != partNone {
		if r.chunks.part == partData {
			n, err := r.br.Read(p[:min(int64(len(p)), r.chunks.left)])
			r.chunks.advance(n)
			if n > 0 {
				return n, nil
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
		size, err := r.chunks.peekFrame(r.br)
		if err != nil {
			return 0, err
		}
		if _, err := r.br.Discard(size); err != nil {
			return 0, err
		}
	}
	return 0, io.EOF
}
