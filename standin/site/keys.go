package site

import (
	"net/http"
	"strings"

	"fescuelanding/platform"
)

// setKeys publishes a configuration with workspaces, given as NAME=KEY,KEY.
func (s *Site) setKeys(words []string) {
	s.mu.Lock()
	s.keys, s.workspaces = make(map[string][]string), []platform.Workspace{}
	for _, w := range words {
		name, keys, _ := strings.Cut(w, "=")
		s.keys[name] = strings.Split(keys, ",")
		s.workspaces = append(s.workspaces, platform.Workspace{Name: name, Weight: 1})
	}
	s.mu.Unlock()
	s.publish()
}

// UseKey makes callers send a key from now on, or none if it is empty.
func (s *Site) UseKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedKey = key
}

// authorize adds the key that callers use to a request.
func (s *Site) authorize(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usedKey != "" {
		r.Header.Set("Authorization", "Bearer "+s.usedKey)
	}
}

// askOne requests the state of a job from one entry, or sends another request about it, and returns
// the status.
func (s *Site) askOne(entry, queue, job string, method ...string) string {
	q, m := s.Queue(queue), append(method, http.MethodGet)[0]
	if m == http.MethodDelete {
		s.RecordCancel(job)
	}
	code, text := s.callEntry(entry, m, q.Host, q.Prefix+job, "")
	if m == http.MethodDelete {
		s.RecordCancelAnswer(job, entry, code)
	}
	return text
}
