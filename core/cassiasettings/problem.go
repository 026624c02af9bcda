package cassiasettings

import (
	"fmt"
	"strings"
)

// ProblemKind classifies a problem with settings.
type ProblemKind string

// Problem kinds.
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

// Problem is one reason why settings are invalid.
type Problem struct {
	Kind ProblemKind `json:"kind"`
	File string      `json:"file,omitempty"`
	// Line is the 1-based line number, or 0 if the problem has no position in the text.
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// String formats the problem as one line: file, line, field, detail, kind and remedy.
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

// InvalidError reports that settings are invalid and lists every problem found. Settings with any problem are refused as
// a whole.
type InvalidError struct {
	Problems []Problem
}

// Error formats the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Has reports whether one of the problems is of the given kind.
func (e *InvalidError) Has(kind ProblemKind) bool {
	for _, p := range e.Problems {
		if p.Kind == kind {
			return true
		}
	}
	return false
}

// problemsError returns an InvalidError that lists the problems, or nil if there are none.
func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
