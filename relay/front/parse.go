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

	"wigeonplank.example/base/body"
	"wigeonplank.example/base/http1"
	"wigeonplank.example/core/fleet"
)

// RequestError is the reason why a request can't be read. Status is the status
// code of the response, or 0 if the connection has failed and none can be sent.
type RequestError struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // 0: none is sent to the caller
}

// Error returns the status and the reason.
func (e *RequestError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

func badRequest(format string, args ...any) *RequestError {
	return &RequestError{Status: fasthttp.StatusBadRequest, Reason: fmt.Sprintf(format, args...)}
}

var errStopping = &RequestError{Status: fasthttp.StatusServiceUnavailable, Reason: "stopping: the request has not arrived in time"}

var errHeadTooLarge = &RequestError{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: "header is too large"}

// headBytes returns the size of a request's head, apart from the empty line at its end.
func headBytes(h *fasthttp.RequestHeader) int {
	return len(h.Method()) + len(h.RequestURI()) + len(h.Protocol()) + len("  \r\n") + len(h.RawHeaders())
}

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readRequest reads the header and the whole body of a request.
func (x *Exchange) readRequest(c net.Conn, br *bufio.Reader, limits fleet.Limits) *RequestError {
	if err := x.Header.Read(br); err != nil {
		return headerError(err)
	}
	if headBytes(&x.Header) > limits.HeaderBytes {
		return errHeadTooLarge // the buffer of the connection is as large as the limit once was
	}
	if e := validateHeader(&x.Header); e != nil {
		return e
	}
	if x.Header.ContentLength() > limits.BodyBytes {
		return &RequestError{Status: fasthttp.StatusRequestEntityTooLarge, Reason: "body is too large"}
	}
	if !x.reserveBody(x.Header.ContentLength()) {
		return errNoRoomForBody
	}
	x.server.limitRead(c, bodyTimeout)
	if strings.EqualFold(string(x.Header.Peek("Expect")), "100-continue") {
		if _, err := c.Write(continueLine); err != nil {
			return &RequestError{Reason: err.Error()}
		}
	}
	return x.readBody(br, limits)
}

// headerError converts an error from reading a header.
func headerError(err error) *RequestError {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.As(err, &small):
		return errHeadTooLarge
	case errors.As(err, &ne) && ne.Timeout():
		return &RequestError{Status: fasthttp.StatusRequestTimeout, Reason: "header is too slow"}
	case errors.As(err, &ne):
		return &RequestError{Reason: err.Error()}
	}
	return badRequest("%v", err)
}

// readBody reads the body into x.Body.
func (x *Exchange) readBody(br *bufio.Reader, limits fleet.Limits) *RequestError {
	var req fasthttp.Request
	x.Header.CopyTo(&req.Header)
	// With these values, fasthttp reads the whole raw body, whatever the request's
	// own content type and method; it would parse a multipart form, for example.
	req.Header.SetContentType("application/octet-stream")
	req.Header.SetMethod(fasthttp.MethodPost)
	if n := x.Header.ContentLength(); n == 0 || (n < 0 && !isChunked(&x.Header)) {
		return nil
	}
	var err error
	if isChunked(&x.Header) {
		x.Body, err = x.collectChunks(&req, br, limits.BodyBytes)
	} else if err = req.ContinueReadBody(br, limits.BodyBytes); err == nil {
		x.Body = req.SwapBody(nil)
	}
	var ne net.Error
	var large *body.TooLargeError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNoRoomForBody):
		return errNoRoomForBody
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &large):
		return &RequestError{Status: fasthttp.StatusRequestEntityTooLarge, Reason: "body is too large"}
	case errors.As(err, &ne) && ne.Timeout():
		return &RequestError{Status: fasthttp.StatusRequestTimeout, Reason: "body is too slow"}
	case errors.As(err, &ne):
		return &RequestError{Reason: err.Error()}
	}
	return badRequest("body: %v", err)
}

// collectChunks reads a body in chunks, of at most limit bytes, for which it reserves memory as
// they arrive.
func (x *Exchange) collectChunks(req *fasthttp.Request, br *bufio.Reader, limit int) ([]byte, error) {
	if err := req.ContinueReadBodyStream(br, limit, false); err != nil {
		return nil, err
	}
	defer func() { _ = req.CloseBodyStream() }() // what is left unread ends the connection
	size := 0
	return body.Collect(req.BodyStream(), limit, func(n int) error {
		if size += n; !x.reserveBody(size) {
			return errNoRoomForBody
		}
		return nil
	})
}

// isChunked reports whether the body uses the chunked transfer coding, the only
// one that validateHeader accepts.
func isChunked(h *fasthttp.RequestHeader) bool { return len(h.Peek("Transfer-Encoding")) > 0 }

// validateHeader rejects headers that two HTTP implementations could interpret
// differently, because such requests can be used for request smuggling.
func validateHeader(h *fasthttp.RequestHeader) *RequestError {
	if len(h.Host()) == 0 {
		return badRequest("no host")
	}
	if !bytes.Equal(h.Protocol(), []byte("HTTP/1.1")) {
		return &RequestError{Status: fasthttp.StatusHTTPVersionNotSupported, Reason: "not HTTP/1.1"}
	}
	uri := h.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return badRequest("target is not a path")
	}
	for _, b := range uri {
		if b <= ' ' || b == 0x7f {
			return badRequest("control byte in the target")
		}
	}
	return validateHeaderLines(h.RawHeaders())
}

// validateHeaderLines checks the names and values of raw header lines. It accepts
// at most one Host and at most one of Content-Length and Transfer-Encoding.
func validateHeaderLines(raw []byte) *RequestError {
	lengths, codings, hosts := 0, 0, 0
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		name, value, err := http1.ParseField(line)
		if err != nil {
			return badRequest("%v", err)
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if len(value) == 0 || len(bytes.Trim(value, "0123456789")) > 0 {
				return badRequest("length is not a number")
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(value), "chunked") {
				return badRequest("transfer encoding %q", value)
			}
		case "host":
			hosts++
		}
	}
	if lengths+codings > 1 || hosts > 1 {
		return badRequest("length or host is given twice")
	}
	return nil
}
