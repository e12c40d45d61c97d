package front

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	plat "wigeonplank.example/platform"
)

// Reject responds with a status of the relay's own. retryAfter tells the caller
// when it may retry; if it is 0, the response has no such header.
func (x *Exchange) Reject(status int, retryAfter time.Duration) {
	var h fasthttp.ResponseHeader
	plat.WriteErrorHeaders(&h, plat.AttemptID(&x.Header), status, retryAfter)
	body := []byte(fasthttp.StatusMessage(status) + "\n")
	x.Respond(&h, body)
}

// Respond writes a whole response. It returns no error if the write fails, as
// the caller has then disconnected; the connection is closed after Handle. If a response
// has started, Respond writes nothing, and the caller sees that it is incomplete.
func (x *Exchange) Respond(h *fasthttp.ResponseHeader, body []byte) {
	if x.started {
		x.close = true
		return
	}
	x.status = h.StatusCode()
	h.SetContentLength(len(body))
	x.out = x.appendHeader(x.out[:0], h)
	if !x.Header.IsHead() {
		x.out = append(x.out, body...)
	}
	x.started = true
	x.complete = x.write(x.out) == nil
}

// BeginStream writes the header of a chunked response and its first events, which
// may be empty.
func (x *Exchange) BeginStream(h *fasthttp.ResponseHeader, first []byte) error {
	x.status = h.StatusCode()
	h.SetContentLength(-1)
	x.out = x.appendHeader(x.out[:0], h)
	x.started = true
	if len(first) > 0 {
		x.out = appendChunk(x.out, first)
	}
	return x.write(x.out)
}

// SendEvents writes further events of a stream that BeginStream has started.
// events must not be empty, as an empty chunk ends the response.
func (x *Exchange) SendEvents(events []byte) error {
	x.out = appendChunk(x.out[:0], events)
	return x.write(x.out)
}

// EndStream ends a stream by writing the last, empty chunk. Without it, the
// connection is closed after Handle, and the caller sees an incomplete response.
func (x *Exchange) EndStream() {
	x.complete = x.write([]byte("0\r\n\r\n")) == nil
}

// appendHeader appends the response header h to dst. It adds "Connection: close"
// if the connection is closed after this response.
func (x *Exchange) appendHeader(dst []byte, h *fasthttp.ResponseHeader) []byte {
	if x.shouldClose() {
		x.close = true
		h.SetConnectionClose()
	}
	h.SetNoDefaultContentType(true)
	return h.AppendBytes(dst)
}

// appendChunk appends body to dst as one chunk of the chunked transfer coding.
func appendChunk(dst, body []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(body)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, body...)
	return append(dst, "\r\n"...)
}

func (x *Exchange) write(b []byte) error {
	_ = x.conn.SetWriteDeadline(x.writeDeadline(time.Now())) // fails only on a closed connection
	if _, err := x.conn.Write(b); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// writeDeadline returns until when a write that begins now may wait for the caller.
func (x *Exchange) writeDeadline(now time.Time) time.Time {
	end := now.Add(writeTimeout)
	if x.StreamUntil.IsZero() {
		return end
	}
	until := x.StreamUntil
	if late := now.Add(lateWriteTimeout); until.Before(late) {
		until = late
	}
	if until.Before(end) {
		return until
	}
	return end
}
