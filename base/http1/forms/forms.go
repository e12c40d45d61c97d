// Package forms holds responses, well-formed and not, against which all readers of responses are
// tested.
package forms

import (
	"bufio"
	_ "embed"
	"fmt"
	"io"
	"net"
	"strings"
)

//go:embed responses.txt
var responses string

// Form is a response that a server may send.
type Form struct {
	Name  string
	Raw   string // bytes after which the connection ends
	Whole bool   // it is a whole response
}

// All returns the responses of the list.
func All() ([]Form, error) {
	var out []Form
	for line := range strings.Lines(responses) {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		var f Form
		var verdict string
		if _, err := fmt.Sscanf(line, "%s %q %q", &verdict, &f.Name, &f.Raw); err != nil {
			return nil, fmt.Errorf("parse %q: %w", line, err)
		}
		f.Whole = verdict == "whole"
		out = append(out, f)
	}
	return out, nil
}

// Each serves each response of the list in turn on loopback, and calls check with the address. A
// connection carries one request.
func Each(check func(f Form, addr string)) error {
	list, err := All()
	if err != nil {
		return err
	}
	for _, f := range list {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go answer(conn, f.Raw)
			}
		}()
		check(f, ln.Addr().String())
		_ = ln.Close() // nothing depends on it
	}
	return nil
}

// answer reads the head of a request, writes raw and closes the connection.
func answer(conn net.Conn, raw string) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			_, _ = io.WriteString(conn, raw) // fails if the client has stopped reading
			return
		}
	}
}
