// Package review holds what a check of a configuration finds before the configuration is published.
package review

import (
	"fmt"
	"reflect"
)

// Severity says how grave a finding is.
type Severity string

// Severities.
const (
	// Error is a configuration that is refused, or that breaks calls.
	Error Severity = "error"
	// Warning is an entry without effect, or one that contradicts another.
	Warning Severity = "warning"
)

// Finding is one thing that a check has found.
type Finding struct {
	Severity Severity `json:"severity"`
	// Subject names the entry, as in "route orders".
	Subject string `json:"subject"`
	Message string `json:"message"`
}

// String implements fmt.Stringer.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Subject, f.Message) }

// Findings collects findings.
type Findings []Finding

// Errorf adds an error.
func (f *Findings) Errorf(subject, format string, args ...any) {
	*f = append(*f, Finding{Severity: Error, Subject: subject, Message: fmt.Sprintf(format, args...)})
}

// Warnf adds a warning.
func (f *Findings) Warnf(subject, format string, args ...any) {
	*f = append(*f, Finding{Severity: Warning, Subject: subject, Message: fmt.Sprintf(format, args...)})
}

// Errors returns the number of errors.
func (f Findings) Errors() int {
	n := 0
	for _, one := range f {
		if one.Severity == Error {
			n++
		}
	}
	return n
}

// Kind says how an entry differs between two configurations.
type Kind string

// Kinds of differences.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// FieldChange is a field of an entry with its values in both configurations.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Difference is an entry that differs between two configurations. Fields is set if it is in both.
type Difference struct {
	Kind    Kind          `json:"kind"`
	Subject string        `json:"subject"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// Compare returns the differences between two lists of entries with unique names: what is removed or changed in the order of old, then
// what is added. T is a struct.
func Compare[T any](subject string, old, next []T, name func(T) string) []Difference {
	oldNames, nextByName := map[string]bool{}, map[string]T{}
	for _, entry := range next {
		nextByName[name(entry)] = entry
	}
	var out []Difference
	for _, entry := range old {
		oldNames[name(entry)] = true
		replaced, kept := nextByName[name(entry)]
		if !kept {
			out = append(out, Difference{Kind: Removed, Subject: subject + " " + name(entry)})
			continue
		}
		if fields := CompareFields(entry, replaced); len(fields) > 0 {
			out = append(out, Difference{Kind: Changed, Subject: subject + " " + name(entry), Fields: fields})
		}
	}
	for _, entry := range next {
		if !oldNames[name(entry)] {
			out = append(out, Difference{Kind: Added, Subject: subject + " " + name(entry)})
		}
	}
	return out
}

// CompareFields returns the exported fields in which two structs of one type differ.
func CompareFields(old, next any) []FieldChange {
	var out []FieldChange
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		if !a.Type().Field(i).IsExported() {
			continue
		}
		was, is := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(was, is) {
			out = append(out, FieldChange{Field: a.Type().Field(i).Name, Old: fmt.Sprint(was), New: fmt.Sprint(is)})
		}
	}
	return out
}
