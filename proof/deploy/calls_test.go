package deploy_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
)

const (
	callLimit    = 30 * time.Second
	callDeadline = 20 * time.Second // of calls that name none
)

var statusLine = regexp.MustCompile(`HTTP/1\.1 (\d+)`)

// call is a request of a caller and, once done is closed, its answer.
type call struct {
	name   string
	uri    string
	body   string
	done   chan struct{}
	status int
	answer string
	signed bool
	err    error
}

// begin NAME RELAY PATH [key=K] [deadline=MS] [body=TEXT] [items=N,N] [last=N]
// [set=NAME:VALUE] [host=H]: start a call; its id is its name.
func beginCall(l *line) error {
	c := &call{name: l.word(0), uri: l.word(2), body: l.opts["body"], done: make(chan struct{})}
	l.s.calls[c.name] = c
	addr := l.relay(l.word(1)).Settings.HTTP.Listen
	call := site.Call{
		ID: c.name, Key: site.StandardKey, Deadline: callDeadline, Last: l.opts["last"], Items: l.opts["items"], ItemKey: "0a1b",
	}
	if v, ok := l.opts["key"]; ok {
		call.Key = v
	}
	if v := l.opts["deadline"]; v != "" {
		ms, err := strconv.Atoi(v)
		l.ts.Check(err)
		call.Deadline = time.Duration(ms) * time.Millisecond
	}
	if strings.HasPrefix(c.uri, "/review/") || strings.HasPrefix(c.uri, "/note/") {
		call.Prompt = []string{"ab12:60", "cd34:40"}
	}
	name, value, _ := strings.Cut(l.opts["set"], ":")
	host := site.StandardHost
	if v := l.opts["host"]; v != "" {
		host = v
	}
	go func() {
		defer close(c.done)
		c.make(addr, host, call, name, value)
	}()
	return nil
}

func (c *call) make(addr, host string, call site.Call, name, value string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + c.uri)
	req.UseHostHeader = true
	req.Header.SetHost(host)
	call.Fill(&req.Header)
	if name != "" {
		req.Header.Set(name, value)
	}
	if c.body != "" {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(c.body)
	}
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if c.err = client.DoTimeout(req, resp, callLimit); c.err != nil {
		return
	}
	c.status, c.answer, c.signed = resp.StatusCode(), string(resp.Body()), site.Signed(&resp.Header)
}

// end NAME STATUS|broken [answer=whole|events] [from=N]: wait for the answer of
// a call and check it.
func endCall(l *line) error {
	c := l.s.calls[l.word(0)]
	if c == nil {
		return fmt.Errorf("no call %q", l.word(0))
	}
	<-c.done
	if l.word(1) == "broken" {
		if c.err == nil {
			return fmt.Errorf("got a whole answer: %d %q", c.status, c.answer)
		}
		return nil
	}
	if c.err != nil {
		return c.err
	}
	if c.status != l.number(1) {
		return fmt.Errorf("status %d, answer %q", c.status, c.answer)
	}
	var want string
	switch l.opts["answer"] {
	case "whole":
		want = site.Body(c.uri, c.body)
	case "events":
		from := 0
		if v := l.opts["from"]; v != "" {
			_, err := fmt.Sscan(v, &from)
			l.ts.Check(err)
		}
		want = site.Events(c.uri, from, l.server("g1").Events)
	default:
		return nil
	}
	if c.answer != want || !c.signed {
		return fmt.Errorf("signed %v, answer %q, want %q", c.signed, c.answer, want)
	}
	return nil
}

// call NAME RELAY PATH STATUS...: begin and end.
func makeCall(l *line) error {
	if err := beginCall(l); err != nil {
		return err
	}
	l.words = []string{l.word(0), l.word(3)}
	return endCall(l)
}

// raw RELAY FILE STATUS...: send a file's bytes, with \r\n at the ends of lines,
// and check the statuses of all answers until the connection closes. "closed"
// expects the end of the connection after them; otherwise it has to stay open.
func sendRaw(l *line) error {
	c, err := net.Dial("tcp", l.relay(l.word(0)).Settings.HTTP.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	text := strings.ReplaceAll(l.ts.ReadFile(l.word(1)), "\n", "\r\n")
	if _, err := c.Write([]byte(text)); err != nil {
		return err
	}
	var got bytes.Buffer
	closed := false
	want := l.words[2:]
	if want[len(want)-1] == "closed" {
		closed, want = true, want[:len(want)-1]
	}
	buf := make([]byte, 4096)
	for closed || strings.Count(got.String(), "HTTP/1.1 ") < len(want) {
		l.ts.Check(c.SetReadDeadline(time.Now().Add(awaitLimit)))
		n, err := c.Read(buf)
		got.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("after %q: %w", got.String(), err)
		}
	}
	var statuses []string
	for _, m := range statusLine.FindAllStringSubmatch(got.String(), -1) {
		statuses = append(statuses, m[1])
	}
	if strings.Join(statuses, " ") != strings.Join(want, " ") {
		return fmt.Errorf("answers %v: %q", statuses, got.String())
	}
	return nil
}

// trace ID TEXT...: the trace of a request over all logs has to hold the texts.
func trace(l *line) error {
	args := make([]string, 0, 2+len(l.s.d.Relays))
	args = append(args, "trace", l.word(0))
	for _, r := range l.s.d.Relays {
		args = append(args, r.Log)
	}
	var out []byte
	return await(fmt.Sprint("a trace with ", l.words[1:], "; last: "), func() bool {
		var err error
		out, err = exec.Command(filepath.Join(binDir, "wpctl"), args...).CombinedOutput()
		if err != nil {
			l.ts.Logf("trace: %v: %s", err, out)
			return false
		}
		rows := strings.Split(strings.TrimSpace(string(out)), "\n")
		last := rows[len(rows)-1]
		for _, w := range l.words[1:] {
			if !strings.Contains(last, w) {
				l.ts.Logf("last line of the trace: %s", last)
				return false
			}
		}
		return true
	})
}
