package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code classifies a problem. The constants below are all codes.
type Code string

// Codes of problems.
const (
	CodeSyntax        Code = "syntax"
	CodeUnknownField  Code = "unknown_field"
	CodeType          Code = "type"
	CodeMissing       Code = "missing"
	CodeRange         Code = "range"
	CodeUnknownName   Code = "unknown_name"
	CodeDuplicate     Code = "duplicate"
	CodeAddress       Code = "address"
	CodeContradiction Code = "contradiction"
	CodeUnused        Code = "unused"
)

// Problem is an error or a warning at a position in a configuration file.
type Problem struct {
	file      string
	line, col int
	code      Code
	message   string
	fix       string
}

// Line returns the line, counted from 1.
func (p Problem) Line() int { return p.line }

// Code returns the problem's code.
func (p Problem) Code() Code { return p.code }

// Warning reports whether the file is accepted despite the problem.
func (p Problem) Warning() bool { return p.code == CodeUnused }

// Error implements the error interface.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s; fix: %s", p.file, p.line, p.col, p.code, p.message, p.fix)
}

// Problems is a list of problems sorted by position.
type Problems []Problem

// Error implements the error interface. Each problem is on a line of its own.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.col, b.col), cmp.Compare(a.message, b.message))
	})
}

// split separates the problems that cause the file to be rejected from the
// warnings.
func (ps Problems) split() (rejecting, warnings Problems) {
	for _, p := range ps {
		if p.Warning() {
			warnings = append(warnings, p)
			continue
		}
		rejecting = append(rejecting, p)
	}
	return rejecting, warnings
}
