// Package decisions parses the decision logs of nodes and finds the lines about one
// request, to explain its outcome.
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
	// Source is the origin of the line: the log collector's prefix, or the file name.
	Source string
	// At is the time at which the line was written, by the host's wall clock.
	At time.Time
	// Part is the component of the node that wrote the line.
	Part string
	// Request is the ID of the request that the line is about; empty for other lines.
	Request string
	// Message is the log message.
	Message string
	// Reason is the reason of the verdict; empty when the line has none.
	Reason string
	// Fields holds the remaining fields as raw JSON.
	Fields map[string]json.RawMessage
}

// Parse parses one line of a log. Log collectors put a prefix, such as the host name,
// before the JSON object; it becomes the source. Parse returns false for a line without
// a JSON object or without a message.
func Parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false // a stack trace or a truncated line
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

// extract moves a field from Fields to target. A field whose type doesn't match stays in
// Fields and is displayed unchanged.
func (l *Line) extract(name string, target any) {
	raw, ok := l.Fields[name]
	if ok && json.Unmarshal(raw, target) == nil {
		delete(l.Fields, name)
	}
}

// FormatFields formats the remaining fields as name=value pairs, sorted by name.
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
