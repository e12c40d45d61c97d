package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports are taken below the range from which the system draws the local ports of
// connections, so that none is in use by the time a process listens on it.
const (
	firstPort = 10000
	lastPort  = 30000
	portStep  = 1009 // spreads harness processes that run at the same time
)

var portCursor = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStep%(lastPort-firstPort)}

// ports hands out free ports of the loopback address, each once in a process.
type ports struct{ err error }

func (p *ports) next() string {
	portCursor.Lock()
	defer portCursor.Unlock()
	for range lastPort - firstPort {
		portCursor.next++
		if portCursor.next >= lastPort {
			portCursor.next = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", portCursor.next)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return addr
	}
	p.err = errors.New("no free port")
	return ""
}

// FreeAddrs returns n addresses of the loopback to listen on.
func FreeAddrs(n int) ([]string, error) {
	var p ports
	out := make([]string, n)
	for i := range out {
		out[i] = p.next()
	}
	return out, p.err
}
