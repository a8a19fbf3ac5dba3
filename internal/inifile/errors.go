package inifile

import (
	"fmt"
	"strings"
)

// Problem is one error in a file. Section and Key are empty where they do not
// apply. Line counts from 1; 0 means that the problem belongs to no line.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"problem"`
	Fix     string `json:"fix"`
}

// String formats p as "file:line: [section] key: message; fix".
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

// Error holds all problems of one or more files, in the order found.
type Error struct {
	Problems []Problem
}

// Error implements error, with one line per problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends p.
func (e *Error) Add(p Problem) {
	e.Problems = append(e.Problems, p)
}

// OrNil returns e as an error, or nil if it holds no problems.
func (e *Error) OrNil() error {
	if e == nil || len(e.Problems) == 0 {
		return nil
	}
	return e
}
