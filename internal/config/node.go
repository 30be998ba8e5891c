package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// kind is the type of a JSON value.
type kind uint8

const (
	kindScalar kind = iota // a string, number or boolean
	kindNull               // null; in a merged tree only inside arrays
	kindObject
	kindArray
	kindRemoved // a value that a file removed; only in merged trees
)

// node is a JSON value together with the file that set it.
type node struct {
	kind    kind
	members map[string]*node // of an object, or the removed members of a removed object
	items   []*node          // of an array
	text    string           // JSON text of a scalar or null
	file    string           // file that set or removed the value or created the object
	// overridden names the files whose values this one replaced, in merge order.
	overridden []string
}

func newObject(file string) *node {
	return &node{kind: kindObject, members: map[string]*node{}, file: file}
}

// names returns the names of members in byte order, without removed members.
func (n *node) names() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(n.members)) {
		if n.members[name].kind != kindRemoved {
			names = append(names, name)
		}
	}
	return names
}

// find returns the node at the pointer and the deepest existing node on the path to
// it. found is nil if no file has set a value there.
func (n *node) find(pointer string) (found, deepest *node) {
	names, ok := splitPointer(pointer)
	if !ok {
		return nil, n
	}
	for _, name := range names {
		next := n.child(name)
		if next == nil {
			return nil, n
		}
		n = next
	}
	return n, n
}

// child returns the member of an object, or the item of an array by its index.
func (n *node) child(name string) *node {
	if n.kind != kindArray {
		return n.members[name]
	}
	i, err := strconv.Atoi(name)
	if err != nil || i < 0 || i >= len(n.items) || strconv.Itoa(i) != name {
		return nil
	}
	return n.items[i]
}

// has reports whether the merged document holds a value at the pointer.
func (n *node) has(pointer string) bool {
	found, _ := n.find(pointer)
	return found != nil && found.kind != kindRemoved
}

// contributingFiles returns the files that set, changed or removed the value or a
// part of it, in merge order, which is the byte order of their names.
func (n *node) contributingFiles() []string {
	files := map[string]struct{}{}
	n.collectFiles(files)
	if len(files) == 0 {
		return nil
	}
	return sortedKeys(files)
}

func (n *node) collectFiles(files map[string]struct{}) {
	if n == nil {
		return
	}
	files[n.file] = struct{}{}
	for _, file := range n.overridden {
		files[file] = struct{}{}
	}
	for _, member := range n.members {
		member.collectFiles(files)
	}
}

// remove marks the value and all values below it as removed by a file. Values that
// were removed earlier keep the file that removed them.
func (n *node) remove(file string) {
	if n.kind == kindRemoved {
		return
	}
	files := n.contributingFiles()
	for _, member := range n.members {
		member.remove(file)
	}
	n.kind, n.items, n.text = kindRemoved, nil, ""
	n.file, n.overridden = file, files
}

// appendJSON writes the value as compact JSON with sorted member names.
func (n *node) appendJSON(out *bytes.Buffer) {
	switch n.kind {
	case kindObject:
		out.WriteByte('{')
		for i, name := range n.names() {
			if i > 0 {
				out.WriteByte(',')
			}
			out.WriteString(jsonText(name))
			out.WriteByte(':')
			n.members[name].appendJSON(out)
		}
		out.WriteByte('}')
	case kindArray:
		out.WriteByte('[')
		for i, item := range n.items {
			if i > 0 {
				out.WriteByte(',')
			}
			item.appendJSON(out)
		}
		out.WriteByte(']')
	default:
		out.WriteString(n.text)
	}
}

// json returns the value as compact JSON.
func (n *node) json() string {
	var out bytes.Buffer
	n.appendJSON(&out)
	return out.String()
}

// jsonText returns value as JSON without HTML escaping.
func jsonText(value any) string {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return ""
	}
	return string(bytes.TrimSuffix(out.Bytes(), []byte("\n")))
}
