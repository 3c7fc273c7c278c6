package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line and Column start at 1; Column counts bytes.
	Line   int
	Column int
	// Text says what is wrong and what is allowed.
	Text string
}

// String returns the problem as file:line:column: text.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Problems are all faults of a file in the order of their positions; nil
// means that there are none.
type Problems []Problem

// String returns one problem a line.
func (p Problems) String() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there are no problems, else an error that lists them all.
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
