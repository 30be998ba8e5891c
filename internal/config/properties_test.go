package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/config"
)

// anyFolder generates small folders, most of which Build accepts: valid files and
// patches over the same few names, with an occasional error.
func anyFolder() *rapid.Generator[[]config.File] {
	return rapid.Custom(func(t *rapid.T) []config.File {
		files := baseFolder("35.json", `{"services":{"b":{"slots":9,"connections":70}},"dataCentres":{"x":{"region":"south"}},
			"routes":{"r":{"match":{"pathPrefix":"/r"},"service":"b"}}}`)
		for i := range rapid.IntRange(0, 4).Draw(t, "files") {
			tree := map[string]any{}
			for _, kind := range []string{"services", "routes", "callers", "dataCentres", "hosts"} {
				if rapid.Bool().Draw(t, kind) {
					tree[kind] = anyObjects(kind).Draw(t, kind)
				}
			}
			data, err := json.Marshal(tree)
			if err != nil {
				t.Fatal(err)
			}
			files = append(files, config.File{Name: fmt.Sprintf("%d.json", 40+i), Data: data})
		}
		return files
	})
}

func anyObjects(kind string) *rapid.Generator[map[string]any] {
	fields := map[string][]any{
		"services":    {"slots", 4, "slots", 9, "connections", 70, "coldLimit", 2, "coldLimit", 6, "resendWindow", "30s", "warmAfter", nil},
		"routes":      {"service", "status", "service", "b", "retries", 0, "retries", nil, "timeout", "3s", "match", map[string]any{"path": "/x", "pathPrefix": nil}, "match", map[string]any{"methods": []any{"GET"}}},
		"callers":     {"weight", 5, "weight", nil, "weight", 7, "weight", 101},
		"dataCentres": {"region", "north", "leaving", true, "leaving", false, "leaving", nil},
		"hosts":       {"leaving", true, "leaving", false},
	}[kind]
	names := map[string][]string{"services": {"status", "b"}, "routes": {"lookup", "r"}}[kind]
	if names == nil {
		names = []string{"esbjerg", "x"}
	}
	return rapid.Custom(func(t *rapid.T) map[string]any {
		objects := map[string]any{}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "names") {
			if rapid.IntRange(0, 19).Draw(t, "remove") == 0 {
				objects[name] = nil
				continue
			}
			object := map[string]any{}
			for range rapid.IntRange(0, 3).Draw(t, "fields") {
				i := 2 * rapid.IntRange(0, len(fields)/2-1).Draw(t, "field")
				object[fields[i].(string)] = fields[i+1]
			}
			objects[name] = object
		}
		return objects
	})
}

func TestBuildIgnoresTheOrderOfItsInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		files := anyFolder().Draw(t, "files")
		if rapid.Bool().Draw(t, "twice") {
			files = append(files, config.File{Name: files[0].Name, Data: []byte(`{"epoch":9}`)})
		}
		shuffled := rapid.Permutation(files).Draw(t, "shuffled")
		snapshot, report := config.Build(3, files)
		rebuilt, rebuiltReport := config.Build(3, shuffled)
		g.Expect(rebuiltReport).To(Equal(report))
		g.Expect(rebuilt).To(Equal(snapshot))
		g.Expect(snapshot == nil).To(Equal(!report.OK()), "Build must return a snapshot for an accepted folder only")
	})
}

// anyJSON generates JSON values with few names, so that patches often change
// existing members.
func anyJSON(depth int) *rapid.Generator[any] {
	scalar := rapid.SampledFrom([]any{nil, true, "s", json.Number("1"), json.Number("1e400")})
	if depth == 0 {
		return scalar
	}
	return rapid.OneOf(scalar,
		rapid.Map(rapid.SliceOfN(anyJSON(depth-1), 0, 2), func(items []any) any { return items }),
		rapid.Map(anyObject(depth-1), func(object map[string]any) any { return object }))
}

func anyObject(depth int) *rapid.Generator[map[string]any] {
	return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "~/"}), anyJSON(depth), 0, 3)
}

// rfc7396 is a literal translation of the pseudocode in RFC 7396, section 2.
func rfc7396(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := target.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	for name, value := range changes {
		if value == nil {
			delete(object, name)
		} else {
			object[name] = rfc7396(object[name], value)
		}
	}
	return object
}

func TestMergeFollowsRFC7396(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var files []config.File
		var want any = map[string]any{}
		for i := range rapid.IntRange(1, 4).Draw(t, "files") {
			data, err := json.Marshal(anyObject(3).Draw(t, "patch"))
			g.Expect(err).NotTo(HaveOccurred())
			files = append(files, config.File{Name: fmt.Sprintf("%d.json", i), Data: data})
			want = rfc7396(want, parseJSON(g, data))
		}
		merged := config.MergeTrees(files)
		g.Expect(parseJSON(g, merged)).To(Equal(want))
	})
}

func parseJSON(g *WithT, data []byte) any {
	var value any
	decoder := config.NumberDecoder(data)
	g.Expect(decoder.Decode(&value)).To(Succeed())
	return value
}

