package front

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	plat "wigeonplank.example/platform"
)

// Refuse answers with a status of the system's own. wait says when the caller
// may come back; 0: not said.
func (x *Exchange) Refuse(status int, wait time.Duration) {
	var h fasthttp.ResponseHeader
	plat.WriteRefusal(&h, plat.AttemptID(&x.Head), status, wait)
	body := []byte(fasthttp.StatusMessage(status) + "\n")
	x.Answer(&h, body)
}

// Answer writes a whole answer. A caller that has gone is no error.
func (x *Exchange) Answer(h *fasthttp.ResponseHeader, body []byte) {
	x.status = h.StatusCode()
	h.SetContentLength(len(body))
	x.out = x.head(x.out[:0], h)
	if !x.Head.IsHead() {
		x.out = append(x.out, body...)
	}
	x.begun = true
	x.answered = x.write(x.out) == nil
}

// Begin writes the head of a stream together with its first events.
func (x *Exchange) Begin(h *fasthttp.ResponseHeader, first []byte) error {
	x.status = h.StatusCode()
	h.SetContentLength(-1)
	x.out = x.head(x.out[:0], h)
	x.begun = true
	if len(first) > 0 {
		x.out = appendChunk(x.out, first)
	}
	return x.write(x.out)
}

// Send writes events of a stream that was begun.
func (x *Exchange) Send(events []byte) error {
	x.out = appendChunk(x.out[:0], events)
	return x.write(x.out)
}

// End closes a stream that is complete.
func (x *Exchange) End() {
	x.answered = x.write([]byte("0\r\n\r\n")) == nil
}

func (x *Exchange) head(dst []byte, h *fasthttp.ResponseHeader) []byte {
	if x.closing() {
		x.close = true
		h.SetConnectionClose()
	}
	h.SetNoDefaultContentType(true)
	return h.AppendBytes(dst)
}

func appendChunk(dst, body []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(body)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, body...)
	return append(dst, "\r\n"...)
}

func (x *Exchange) write(b []byte) error {
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	if _, err := x.conn.Write(b); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}
