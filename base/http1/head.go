// Package http1 decides what counts as a response of HTTP/1.1. It follows the grammar of RFC 9110 and
// RFC 9112 without their optional leniency: what a server in trouble sends may resemble a
// response, and readers that are lenient in different ways see different responses in it.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// GrammarError reports bytes that don't follow the grammar.
type GrammarError struct{ Reason string }

// Error returns a message with the reason.
func (e *GrammarError) Error() string { return "malformed HTTP: " + e.Reason }

func malformed(format string, args ...any) error {
	return &GrammarError{Reason: fmt.Sprintf(format, args...)}
}

// ErrLineTooLong reports a head, or a line between chunks, that doesn't fit into the buffer of its
// reader.
var ErrLineTooLong = errors.New("head or line of an HTTP response is too long")

const (
	minStatus       = 100
	maxStatus       = 599
	statusSwitching = 101
	statusOK        = 200
	statusNoContent = 204
	statusUnchanged = 304

	lengthUnknown   = -1 // of a body
	maxLengthDigits = 18 // of a number that an int64 holds
)

// Head is what the head of a response says of its size.
type Head struct {
	Size    int // bytes of the head, up to and including its empty line
	Status  int
	Length  int64 // bytes of the body; -1: not said
	Chunked bool  // the body is in chunks
}

// IsInterim reports whether another response follows.
func (h Head) IsInterim() bool { return h.Status < statusOK }

// hasNoBody reports whether the response ends with its head, unless it answers a HEAD request.
func (h Head) hasNoBody() bool {
	return h.IsInterim() || h.Status == statusNoContent || h.Status == statusUnchanged
}

// PeekHead waits for the head of a response and checks it. The head stays in br, for whose buffer
// it must not be too large. An error is that of br, io.EOF only before the first byte, or
// ErrLineTooLong, or a *GrammarError as soon as a line isn't one of a head.
func PeekHead(br *bufio.Reader) (Head, error) {
	h := Head{Length: lengthUnknown}
	p := headParser{head: &h}
	for {
		line, err := peekLine(br, h.Size)
		if err != nil {
			return h, err
		}
		h.Size += len(line) + len(lineEnd)
		ended, err := p.parseLine(line)
		if ended || err != nil {
			return h, err
		}
	}
}

var lineEnd = []byte("\r\n")

// peekLine waits for the line that begins after the first bytes of br, and returns it without its
// end. It stays in br.
func peekLine(br *bufio.Reader, after int) ([]byte, error) {
	for seen := after; ; {
		b, _ := br.Peek(br.Buffered()) // can't fail
		if i := bytes.IndexByte(b[seen:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(b[after:seen+i], []byte{'\r'})
			if !ok {
				return nil, malformed("line without a carriage return")
			}
			return line, nil
		}
		seen = len(b)
		if seen == br.Size() {
			return nil, ErrLineTooLong
		}
		if _, err := br.Peek(seen + 1); err != nil {
			if errors.Is(err, io.EOF) && seen > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// headParser parses the lines of a head.
type headParser struct {
	head  *Head
	begun bool
	minor byte // digit of the version
}

// parseLine parses the next line and reports whether it is the empty one that ends the head.
func (p *headParser) parseLine(line []byte) (ended bool, err error) {
	switch {
	case !p.begun:
		p.begun = true
		return false, p.parseStatusLine(line)
	case len(line) == 0:
		return true, p.checkFraming()
	}
	name, value, err := ParseField(line)
	if err != nil {
		return false, err
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return false, p.parseLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if p.head.Chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return false, malformed("transfer coding %q", value)
		}
		p.head.Chunked = true
	}
	return false, nil
}

// parseStatusLine parses the line "HTTP/1.x STATUS REASON".
func (p *headParser) parseStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < len("1 200 ") || (rest[0] != '0' && rest[0] != '1') || rest[1] != ' ' || rest[5] != ' ' {
		return malformed("status line %q", line)
	}
	p.minor = rest[0]
	code := rest[2:5]
	for _, b := range code {
		if b < '0' || b > '9' {
			return malformed("status %q", code)
		}
	}
	p.head.Status, _ = strconv.Atoi(string(code)) // three digits
	if p.head.Status < minStatus || p.head.Status > maxStatus || p.head.Status == statusSwitching {
		return malformed("status %q", code)
	}
	return checkText("reason", rest[6:])
}

// parseLength parses the value of Content-Length.
func (p *headParser) parseLength(value []byte) error {
	if p.head.Length != lengthUnknown || len(value) == 0 || len(value) > maxLengthDigits || len(bytes.Trim(value, "0123456789")) > 0 {
		return malformed("length %q", value)
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return malformed("length %q", value)
	}
	p.head.Length = n
	return nil
}

// checkFraming checks that the head says in one way at most where the body ends.
func (p *headParser) checkFraming() error {
	switch h := p.head; {
	case !h.Chunked:
	case h.Length != lengthUnknown:
		return malformed("both a length and chunks")
	case p.minor == '0', h.IsInterim(), h.Status == statusNoContent:
		return malformed("chunks in a response of status %d and version 1.%c", h.Status, p.minor)
	}
	return nil
}

// ParseField parses a line of the head of a request or a response, or of a trailer, without its end. The value comes without the
// blanks around it. Any error is a *GrammarError.
func ParseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 {
		return nil, nil, malformed("line %q without a name", line)
	}
	for _, b := range name {
		if !isTokenByte(b) {
			return nil, nil, malformed("byte %#x in the name of a field", b)
		}
	}
	value = bytes.Trim(value, " \t")
	return name, value, checkText(string(name), value)
}

// checkText checks that text has no control bytes. what names it in the error.
func checkText(what string, text []byte) error {
	for _, b := range text {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return malformed("byte %#x in %s", b, what)
		}
	}
	return nil
}

// isTokenByte reports whether b may be part of a token in the sense of RFC 9110, section 5.6.2.
func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
