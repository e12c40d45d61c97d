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

	"wigeonplank.example/base/http1"
	"wigeonplank.example/fakes/site"
)

const (
	callTimeout     = 30 * time.Second
	defaultDeadline = 20 * time.Second // for calls without the option deadline
)

var statusLine = regexp.MustCompile(`HTTP/1\.1 (\d+)`)

// call is a request of a caller and its response. The response may be read once
// done is closed.
type call struct {
	name         string
	uri          string
	requestBody  string
	split        time.Duration    // between the halves of the request body; 0: sent at once
	client       *fasthttp.Client // that keeps its connection; nil: a new one
	done         chan struct{}
	took         time.Duration
	status       int
	responseBody string
	signed       bool
	err          error
}

// startCall implements the command
//
//	begin NAME RELAY PATH [key=K] [deadline=MS] [body=TEXT] [split=DURATION] [kept=yes] [items=N,N] [last=N] [data=KEY] [set=NAME:VALUE] [host=H]
//
// It sends a request and doesn't wait for the response. The attempt ID of the
// request is NAME. The option set adds a header. With split, the second half of the body
// is sent that much later. With kept, the request uses the connection of the last such
// request to the relay.
func startCall(cmd *command) error {
	c := &call{name: cmd.arg(0), uri: cmd.arg(2), requestBody: cmd.opts["body"], done: make(chan struct{})}
	cmd.state.calls[c.name] = c
	addr := cmd.relay(cmd.arg(1)).Settings.HTTP.Listen
	fields := site.Call{
		AttemptID: c.name, APIKey: site.StandardKey, Deadline: defaultDeadline, LastEventID: cmd.opts["last"], ItemCounts: cmd.opts["items"], ItemKey: "0a1b",
	}
	if v, ok := cmd.opts["key"]; ok {
		fields.APIKey = v
	}
	if v, ok := cmd.opts["data"]; ok {
		fields.ItemKey = v
	}
	if v := cmd.opts["deadline"]; v != "" {
		ms, err := strconv.Atoi(v)
		cmd.ts.Check(err)
		fields.Deadline = time.Duration(ms) * time.Millisecond
	}
	if v := cmd.opts["split"]; v != "" {
		var err error
		c.split, err = time.ParseDuration(v)
		cmd.ts.Check(err)
	}
	if cmd.opts["kept"] != "" {
		c.client = &cmd.state.kept
	}
	if strings.HasPrefix(c.uri, "/review/") || strings.HasPrefix(c.uri, "/note/") {
		fields.PromptParts = []string{"ab12:60", "cd34:40"}
	}
	name, value, _ := strings.Cut(cmd.opts["set"], ":")
	host := site.StandardHost
	if v := cmd.opts["host"]; v != "" {
		host = v
	}
	go func() {
		defer close(c.done)
		start := time.Now()
		c.send(addr, host, fields, name, value)
		c.took = time.Since(start)
	}()
	return nil
}

// send sends the request and records the response. A header of the given name, if
// any, replaces that of the fields.
func (c *call) send(addr, host string, fields site.Call, name, value string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + c.uri)
	req.UseHostHeader = true
	req.Header.SetHost(host)
	fields.SetHeaders(&req.Header)
	if name != "" {
		req.Header.Set(name, value)
	}
	if c.requestBody != "" {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(c.requestBody)
	}
	if n := len(c.requestBody) / 2; c.split > 0 {
		rest := &lateReader{r: strings.NewReader(c.requestBody[n:]), wait: c.split}
		req.SetBodyStream(io.MultiReader(strings.NewReader(c.requestBody[:n]), rest), -1)
	}
	client := c.client
	if client == nil {
		client = &fasthttp.Client{DialTimeout: http1.Dial, MaxIdemponentCallAttempts: 1}
	}
	if c.err = client.DoTimeout(req, resp, callTimeout); c.err != nil {
		return
	}
	c.status, c.responseBody, c.signed = resp.StatusCode(), string(resp.Body()), site.Signed(&resp.Header)
}

