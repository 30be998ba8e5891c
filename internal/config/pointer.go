package config

import "strings"

// JSON pointers (RFC 6901) are strings; "" refers to the whole document.

const pointerSeparator = "/"

// joinPointer appends names to pointer, with "~" and "/" escaped.
func joinPointer(pointer string, names ...string) string {
	for _, name := range names {
		escaped := strings.ReplaceAll(name, "~", "~0")
		escaped = strings.ReplaceAll(escaped, pointerSeparator, "~1")
		pointer += pointerSeparator + escaped
	}
	return pointer
}

// splitPointer returns the unescaped names in a pointer. It returns false if the
// text is not a pointer.
func splitPointer(pointer string) ([]string, bool) {
	if pointer == "" {
		return nil, true
	}
	rest, ok := strings.CutPrefix(pointer, pointerSeparator)
	if !ok {
		return nil, false
	}
	names := strings.Split(rest, pointerSeparator)
	for i, name := range names {
		name = strings.ReplaceAll(name, "~1", pointerSeparator)
		names[i] = strings.ReplaceAll(name, "~0", "~")
	}
	return names, true
}
