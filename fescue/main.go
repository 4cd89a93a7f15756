// Command fescue is the command line of operators. It publishes configurations,
// states what operators want of hosts, and shows what the fleet does about it.
//
// All it needs is the address of the platform. What it appends takes effect as
// the entries apply it; fescue applies the log as they do, so that the outcome
// it reports is theirs.
//
//	fescue --platform http://10.0.0.1:7100 publish fleet.ini
//
// Exit codes: 0 done, 1 invalid, 2 superseded by another operator, 3 platform
// unavailable and nothing done, 4 done but some entries lag behind, 5 outcome
// unknown, 64 wrong usage.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := newCommand().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "fescue: %v\n", err)
	}
	os.Exit(int(codeOf(err)))
}
