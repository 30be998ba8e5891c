package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one reason to reject a configuration.
type Problem struct {
	// File is the name of the file; empty for the folder as a whole.
	File string `json:"file,omitempty"`
	// Pointer is the JSON pointer (RFC 6901) of the invalid value.
	Pointer string `json:"pointer,omitempty"`
	// Message describes the problem.
	Message string `json:"what"`
	// Hint suggests how to fix the problem.
	Hint string `json:"hint,omitempty"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s: ", p.File)
	}
	if p.Pointer != "" {
		fmt.Fprintf(&b, "%s: ", p.Pointer)
	}
	b.WriteString(p.Message)
	if p.Hint != "" {
		fmt.Fprintf(&b, " (%s)", p.Hint)
	}
	return b.String()
}

// Report holds all problems of a folder.
type Report struct {
	Problems []Problem `json:"problems"`
}

// OK reports whether the configuration may be applied.
func (r *Report) OK() bool {
	return len(r.Problems) == 0
}

func (r *Report) add(p Problem) {
	r.Problems = append(r.Problems, p)
}

// sort orders the problems by file, pointer, message and hint, and drops
// duplicates.
func (r *Report) sort() {
	slices.SortFunc(r.Problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Pointer, b.Pointer),
			cmp.Compare(a.Message, b.Message), cmp.Compare(a.Hint, b.Hint))
	})
	r.Problems = slices.Compact(r.Problems)
}

// Error returns all problems, one per line.
func (r *Report) Error() string {
	lines := make([]string, 0, len(r.Problems))
	for _, p := range r.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
