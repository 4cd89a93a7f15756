// Package site stands in for the users' platform: its store, upstreams, hosts,
// advice and operator, over HTTP on loopback, with real entries between them and
// callers. It speaks through platform/ and platform/serve.
//
// It loses answers, carries orders out late, kills and starts anew what a
// session asks for, and judges from outside: by what upstreams ran.
package site
