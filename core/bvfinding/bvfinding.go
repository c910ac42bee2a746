// Package bvfinding collects problems found in operator input, each with its
// place, so that one run reports all of them together.
//
// # Usage
//
// Checks append to a [List] and go on; the caller prints the list once:
//
//	var l bvfinding.List
//	l.Add(bvfinding.Place{File: "rules.yaml", Line: 3, Column: 5},
//		"unknown key \"zonesOut\"", "write \"zonesOutOfService\"")
//	if !l.Empty() {
//		return l.Err()
//	}
package bvfinding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place is where a problem was found. Line and Column count from 1; 0 means
// that the position is not known.
type Place struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns the place in the form file:line:column, leaving out the
// parts that are not known.
func (p Place) String() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d", p.Line)
		if p.Column > 0 {
			s += fmt.Sprintf(":%d", p.Column)
		}
	}
	return s
}

// Finding is one problem and what to write instead.
type Finding struct {
	Place
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	s := f.Place.String() + ": " + f.Problem
	if f.Remedy != "" {
		s += "; " + f.Remedy
	}
	return s
}

// List is a collection of findings. The zero value is empty and ready to use.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(p Place, problem, remedy string) {
	l.findings = append(l.findings, Finding{Place: p, Problem: problem, Remedy: remedy})
}

// Join appends all findings of other.
func (l *List) Join(other List) {
	l.findings = append(l.findings, other.findings...)
}

// Empty reports whether nothing was found.
func (l *List) Empty() bool { return len(l.findings) == 0 }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// Sorted returns the findings ordered by file, line, column and problem.
func (l *List) Sorted() []Finding {
	s := slices.Clone(l.findings)
	slices.SortStableFunc(s, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column), cmp.Compare(a.Problem, b.Problem))
	})
	return s
}

// Err returns nil for an empty list and otherwise an [*Error] holding all
// findings.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.Sorted()}
}

// Error reports findings as one error.
type Error struct {
	Findings []Finding
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("bvfinding: %d findings", len(e.Findings)))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
