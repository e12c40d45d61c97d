package slope

import (
	"fmt"
	"io"
	"net"
)

// countingRelay passes connections on to addr and counts their bytes.
func countingRelay(addr string, c *counter) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("open relay: %w", err)
	}
	go func() {
		for {
			a, err := countedListener{Listener: ln, count: c}.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", addr)
			if err != nil {
				_ = a.Close()
				continue
			}
			go pass(a, b)
			go pass(b, a)
		}
	}()
	return ln.Addr().String(), nil
}

func pass(to, from net.Conn) {
	_, _ = io.Copy(to, from) // either side may end it
	_ = to.Close()
	_ = from.Close()
}
