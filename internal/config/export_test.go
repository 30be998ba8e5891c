package config

import (
	"bytes"
	"encoding/json"
)

// MergeTrees merges files without checking them against the schema.
func MergeTrees(files []File) []byte {
	merged, report := newObject(""), &Report{}
	for _, f := range sortedCopy(files) {
		if tree := parseFile(f, report); tree != nil {
			mergeInto(merged, tree)
		}
	}
	if !report.OK() {
		panic(report.Error())
	}
	return []byte(merged.json())
}

// SplitPointer returns the names in a pointer.
func SplitPointer(pointer string) []string {
	names, _ := splitPointer(pointer)
	return names
}

// NumberDecoder returns a decoder that decodes numbers as json.Number.
func NumberDecoder(data []byte) *json.Decoder {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return decoder
}
