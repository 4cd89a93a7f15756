// Command stand plays one case of the review: it starts the platform's stand-ins and the entries,
// makes the case's trouble, and judges by what consumers and executors have seen.
//
//	stand CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// _limit is the time after which a case is given up.
const _limit = 115 * time.Second

var _cases = map[string]func(*site) error{
	"moved": moved, "crashes": crashes, "advised": advised, "attempts": attempts, "pending": pending,
	"policy": policy, "long": long, "memory": memory, "patience": patience,
}

func main() {
	if len(os.Args) != 3 || _cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(2)
	}()
	time.AfterFunc(_limit, func() {
		s.rec.printf("the case takes too long")
		s.close()
		os.Exit(2)
	})
	err = _cases[os.Args[1]](s)
	s.close()
	switch n := len(s.judge.broken); {
	case err != nil:
		s.rec.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(2)
	case n > 0:
		s.rec.printf("verdict: %d times broken", n)
		fmt.Println("broken:", s.judge.broken[0])
		os.Exit(1)
	}
	s.rec.printf("verdict: the rule held")
	fmt.Println("held")
}
