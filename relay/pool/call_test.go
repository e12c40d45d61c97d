package pool_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/pool"
)

// receive returns the body that a call for attempt r1 reads from an endpoint that
// sends raw and then closes the connection.
func receive(raw string) (string, error) {
	client, server := net.Pipe()
	go func() {
		_, _ = io.WriteString(server, raw) // fails if the call has stopped reading
		_ = server.Close()
	}()
	defer func() { _ = client.Close() }()
	c := &pool.Call{Conn: &pool.Conn{Conn: client, Reader: bufio.NewReader(client)}}
	if err := c.Receive("r1", time.Now().Add(time.Minute)); err != nil {
		return "", err
	}
	body, err := c.ReadAll()
	return string(body), err
}

// TestAnswers checks that a call accepts only a complete response to its own
// attempt.
func TestAnswers(t *testing.T) {
	ok, other := site.ResponseHead("r1"), site.ResponseHead("r2")
	for name, tc := range map[string]struct {
		raw, body string
		accepted  bool
	}{
		"content length":                 {ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"chunks":                         {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		"chunks and trailer":             {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-A: b\r\n\r\n", "hello", true},
		"body until connection closes":   {ok + "\r\nhello", "hello", true},
		"empty body":                     {ok + "Content-Length: 0\r\n\r\n", "", true},
		"interim response first":         {"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"late response to another first": {other + "Content-Length: 3\r\n\r\nold" + ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"truncated header":               {ok[:20], "", false},
		"header alone":                   {ok + "\r\n", "", false},
		"no content":                     {strings.Replace(ok, "200", "204", 1) + "\r\n", "", true},
		"header of a refusal alone":      {strings.Replace(ok, "200", "503", 1) + "X-Not-Executed: 1\r\n\r\n", "", true},
		"interim response alone":         {"HTTP/1.1 100 Continue\r\n\r\n", "", false},
		"truncated after an interim one": {"HTTP/1.1 100 Continue\r\n\r\n" + ok, "", false},
		"truncated body":                 {ok + "Content-Length: 5\r\n\r\nhel", "", false},
		"last chunk missing":             {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "", false},
		"end of trailer missing":         {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "", false},
		"malformed chunk size":           {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", "", false},
		"no attempt ID":                  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "", false},
		"only a response to another":     {other + "Content-Length: 5\r\n\r\nhello", "", false},
		"not HTTP":                       {"hello", "", false},
		"connection closed at once":      {"", "", false},
	} {
		body, err := receive(tc.raw)
		if (err == nil) != tc.accepted || (tc.accepted && body != tc.body) {
			t.Errorf("%s: unexpected body %q or error %v", name, body, err)
		}
	}
}

// TestTruncatedHeads guards against a response that counts as whole although its endpoint ended
// within its header.
func TestTruncatedHeads(t *testing.T) {
	for _, raw := range []string{
		site.ResponseHead("r1") + "Content-Length: 0\r\n\r\n",
		site.ResponseHead("r1") + "Transfer-Encoding: chunked\r\n\r\n",
		site.ResponseHead("r1") + "Connection: close\r\n\r\n",
		strings.ReplaceAll(site.ResponseHead("r1")+"Content-Length: 0\r\n\r\n", "\r", ""),
		"HTTP/1.1 100 Continue\r\n\r\n" + site.ResponseHead("r1") + "Content-Length: 0\r\n\r\n",
	} {
		for n := range len(raw) {
			if body, err := receive(raw[:n]); err == nil {
				t.Errorf("accepted body %q of %q", body, raw[:n])
			}
		}
	}
}

// FuzzAnswers checks for arbitrary bytes from an endpoint that the body of an
// accepted response was among them. It compares the first byte of the body.
func FuzzAnswers(f *testing.F) {
	f.Add(site.ResponseHead("r1") + "Content-Length: 5\r\n\r\nhello")
	f.Add(site.ResponseHead("r1") + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		body, err := receive(raw)
		if err == nil && !isSubsequence(body, raw) {
			t.Errorf("accepted body %q, which the endpoint didn't send: %q", body, raw)
		}
	})
}

// isSubsequence reports whether the bytes of s occur in t in the same order. The
// chunks of a body stand in a response with other bytes between them.
func isSubsequence(s, t string) bool {
	for i := range len(s) {
		n := strings.IndexByte(t, s[i])
		if n < 0 {
			return false
		}
		t = t[n+1:]
	}
	return true
}

// TestAnswersToHead guards against a whole response to a HEAD request that counts as truncated,
// as it has no body.
func TestAnswersToHead(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		client, server := net.Pipe()
		go func() {
			_, _ = bufio.NewReader(server).ReadString('\n')
			_, _ = io.WriteString(server, site.ResponseHead("r1")+framing+"\r\n")
			_ = server.Close()
		}()
		c := &pool.Call{Conn: &pool.Conn{Conn: client, Reader: bufio.NewReader(client)}}
		if _, err := c.Send([]byte("HEAD / HTTP/1.1\r\n"), nil, time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		if err := c.Receive("r1", time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		if body, err := c.ReadAll(); err != nil || len(body) > 0 {
			t.Errorf("%q: got %q, %v", framing, body, err)
		}
		_ = client.Close()
	}
}
