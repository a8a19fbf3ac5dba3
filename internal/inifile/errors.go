package inifile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file. Section and Key are empty where they do not
// apply; Line counts from 1 and is 0 when the fault has no line.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"problem"`
	Fix     string `json:"fix"`
}

// String formats the problem as "file:line: [section] key: what; fix".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Message)
	if p.Fix != "" {
		fmt.Fprintf(&b, "; %s", p.Fix)
	}
	return b.String()
}

// Error is all problems of one or more files, in the order found.
type Error struct {
	Problems []Problem
}

// Error implements error, a line a problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (e *Error) Add(p Problem) {
	e.Problems = append(e.Problems, p)
}

// OrNil returns e as an error, or nil when it holds no problem.
func (e *Error) OrNil() error {
	if e == nil || len(e.Problems) == 0 {
		return nil
	}
	return e
}
