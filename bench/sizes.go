package main

import (
	"fmt"
	"strconv"
	"strings"
)

// sizes is a flag that takes whole numbers separated by commas.
type sizes []int

// String returns the flag's text.
func (s *sizes) String() string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint([]int(*s)), " ", ","), "[]")
}

// Set parses the flag's text.
func (s *sizes) Set(text string) error {
	*s = nil
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 {
			return fmt.Errorf("%q is no size", part)
		}
		*s = append(*s, n)
	}
	return nil
}
