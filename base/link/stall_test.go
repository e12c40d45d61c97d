package link_test

import (
	"net"
	"testing"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/wire"
)

// stalledConn is a connection of which nothing is read before run is closed, as if the process
// didn't run.
type stalledConn struct {
	net.Conn
	run chan struct{}
}

func (c *stalledConn) Read(p []byte) (int, error) {
	<-c.run
	return c.Conn.Read(p)
}

// tcpPair returns the ends of a connection on loopback.
func tcpPair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return a, b
}

// TestMessagesDuringStall guards against a link that counts as silent, with all calls on it,
// because this process stood still until the time for the next message was over.
func TestMessagesDuringStall(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		a, b := tcpPair(t)
		run := make(chan struct{})
		near, err := link.NewClient(&stalledConn{Conn: a, run: run})
		if err != nil {
			t.Fatal(err)
		}
		far, err := link.NewServer(b)
		if err != nil {
			t.Fatal(err)
		}
		st, err := near.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		if err := st.Send(&wire.Ping{}); err != nil {
			t.Fatal(err)
		}
		other, err := far.AcceptStream()
		if err != nil {
			t.Fatal(err)
		}
		if arrives {
			go func() { _ = other.Send(&wire.Ping{Revision: 7}) }() // judged by what is received
		}
		time.AfterFunc(20*time.Millisecond, func() { close(run) })
		var got wire.Ping
		begun := time.Now()
		err = st.ReceiveWithin(&got, -time.Second)
		switch {
		case arrives && (err != nil || got.GetRevision() != 7):
			t.Errorf("got %v, %v, want the message that had arrived", &got, err)
		case !arrives && err == nil:
			t.Error("a message that nobody has sent")
		case time.Since(begun) > time.Second:
			t.Error("a silent link was awaited for over a second")
		}
		near.Close()
		far.Close()
	}
}
