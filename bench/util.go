package main

import (
	"cmp"
	"context"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// sorted goes over a map in the order of its keys.
func sorted[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

// failedText lists failures by how they ended.
func failedText(failed map[string]int) string {
	if len(failed) == 0 {
		return "-"
	}
	var parts []string
	for how, n := range sorted(failed) {
		parts = append(parts, how+" "+strconv.Itoa(n))
	}
	return strings.Join(parts, ", ")
}

// addCounts adds counts to others.
func addCounts(to, from map[string]int) {
	for name, n := range from {
		to[name] += n
	}
}
