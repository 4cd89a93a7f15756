// Package session holds end-to-end tests with real processes. Each file in
// testdata is a script for testscript. It starts stand-ins and entries, injects
// faults, sends requests and compares the results with the expected output. The
// counts of the upstream stand-ins show whether the entries kept their
// guarantees.
//
// Each script gets its own addresses in environment variables: PLATFORM
// (FESCUE_PLATFORM is its URL); JUDGE, the control API of the upstream
// stand-ins; HOST1 to HOST4; and CALLER_a, PEER_a and ADMIN_a for each of the
// entries a, b and c. RELAY_a is a relay in front of PEER_a, and CONTROL_a is
// the relay's control API. The files of the folder common are copied to the
// script's directory with these variables expanded. In addition to the commands
// of testscript, scripts have:
//
//	standins [NAME...]     starts the platform and upstream stand-ins, or those named
//	entry NAME...          starts entries with the settings files NAME.ini
//	ready NAME...          waits until the entries are ready
//	unready NAME...        waits until the entries are not ready
//	inForce NAME...        waits until the entries have applied the whole log
//	signal SIG NAME        sends KILL, TERM, STOP or CONT to a process
//	shutDown NAME...       requests a graceful shutdown and waits for exit code 0
//	post URL JSON          calls a control API
//	violations             prints how often the upstreams counted a violated guarantee
//	idle HOST              waits until a host has got no requests for a second
//	busy HOST              waits until a host gets requests
//	refused ENTRY REASON   checks that an entry refuses a request for this reason
//	relays                 starts a relay in front of each entry; use it before entry
//	connected A NAME...    waits until entry A is connected to exactly these entries
//	runs HOST              prints how many runs a host has begun
//	owner POOL             sets OWNER to the entry that owns a pool, OTHER1 and OTHER2
//	                       to the others, and CALLER_owner, CALLER_other1 and
//	                       CALLER_other2 to their addresses for callers
package session
