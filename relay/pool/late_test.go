package pool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"wigeonplank.example/relay/pool"
)

// TestLateBytes guards against bytes of a process that has ended, read after another one was reached at its address,
// that count as proof that both are the same.
func TestLateBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	p := &pool.Pool{}
	dial := func() (*pool.Conn, net.Conn) {
		c, err := p.Get(context.Background(), pool.KindRequest, "e", ln.Addr().String(), true)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c, s
	}
	transfer := func(from, to net.Conn) {
		if _, err := from.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := to.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
	}
	former, server := dial()
	transfer(server, former)
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Millisecond) // the times of the dials differ
	next, _ := dial()
	if _, err := former.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if p.Since(next).Equal(p.Since(former)) {
		t.Error("bytes from before the dial count as sent after it")
	}
	for range 3 {
		transfer(server, former)
	}
	if !p.Since(next).Equal(p.Since(former)) {
		t.Error("bytes that were sent after the dial don't count")
	}
}
