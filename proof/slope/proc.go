// Package slope measures how the CPU time, memory and control traffic of one
// entry or agent grow with the number of agents, entries, teams, pipelines or
// requests.
package slope

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// ticksPerSecond is the number of clock ticks per second (USER_HZ) in which Linux
// reports CPU times in /proc.
const ticksPerSecond = 100

// usage is the resource usage of a process.
type usage struct {
	cpu time.Duration // user and system time since the process started
	rss int64         // resident memory, in bytes
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read /proc/%d/stat: %w", pid, err)
	}
	// The process name in parentheses may contain spaces; the fields after it
	// don't. The indices below count from the field after the name.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return usage{}, fmt.Errorf("read /proc/%d/stat: %w", pid, err)
	}
	return usage{
		cpu: time.Duration(user+system) * time.Second / ticksPerSecond,
		rss: pages * int64(os.Getpagesize()),
	}, nil
}

// byteCounter counts the bytes that are read from and written to connections.
type byteCounter struct{ in, out atomic.Int64 }

func (c *byteCounter) total() int64 { return c.in.Load() + c.out.Load() }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	count *byteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, count: l.count}, nil
}

type countingConn struct {
	net.Conn
	count *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.out.Add(int64(n))
	return n, err
}
