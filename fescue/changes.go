package main

import (
	"fmt"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// sectionChange describes a section that is added, changed or removed.
type sectionChange struct {
	Change   string          `json:"change"`
	Kind     string          `json:"kind"`
	Name     string          `json:"name,omitempty"`
	Settings []settingChange `json:"settings,omitempty"`
}

// settingChange holds the value of a setting before and after a change. From is nil
// if the setting was added, and To is nil if it was removed.
type settingChange struct {
	Key  string  `json:"key"`
	From *string `json:"from,omitempty"`
	To   *string `json:"to,omitempty"`
}

const (
	_added   = "added"
	_changed = "changed"
	_removed = "removed"
)

// sectionChanges lists the sections that change adds to, modifies in or removes
// from the configuration from.
func sectionChanges(from config.Config, change *record.ConfigChange) []sectionChange {
	type ref struct{ kind, name string }
	old := make(map[ref]*record.Section)
	for _, s := range from.Sections() {
		old[ref{s.GetKind(), s.GetName()}] = s
	}
	var all []sectionChange
	for _, r := range change.GetRemoved() {
		all = append(all, sectionChange{Change: _removed, Kind: r.GetKind(), Name: r.GetName()})
	}
	for _, s := range change.GetSet() {
		c := sectionChange{Change: _changed, Kind: s.GetKind(), Name: s.GetName()}
		o := old[ref{s.GetKind(), s.GetName()}]
		if o == nil {
			c.Change = _added
		}
		c.Settings = settingChanges(o, s)
		all = append(all, c)
	}
	return all
}

func settingChanges(from, to *record.Section) []settingChange {
	var all []settingChange
	old := make(map[string]string)
	for _, s := range from.GetSettings() {
		old[s.GetKey()] = s.GetValue()
	}
	for _, s := range to.GetSettings() {
		v, ok := old[s.GetKey()]
		delete(old, s.GetKey())
		switch n := s.GetValue(); {
		case !ok:
			all = append(all, settingChange{Key: s.GetKey(), To: &n})
		case v != n:
			all = append(all, settingChange{Key: s.GetKey(), From: &v, To: &n})
		}
	}
	for _, s := range from.GetSettings() {
		if v, ok := old[s.GetKey()]; ok {
			all = append(all, settingChange{Key: s.GetKey(), From: &v})
		}
	}
	return all
}

// String describes the change in one line for the section and one line per
// setting.
func (c sectionChange) String() string {
	text := fmt.Sprintf("%s %s\n", c.Change, header(c.Kind, c.Name))
	for _, s := range c.Settings {
		text += "  " + s.String() + "\n"
	}
	return text
}

func header(kind, name string) string {
	if name == "" {
		return "[" + kind + "]"
	}
	return fmt.Sprintf("[%s %q]", kind, name)
}

// String describes the change in one line.
func (s settingChange) String() string {
	switch {
	case s.From == nil:
		return fmt.Sprintf("%s = %s", s.Key, *s.To)
	case s.To == nil:
		return fmt.Sprintf("%s: %s removed", s.Key, *s.From)
	default:
		return fmt.Sprintf("%s: %s becomes %s", s.Key, *s.From, *s.To)
	}
}
