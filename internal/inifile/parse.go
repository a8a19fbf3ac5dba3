package inifile

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxFileBytes is the largest size of a file.
const MaxFileBytes = 16 << 20

// File is a parsed file with its sections in the order of the text.
type File struct {
	Name     string
	Sections []*Section
}

// Section is "[Kind]" or "[Kind Name]" with its keys in the order of the text.
type Section struct {
	File string
	Kind string
	Name string
	Line int
	Keys []Key
}

// Key is one "name = value" line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Header returns the header of s without brackets.
func (s *Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Parse parses data. The returned error is an *Error with every problem found.
func Parse(name string, data []byte) (*File, error) {
	errs := &Error{}
	if len(data) > MaxFileBytes {
		errs.Add(Problem{
			File:    name,
			Message: fmt.Sprintf("file is %d bytes long", len(data)),
			Fix:     fmt.Sprintf("keep it to at most %d bytes", MaxFileBytes),
		})
		return nil, errs
	}
	if !utf8.Valid(data) {
		errs.Add(Problem{File: name, Message: "text is not UTF-8", Fix: "save the file as UTF-8"})
		return nil, errs
	}
	f := scan(name, string(data), errs)
	if errs.OrNil() != nil {
		return nil, errs
	}
	fillValues(f, data, errs)
	return f, errs.OrNil()
}

// scan finds the sections and keys with their lines. It reports duplicates,
// which ini.v1 would merge silently.
func scan(name, text string, errs *Error) *File {
	f := &File{Name: name}
	seenSections := map[string]int{}
	seenKeys := map[string]int{}
	var cur *Section
	for i, raw := range strings.Split(text, "\n") {
		line := i + 1
		t := strings.TrimSpace(strings.TrimPrefix(raw, "\ufeff"))
		switch {
		case t == "" || t[0] == ';' || t[0] == '#':
		case t[0] == '[':
			cur = scanHeader(f, t, line, seenSections, errs)
			seenKeys = map[string]int{}
		case cur == nil:
			errs.Add(Problem{File: name, Line: line, Message: "key before the first section", Fix: "put it below a [section] line"})
		default:
			scanKey(cur, t, line, seenKeys, errs)
		}
	}
	return f
}

func scanHeader(f *File, t string, line int, seen map[string]int, errs *Error) *Section {
	end := strings.IndexByte(t, ']')
	rest := ""
	if end > 0 {
		rest = strings.TrimSpace(t[end+1:])
	}
	if end < 0 || (rest != "" && rest[0] != ';' && rest[0] != '#') {
		errs.Add(Problem{File: f.Name, Line: line, Message: fmt.Sprintf("malformed section line %q", t), Fix: "write [kind] or [kind name]"})
		return &Section{File: f.Name, Line: line}
	}
	words := strings.Fields(t[1:end])
	s := &Section{File: f.Name, Line: line}
	switch len(words) {
	case 1:
		s.Kind = words[0]
	case 2:
		s.Kind, s.Name = words[0], words[1]
	default:
		errs.Add(Problem{File: f.Name, Line: line, Message: fmt.Sprintf("malformed section line %q", t), Fix: "write [kind] or [kind name]"})
		return s
	}
	if first, ok := seen[s.Header()]; ok {
		errs.Add(Problem{
			File: f.Name, Line: line, Section: s.Header(),
			Message: fmt.Sprintf("duplicate section, first in line %d", first),
			Fix:     "merge the two or rename one",
		})
	}
	seen[s.Header()] = line
	f.Sections = append(f.Sections, s)
	return s
}

func scanKey(s *Section, t string, line int, seen map[string]int, errs *Error) {
	eq := strings.IndexByte(t, '=')
	key := ""
	if eq > 0 {
		key = strings.TrimSpace(t[:eq])
	}
	if key == "" || strings.ContainsAny(key, "\"`") {
		errs.Add(Problem{File: s.File, Line: line, Section: s.Header(), Message: fmt.Sprintf("malformed line %q", t), Fix: "write key = value"})
		return
	}
	if first, ok := seen[key]; ok {
		errs.Add(Problem{
			File: s.File, Line: line, Section: s.Header(), Key: key,
			Message: fmt.Sprintf("duplicate key, first in line %d", first),
			Fix:     "keep one of the two",
		})
	}
	seen[key] = line
	s.Keys = append(s.Keys, Key{Name: key, Line: line})
}

// fillValues sets the values of all keys. They are parsed by ini.v1, which strips
// comments and quotes.
func fillValues(f *File, data []byte, errs *Error) {
	opts := ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		errs.Add(Problem{File: f.Name, Message: err.Error(), Fix: "write [section] and key = value lines"})
		return
	}
	bodies := map[string]*ini.Section{}
	for _, s := range parsed.Sections() {
		bodies[strings.Join(strings.Fields(s.Name()), " ")] = s
	}
	for _, s := range f.Sections {
		body := bodies[s.Header()]
		for i := range s.Keys {
			k := &s.Keys[i]
			if body == nil || !body.HasKey(k.Name) {
				errs.Add(Problem{File: f.Name, Line: k.Line, Section: s.Header(), Key: k.Name, Message: "value can't be parsed", Fix: "write key = value on one line"})
				continue
			}
			k.Value = body.Key(k.Name).Value()
		}
	}
}
