package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Section is one section of an INI file.
type Section struct {
	// Name is the quoted part of the header, empty for a section without a name.
	Name     string
	file     *File
	header   string
	kindName string
	hasName  bool
	// kind is nil until [File.UnnamedSection] or [File.NamedSections] declares the kind of this section.
	kind *kind
	keys []keyValues
}

type keyValues struct {
	name   string
	values []string
}

func newSection(f *File, raw *ini.Section) *Section {
	s := &Section{file: f, header: raw.Name()}
	kindName, rest, found := strings.Cut(raw.Name(), " ")
	s.kindName = kindName
	if found {
		s.hasName = true
		s.Name = unquote(strings.TrimSpace(rest))
	}
	keys := raw.Keys()
	s.keys = make([]keyValues, 0, len(keys))
	for _, k := range keys {
		s.keys = append(s.keys, keyValues{name: k.Name(), values: k.ValueWithShadows()})
	}
	return s
}

func unquote(text string) string {
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		return text[1 : len(text)-1]
	}
	return text
}

// Problemf reports a problem of a key, or of the whole section if key is empty.
func (s *Section) Problemf(key, format string, args ...any) {
	s.file.addProblem(s.header, key, fmt.Sprintf(format, args...))
}

// CheckReference reports a problem if name is neither empty nor one of known. what describes the name, such as "model".
func (s *Section) CheckReference(key, what, name string, known []string) {
	if name != "" && !slices.Contains(known, name) {
		s.Problemf(key, "unknown %s %q%s", what, name, suggestNearest(name, known))
	}
}

// Has reports whether the key is present.
func (s *Section) Has(key string) bool { return s.findKey(key) != nil }

func (s *Section) findKey(key string) *keyValues {
	for i := range s.keys {
		if s.keys[i].name == key {
			return &s.keys[i]
		}
	}
	return nil
}

func (s *Section) declare(field Field) {
	for _, f := range s.kind.fields {
		if f.Key == field.Key {
			return
		}
	}
	field.SectionKind = s.kind.name
	s.kind.fields = append(s.kind.fields, field)
}

func (s *Section) reportUnknownKeys() {
	fields := s.kind.fields
	for _, e := range s.keys {
		if slices.ContainsFunc(fields, func(f Field) bool { return f.Key == e.name }) {
			continue
		}
		known := make([]string, len(fields))
		for i, f := range fields {
			known[i] = f.Key
		}
		s.Problemf(e.name, "unknown key%s", suggestNearest(e.name, known))
	}
}

// Required reads a key that must be present.
func Required[T any](s *Section, key string, t ValueType[T]) T {
	s.declare(Field{Key: key, Type: t.Name, Required: true})
	return read(s, key, t, "", true)
}

// Optional reads a key; defaultText is parsed if the key is missing. An empty defaultText gives the zero value.
func Optional[T any](s *Section, key string, t ValueType[T], defaultText string) T {
	s.declare(Field{Key: key, Type: t.Name, Default: defaultText})
	return read(s, key, t, defaultText, false)
}

// List reads a key with values separated by commas. The key may be repeated; its values are then joined.
func List[T any](s *Section, key string, t ValueType[T], defaultText string) []T {
	s.declare(Field{Key: key, Type: "list of " + t.Name, Default: defaultText})
	return readList(s, key, t, defaultText)
}

// RequiredList reads a list that must have at least one value.
func RequiredList[T any](s *Section, key string, t ValueType[T]) []T {
	s.declare(Field{Key: key, Type: "list of " + t.Name, Required: true})
	list := readList(s, key, t, "")
	if !s.Has(key) {
		s.reportMissing(key)
	}
	return list
}

func (s *Section) reportMissing(key string) {
	if !s.file.syntaxError {
		s.Problemf(key, "the key is required")
	}
}

func read[T any](s *Section, key string, t ValueType[T], defaultText string, required bool) T {
	var zero T
	text := defaultText
	e := s.findKey(key)
	if e != nil {
		text = e.values[0]
		if len(e.values) > 1 {
			s.Problemf(key, "the key appears twice")
		}
	}
	if e == nil && required {
		s.reportMissing(key)
		return zero
	}
	if e == nil && defaultText == "" {
		return zero
	}
	value, err := t.Parse(text)
	if err != nil {
		s.Problemf(key, "%v", err)
		return zero
	}
	return value
}

func readList[T any](s *Section, key string, t ValueType[T], defaultText string) []T {
	texts := []string{defaultText}
	e := s.findKey(key)
	if e != nil {
		texts = e.values
	}
	var list []T
	for _, text := range texts {
		if text == "" && e == nil {
			continue
		}
		for item := range strings.SplitSeq(text, ",") {
			value, err := t.Parse(strings.TrimSpace(item))
			if err != nil {
				s.Problemf(key, "%v", err)
				continue
			}
			list = append(list, value)
		}
	}
	return list
}

// suggestNearest returns the end of an error message, with the known name that has the smallest edit distance to name.
func suggestNearest(name string, known []string) string {
	best, distance := "", 0
	for _, k := range known {
		d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k))
		if best == "" || d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; the nearest known name is %q", best)
}
