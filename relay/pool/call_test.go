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

// answer has a call read what an endpoint sends before it closes.
func answer(raw string) (string, error) {
	ours, theirs := net.Pipe()
	go func() {
		_, _ = io.WriteString(theirs, raw) // the reader may have given up
		_ = theirs.Close()
	}()
	defer func() { _ = ours.Close() }()
	c := &pool.Call{Conn: &pool.Conn{Conn: ours, R: bufio.NewReader(ours)}}
	if err := c.Receive("r1", time.Now().Add(time.Minute)); err != nil {
		return "", err
	}
	body, err := c.ReadAll()
	return string(body), err
}

// TestAnswers: only a whole answer to the attempt counts.
func TestAnswers(t *testing.T) {
	ok, other := site.AnswerHead("r1"), site.AnswerHead("r2")
	for name, c := range map[string]struct {
		raw, body string
		whole     bool
	}{
		"length":             {ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"chunks":             {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		"chunks and trailer": {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-A: b\r\n\r\n", "hello", true},
		"until the end":      {ok + "\r\nhello", "hello", true},
		"empty":              {ok + "Content-Length: 0\r\n\r\n", "", true},
		"interim answer":     {"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"late answer before": {other + "Content-Length: 3\r\n\r\nold" + ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"cut head":           {ok[:20], "", false},
		"cut length":         {ok + "Content-Length: 5\r\n\r\nhel", "", false},
		"cut chunks":         {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "", false},
		"cut last chunk":     {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "", false},
		"wrong chunk":        {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", "", false},
		"no id":              {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "", false},
		"of another":         {other + "Content-Length: 5\r\n\r\nhello", "", false},
		"no answer":          {"hello", "", false},
		"nothing":            {"", "", false},
	} {
		body, err := answer(c.raw)
		if (err == nil) != c.whole || (c.whole && body != c.body) {
			t.Errorf("%s: %q, %v", name, body, err)
		}
	}
}

// FuzzAnswers: whatever an endpoint sends, an answer counts as whole only if its
// bytes are there.
func FuzzAnswers(f *testing.F) {
	f.Add(site.AnswerHead("r1") + "Content-Length: 5\r\n\r\nhello")
	f.Add(site.AnswerHead("r1") + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		body, err := answer(raw)
		if err == nil && body != "" && !strings.Contains(raw, body[:1]) {
			t.Errorf("%q from %q", body, raw)
		}
	})
}
