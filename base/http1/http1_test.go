package http1_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/http1"
	"wigeonplank.example/base/http1/forms"
)

// TestForms guards against bytes that a client of a library takes for a response although they are
// none, and against sound responses that it refuses.
func TestForms(t *testing.T) {
	err := forms.Each(func(f forms.Form, addr string) {
		client := &fasthttp.HostClient{Addr: addr, DialTimeout: http1.Dial, MaxIdemponentCallAttempts: 1}
		status, body, err := client.GetTimeout(nil, "http://"+addr+"/", time.Minute)
		if (err == nil) != f.Whole || (f.Whole && (status != fasthttp.StatusOK || string(body) != "{}")) {
			t.Errorf("%s: got %d, %q, %v", f.Name, status, body, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestKeptConnection guards against a response that is taken for that of the next request on its
// connection, and against a response to HEAD whose absent body is waited for.
func TestKeptConnection(t *testing.T) {
	client, server := net.Pipe()
	c := http1.NewConn(client)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	exchange := func(method, raw string) (status int, body string, err error) {
		go func() {
			_, _ = bufio.NewReader(server).ReadString('\n')
			_, _ = io.WriteString(server, raw) // fails if the connection is closed
		}()
		if _, err := io.WriteString(c, method+" / HTTP/1.1\r\n"); err != nil {
			return 0, "", err
		}
		var resp fasthttp.Response
		resp.SkipBody = method == fasthttp.MethodHead
		err = resp.Read(br)
		return resp.StatusCode(), string(resp.Body()), err
	}
	for _, tc := range []struct{ method, raw, body string }{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", ""},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n", "cd"},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nefHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nef", "ef"},
	} {
		if status, body, err := exchange(tc.method, tc.raw); status != fasthttp.StatusOK || body != tc.body || err != nil {
			t.Fatalf("%s %q: got %d, %q, %v", tc.method, tc.raw, status, body, err)
		}
	}
	if _, body, err := exchange("GET", ""); err == nil {
		t.Errorf("a second copy was taken for the next response: %q", body)
	}
}

// TestHeadsInParts guards against a head that is refused or taken in part as it arrives byte by byte.
func TestHeadsInParts(t *testing.T) {
	const raw = "HTTP/1.1 206 \r\nX-A: b\r\nContent-Length: 7\r\n\r\nrest"
	h, err := http1.PeekHead(bufio.NewReader(iotest.OneByteReader(strings.NewReader(raw))))
	if want := (http1.Head{Size: len(raw) - len("rest"), Status: 206, Length: 7}); h != want || err != nil {
		t.Errorf("got %+v, %v", h, err)
	}
	long := "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 5000)
	if _, err := http1.PeekHead(bufio.NewReader(strings.NewReader(long))); err == nil {
		t.Error("a head larger than the buffer was accepted")
	}
}

// headGrammar is the grammar of a head in RFC 9112, sections 4 and 5, and RFC 9110, section 5.
var headGrammar = regexp.MustCompile("^HTTP/1\\.([01]) ([0-9]{3}) [\\t\\x20-\\x7e\\x80-\\xff]*\\r\\n" +
	"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r\\n)*\\r\\n")

// FuzzHeads compares the parser with the grammar as a regular expression, and with the parser of a
// library.
func FuzzHeads(f *testing.F) {
	list, err := forms.All()
	if err != nil {
		f.Fatal(err)
	}
	for _, form := range list {
		f.Add([]byte(form.Raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		size := max(16, len(raw)+1)
		h, err := http1.PeekHead(bufio.NewReaderSize(bytes.NewReader(raw), size))
		m := matchHead(raw)
		framed := bytes.Contains(bytes.ToLower(raw), []byte("content-length")) || bytes.Contains(bytes.ToLower(raw), []byte("transfer-encoding"))
		if err != nil {
			if m != nil && !framed && m[1] != fasthttp.StatusSwitchingProtocols {
				t.Errorf("refused %q: %v", raw, err)
			}
			return
		}
		if m == nil || m[0] != h.Size {
			t.Fatalf("accepted %d bytes, the grammar %v: %q", h.Size, m, raw)
		}
		var lib fasthttp.ResponseHeader
		if err := lib.Read(bufio.NewReaderSize(bytes.NewReader(raw), size)); err != nil {
			return // it may be stricter
		}
		if lib.StatusCode() != h.Status || (h.Length >= 0 && !h.IsInterim() && h.Status != 204 && h.Status != 304 && lib.ContentLength() != int(h.Length)) {
			t.Errorf("got %+v, the library status %d and length %d: %q", h, lib.StatusCode(), lib.ContentLength(), raw)
		}
	})
}

// matchHead returns the size and the status of the head at the beginning of raw, or nil.
func matchHead(raw []byte) []int {
	latin := make([]rune, len(raw)) // the expression is one of bytes
	for i, b := range raw {
		latin[i] = rune(b)
	}
	m := headGrammar.FindStringSubmatch(string(latin))
	if m == nil {
		return nil
	}
	status, _ := strconv.Atoi(m[2]) // three digits
	if status < 100 || status > 599 {
		return nil
	}
	return []int{len([]rune(m[0])), status}
}