// lateReader waits before its first read.
type lateReader struct {
	r    io.Reader
	wait time.Duration
}

func (r *lateReader) Read(p []byte) (int, error) {
	time.Sleep(r.wait)
	r.wait = 0
	return r.r.Read(p)
}

// finishCall implements the command
//
//	end NAME STATUS|broken [answer=whole|events] [from=N]
//
// It waits for the response of a call and checks it. "broken" expects that the call
// fails without a complete response. The option answer expects a
// signed response with the complete body of an endpoint (whole) or the complete
// stream of engines of one software version, beginning with event N (events).
func finishCall(cmd *command) error {
	c := cmd.state.calls[cmd.arg(0)]
	if c == nil {
		return fmt.Errorf("no call %q", cmd.arg(0))
	}
	<-c.done
	if cmd.arg(1) == "broken" {
		if c.err == nil {
			return fmt.Errorf("want a broken response, got a complete one: status %d, body %q", c.status, c.responseBody)
		}
		return nil
	}
	if c.err != nil {
		return c.err
	}
	if c.status != cmd.intArg(1) {
		return fmt.Errorf("got status %d, body %q", c.status, c.responseBody)
	}
	switch cmd.opts["answer"] {
	case "whole":
		if want := site.ResponseBody(c.uri, c.requestBody); c.responseBody != want || !c.signed {
			return fmt.Errorf("signed: %v, body %q, want a signed response with %q", c.signed, c.responseBody, want)
		}
	case "events":
		from := 0
		if v := cmd.opts["from"]; v != "" {
			_, err := fmt.Sscan(v, &from)
			cmd.ts.Check(err)
		}
		if _, ok := site.StreamVersion(c.responseBody, c.uri, from, cmd.endpoint("g1").EventCount); !ok || !c.signed {
			return fmt.Errorf("signed: %v, body %q, want a signed response with all events from %d on, of one version", c.signed, c.responseBody, from)
		}
	}
	return nil
}

// checkSettled implements the command
//
//	settled WITHIN NAME...
//
// It waits for the responses of calls, each of which has to be a whole answer or a
// refusal, and has to come within a time (a duration) of the request.
func checkSettled(cmd *command) error {
	within, err := time.ParseDuration(cmd.arg(0))
	cmd.ts.Check(err)
	for _, name := range cmd.args[1:] {
		c := cmd.state.calls[name]
		if c == nil {
			return fmt.Errorf("no call %q", name)
		}
		<-c.done
		_, events := site.StreamVersion(c.responseBody, c.uri, 0, cmd.endpoint("g1").EventCount)
		whole := c.status == fasthttp.StatusOK && c.signed && (events || c.responseBody == site.ResponseBody(c.uri, c.requestBody))
		refused := c.status == fasthttp.StatusServiceUnavailable && !c.signed
		if c.err != nil || c.took > within || (!whole && !refused) {
			return fmt.Errorf("%s: %w, status %d after %v, body %q", name, errors.Join(c.err, errUnsettled), c.status, c.took, c.responseBody)
		}
		cmd.ts.Logf("%s: status %d after %v", name, c.status, c.took)
	}
	return nil
}

var errUnsettled = errors.New("neither a whole answer nor a refusal in time")

// makeCall implements the command
//
//	call NAME RELAY PATH STATUS [OPTION...]
//
// It does what begin and end do, with the options of both.
func makeCall(cmd *command) error {
	if err := startCall(cmd); err != nil {
		return err
	}
	cmd.args = []string{cmd.arg(0), cmd.arg(3)}
	return finishCall(cmd)
}

