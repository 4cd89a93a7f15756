// Command standin3 plays the cases of review/REPORT-3.md against the project's own
// entries, which it starts as processes. It is run in the repository's root:
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in its environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken, or an empty string.
var cases = map[string]func(s *site, trouble bool) string{}

// stop ends all that was started.
var stop = func() {}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		stop()
		os.Exit(2)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "standin3-")
	check(err)
	s := newSite(dir, os.Args[2])
	stop = sync.OnceFunc(s.stop)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { check(fmt.Errorf("%v", <-signals)) }()
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("case %s, disruption: %v", os.Args[1], trouble)
	limit := time.AfterFunc(115*time.Second, func() {
		check(fmt.Errorf("the case takes too long"))
	})
	broken := cases[os.Args[1]](s, trouble)
	limit.Stop()
	if broken != "" {
		s.log("BROKEN: %s", broken)
	} else {
		s.log("held")
	}
	stop()
	if broken != "" {
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}
