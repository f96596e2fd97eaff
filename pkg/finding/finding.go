// Package finding collects everything that is wrong with an input, each item
// with its place, so that a caller can report all of it at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	// File names the input; it may be empty.
	File string
	// Line is 1-based; 0 means the place is unknown.
	Line int
	// Field is the path of the faulty field, for example "models[0].max_replicas".
	Field string
	// Message says what is wrong.
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

// Error joins all findings, one a line.
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
