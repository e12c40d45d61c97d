package slope

import (
	"fmt"
	"io"
	"net"
)

// startCountingProxy starts a TCP proxy to addr that adds the bytes of its
// connections to c, and returns the proxy's address. It runs until the process
// ends.
func startCountingProxy(addr string, c *byteCounter) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for counting proxy: %w", err)
	}
	go func() {
		for {
			client, err := countingListener{Listener: ln, count: c}.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", addr)
			if err != nil {
				_ = client.Close()
				continue
			}
			go copyAndClose(client, server)
			go copyAndClose(server, client)
		}
	}()
	return ln.Addr().String(), nil
}

// copyAndClose copies one direction of a proxied connection and closes both ends
// when either side ends it.
func copyAndClose(dst, src net.Conn) {
	_, _ = io.Copy(dst, src) // an error means that one side closed the connection
	_ = dst.Close()
	_ = src.Close()
}
