// Package finding defines validation errors with their position in an input. They
// are collected in a list, so that all of them can be reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error.
type Finding struct {
	// File names the input; it may be empty.
	File string
	// Line is 1-based; 0 means that the line is unknown.
	Line int
	// Field is the path of the invalid field, for example "models[0].max_replicas".
	Field   string
	Message string
}

// String formats the finding as "file:line: field: message".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteByte(':')
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Field != "" {
		b.WriteString(f.Field)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is an ordered collection of findings. A non-empty List is an error.
type List []Finding

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
