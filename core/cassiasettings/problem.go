package cassiasettings

import (
	"fmt"
	"strings"
)

// ProblemKind tells what is wrong with settings.
type ProblemKind string

// Kinds of problem.
const (
	ProblemSyntax          ProblemKind = "syntax"
	ProblemUnknownField    ProblemKind = "unknownField"
	ProblemConstraint      ProblemKind = "constraint"
	ProblemDuplicate       ProblemKind = "duplicate"
	ProblemTeam            ProblemKind = "team"
	ProblemAddress         ProblemKind = "address"
	ProblemTargetMismatch  ProblemKind = "targetMismatch"
	ProblemConnectionShare ProblemKind = "connectionShare"
	ProblemDowngrade       ProblemKind = "downgrade"
	ProblemTooLarge        ProblemKind = "tooLarge"
	ProblemIncomplete      ProblemKind = "incomplete"
)

// Problem is one reason why settings are refused.
type Problem struct {
	Kind ProblemKind `json:"kind"`
	File string      `json:"file,omitempty"`
	// Line counts from 1; 0 when the problem has no place in the text.
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line: place, field, detail and remedy.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	fmt.Fprintf(&b, "%s (%s); %s", p.Detail, p.Kind, p.Remedy)
	return b.String()
}

// InvalidError refuses settings as a whole and lists every problem found.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Has tells whether one of the problems is of a kind.
func (e *InvalidError) Has(kind ProblemKind) bool {
	for _, p := range e.Problems {
		if p.Kind == kind {
			return true
		}
	}
	return false
}

// problemsError returns an InvalidError for problems, or nil when there are none.
func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
