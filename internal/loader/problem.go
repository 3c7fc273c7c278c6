package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a file.
type Problem struct {
	File string
	// Line and Column start at 1; Column counts bytes.
	Line   int
	Column int
	// Text describes what is wrong and what is allowed.
	Text string
}

// String returns the problem as file:line:column: text.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Problems lists all errors in a file, in the order of their positions. It is nil
// if there are none.
type Problems []Problem

// String returns the problems, one per line.
func (p Problems) String() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns an error that lists all problems, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return fmt.Errorf("loader: problems found: %d\n%s", len(p), p)
}

func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p
}
