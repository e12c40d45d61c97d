package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

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

// lateConn is a connection of which one write begins late, as if the process had not run since
// the deadline for it was set.
type lateConn struct {
	net.Conn
	writes, late int // late: number of the write, from 1
	atLate       func()
}

func (c *lateConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == c.late {
		time.Sleep(600 * time.Millisecond) // more than any write may take
		c.atLate()
	}
	return c.Conn.Write(p)
}

// TestSendsDuringStall guards against a link that fails, or a message that can't be sent, because
// this process stood still although the other side has taken everything.
func TestSendsDuringStall(t *testing.T) {
	const windows = 400 << 10 // bytes; more than a stream may send before the other side reads
	for name, tc := range map[string]struct {
		lateWrite int // on the connection of the session
		latePart  int // of the message on its stream
		reads     time.Duration
	}{
		"stream opened":      {reads: 600 * time.Millisecond},
		"write of a session": {lateWrite: 6},
		"window used up":     {latePart: 9},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := tcpPair(t)
			run := make(chan struct{})
			goOn := func() { time.AfterFunc(20*time.Millisecond, func() { close(run) }) }
			switch {
			case tc.reads > 0:
				time.AfterFunc(tc.reads, func() { close(run) })
			case tc.lateWrite > 0:
				close(run)
				goOn = func() {}
			}
			conn := &lateConn{Conn: &stalledConn{Conn: a, run: run}, late: tc.lateWrite, atLate: goOn}
			far, err := link.NewServer(b)
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			received := make(chan error, 1)
			go func() {
				st, err := far.AcceptStream()
				if err == nil {
					err = st.Receive(&wire.Control{})
				}
				if err == nil {
					err = st.Send(&wire.Ping{Revision: 7})
				}
				received <- err
			}()
			var st *link.Stream
			if tc.latePart > 0 {
				near, err := yamux.Client(conn, link.SessionConfig())
				if err != nil {
					t.Fatal(err)
				}
				c, err := near.Open()
				if err != nil {
					t.Fatal(err)
				}
				st = link.NewStream(&lateConn{Conn: c, late: tc.latePart, atLate: goOn})
			} else {
				near, err := link.NewClient(conn)
				if err != nil {
					t.Fatal(err)
				}
				if st, err = near.OpenStream(); err != nil {
					t.Fatal(err)
				}
			}
			size := windows
			if tc.reads > 0 {
				size = 1
			}
			if err := st.Send(&wire.Control{Kind: &wire.Control_Published{Published: &wire.Published{Document: make([]byte, size)}}}); err != nil {
				t.Fatalf("Send: %v", err)
			}
			if err := <-received; err != nil {
				t.Errorf("the other side: %v", err)
			}
			var got wire.Ping
			if err := st.Receive(&got); err != nil || got.GetRevision() != 7 {
				t.Errorf("got %v, %v", &got, err)
			}
		})
	}
}

// sizeConn records the largest write.
type sizeConn struct {
	net.Conn
	largest int
}

func (c *sizeConn) Write(p []byte) (int, error) {
	c.largest = max(c.largest, len(p))
	return c.Conn.Write(p)
}

// TestMessagesInParts guards against heartbeats that wait behind all that a stream may send.
func TestMessagesInParts(t *testing.T) {
	a, b := tcpPair(t)
	defer func() { _, _ = a.Close(), b.Close() }()
	c := &sizeConn{Conn: a}
	go func() { _, _ = io.Copy(io.Discard, b) }() // ends with b
	err := link.NewStream(c).Send(&wire.Control{Kind: &wire.Control_Published{Published: &wire.Published{Document: make([]byte, 400<<10)}}})
	if err != nil || c.largest > 32<<10 {
		t.Errorf("%v, a write of %d bytes; want at most 32 kB", err, c.largest)
	}
}
