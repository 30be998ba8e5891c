package config

import (
	"fmt"
	"reflect"
)

// treeOf returns a document, or a part of it, as a tree. It includes zero numbers,
// zero durations and false, but leaves out empty strings, lists and maps and nil
// pointers.
func treeOf(value reflect.Value) *node {
	t := value.Type()
	switch {
	case isScalar(t):
		return &node{kind: kindScalar, text: jsonText(value.Interface())}
	case t.Kind() == reflect.Slice:
		array := &node{kind: kindArray}
		for i := range value.Len() {
			array.items = append(array.items, treeOf(value.Index(i)))
		}
		return array
	case t.Kind() == reflect.Map:
		object := newObject("")
		for _, key := range value.MapKeys() {
			object.members[fmt.Sprint(key.Interface())] = treeOf(value.MapIndex(key))
		}
		return object
	default:
		object := newObject("")
		for _, field := range schemaFields(t) {
			if member := value.Field(field.index); !isEmpty(member) {
				object.members[field.name] = treeOf(member)
			}
		}
		return object
	}
}

// isEmpty reports whether a field holds no value. Zero numbers and false are
// values.
func isEmpty(value reflect.Value) bool {
	switch value.Kind() {
	case reflect.String, reflect.Map, reflect.Slice:
		return value.Len() == 0
	case reflect.Pointer:
		return value.IsNil()
	default:
		return false
	}
}
