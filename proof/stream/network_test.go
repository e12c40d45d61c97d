package stream

import (
	"net"
	"testing"
	"time"
)

// TestHeldLinkEnds guards against descriptors that run out, as relays that are cut off dial again
// and again.
func TestHeldLinkEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	var n network
	n.cut("relay-1", toStore)
	done := make(chan struct{})
	go func() {
		(&link{net: &n, side: toStore, from: "relay-1"}).forward(server, ln.Addr().String())
		close(done)
	}()
	select {
	case <-done:
		t.Fatal("not held")
	case <-time.After(5 * holdInterval):
	}
	_ = client.Close()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("held after its end")
	}
}
