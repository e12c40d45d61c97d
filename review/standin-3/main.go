// Command standin-3 plays the scripts of the third review: it starts relays and keepers as the
// deploy file does, on loopback addresses, between stand-ins of the platform's store, of servers
// and of clients that follow the users' pages. It judges one rule and exits with 1 if it was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

var scenarios = map[string]func(w *world) error{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO RECORD")
		os.Exit(2)
	}
	run := scenarios[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0", seed())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// Whatever happens, no process outlives the script.
	timer := time.AfterFunc(115*time.Second, func() {
		w.note("out of time")
		w.flush()
		w.close()
		os.Exit(2)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		w.note("stopped by a signal")
		w.flush()
		w.close()
		os.Exit(2)
	}()
	err = run(w)
	timer.Stop()
	w.close()
	if err != nil {
		w.note("can't run: %v", err)
		w.flush()
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.flush()
	if w.broken > 0 {
		fmt.Printf("rule broken %d times\n", w.broken)
		os.Exit(1)
	}
	fmt.Println("rule held")
}

// seed returns the seed of what is drawn.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano())
}
