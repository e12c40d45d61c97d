package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports are chosen below the ephemeral port range, so that the kernel can't assign
// one to a connection before a process listens on it.
const (
	firstPort = 10000
	lastPort  = 30000
	portStep  = 1009 // gives harness processes that run concurrently different first ports
)

var portCursor = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStep%(lastPort-firstPort)}

// portAllocator allocates free ports of the loopback address. The ports are unique
// within this process until the range wraps.
type portAllocator struct{ err error }

// next returns an address with a free port. It sets err and returns the empty
// string if there is none.
func (p *portAllocator) next() string {
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
	p.err = errors.New("no free port on the loopback address")
	return ""
}

// FreeAddrs returns n free addresses to listen on, each a port of the loopback
// address.
func FreeAddrs(n int) ([]string, error) {
	var p portAllocator
	out := make([]string, n)
	for i := range out {
		out[i] = p.next()
	}
	return out, p.err
}