// makeLoad implements the command
//
//	load NAME COUNT GAP PATH RELAY... [else=STATUS] [OPTION...]
//
// It sends COUNT requests, one every GAP (a duration), to the relays in turn, and
// waits for their responses. Each must have the status 200 or STATUS.
// Requests are named NAME-0, NAME-1 and so on. The other options are
// those of begin.
func makeLoad(cmd *command) error {
	gap, err := time.ParseDuration(cmd.arg(2))
	cmd.ts.Check(err)
	relays := cmd.args[4:]
	var calls []*call
	start := time.Now()
	for i := range cmd.intArg(1) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * gap)))
		one := *cmd
		one.args = []string{fmt.Sprintf("%s-%d", cmd.arg(0), i), relays[i%len(relays)], cmd.arg(3)}
		if err := startCall(&one); err != nil {
			return err
		}
		calls = append(calls, cmd.state.calls[one.args[0]])
	}
	other := cmd.opts["else"]
	for _, c := range calls {
		<-c.done
		if c.err != nil {
			return fmt.Errorf("%s: %w", c.name, c.err)
		}
		if c.status != fasthttp.StatusOK && strconv.Itoa(c.status) != other {
			return fmt.Errorf("%s: got status %d, body %q", c.name, c.status, c.responseBody)
		}
	}
	return nil
}

// sendRaw implements the command
//
//	raw RELAY FILE STATUS... [closed] [half=DURATION]
//
// It sends the bytes of a file, with \r\n as line ends, on one connection and checks
// the statuses of the responses. With "closed" it reads until the relay closes the
// connection; otherwise it stops after as many responses as there are statuses. With the
// option half it closes the sending side of the connection after DURATION.
func sendRaw(cmd *command) error {
	c, err := net.Dial("tcp", cmd.relay(cmd.arg(0)).Settings.HTTP.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	text := strings.ReplaceAll(cmd.ts.ReadFile(cmd.arg(1)), "\n", "\r\n")
	if _, err := c.Write([]byte(text)); err != nil {
		return err
	}
	if v := cmd.opts["half"]; v != "" {
		d, err := time.ParseDuration(v)
		cmd.ts.Check(err)
		time.Sleep(d)
		cmd.ts.Check(c.(*net.TCPConn).CloseWrite())
	}
	var got bytes.Buffer
	closed := false
	want := cmd.args[2:]
	if want[len(want)-1] == "closed" {
		closed, want = true, want[:len(want)-1]
	}
	buf := make([]byte, 4096)
	for closed || strings.Count(got.String(), "HTTP/1.1 ") < len(want) {
		cmd.ts.Check(c.SetReadDeadline(time.Now().Add(awaitTimeout)))
		n, err := c.Read(buf)
		got.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read response after %q: %w", got.String(), err)
		}
	}
	var statuses []string
	for _, m := range statusLine.FindAllStringSubmatch(got.String(), -1) {
		statuses = append(statuses, m[1])
	}
	if strings.Join(statuses, " ") != strings.Join(want, " ") {
		return fmt.Errorf("got statuses %v: %q", statuses, got.String())
	}
	return nil
}

// checkTrace implements the command
//
//	trace ID TEXT...
//
// It waits until the last line of the request's trace, made by wpctl from the logs of
// all relays, contains the texts.
func checkTrace(cmd *command) error {
	args := make([]string, 0, 2+len(cmd.state.dep.Relays))
	args = append(args, "trace", cmd.arg(0))
	for _, r := range cmd.state.dep.Relays {
		args = append(args, r.LogFile)
	}
	var out []byte
	return await(fmt.Sprintf("trace of %s with %q", cmd.arg(0), cmd.args[1:]), func() bool {
		var err error
		out, err = exec.Command(filepath.Join(binDir, "wpctl"), args...).CombinedOutput()
		if err != nil {
			cmd.ts.Logf("wpctl trace: %v: %s", err, out)
			return false
		}
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		last := lines[len(lines)-1]
		for _, text := range cmd.args[1:] {
			if !strings.Contains(last, text) {
				cmd.ts.Logf("last line of the trace: %s", last)
				return false
			}
		}
		return true
	})
}
