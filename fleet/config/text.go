package config

import (
	"bytes"
	"errors"
	"slices"
	"strings"

	"fescuelanding/fleet/record"

	"gopkg.in/ini.v1"
)

// _childSectionDelimiter is a delimiter that occurs in no name, so that no section
// inherits keys from another.
const _childSectionDelimiter = "\x00"

// loadOptions returns options that keep every section and key as written,
// including duplicates, so that duplicates can be reported.
func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		AllowNonUniqueSections:      true,
		AllowShadows:                true,
		AllowDuplicateShadowValues:  true,
		IgnoreContinuation:          true,
		IgnoreInlineComment:         true,
		SkipUnrecognizableLines:     false,
		KeyValueDelimiters:          "=",
		KeyValueDelimiterOnWrite:    "=",
		ChildSectionDelimiter:       _childSectionDelimiter,
		UnescapeValueCommentSymbols: false,
	}
}

// Parse reads a configuration from its text. The error is an *Invalid whose
// problems have line numbers.
func Parse(text []byte) (Config, error) {
	l := indexLines(text)
	f, err := ini.LoadSources(loadOptions(), text)
	if err != nil {
		return Config{}, syntaxError(err, l)
	}
	e := new(Invalid)
	s := readSections(f, e)
	c, err := Config{}.build(&record.ConfigChange{Set: s}, e)
	if err != nil {
		l.setLines(e)
		return Config{}, e
	}
	return c, nil
}

// readSections returns the sections of a file. It adds a problem to e for each key
// outside a section.
func readSections(f *ini.File, e *Invalid) []*record.Section {
	var r []*record.Section
	for _, s := range f.Sections() {
		if s.Name() != ini.DefaultSection {
			r = append(r, readSection(s))
			continue
		}
		for _, k := range s.Keys() {
			e.add(Problem{reason: ErrKey, key: k.Name(), want: "it in a section"})
		}
	}
	return r
}

// readSection returns one section with its keys as written, including duplicate
// keys.
func readSection(s *ini.Section) *record.Section {
	kind, name := splitHeader(s.Name())
	r := &record.Section{Kind: kind, Name: name}
	for _, k := range s.Keys() {
		for _, v := range k.ValueWithShadows() {
			r.Settings = append(r.Settings, &record.Setting{Key: k.Name(), Value: v})
		}
		if len(k.ValueWithShadows()) == 0 {
			r.Settings = append(r.Settings, &record.Setting{Key: k.Name()})
		}
	}
	return r
}

// splitHeader splits `pool "fitting"` into its kind and name.
func splitHeader(h string) (kind, name string) {
	kind, name, _ = strings.Cut(strings.TrimSpace(h), " ")
	name = strings.TrimSpace(name)
	if n, ok := strings.CutPrefix(name, `"`); ok {
		if n, ok = strings.CutSuffix(n, `"`); ok {
			return kind, n
		}
	}
	return kind, name
}

// syntaxError returns an *Invalid for text that isn't valid INI.
func syntaxError(err error, l lines) error {
	p := Problem{reason: ErrSyntax, found: err.Error(), want: `sections such as [pool "fitting"] with keys such as slots = 8`}
	var d ini.ErrDelimiterNotFound
	if errors.As(err, &d) {
		p.found = strings.TrimSpace(d.Line)
		// Other errors of package ini quote the line after a colon.
	} else if _, at, ok := strings.Cut(err.Error(), ": "); ok {
		p.found = strings.TrimSpace(at)
	}
	p.line = l.text[p.found]
	e := new(Invalid)
	e.add(p)
	return e
}

// Text returns the configuration as INI. Equal configurations return equal bytes.
func (c Config) Text() []byte {
	f := ini.Empty(loadOptions())
	for _, s := range c.Sections() {
		// Neither call fails for names that have passed validation.
		o, err := f.NewSection(header(s.GetKind(), s.GetName()))
		if err != nil {
			continue
		}
		for _, v := range s.GetSettings() {
			_, _ = o.NewKey(v.GetKey(), v.GetValue())
		}
	}
	var b bytes.Buffer
	_, _ = f.WriteTo(&b)
	return b.Bytes()
}

// lines maps the sections, keys and distinct lines of a text to line numbers.
type lines struct {
	sections map[string][]int
	keys     map[lineKey][]int
	text     map[string]int
}

// lineKey identifies a key in a section.
type lineKey struct{ section, key string }

// indexLines records the line numbers of the sections and keys of a text.
func indexLines(text []byte) lines {
	l := lines{sections: map[string][]int{}, keys: map[lineKey][]int{}, text: map[string]int{}}
	section, n := "", 0
	for b := range bytes.Lines(text) {
		n++
		s := strings.TrimSpace(string(b))
		if _, ok := l.text[s]; !ok {
			l.text[s] = n
		}
		if strings.HasPrefix(s, "[") && strings.HasSuffix(s, "]") {
			section = header(splitHeader(s[1 : len(s)-1]))
			l.sections[section] = append(l.sections[section], n)
			continue
		}
		if k, _, ok := strings.Cut(s, "="); ok {
			at := lineKey{section, strings.TrimSpace(k)}
			l.keys[at] = append(l.keys[at], n)
		}
	}
	return l
}

// setLines sets the line of each problem and sorts the problems by line. A
// duplicate declaration is reported at its last line, any other problem at its
// first.
func (l lines) setLines(e *Invalid) {
	for _, p := range e.problems {
		p.line = pickLine(l.sections[p.Section()], p.reason)
		p.keyLine = pickLine(l.keys[lineKey{p.Section(), p.key}], p.reason)
	}
	slices.SortStableFunc(e.problems, func(a, b *Problem) int { return a.Line() - b.Line() })
}

func pickLine(at []int, reason error) int {
	switch {
	case len(at) == 0:
		return 0
	case reason == ErrDuplicate: //nolint:errorlint // the reason is one of the package's variables, unwrapped.
		return at[len(at)-1]
	default:
		return at[0]
	}
}
