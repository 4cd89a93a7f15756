// Command standin plays the scripts of the review: small deployments of the project's entries on
// stand-ins of the platform, its executors and its consumers.
package main

import (
	"fmt"
	"os"
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func(*world){"backlog": backlog, "removed": removed, "flaps": flaps, "sameID": sameID, "lateStart": lateStart, "vacated": vacated}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	cases[os.Args[1]](w)
}
