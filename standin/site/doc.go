// Package site emulates the users' platform for real entry processes: its store,
// upstreams, cloud interface, advice service and operator, over HTTP on the loopback
// interface. Package platform/serve implements the protocols.
//
// A session is a text of commands that start entries, submit jobs as callers and
// inject faults: answers that get lost, orders that are executed late, processes and
// upstreams that are killed or restarted. The site checks the entries from outside, by
// the runs that its upstreams saw:
//
//	s := site.New(entryProgram, dir, logs)
//	defer s.Stop()
//	if err := s.Start(); err != nil {
//		return err
//	}
//	return s.Play(site.DefaultSession, os.Stdout)
package site
