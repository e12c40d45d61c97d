package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// runHup sends SIGHUP to keepers, which the platform does when a settings file has changed.
func runHup(w *world, trouble bool) (bool, string) {
	streamConfig(w)
	var ips []string
	for i := range 8 {
		ips = append(ips, fmt.Sprintf("127.0.4.%d", i+1))
	}
	port := freePort(ips...)
	keepers := make([]*process, len(ips))
	begin := func(i int) {
		keepers[i] = w.startKeeper(fmt.Sprintf("side-%d", i+1), ips[i], port)
		awaitPort(net.JoinHostPort(ips[i], fmt.Sprint(port)))
	}
	for i := range ips {
		begin(i)
	}
	ends := 0
	for round := range 3 {
		time.Sleep(time.Second)
		for i := range ips[:2] {
			if trouble {
				w.note("SIGHUP to keeper %d, round %d", i+1, round+1)
				_ = keepers[i].cmd.Process.Signal(syscall.SIGHUP)
			}
			time.Sleep(500 * time.Millisecond)
			if !keepers[i].alive() {
				ends++
				w.note("keeper %d has ended by itself: %v", i+1, keepers[i].cmd.ProcessState)
				begin(i) // the platform starts it again
			}
		}
	}
	return ends >= 6, fmt.Sprintf("2 of %d keepers ended by themselves, %d times together", len(ips), ends)
}
