package session

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestCut(t *testing.T)    { session(t, "cut") }
func TestRegion(t *testing.T) { session(t, "region") }

// startRelays starts a relay in front of each entry, and changes the settings of
// all entries so that they advertise and dial the relays.
func startRelays(ts *testscript.TestScript, _ []string) {
	for _, n := range _entries {
		file := ts.MkAbs(n + ".ini")
		b, err := os.ReadFile(file)
		ts.Check(err)
		r := []string{"[entry]\n", "[entry]\npeerAddress = " + ts.Getenv("RELAY_"+n) + "\n"}
		for _, o := range _entries {
			if o != n {
				r = append(r, "address = "+ts.Getenv("PEER_"+o), "address = "+ts.Getenv("RELAY_"+o))
			}
		}
		ts.Check(os.WriteFile(file, []byte(strings.NewReplacer(r...).Replace(string(b))), _fileMode))
		start(ts, "relay"+n, "standin", "relay", "--listen", ts.Getenv("RELAY_"+n),
			"--to", ts.Getenv("PEER_"+n), "--control", ts.Getenv("CONTROL_"+n))
		wait(ts, "http://"+ts.Getenv("CONTROL_"+n)+"/control/stats")
	}
}

// printRuns prints the number of runs that a host has begun.
func printRuns(ts *testscript.TestScript, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: runs HOST")
	}
	_, err := fmt.Fprintln(ts.Stdout(), runs(ts, args[0]))
	ts.Check(err)
}

// waitConnected waits until an entry is connected to exactly the entries named.
func waitConnected(ts *testscript.TestScript, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: connected ENTRY NAME...")
	}
	want := slices.Sorted(slices.Values(args[1:]))
	until(ts, args[0]+" is connected to "+strings.Join(want, " "), func() bool {
		var v struct {
			Peers []struct {
				Entry     string `json:"entry"`
				Connected bool   `json:"connected"`
			} `json:"peers"`
		}
		if err := get("http://"+ts.Getenv("ADMIN_"+args[0])+"/status", &v); err != nil {
			return false
		}
		var l []string
		for _, p := range v.Peers {
			if p.Connected {
				l = append(l, p.Entry)
			}
		}
		slices.Sort(l)
		return slices.Equal(l, want)
	})
}
