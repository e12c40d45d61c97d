package deploy_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
)

// keptConn is an open connection of a caller to a relay.
type keptConn struct {
	net.Conn
	br *bufio.Reader
}

// write sends a request with the given attempt ID.
func (c *keptConn) write(id, uri string) error {
	_, err := c.Write(site.Call{AttemptID: id, APIKey: site.StandardKey, Deadline: defaultDeadline}.AppendHead(nil, uri))
	return err
}

// read returns the status of the next response, once it has arrived whole.
func (c *keptConn) read() (int, error) {
	var resp fasthttp.Response
	err := errors.Join(c.SetReadDeadline(time.Now().Add(callTimeout)), resp.Read(c.br))
	return resp.StatusCode(), err
}

// keepConns implements the command
//
//	keep NAME RELAY COUNT
//
// It opens COUNT connections and gets a response on each, of the relay itself. They stay
// open under NAME.
func keepConns(cmd *command) error {
	conns, errs := make([]*keptConn, cmd.intArg(2)), make([]error, cmd.intArg(2))
	addr := cmd.relay(cmd.arg(1)).Settings.HTTP.Listen
	var wg sync.WaitGroup
	for i := range conns {
		wg.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				errs[i] = err
				return
			}
			conns[i] = &keptConn{Conn: c, br: bufio.NewReader(c)}
			if errs[i] = conns[i].write("kept", "/nowhere/"); errs[i] == nil {
				_, errs[i] = conns[i].read()
			}
		})
	}
	wg.Wait()
	cmd.state.conns[cmd.arg(0)] = conns
	cmd.ts.Defer(func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close() // the script is over
			}
		}
	})
	return errors.Join(errs...)
}

// sendOnConns implements the command
//
//	send NAME PATH
//
// It sends a request on each of the connections that were opened under NAME.
func sendOnConns(cmd *command) error {
	conns := cmd.state.conns[cmd.arg(0)]
	errs := make([]error, len(conns))
	for i, c := range conns {
		errs[i] = c.write(fmt.Sprintf("%s-%d", cmd.arg(0), i), cmd.arg(1))
	}
	return errors.Join(errs...)
}

// checkAnswers implements the command
//
//	answers NAME STATUS
//
// It checks that a whole response with the status or 503 arrives on each of the connections that
// were opened under NAME.
func checkAnswers(cmd *command) error {
	lost, want := 0, cmd.intArg(1)
	conns := cmd.state.conns[cmd.arg(0)]
	var last error
	for _, c := range conns {
		status, err := c.read()
		if err == nil && status != want && status != fasthttp.StatusServiceUnavailable {
			err = fmt.Errorf("got status %d", status)
		}
		if err != nil {
			lost, last = lost+1, err
		}
	}
	if len(conns) == 0 || lost > 0 {
		return fmt.Errorf("%d of %d without a response, the last: %w", lost, len(conns), last)
	}
	return nil
}
