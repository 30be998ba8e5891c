package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/catalog"
	"boragefall/internal/feed"
	"boragefall/internal/telemetry"
	"boragefall/internal/wire"
)

func newTestStreamServer() (*streamServer, *catalog.Catalog) {
	c := newTestCatalog(2)
	f := feed.New(feed.Config{}, nil, nil, c, nil, telemetry.Silent())
	return &streamServer{catalog: c, feed: f, encoder: newStateEncoder(), olderEras: newOlderEraPeers(), logger: telemetry.Silent()}, c
}

func enterEra(c *catalog.Catalog, version catalog.Version) {
	c.Replace([]catalog.Item{{Key: "10.0.0.2", Version: version}, {Key: "config", Version: version}}, version, time.Now())
}

// Guards against a state that loses its era between two nodes.
func TestStateAnswerCarriesEras(t *testing.T) {
	g := NewWithT(t)
	s, c := newTestStreamServer()
	enterEra(c, catalog.Version{Era: 2, Revision: 7})
	answer := s.stateAnswer(t.Context(), &wire.StateQuery{Revision: 90}, "a")
	g.Expect(answer.GetComplete()).To(BeTrue())
	g.Expect(versionOf(answer)).To(Equal(catalog.Version{Era: 2, Revision: 7}))
	items, err := decodeState(answer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).To(HaveLen(2))
	g.Expect(items[0].Version.Era).To(BeEquivalentTo(2))

	c.Apply([]catalog.Item{{Key: "10.0.0.3", Version: catalog.Version{Era: 2, Revision: 8}}}, catalog.Version{Era: 2, Revision: 8}, time.Now())
	answer = s.stateAnswer(t.Context(), &wire.StateQuery{Era: 2, Revision: 7}, "a")
	g.Expect(answer.GetComplete()).To(BeFalse())
	g.Expect(answer.GetItems()).To(HaveLen(1))
	g.Expect(versionOf(answer.GetItems()[0])).To(Equal(catalog.Version{Era: 2, Revision: 8}))
	g.Expect(s.stateAnswer(t.Context(), &wire.StateQuery{Era: 3, Revision: 1}, "a").GetPackedItems()).To(BeEmpty())
}

// A node of a build without eras asks with its revision alone, whatever it receives. Guards
// against complete copies that are sent to it without a pause.
func TestPeerWithoutErasGetsFewCompleteCopies(t *testing.T) {
	g := NewWithT(t)
	s, c := newTestStreamServer()
	enterEra(c, catalog.Version{Era: 1, Revision: 7})
	query := &wire.StateQuery{Revision: 90, WaitMillis: 5}
	for range maxOlderEraCopies {
		g.Expect(s.stateAnswer(t.Context(), query, "old").GetComplete()).To(BeTrue())
	}
	declined := s.stateAnswer(t.Context(), query, "old")
	g.Expect(declined.GetComplete()).To(BeFalse())
	g.Expect(declined.GetRevision()).To(BeZero(), "the peer takes that for a node without a copy")
	g.Expect(s.stateAnswer(t.Context(), query, "new").GetComplete()).To(BeTrue())

	answer := s.stateAnswer(t.Context(), &wire.StateQuery{Revision: 7, WaitMillis: 5}, "old")
	g.Expect(answer.GetRevision()).To(BeEquivalentTo(7))
	g.Expect(answer.GetPackedItems()).To(BeEmpty())

	s.stateAnswer(t.Context(), &wire.StateQuery{Era: 1, Revision: 7}, "old") // replaced by a new build
	g.Expect(s.stateAnswer(t.Context(), query, "old").GetComplete()).To(BeTrue())
}
