package settings

import (
	"fmt"
	"strings"
)

// maxProblems is the largest number of problems that one error lists.
const maxProblems = 100

// Problem is one reason why a file is invalid.
type Problem struct {
	File string
	// Field is the path of the field, such as "requests.max_body_bytes". It is
	// empty if the problem concerns the file as a whole.
	Field  string
	Reason string
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", p.File, p.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", p.File, p.Field, p.Reason)
}

// Error holds the problems of one file.
type Error struct {
	Problems []Problem
	// Omitted is the number of problems beyond the first maxProblems.
	Omitted int
}

// Error implements error. The text has one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d more problems", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// report collects the problems of one file.
type report struct {
	file string
	err  Error
}

func (r *report) add(field, format string, args ...any) {
	if len(r.err.Problems) >= maxProblems {
		r.err.Omitted++
		return
	}
	r.err.Problems = append(r.err.Problems, Problem{File: r.file, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// result returns the error, or nil if there are no problems.
func (r *report) result() error {
	if len(r.err.Problems) == 0 {
		return nil
	}
	return &r.err
}
