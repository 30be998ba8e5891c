package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// The schema is the Go type Document itself: the fields of a struct are the known
// members of an object, maps accept any member, slices are arrays, and all other
// types are scalars.

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// schemaField is a member that an object of the schema may have.
type schemaField struct {
	name  string
	index int
}

func schemaFields(t reflect.Type) []schemaField {
	fields := make([]schemaField, 0, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields = append(fields, schemaField{name: name, index: i})
	}
	return fields
}

func isScalar(t reflect.Type) bool {
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		return true
	}
	return t.Kind() != reflect.Struct && t.Kind() != reflect.Map && t.Kind() != reflect.Slice
}

// checkMembers reports every member of the tree that is not in the schema. It runs
// on each file before the merge, so that a misspelt name set to null is found too.
func checkMembers(tree *node, t reflect.Type, pointer string, report *Report) {
	if tree.kind != kindObject || isScalar(t) {
		return
	}
	if t.Kind() == reflect.Map {
		for _, name := range tree.names() {
			checkMembers(tree.members[name], t.Elem(), joinPointer(pointer, name), report)
		}
		return
	}
	if t.Kind() != reflect.Struct {
		return
	}
	fields := schemaFields(t)
	for _, name := range tree.names() {
		i := slices.IndexFunc(fields, func(f schemaField) bool { return f.name == name })
		if i < 0 {
			report.add(unknownField(tree.file, joinPointer(pointer, name), fields))
			continue
		}
		checkMembers(tree.members[name], t.Field(fields[i].index).Type, joinPointer(pointer, name), report)
	}
}

func unknownField(file, pointer string, fields []schemaField) Problem {
	known := make([]string, 0, len(fields))
	for _, field := range fields {
		known = append(known, field.name)
	}
	return Problem{File: file, Pointer: pointer, Message: "unknown field", Hint: "known here: " + strings.Join(known, ", ")}
}

// decode fills value from the merged tree and reports every value whose type
// does not match the schema. Members that are not in the schema are skipped.
func decode(tree *node, value reflect.Value, pointer string, report *Report) {
	t := value.Type()
	switch {
	case isScalar(t):
		decodeScalar(tree, value, pointer, report)
	case t.Kind() == reflect.Slice && tree.kind == kindArray:
		value.Set(reflect.MakeSlice(t, len(tree.items), len(tree.items)))
		for i, item := range tree.items {
			decode(item, value.Index(i), joinPointer(pointer, fmt.Sprint(i)), report)
		}
	case t.Kind() == reflect.Map && tree.kind == kindObject:
		decodeMap(tree, value, pointer, report)
	case t.Kind() == reflect.Struct && tree.kind == kindObject:
		for _, field := range schemaFields(t) {
			member := tree.members[field.name]
			if member != nil && member.kind != kindRemoved {
				decode(member, value.Field(field.index), joinPointer(pointer, field.name), report)
			}
		}
	default:
		report.add(typeMismatch(tree, t, pointer))
	}
}

func decodeMap(tree *node, value reflect.Value, pointer string, report *Report) {
	t := value.Type()
	value.Set(reflect.MakeMap(t))
	for _, name := range tree.names() {
		element := reflect.New(t.Elem()).Elem()
		decode(tree.members[name], element, joinPointer(pointer, name), report)
		value.SetMapIndex(reflect.ValueOf(name).Convert(t.Key()), element)
	}
}

func decodeScalar(tree *node, value reflect.Value, pointer string, report *Report) {
	if tree.kind != kindScalar {
		report.add(typeMismatch(tree, value.Type(), pointer))
		return
	}
	if err := json.Unmarshal([]byte(tree.text), value.Addr().Interface()); err != nil {
		report.add(typeMismatch(tree, value.Type(), pointer))
	}
}

func typeMismatch(tree *node, want reflect.Type, pointer string) Problem {
	return Problem{
		File: tree.file, Pointer: pointer,
		Message: fmt.Sprintf("%s is not %s", truncate(tree.json()), typeDescription(want)),
	}
}

// typeDescription describes a type of the schema in terms of JSON.
func typeDescription(t reflect.Type) string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == reflect.TypeFor[Duration]():
		return `a duration such as "2s" or "150ms"`
	case t.Kind() == reflect.Struct || t.Kind() == reflect.Map:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "an array"
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Uint64:
		return "a whole number of 0 or more"
	default:
		return "a whole number"
	}
}
