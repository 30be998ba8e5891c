// Package decisions reads the decision logs of nodes, and finds the lines that
// tell what became of one request.
package decisions

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Line is one line of a node's log.
type Line struct {
	// Source names where the line was read: the collector's prefix, or the file.
	Source string
	// At is when it was written, by that host's time of day.
	At time.Time
	// Part is the part of the node that wrote it.
	Part string
	// Request is the id of the request that it is about; empty for others.
	Request string
	// Message says what happened.
	Message string
	// Reason is the typed cause, where there is one.
	Reason string
	// Fields holds everything else, in JSON.
	Fields map[string]json.RawMessage
}

// Parse reads one line of a log. Collectors put a prefix before the JSON, such as
// the host; its words become the source. It reports false for a line that holds
// no decision.
func Parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false // a stack trace, or a line that was cut
	}
	l := Line{Source: strings.TrimSpace(string(text[:start])), Fields: fields}
	l.extract("time", &l.At)
	l.extract("part", &l.Part)
	l.extract("request", &l.Request)
	l.extract("message", &l.Message)
	l.extract("reason", &l.Reason)
	delete(fields, "level")
	return l, l.Message != ""
}

// extract moves a field out of the rest. A field of another type stays there and is
// shown as it is.
func (l *Line) extract(name string, target any) {
	raw, ok := l.Fields[name]
	if ok && json.Unmarshal(raw, target) == nil {
		delete(l.Fields, name)
	}
}

// FormatFields returns the other fields, sorted by name.
func (l *Line) FormatFields() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var out strings.Builder
	for i, name := range names {
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s=%s", name, strings.Trim(string(l.Fields[name]), `"`))
	}
	return out.String()
}
