package config

import (
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"
)

// Source says how a value came about.
type Source string

// Sources of values.
const (
	SourceFile    Source = "file"    // a file set the value
	SourceRemoved Source = "removed" // a file removed the value
	SourceDefault Source = "default" // no file states the value
)

// Origin says where one value comes from.
type Origin struct {
	// Pointer is the JSON pointer of the value.
	Pointer string `json:"pointer"`
	// Value is the value as JSON; it is empty if a file removed it.
	Value json.RawMessage `json:"value,omitempty"`
	// Source says how the value came about.
	Source Source `json:"source"`
	// File is the file that set or removed the value; it is empty for a default.
	File string `json:"file,omitempty"`
	// Overridden names the files whose values were replaced, in merge order.
	Overridden []string `json:"overrode,omitempty"`
}

// Provenance says where each value at and below a pointer comes from.
type Provenance struct {
	// Pointer is the JSON pointer that was asked for.
	Pointer string `json:"pointer"`
	// Origins is ordered by the names on the way to each value. Arrays and empty
	// objects are one value each.
	Origins []Origin `json:"origins"`
}

// Explain says which file set each value at and below the pointer, and which
// files it overrode. It also explains a folder that Build rejects, as long as
// every file can be read; values that no file states are then left out if a
// value of a wrong type stands anywhere. Errors: ErrBadPointer, ErrNoValue, or
// ErrRejected for files that can't be read.
func Explain(files []File, pointer string) (Provenance, error) {
	if _, ok := splitPointer(pointer); !ok {
		return Provenance{}, eris.Wrapf(ErrBadPointer, "%q", pointer)
	}
	merged, err := mergeReadable(files)
	if err != nil {
		return Provenance{}, err
	}
	if document := (&Document{}); len(decodeDocument(merged, document)) == 0 {
		document.applyDefaults()
		addDefaults(merged, treeOf(reflect.ValueOf(document).Elem()))
	}
	found, _ := merged.find(pointer)
	if found == nil {
		return Provenance{}, eris.Wrapf(ErrNoValue, "%q", pointer)
	}
	return Provenance{Pointer: pointer, Origins: appendOrigins(nil, found, pointer)}, nil
}

func mergeReadable(files []File) (*node, error) {
	sorted, report := sortedCopy(files), &Report{}
	if !checkFolderLimits(sorted, report) {
		return nil, eris.Wrap(ErrRejected, report.Error())
	}
	merged, complete := mergeFiles(sorted, report)
	if !complete {
		return nil, eris.Wrap(ErrRejected, report.Error())
	}
	return merged, nil
}

// addDefaults puts into merged what only complete has. A value that a file
// removed stays marked as removed if it has no default.
func addDefaults(merged, complete *node) {
	for name, value := range complete.members {
		old := merged.members[name]
		switch {
		case old == nil:
			merged.members[name] = value
		case old.kind == kindRemoved:
			value.overridden = old.contributingFiles()
			merged.members[name] = value
		case old.kind == kindObject && value.kind == kindObject:
			addDefaults(old, value)
		}
	}
}

func appendOrigins(origins []Origin, n *node, pointer string) []Origin {
	if n.kind == kindObject && len(n.members) > 0 {
		for _, name := range sortedKeys(n.members) {
			origins = appendOrigins(origins, n.members[name], joinPointer(pointer, name))
		}
		return origins
	}
	origin := Origin{Pointer: pointer, Source: SourceFile, File: n.file, Overridden: n.overridden}
	if n.kind == kindRemoved {
		origin.Source = SourceRemoved
	} else {
		origin.Value = json.RawMessage(n.json())
	}
	if n.file == "" {
		origin.Source = SourceDefault
	}
	return append(origins, origin)
}
