package link_test

import (
	"net"
	"testing"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/wire"
)

// slowConn is a connection whose Close takes until release is closed.
type slowConn struct {
	net.Conn
	release chan struct{}
}

func (c *slowConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// TestReaderEndsBeforeItsSession guards against readers in a busy loop while their
// session shuts down. On a small instance such loops of a few links kept everything
// else from running for up to nine seconds: configurations were not applied, and
// requests were served by old ones.
func TestReaderEndsBeforeItsSession(t *testing.T) {
	tests := map[string]func(s *link.Session, peer net.Conn){
		"closed by this side":  func(s *link.Session, _ net.Conn) { s.Close() },
		"closed by other side": func(_ *link.Session, peer net.Conn) { _ = peer.Close() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := net.Pipe()
			slow := &slowConn{Conn: a, release: make(chan struct{})}
			defer close(slow.release)
			s, err := link.NewClient(slow)
			if err != nil {
				t.Fatal(err)
			}
			go func() { // the other side takes what is sent
				buf := make([]byte, 1024)
				for {
					if _, err := b.Read(buf); err != nil {
						return
					}
				}
			}()
			st, err := s.OpenStream()
			if err != nil {
				t.Fatal(err)
			}
			received := make(chan error, 1)
			go func() { received <- st.Receive(&wire.Ping{}) }()
			time.Sleep(20 * time.Millisecond) // most likely the reader waits by then; it must end in any case
			go end(s, b)
			select {
			case err := <-received:
				if err == nil {
					t.Error("a message was received, want an error")
				}
			case <-time.After(2 * time.Second):
				t.Fatal("the reader still runs while its session shuts down")
			}
			if err := st.ReceiveWithin(&wire.Ping{}, time.Minute); err == nil {
				t.Error("a message was received after the end, want an error")
			}
		})
	}
}

// TestArrivedMessagesOutliveTheirSession guards against results of stages that have
// arrived, but are dropped because the relay that sent them has stopped: their work
// would be done again.
func TestArrivedMessagesOutliveTheirSession(t *testing.T) {
	a, b := net.Pipe()
	client, err := link.NewClient(a)
	if err != nil {
		t.Fatal(err)
	}
	server, err := link.NewServer(b)
	if err != nil {
		t.Fatal(err)
	}
	out, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	in, err := server.AcceptStream()
	if err != nil {
		t.Fatal(err)
	}
	const messages = 5
	for range messages {
		if err := out.Send(&wire.Ping{Revision: 7}); err != nil {
			t.Fatal(err)
		}
	}
	client.Close()
	for i := range messages {
		var p wire.Ping
		if err := in.ReceiveWithin(&p, time.Second); err != nil || p.GetRevision() != 7 {
			t.Fatalf("message %d: got %v, %v", i, &p, err)
		}
	}
	if err := in.Receive(&wire.Ping{}); err == nil {
		t.Error("a message was received after the last one")
	}
}

// TestCloseEndsReceive guards against calls that outlive their time limit because the
// other side, a process that is paused for example, doesn't close the stream. Voiding a
// ticket within 80 ms took as long as the agent was paused.
func TestCloseEndsReceive(t *testing.T) {
	a, b := net.Pipe()
	client, err := link.NewClient(a)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := link.NewServer(b)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	st, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := server.AcceptStream(); err != nil {
		t.Fatal(err)
	}
	received := make(chan error, 1)
	go func() { received <- st.Receive(&wire.Ping{}) }()
	time.Sleep(20 * time.Millisecond) // most likely the reader waits by then; it must end in any case
	st.Close()
	select {
	case err := <-received:
		if err == nil {
			t.Error("a message was received, want an error")
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the reader still waits after the stream was closed")
	}
}
