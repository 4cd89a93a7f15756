// Command fescue is the command-line tool of operators. It publishes
// configurations, requests drains, moves, recalls and waves of hosts, and shows
// the state of the fleet.
//
// It needs only the address of the platform. It appends records to the platform's
// log, and they take effect when the entries apply them. fescue applies the log
// with the same code as the entries, so the outcome that it reports for a record is
// the outcome on every entry.
//
//	fescue --platform http://10.0.0.1:7100 publish fleet.ini
//
// Exit codes: 0 done, 1 invalid, 2 superseded by another operator, 3 platform
// unavailable and nothing appended, 4 done but not yet in force on some entries,
// 5 outcome unknown, 64 wrong usage or unreadable file.
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
