package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Build merges files in byte order of their names, checks the result and
// returns the snapshot of the version (epoch of the document, revision). It is
// pure: the same bytes give the same result in every process. A report with
// problems comes with a nil snapshot.
func Build(revision uint64, files []File) (*Snapshot, *Report) {
	sorted := sortedCopy(files)
	report := &Report{}
	merged := mergeFiles(sorted, report)
	if !report.OK() {
		return nil, report
	}
	document := &Document{}
	decoder := json.NewDecoder(bytes.NewReader(merged))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		report.add(Problem{What: err.Error()})
		return nil, report
	}
	document.applyDefaults()
	return &Snapshot{
		Version:  Version{Epoch: document.Epoch, Revision: revision},
		Hash:     ManifestOf(sorted).Hash(),
		Files:    sorted,
		Document: document,
	}, report
}

// sortedCopy returns files in byte order of their names. It shares no memory
// with files.
func sortedCopy(files []File) []File {
	sorted := make([]File, 0, len(files))
	for _, f := range files {
		sorted = append(sorted, File{Name: f.Name, Data: bytes.Clone(f.Data)})
	}
	slices.SortStableFunc(sorted, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

func mergeFiles(sorted []File, report *Report) []byte {
	merged := []byte("{}")
	for _, f := range sorted {
		next, err := jsonpatch.MergePatch(merged, f.Data)
		if err != nil {
			report.add(Problem{File: f.Name, What: err.Error()})
			continue
		}
		merged = next
	}
	return merged
}
