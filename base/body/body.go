// Package body reads the bodies of HTTP responses and tells whether they may have been cut off.
package body

import (
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// lengthUnknown is the content length of a response that ends with its connection.
const lengthUnknown = -2

// Read returns the whole body of a response, whose field StreamBody was set before it was
// received. framed reports whether the response says where its body ends. Otherwise the body ends
// with its connection, also if the server has stopped before its end.
func Read(resp *fasthttp.Response) (b []byte, framed bool, err error) {
	framed = resp.Header.ContentLength() != lengthUnknown || resp.StatusCode() == fasthttp.StatusNoContent
	r := resp.BodyStream()
	if r == nil { // it is empty
		return nil, framed, nil
	}
	b, err = io.ReadAll(r)
	if err != nil {
		return nil, framed, fmt.Errorf("read body: %w", err)
	}
	return b, framed, nil
}
