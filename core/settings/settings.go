// Package settings reads INI text into typed values. It collects all problems, each with its file, section and key,
// and rejects unknown sections and keys, naming the nearest known name.
//
// A section is [kind] or [kind "name"]. Every read of a key declares it, so that File.Finish can report the unknown
// keys of the file.
package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// loadOptions keep duplicate sections and keys, so that they can be reported, and allow ':' and ';' in values
// (addresses and URLs).
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// Problem is one error in a file.
type Problem struct {
	File string
	// Section is the header without brackets; it is empty for a problem of the whole file.
	Section string
	// Key is empty for a problem of the whole section.
	Key     string
	Message string
}

func (p Problem) String() string {
	switch {
	case p.Section == "":
		return fmt.Sprintf("%s: %s", p.File, p.Message)
	case p.Key == "":
		return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Message)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Message)
}

// Problems is the list of all errors found at once.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Join returns the problems of several files as one error, or nil.
func Join(lists ...Problems) error {
	all := slices.Concat(lists...)
	if len(all) == 0 {
		return nil
	}
	return all
}

// Field describes one declared key for the documentation.
type Field struct {
	// SectionKind is the kind of the section.
	SectionKind string
	Key         string
	Type        string
	Default     string
	Required    bool
}

// File is one INI text being read.
type File struct {
	name     string
	sections []*Section
	// kinds lists the declared kinds in the order of their declaration.
	kinds    []*kind
	problems Problems
	// syntaxError is set if the text could not be parsed; missing keys are then not reported.
	syntaxError bool
}

// kind is a declared kind of section and its declared keys.
type kind struct {
	name   string
	named  bool
	fields []Field
}

// Parse parses text. A syntax error becomes a problem of the file.
func Parse(name, text string) *File {
	f := &File{name: name}
	raw, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil {
		f.syntaxError = true
		f.problems = Problems{{File: name, Message: fmt.Sprintf("syntax: %v", err)}}
		return f
	}
	seen := map[string]bool{}
	for _, s := range raw.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if seen[s.Name()] {
			f.addProblem(s.Name(), "", "the section appears twice")
		}
		seen[s.Name()] = true
		f.sections = append(f.sections, newSection(f, s))
	}
	return f
}

// UnnamedSection declares the kind of an unnamed section and returns it. A missing section reads as empty.
func (f *File) UnnamedSection(name string) *Section {
	k := f.declare(name, false)
	for _, s := range f.sections {
		if s.kindName == name && !s.hasName {
			s.kind = k
			return s
		}
	}
	return &Section{file: f, kind: k, kindName: name, header: name}
}

// NamedSections declares a kind of section with a name each, and returns these sections in file order.
func (f *File) NamedSections(name string) []*Section {
	k := f.declare(name, true)
	var list []*Section
	for _, s := range f.sections {
		if s.kindName != name || !s.hasName {
			continue
		}
		s.kind = k
		if _, err := Name.Parse(s.Name); err != nil {
			s.Problemf("", "section name: %v", err)
		}
		list = append(list, s)
	}
	return list
}

func (f *File) declare(name string, named bool) *kind {
	for _, k := range f.kinds {
		if k.name == name {
			return k
		}
	}
	k := &kind{name: name, named: named}
	f.kinds = append(f.kinds, k)
	return k
}

// Fields lists all keys declared so far.
func (f *File) Fields() []Field {
	var list []Field
	for _, k := range f.kinds {
		list = append(list, k.fields...)
	}
	return list
}

// Finish reports the unknown sections and keys and returns all problems. All sections and keys must have been read
// before.
func (f *File) Finish() Problems {
	for _, s := range f.sections {
		if s.kind == nil {
			f.reportUnknownSection(s)
			continue
		}
		s.reportUnknownKeys()
	}
	return f.problems
}

func (f *File) reportUnknownSection(s *Section) {
	if s.header == ini.DefaultSection {
		f.addProblem("", "", "keys before the first section")
		return
	}
	var known []string
	for _, k := range f.kinds {
		if k.name != s.kindName {
			known = append(known, k.name)
			continue
		}
		if k.named {
			f.addProblem(s.header, "", fmt.Sprintf("the section needs a name: [%s \"NAME\"]", k.name))
		} else if s.hasName {
			f.addProblem(s.header, "", fmt.Sprintf("the section takes no name: [%s]", k.name))
		}
		return
	}
	f.addProblem(s.header, "", "unknown section"+suggestNearest(s.kindName, known))
}

func (f *File) addProblem(section, key, message string) {
	f.problems = append(f.problems, Problem{File: f.name, Section: section, Key: key, Message: message})
}

// DocsRow returns the start of the field's row in the Markdown tables of the documentation.
func (f Field) DocsRow() string {
	defaultText := "`" + f.Default + "`"
	if f.Default == "" {
		defaultText = "none"
	}
	if f.Required {
		defaultText = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s |", f.Key, strings.ReplaceAll(f.Type, "|", " or "), defaultText)
}
