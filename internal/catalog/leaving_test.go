package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/catalog"
	"boragefall/internal/mesh"
	"boragefall/internal/telemetry"
)

var _ = Describe("a server that states that it leaves", func() {
	var c *catalog.Catalog
	now := time.Now()
	record := func(started int64, revision uint64) catalog.Item {
		return catalog.Item{Key: "sa", Version: at(revision), Value: mustMarshal(mesh.Server{
			ID: "a", Service: "status", Address: "10.0.0.2:80", Slots: 4, StartUnixMillis: started,
		})}
	}

	BeforeEach(func() {
		c = catalog.New(jsonDecoder{}, telemetry.Silent())
		c.Apply([]catalog.Item{record(100, 1)}, at(1), now)
		Expect(c.View().IsUsable("a")).To(BeTrue())
		c.MarkLeaving(c.View().Servers["a"].Server)
	})

	It("is not usable any more", func() {
		Expect(c.View().IsUsable("a")).To(BeFalse())
		Expect(c.View().Usable["status"]).To(BeEmpty())
	})

	// Guards against a heartbeat that makes the server usable again.
	It("stays unusable when its record is written again", func() {
		c.Apply([]catalog.Item{record(100, 2)}, at(2), now)
		Expect(c.View().IsUsable("a")).To(BeFalse())
	})

	// Guards against a record that expires while the store is away and is back after it.
	It("stays unusable when its record ends and comes back", func() {
		c.Apply([]catalog.Item{{Key: "sa", Version: at(2), Deleted: true}}, at(2), now)
		c.Apply([]catalog.Item{record(100, 3)}, at(3), now)
		Expect(c.View().IsUsable("a")).To(BeFalse())
	})

	It("stays unusable while it is suspect", func() {
		c.MarkStoreUnavailable()
		c.Merge(catalog.Changes{Items: []catalog.Item{{Key: "sa", Version: at(2), Deleted: true}}, Version: at(2)}, now)
		Expect(c.View().Servers["a"].Suspect).To(BeTrue())
		Expect(c.View().IsUsable("a")).To(BeFalse())
	})

	It("is usable once it was started again", func() {
		c.Apply([]catalog.Item{record(200, 2)}, at(2), now)
		Expect(c.View().IsUsable("a")).To(BeTrue())
	})
})
