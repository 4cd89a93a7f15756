package peer

import (
	"slices"
)

// admit returns nil if a new connection to remote is to be kept, or a
// *RefusedError. outbound means that this side dialled it.
func (s *Set) admit(remote Identity, outbound bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitLocked(remote, outbound)
}

func (s *Set) admitLocked(remote Identity, outbound bool) error {
	old := s.links[remote.Entry]
	switch {
	case old == nil || old.closed():
		return nil
	case old.remote.Incarnation != remote.Incarnation:
		return s.admitProcess(old.remote)
	case old.outbound != outbound && s.preferred(remote) == outbound:
		return nil
	case !old.outbound && !outbound:
		// The dialer has lost the old connection; otherwise it would not have
		// dialled again.
		return nil
	}
	return &RefusedError{
		code:   RefusalCode_REFUSAL_CODE_DUPLICATE,
		detail: "connected already with " + remote.Entry,
	}
}

// admitProcess decides whether another process of the same entry may replace
// old, which is connected. It returns a *RefusedError if old is the registered
// process, that is, if SetPeers listed its incarnation, and nil otherwise. A
// process that was paused and meanwhile replaced thus can't disconnect its
// successor when it resumes.
func (s *Set) admitProcess(old Identity) error {
	registered := func(p Peer) bool { return p.Entry == old.Entry && p.Incarnation == old.Incarnation }
	if !slices.ContainsFunc(s.peers, registered) {
		return nil
	}
	return &RefusedError{
		code:   RefusalCode_REFUSAL_CODE_REPLACED,
		detail: "the registered process of " + old.Entry + " is connected",
	}
}

// preferred reports whether the connection dialled by this side is kept where
// both sides have dialled. Both sides get the same result.
func (s *Set) preferred(remote Identity) (outbound bool) { return s.self.Entry < remote.Entry }

// install makes k the link to its entry and closes the previous one. Where k
// is not admitted, it closes k and returns the error.
func (s *Set) install(k *link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.admitLocked(k.remote, k.outbound)
	if s.ctx.Err() != nil {
		err = ErrStopped
	}
	if err != nil {
		go k.close(err)
		return err
	}
	if old := s.links[k.remote.Entry]; old != nil {
		go old.close(ErrReplaced)
	}
	s.links[k.remote.Entry] = k
	if t, ok := s.errs[k.remote.Entry]; ok {
		s.errs[k.remote.Entry] = peerErrors{disconnect: t.disconnect}
	}
	return nil
}

func (s *Set) remove(k *link, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[k.remote.Entry] == k {
		delete(s.links, k.remote.Entry)
		if s.isPeer(k.remote.Entry) {
			s.errs[k.remote.Entry] = peerErrors{disconnect: err}
		}
	}
}

func (s *Set) link(entry string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[entry]
}

func (s *Set) closeAll() {
	s.mu.Lock()
	all := make([]*link, 0, len(s.links))
	for _, k := range s.links {
		all = append(all, k)
	}
	s.mu.Unlock()
	for _, k := range all {
		k.close(ErrStopped)
	}
}
