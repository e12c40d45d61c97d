package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodyBytes = 4_000_000 // of a request; the configuration allows 4,194,304
	memoryMb  = 284       // of a machine
	burst     = 2.6       // times the usual traffic
)

// playBodies lets many users come at once, with requests as large as the configuration
// allows. The platform kills a process that exceeds the memory of its machine.
func playBodies(s *site, trouble bool) error {
	if err := s.startServers(abay()); err != nil {
		return err
	}
	if err := s.startRelays(4, zones, memoryMb); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	for _, r := range s.relays {
		watch.Add(1)
		go func() {
			defer watch.Done()
			s.limitMemory(r, stop)
		}()
	}
	var cut atomic.Int64
	phase := func(d time.Duration, x float64) {
		s.logf("%.1f times the usual traffic", x)
		var wg sync.WaitGroup
		end := time.Now().Add(d)
		for _, rt := range s.config.Routes {
			for _, relay := range s.relays {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for time.Now().Before(end) {
						time.Sleep(time.Duration(rand.ExpFloat64() / (rt.perS / 4 * x) * float64(time.Second)))
						wg.Add(1)
						go func() {
							defer wg.Done()
							if s.sendKept(relay, rt) {
								cut.Add(1)
							}
						}()
					}
				}()
			}
		}
		wg.Wait()
	}
	phase(8*time.Second, 1)
	x := 1.0
	if trouble {
		x = burst
	}
	phase(6*time.Second, x)
	phase(4*time.Second, 1)
	close(stop)
	watch.Wait()
	if n := cut.Load(); n > 3 {
		s.breakf("LOST: %d requests from kept connections were passed on to sound servers, and their connections closed without an answer", n)
	}
	return nil
}

// sendKept sends a request of a route on a connection that has carried another one. It
// reports whether the request was run and its connection closed without an answer.
func (s *site) sendKept(r *relay, rt *route) bool {
	c := &client{site: s, relay: r}
	defer c.close()
	if _, o := c.send(s.config.route("job-lookup"), 0); !o.whole || c.conn == nil {
		return false
	}
	n := 0
	if rt.method == "POST" {
		n = bodyBytes
	}
	id, o := c.send(rt, n)
	cut := !o.whole && s.request(id).runs.Load() > 0
	if cut {
		s.logf("request %s was run, and its connection has ended without a whole answer: %s", id, o.reason)
	}
	return cut
}

// limitMemory kills the process of a relay once it uses more memory than its machine has,
// and starts it again.
func (s *site) limitMemory(r *relay, stop <-chan struct{}) {
	most, last := 0, time.Now()
	for {
		select {
		case <-stop:
			s.logf("relay %s used %d MB at most", r.name, most>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentBytes(r.cmd.Process.Pid)
		most = max(most, used)
		if time.Since(last) > time.Second {
			last = time.Now()
			s.logf("relay %s uses %d MB", r.name, used>>20)
		}
		if used <= memoryMb<<20 {
			continue
		}
		s.logf("relay %s uses %d MB, more than its machine's %d MB: it is killed", r.name, used>>20, memoryMb)
		_ = r.cmd.Process.Kill()
		<-r.done
		time.Sleep(300 * time.Millisecond)
		if err := s.start(r); err != nil {
			s.logf("relay %s: %v", r.name, err)
			return
		}
	}
}

// residentBytes returns the memory that a process uses.
func residentBytes(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(raw, []byte("VmRSS:"))
	kb := 0
	_, _ = fmt.Sscan(string(rest), &kb)
	return kb << 10
}
