// Package slope measures what one process costs as its surroundings grow:
// processor time, memory and control traffic.
package slope

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// ticksPerSecond is the unit of the processor times in /proc on Linux.
const ticksPerSecond = 100

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	rss int64 // bytes
}

func readUsage(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	// The name in parentheses may hold spaces; the fields after it don't.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	return usage{
		cpu: time.Duration(user+system) * time.Second / ticksPerSecond,
		rss: pages * int64(os.Getpagesize()),
	}, nil
}

// counter counts the bytes of the connections that a listener accepts.
type counter struct{ in, out atomic.Int64 }

func (c *counter) total() int64 { return c.in.Load() + c.out.Load() }

type countedListener struct {
	net.Listener
	count *counter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, count: l.count}, nil
}

type countedConn struct {
	net.Conn
	count *counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.out.Add(int64(n))
	return n, err
}
