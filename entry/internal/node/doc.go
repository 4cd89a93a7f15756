// Package node runs an entry on the users' platform: it answers callers, owns
// the pools that the group deals to it, and passes calls on to the owners of
// the others.
//
// Each part is a filter with its own goroutine. The platform's topics feed the
// configuration and the list of upstreams; the group deals pools out; owners
// schedule; the front and the link bring calls in.
package node
