// Command standin plays one case of a review: it starts the relays of a small deployment
// on loopback addresses, stands in for the platform, its servers and clients, and checks
// one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. trouble tells whether the disruption happens.
var cases = map[string]func(s *site, trouble bool) error{
	"copies":   playCopies,
	"versions": playVersions,
	"origins":  playOrigins,
}

// longest is how long a case may take.
const longest = 110 * time.Second

func main() { os.Exit(run()) }

// run plays a case. It returns 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for the record")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	s, err := newSite(*root, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-sig:
		case <-time.After(longest):
			fmt.Fprintln(os.Stderr, "out of time")
		}
		s.stop(false)
		os.Exit(2)
	}()
	defer s.stop(os.Getenv("KEEP") != "")
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.tmp)
	}
	if err := play(s, os.Getenv("TROUBLE") != "0"); err != nil {
		s.logf("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.recordMu.Lock()
	broken := s.broken
	s.recordMu.Unlock()
	s.logf("the rule was broken %d times", broken)
	fmt.Printf("%s: the rule was broken %d times\n", *name, broken)
	if broken > 0 {
		return 1
	}
	return 0
}
