// Package session holds golden sessions of real processes. Each file in testdata
// is a script for testscript: it starts stand-ins and entries, commands faults,
// sends requests and compares what was seen. The counts of the upstream
// stand-ins are the judge.
//
// Before each script every process gets addresses of its own, as environment
// variables: PLATFORM (FESCUE_PLATFORM is its URL), JUDGE, HOST1 to HOST4, and CALLER_a, PEER_a and ADMIN_a
// for entries a, b and c; RELAY_a is a relay in front of PEER_a and CONTROL_a its
// control. The files of the folder common are copied to the
// script's directory with these filled in. Besides the commands of testscript,
// scripts have:
//
//	standins          starts the platform and upstream stand-ins
//	entry NAME...     starts entries by their settings NAME.ini
//	ready NAME...     waits until entries are ready
//	unready NAME...   waits until entries are not ready
//	inForce NAME...   waits until entries have applied the whole log
//	signal SIG NAME   sends KILL, TERM, STOP or CONT to a process
//	shutDown NAME...  asks for a graceful shutdown and waits for exit code 0
//	post URL JSON     commands a stand-in
//	judge             prints the promises the upstreams saw broken
//	quiet HOST        waits until a host has got no work for a second
//	busy HOST         waits until a host gets work
//	relays            puts a relay in front of each entry, before they start
//	hears A NAME...   waits until entry A is connected with just these entries
//	runs HOST         prints how many runs a host has begun
//	owner POOL        sets OWNER to the entry that owns a pool, OTHER1 and OTHER2
//	                  to the others, and CALLER_owner and so on to addresses
package session
