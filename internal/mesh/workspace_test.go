package mesh_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"boragefall/internal/mesh"
)

func priority(n int) *int { return &n }

func TestKeyWithUnclearHolderOpensNothing(t *testing.T) {
	g := NewWithT(t)
	table, defects := mesh.NewWorkspaceTable([]mesh.Workspace{
		{Name: "a", Keys: []mesh.APIKey{"k1", "shared", "k1"}},
		{Name: "b", Keys: []mesh.APIKey{"shared", "k2", ""}},
		{Name: "c", Keys: []mesh.APIKey{"shared"}},
	})
	g.Expect(table.Holder("k1").Name).To(Equal("a"))
	g.Expect(table.Holder("k2").Name).To(Equal("b"))
	g.Expect(table.Holder("shared")).To(BeNil())
	g.Expect(table.Holder("")).To(BeNil())
	g.Expect(table.Holder("unknown")).To(BeNil())
	g.Expect(defects).To(HaveLen(3))
}

func TestInvalidWorkspaceIsLeftOutAlone(t *testing.T) {
	for name, invalid := range map[string]mesh.Workspace{
		"without a name":           {Keys: []mesh.APIKey{"x"}},
		"with the name of another": {Name: "good", Keys: []mesh.APIKey{"x"}},
		"with a negative rate":     {Name: "w", Keys: []mesh.APIKey{"x"}, Quota: mesh.Quota{Rate: -1}},
		"with a negative burst":    {Name: "w", Keys: []mesh.APIKey{"x"}, Quota: mesh.Quota{Rate: 1, Burst: -1}},
		"with a negative priority": {Name: "w", Keys: []mesh.APIKey{"x"}, Priority: priority(-1)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table, defects := mesh.NewWorkspaceTable([]mesh.Workspace{{Name: "good", Keys: []mesh.APIKey{"k"}}, invalid})
			g.Expect(table.Holder("k").Name).To(Equal("good"))
			g.Expect(table.Holder("x")).To(BeNil())
			g.Expect(defects).To(HaveLen(1))
		})
	}
}

func TestKeysAreHiddenInText(t *testing.T) {
	g := NewWithT(t)
	w := mesh.Workspace{Name: "a", Keys: []mesh.APIKey{"secret"}}
	data, err := json.Marshal(w)
	g.Expect(err).NotTo(HaveOccurred())
	text := fmt.Sprintf("%v %+v %#v %s %q %s", w, w, w, w.Keys[0], w.Keys[0], data)
	g.Expect(strings.Contains(text, "secret")).To(BeFalse(), text)
}

func TestPriorityOfWorkspacePrecedesPriorityOfRoute(t *testing.T) {
	g := NewWithT(t)
	urgent, normal := &mesh.Workspace{Priority: priority(0)}, &mesh.Workspace{Priority: priority(1)}
	first, second := &mesh.Route{Priority: 1}, &mesh.Route{Priority: 2}
	ranks := []int{
		mesh.Rank(first, urgent), mesh.Rank(second, urgent), mesh.Rank(first, normal), mesh.Rank(second, normal), mesh.Rank(second, nil),
	}
	for i := 1; i < len(ranks); i++ {
		g.Expect(ranks[i-1]).To(BeNumerically("<", ranks[i]), "rank %d", i)
	}
	g.Expect(mesh.Rank(second, &mesh.Workspace{})).To(Equal(mesh.Rank(second, nil)))
}
