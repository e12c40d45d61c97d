package pool

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestSinceOfSecondDial guards against a connection that counts as leading to what was there
// before its dial: this process stood still during the first dial, the endpoint was replaced, and
// the second dial reached the new one.
func TestSinceOfSecondDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var begun time.Time // of the dial that made the connection
	p := &Pool{Dial: func(ctx context.Context, d *net.Dialer, addr string, timeout time.Duration) (net.Conn, error) {
		time.Sleep(timeout + 200*time.Millisecond) // the first dial, whose timeout is noticed late
		begun = time.Now()
		return d.DialContext(ctx, "tcp", addr)
	}}
	c, err := p.Get(context.Background(), KindRequest, "e", ln.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if since := p.Since(c); since.Before(begun) {
		t.Errorf("what responds counts as living since %v before the dial that reached it", begun.Sub(since))
	}
}
