package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"
)

// fileNamePattern permits only lower case, so that byte order is the order
// that operators expect and no two names differ by case alone.
var fileNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*\.json$`)

const utf8ByteOrderMark = "\xef\xbb\xbf"

// parser reads one file into a tree and adds the problems it finds to report.
type parser struct {
	file    string
	decoder *json.Decoder
	report  *Report
}

// parseFile returns the tree of a file, or nil if the file can't be parsed or is
// not an object.
func parseFile(f File, report *Report) *node {
	checkFileName(f.Name, report)
	if problem, ok := checkSyntax(f.Data); !ok {
		problem.File = f.Name
		report.add(problem)
		return nil
	}
	p := &parser{file: f.Name, decoder: json.NewDecoder(bytes.NewReader(f.Data)), report: report}
	p.decoder.UseNumber()
	tree := p.value("", 0)
	if tree == nil {
		return nil
	}
	if tree.kind != kindObject {
		report.add(Problem{File: f.Name, Message: "the top level is not an object", Hint: "start the file with {"})
		return nil
	}
	return tree
}

func checkFileName(name string, report *Report) {
	if len(name) <= MaxNameBytes && fileNamePattern.MatchString(name) {
		return
	}
	report.add(Problem{
		File:    name,
		Message: "bad file name",
		Hint:    fmt.Sprintf("use lower-case letters, digits, '.', '_' and '-', at most %d bytes, ending in .json", MaxNameBytes),
	})
}

// checkSyntax checks that data is UTF-8 without a byte order mark and is one JSON
// value. It reports the position of the first invalid byte.
func checkSyntax(data []byte) (Problem, bool) {
	if bytes.HasPrefix(data, []byte(utf8ByteOrderMark)) {
		return Problem{Message: "starts with a byte order mark", Hint: "save the file as UTF-8 without one"}, false
	}
	if !utf8.Valid(data) {
		return Problem{
			Message: fmt.Sprintf("not UTF-8 at %s", lineAndColumn(data, invalidUTF8Offset(data))),
			Hint:    "save the file as UTF-8",
		}, false
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return Problem{}, true
	}
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return Problem{Message: err.Error()}, false
	}
	return Problem{
		Message: fmt.Sprintf("not JSON at %s: %s", lineAndColumn(data, int(syntax.Offset)-1), syntax.Error()),
		Hint:    "a file holds one JSON object and nothing after it; JSON has no comments and no trailing commas",
	}, false
}

func invalidUTF8Offset(data []byte) int {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return len(data)
}

// lineAndColumn formats the line and column of an offset, both counted from 1.
func lineAndColumn(data []byte, offset int) string {
	before := data[:min(max(offset, 0), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return fmt.Sprintf("line %d, column %d", line, column)
}

// value reads the next value. It reports a problem and returns nil if the nesting
// is too deep or the file ends early. depth is the number of objects and arrays
// that enclose the value.
func (p *parser) value(pointer string, depth int) *node {
	token, err := p.decoder.Token()
	if err != nil {
		p.report.add(Problem{File: p.file, Pointer: pointer, Message: err.Error()})
		return nil
	}
	delim, composite := token.(json.Delim)
	switch {
	case !composite && token == nil:
		return &node{kind: kindNull, text: "null", file: p.file}
	case !composite:
		return &node{kind: kindScalar, text: jsonText(token), file: p.file}
	case depth >= MaxDepth:
		p.report.add(Problem{
			File: p.file, Pointer: pointer,
			Message: fmt.Sprintf("nested deeper than %d levels", MaxDepth),
			Hint:    "no configuration value is nested this deep; look for a misplaced bracket",
		})
		return nil
	case delim == '{':
		return p.object(pointer, depth+1)
	default:
		return p.array(pointer, depth+1)
	}
}

func (p *parser) object(pointer string, depth int) *node {
	object := newObject(p.file)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			p.report.add(Problem{File: p.file, Pointer: pointer, Message: "a member has no name"})
			return nil
		}
		memberPointer := joinPointer(pointer, name)
		member := p.value(memberPointer, depth)
		if member == nil {
			return nil
		}
		if _, duplicate := object.members[name]; duplicate {
			p.report.add(Problem{
				File: p.file, Pointer: memberPointer,
				Message: "duplicate key", Hint: "set the key once; to replace a value, use a file with a later name",
			})
			continue
		}
		object.members[name] = member
	}
	return p.readClosing(object, pointer)
}

func (p *parser) array(pointer string, depth int) *node {
	array := &node{kind: kindArray, file: p.file}
	for p.decoder.More() {
		item := p.value(joinPointer(pointer, fmt.Sprint(len(array.items))), depth)
		if item == nil {
			return nil
		}
		array.items = append(array.items, item)
	}
	return p.readClosing(array, pointer)
}

// readClosing reads the closing bracket of a composite value and returns the value.
func (p *parser) readClosing(composite *node, pointer string) *node {
	if _, err := p.decoder.Token(); err != nil {
		p.report.add(Problem{File: p.file, Pointer: pointer, Message: err.Error()})
		return nil
	}
	return composite
}

// truncate shortens JSON text that is too long for one line of a report.
func truncate(text string) string {
	const maxRunes = 60
	runes := []rune(text)
	if len(runes) <= maxRunes {
		return text
	}
	return strings.TrimSpace(string(runes[:maxRunes])) + "..."
}
