package config

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// Build merges files in byte order of their names by RFC 7396, checks the
// result and returns the snapshot whose version is the document's epoch and the
// revision. It is deterministic: the same files in any order give the same
// result in every process. If there are problems, the snapshot is nil and the
// report lists all of them.
func Build(revision uint64, files []File) (*Snapshot, *Report) {
	sorted := sortedCopy(files)
	document, _, report := compile(sorted)
	if !report.OK() {
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

// Merge returns the merged document as compact JSON, with member names in byte
// order and without defaults. The JSON is nil if the report has problems.
func Merge(files []File) ([]byte, *Report) {
	_, merged, report := compile(sortedCopy(files))
	if !report.OK() {
		return nil, report
	}
	return []byte(merged.json()), report
}

// compile parses, merges, decodes and checks sorted files. The document is
// returned without defaults and is invalid if the report has problems.
func compile(sorted []File) (*Document, *node, *Report) {
	report := &Report{Problems: []Problem{}}
	document := &Document{}
	if !checkFolderLimits(sorted, report) {
		return document, newObject(""), report
	}
	merged, complete := mergeFiles(sorted, report)
	typeProblems := decodeDocument(merged, document)
	report.Problems = append(report.Problems, typeProblems...)
	c := &checker{document: document, merged: merged, complete: complete, mistyped: pointersOf(typeProblems), report: report}
	c.check()
	report.sort()
	return document, merged, report
}

func decodeDocument(merged *node, document *Document) []Problem {
	report := &Report{}
	decode(merged, reflect.ValueOf(document).Elem(), "", report)
	return report.Problems
}

func pointersOf(problems []Problem) map[string]bool {
	pointers := make(map[string]bool, len(problems))
	for _, p := range problems {
		pointers[p.Pointer] = true
	}
	return pointers
}

// checkFolderLimits reports whether the folder holds any files and is within
// the limits on file count and total size.
func checkFolderLimits(sorted []File, report *Report) bool {
	if len(sorted) == 0 {
		report.add(Problem{Message: "no configuration files", Hint: "to clear a configuration on purpose, keep one file that holds {}"})
		return false
	}
	if len(sorted) > MaxFiles {
		report.add(Problem{Message: fmt.Sprintf("%d files, over the limit of %d", len(sorted), MaxFiles), Hint: "combine small files"})
		return false
	}
	total := 0
	for _, f := range sorted {
		total += len(f.Data)
	}
	if total > MaxTotalBytes {
		report.add(Problem{Message: fmt.Sprintf("%d bytes in all, over the limit of %d", total, MaxTotalBytes)})
		return false
	}
	return true
}

// mergeFiles returns the merged tree and whether every file could be parsed.
func mergeFiles(sorted []File, report *Report) (merged *node, complete bool) {
	merged, complete = newObject(""), true
	for i, f := range sorted {
		if i > 0 && f.Name == sorted[i-1].Name {
			report.add(Problem{File: f.Name, Message: "two files have this name"})
			continue
		}
		tree := parseFile(f, report)
		if tree == nil {
			complete = false
			continue
		}
		checkMembers(tree, reflect.TypeFor[Document](), "", report)
		mergeInto(merged, tree)
	}
	return merged, complete
}

// sortedCopy returns a deep copy of files in byte order of their names. Files
// with the same name are ordered by content, so that the report on duplicate
// names doesn't depend on the input order either.
func sortedCopy(files []File) []File {
	sorted := make([]File, 0, len(files))
	for _, f := range files {
		sorted = append(sorted, File{Name: f.Name, Data: bytes.Clone(f.Data)})
	}
	slices.SortFunc(sorted, func(a, b File) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), bytes.Compare(a.Data, b.Data))
	})
	return sorted
}