// valueAt returns the value at the path of names, if there is one.
func valueAt(value any, names []string) (any, bool) {
	for _, name := range names {
		object, ok := value.(map[string]any)
		if !ok {
			return nil, false
		}
		if value, ok = object[name]; !ok {
			return nil, false
		}
	}
	return value, true
}

func TestExplainNamesTheLastFileThatSetTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		files := anyFolder().Draw(t, "files")
		provenance, err := config.Explain(files, "")
		g.Expect(err).NotTo(HaveOccurred())
		for _, origin := range provenance.Origins {
			if origin.Source != config.SourceFile || string(origin.Value) == "{}" {
				continue
			}
			var settingFiles []string
			for _, f := range files {
				value, ok := valueAt(parseJSON(g, f.Data), config.SplitPointer(origin.Pointer))
				if ok && value != nil {
					settingFiles = append(settingFiles, f.Name)
				}
			}
			g.Expect(origin.File).To(Equal(settingFiles[len(settingFiles)-1]), origin.Pointer)
			for _, overridden := range origin.Overridden {
				g.Expect(overridden < origin.File).To(BeTrue())
			}
			for _, file := range settingFiles[:len(settingFiles)-1] {
				g.Expect(origin.Overridden).To(ContainElement(file), origin.Pointer)
			}
		}
	})
}

func TestDefaultsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		snapshot, report := config.Build(1, anyFolder().Draw(t, "files"))
		if !report.OK() {
			return
		}
		data, err := json.Marshal(snapshot.Document)
		g.Expect(err).NotTo(HaveOccurred())
		rebuilt, report := config.Build(1, []config.File{{Name: "all.json", Data: data}})
		g.Expect(report.Problems).To(BeEmpty(), "Build must accept a document that has its defaults")
		g.Expect(rebuilt.Document).To(Equal(snapshot.Document))
	})
}

func TestDiffIsEmptyOnlyForEqualDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, reportA := config.Build(1, anyFolder().Draw(t, "a"))
		b, reportB := config.Build(1, anyFolder().Draw(t, "b"))
		if !reportA.OK() || !reportB.OK() {
			return
		}
		g.Expect(config.DiffDocuments(a.Document, a.Document)).To(BeEmpty())
		changes, reversed := config.DiffDocuments(a.Document, b.Document), config.DiffDocuments(b.Document, a.Document)
		g.Expect(reversed).To(HaveLen(len(changes)))
		opposite := map[config.ChangeKind]config.ChangeKind{config.ChangeAdded: config.ChangeRemoved, config.ChangeRemoved: config.ChangeAdded}
		for i, c := range changes {
			g.Expect(reversed[i].Name).To(Equal(c.Name))
			if kind, ok := opposite[c.Kind]; ok {
				g.Expect(reversed[i].Kind).To(Equal(kind))
			}
		}
		for _, document := range []*config.Document{a.Document, b.Document} {
			for id, mark := range document.Hosts {
				if !mark.Leaving { // equivalent to no mark
					delete(document.Hosts, id)
				}
			}
		}
		g.Expect(len(changes) == 0).To(Equal(slices.Equal(asJSON(g, a.Document), asJSON(g, b.Document))))
	})
}

func asJSON(g *WithT, document *config.Document) []byte {
	data, err := json.Marshal(document)
	g.Expect(err).NotTo(HaveOccurred())
	return data
}

// FuzzBuild looks for files on which Build panics, or which it accepts but builds
// differently from its own output.
func FuzzBuild(f *testing.F) {
	f.Add([]byte(`{"services":{"status":{"slots":1,"connections":1}}}`), []byte(`{"services":{"status":null}}`))
	f.Add([]byte(`{"routes":{"r":{"match":{"methods":[null,{}],"path":"/%"}}}}`), []byte(`{"routes":{"r":[]}}`))
	f.Add([]byte(`{"epoch":18446744073709551616}`), []byte("{\"\\ud800\":1}"))
	f.Add([]byte("\xef\xbb\xbf{}"), []byte("{\"a\xff\":1}"))
	f.Add([]byte(`{"hosts":{"a/~":{"leaving":true}},"dataCentres":{"":{"region":""}}}`), []byte(`{}{}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		g := NewWithT(t)
		files := append(baseFolder(), filesFrom("50.json", string(first), "60.json", string(second))...)
		snapshot, report := config.Build(1, files)
		g.Expect(snapshot == nil).To(Equal(!report.OK()))
		if _, err := config.Explain(files, ""); report.OK() {
			g.Expect(err).NotTo(HaveOccurred())
		}
		if !report.OK() {
			return
		}
		rebuilt, _ := config.Build(1, snapshot.Files)
		g.Expect(rebuilt).To(Equal(snapshot))
		merged, _ := config.Merge(files)
		fromMerged, report := config.Build(1, filesFrom("all.json", string(merged)))
		g.Expect(report.Problems).To(BeEmpty())
		g.Expect(fromMerged.Document).To(Equal(snapshot.Document))
	})
}
