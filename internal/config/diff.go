package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the kind of difference between two states of an object.
type ChangeKind string

// Change kinds.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// ObjectKind is a kind of configuration object.
type ObjectKind string

// Object kinds. A leaving mark takes a data centre or host out of service;
// removing the mark returns it to service.
const (
	ObjectEpoch          ObjectKind = "epoch"
	ObjectService        ObjectKind = "service"
	ObjectRoute          ObjectKind = "route"
	ObjectCaller         ObjectKind = "caller"
	ObjectDataCentre     ObjectKind = "data centre"
	ObjectDataCentreMark ObjectKind = "leaving mark of data centre"
	ObjectHostMark       ObjectKind = "leaving mark of host"
)

// FieldChange is the difference of one field.
type FieldChange struct {
	// Field is the JSON pointer inside the object.
	Field string `json:"field"`
	// Before and After are JSON; empty means that there is no value.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Change is the difference of one object between two documents.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Object ObjectKind `json:"object"`
	// Name is the object's name; empty for the epoch.
	Name string `json:"name,omitempty"`
	// Fields lists the fields that differ in a changed object.
	Fields []FieldChange `json:"fields,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	var b strings.Builder
	b.WriteString(string(c.Object))
	if c.Name != "" {
		fmt.Fprintf(&b, " %s", c.Name)
	}
	fmt.Fprintf(&b, " %s", c.Kind)
	for i, f := range c.Fields {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		fmt.Fprintf(&b, "%s%s", separator, f)
	}
	return b.String()
}

// String returns the field's pointer with the values before and after.
func (f FieldChange) String() string {
	before, after := f.Before, f.After
	if before == "" {
		before = "none"
	}
	if after == "" {
		after = "none"
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s -> %s", strings.TrimPrefix(f.Field, pointerSeparator), before, after))
}

// DiffDocuments returns the changes from a to b as changes of the epoch, services,
// routes, callers, data centres and leaving marks, each kind ordered by name. Both
// documents must have their defaults applied, as those of snapshots do. It returns
// no changes for two equivalent documents.
func DiffDocuments(a, b *Document) []Change {
	var changes []Change
	if fields := fieldChanges(treeOfValue(a.Epoch), treeOfValue(b.Epoch)); len(fields) > 0 {
		changes = append(changes, Change{Kind: ChangeChanged, Object: ObjectEpoch, Fields: fields})
	}
	changes = append(changes, diffObjects(ObjectService, a.Services, b.Services)...)
	changes = append(changes, diffObjects(ObjectRoute, a.Routes, b.Routes)...)
	changes = append(changes, diffObjects(ObjectCaller, a.Callers, b.Callers)...)
	changes = append(changes, diffObjects(ObjectDataCentre, withoutLeaving(a.DataCentres), withoutLeaving(b.DataCentres))...)
	changes = append(changes, diffObjects(ObjectDataCentreMark,
		leavingNames(a.DataCentres, DataCentre.isLeaving), leavingNames(b.DataCentres, DataCentre.isLeaving))...)
	return append(changes, diffObjects(ObjectHostMark,
		leavingNames(a.Hosts, HostMark.isLeaving), leavingNames(b.Hosts, HostMark.isLeaving))...)
}

func diffObjects[K ~string, V any](object ObjectKind, a, b map[K]V) []Change {
	var changes []Change
	names := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		before, inA := a[name]
		after, inB := b[name]
		change := Change{Kind: ChangeChanged, Object: object, Name: string(name)}
		switch {
		case !inA:
			change.Kind = ChangeAdded
		case !inB:
			change.Kind = ChangeRemoved
		default:
			change.Fields = fieldChanges(treeOfValue(before), treeOfValue(after))
			if len(change.Fields) == 0 {
				continue
			}
		}
		changes = append(changes, change)
	}
	return changes
}

// fieldChanges compares two values leaf by leaf.
func fieldChanges(a, b *node) []FieldChange {
	before, after := leaves(a), leaves(b)
	pointers := append(sortedKeys(before), sortedKeys(after)...)
	slices.Sort(pointers)
	var fields []FieldChange
	for _, pointer := range slices.Compact(pointers) {
		if before[pointer] != after[pointer] {
			fields = append(fields, FieldChange{Field: pointer, Before: before[pointer], After: after[pointer]})
		}
	}
	return fields
}

func leaves(n *node) map[string]string {
	values := map[string]string{}
	for _, origin := range appendOrigins(nil, n, "") {
		values[origin.Pointer] = string(origin.Value)
	}
	return values
}

func treeOfValue(value any) *node {
	return treeOf(reflect.ValueOf(value))
}

func (d DataCentre) isLeaving() bool { return d.Leaving }

func (m HostMark) isLeaving() bool { return m.Leaving }

// leavingNames returns the names of the elements that have a leaving mark.
func leavingNames[K ~string, V any](elements map[K]V, leaving func(V) bool) map[K]struct{} {
	names := map[K]struct{}{}
	for name, element := range elements {
		if leaving(element) {
			names[name] = struct{}{}
		}
	}
	return names
}

func withoutLeaving[K ~string](dataCentres map[K]DataCentre) map[K]DataCentre {
	stripped := make(map[K]DataCentre, len(dataCentres))
	for name, d := range dataCentres {
		d.Leaving = false
		stripped[name] = d
	}
	return stripped
}
