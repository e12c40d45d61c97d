// Command standin2 runs the cases of the second review that are scripts. It holds the
// stand-ins of the platform's store, of servers and of clients, and starts the project's
// own programs as the deploy file does.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases by name. Each returns whether the rule was broken, and what was seen.
var cases = map[string]func(w *world, trouble bool) (broken bool, seen string){
	"unframed":  runUnframed,
	"isolated":  runIsolated,
	"poison":    runPoison,
	"noversion": runNoVersion,
	"hup":       runHup,
}

// watchdog ends a case that hangs.
const watchdog = 110 * time.Second

func main() {
	if len(os.Args) == 4 && os.Args[1] == "ledger-server" {
		serveLedger(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	var w *world
	defer func() {
		if v := recover(); v != nil {
			if setup, ok := v.(errSetup); ok {
				v = setup.err
			}
			fmt.Println("the case could not run:", v)
			if w != nil {
				w.note("the case could not run: %v", v)
				w.close()
			}
			code = 2
		}
	}()
	w = newWorld(record)
	time.AfterFunc(watchdog, func() {
		fmt.Println("the case took too long")
		w.close()
		os.Exit(2)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	w.note("case %s, trouble: %v", name, trouble)
	broken, seen := cases[name](w, trouble)
	verdict, code := "held", 0
	if broken {
		verdict, code = "BROKEN", 1
	}
	w.note("rule %s: %s", verdict, seen)
	fmt.Printf("rule %s: %s\n", verdict, seen)
	w.close()
	return code
}
