package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
)

// RequestError says why a request can't be read. Status is 0 if there is nobody
// left to tell.
type RequestError struct {
	Status int
	Reason string
}

// Error names the status and the reason.
func (e *RequestError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

func bad(format string, args ...any) *RequestError {
	return &RequestError{Status: fasthttp.StatusBadRequest, Reason: fmt.Sprintf(format, args...)}
}

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// read reads a request whole.
func (x *Exchange) read(c net.Conn, br *bufio.Reader, limits fleet.Limits) *RequestError {
	if err := x.Head.Read(br); err != nil {
		return headError(err)
	}
	if e := check(&x.Head); e != nil {
		return e
	}
	if x.Head.ContentLength() > limits.BodyBytes {
		return &RequestError{Status: fasthttp.StatusRequestEntityTooLarge, Reason: "body is too large"}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a closed connection
	if strings.EqualFold(string(x.Head.Peek("Expect")), "100-continue") {
		if _, err := c.Write(continueLine); err != nil {
			return &RequestError{Reason: err.Error()}
		}
	}
	return x.readBody(br, limits)
}

func headError(err error) *RequestError {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.As(err, &small):
		return &RequestError{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: "header is too large"}
	case errors.As(err, &ne) && ne.Timeout():
		return &RequestError{Status: fasthttp.StatusRequestTimeout, Reason: "header is too slow"}
	case errors.As(err, &ne):
		return &RequestError{Reason: err.Error()}
	}
	return bad("%v", err)
}

func (x *Exchange) readBody(br *bufio.Reader, limits fleet.Limits) *RequestError {
	var req fasthttp.Request
	x.Head.CopyTo(&req.Header)
	// The body is wanted whole and as it is, whatever its type and method.
	req.Header.SetContentType("application/octet-stream")
	req.Header.SetMethod(fasthttp.MethodPost)
	if n := x.Head.ContentLength(); n == 0 || (n < 0 && !chunked(&x.Head)) {
		return nil
	}
	err := req.ContinueReadBody(br, limits.BodyBytes)
	var ne net.Error
	switch {
	case err == nil:
		x.Body = append([]byte(nil), req.Body()...)
		return nil
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &RequestError{Status: fasthttp.StatusRequestEntityTooLarge, Reason: "body is too large"}
	case errors.As(err, &ne) && ne.Timeout():
		return &RequestError{Status: fasthttp.StatusRequestTimeout, Reason: "body is too slow"}
	case errors.As(err, &ne):
		return &RequestError{Reason: err.Error()}
	}
	return bad("body: %v", err)
}

func chunked(h *fasthttp.RequestHeader) bool { return len(h.Peek("Transfer-Encoding")) > 0 }

// check refuses what two readers could understand in two ways.
func check(h *fasthttp.RequestHeader) *RequestError {
	if len(h.Host()) == 0 {
		return bad("no host")
	}
	if !bytes.Equal(h.Protocol(), []byte("HTTP/1.1")) {
		return &RequestError{Status: fasthttp.StatusHTTPVersionNotSupported, Reason: "not HTTP/1.1"}
	}
	uri := h.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return bad("target is not a path")
	}
	for _, b := range uri {
		if b <= ' ' || b == 0x7f {
			return bad("control byte in the target")
		}
	}
	return checkLines(h.RawHeaders())
}

func checkLines(raw []byte) *RequestError {
	lengths, codings, hosts := 0, 0, 0
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 {
			return bad("header line without a name")
		}
		for _, b := range name {
			if !tokenByte(b) {
				return bad("byte %#x in a header's name", b)
			}
		}
		value = bytes.TrimSpace(value)
		for _, b := range value {
			if (b < ' ' && b != '\t') || b == 0x7f {
				return bad("byte %#x in header %s", b, name)
			}
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if len(value) == 0 || len(bytes.Trim(value, "0123456789")) > 0 {
				return bad("length is not a number")
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(value), "chunked") {
				return bad("transfer encoding %q", value)
			}
		case "host":
			hosts++
		}
	}
	if lengths+codings > 1 || hosts > 1 {
		return bad("length or host is given twice")
	}
	return nil
}

func tokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
