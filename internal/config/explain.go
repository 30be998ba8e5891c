package config

import (
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"
)

// Source tells whether a value was set by a file, removed by a file or defaulted.
type Source string

// Sources of values.
const (
	SourceFile    Source = "file"    // a file set the value
	SourceRemoved Source = "removed" // a file removed the value
	SourceDefault Source = "default" // no file sets the value
)

// Origin describes where one value comes from.
type Origin struct {
	// Pointer is the JSON pointer of the value.
	Pointer string `json:"pointer"`
	// Value is the value as JSON; it is empty if a file removed it.
	Value json.RawMessage `json:"value,omitempty"`
	// Source tells whether the value was set, removed or defaulted.
	Source Source `json:"source"`
	// File is the name of the file that set or removed the value; empty for a default.
	File string `json:"file,omitempty"`
	// Overridden lists the files whose values were replaced, in merge order.
	Overridden []string `json:"overrode,omitempty"`
}

// Provenance lists the origin of each value at and below a pointer.
type Provenance struct {
	// Pointer is the requested JSON pointer.
	Pointer string `json:"pointer"`
	// Origins is ordered by the member names along each path. An array or an empty
	// object counts as one value.
	Origins []Origin `json:"origins"`
}

// Explain returns which file set each value at and below the pointer, and which
// files it overrode. It also works for a folder that Build rejects, as long as
// every file can be parsed. If any value has the wrong type, defaults are left
// out. Errors: ErrBadPointer, ErrNoValue, or ErrRejected if the folder is over its
// limits or a file can't be parsed.
func Explain(files []File, pointer string) (Provenance, error) {
	if _, ok := splitPointer(pointer); !ok {
		return Provenance{}, eris.Wrapf(ErrBadPointer, "%q", pointer)
	}
	merged, err := mergeFolder(files)
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

func mergeFolder(files []File) (*node, error) {
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

// addDefaults copies values from complete that are absent or removed in merged. A
// removed value without a default stays marked as removed.
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
