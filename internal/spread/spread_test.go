package spread

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spread")
}

// specFailer fails the current spec.
type specFailer struct{}

func (specFailer) Fatalf(format string, args ...any) {
	Fail(fmt.Sprintf(format, args...))
}

// newConvergedWorld returns a world in which all nodes have applied the first versions.
func newConvergedWorld(nodes, centres int) *world {
	w := newWorld(specFailer{}, 1, nodes, centres)
	w.startAll()
	w.settle(20 * time.Second)
	w.run(5 * time.Second)
	return w
}

// nodesByRole returns the nodes that are readers, or those that are not.
func (w *world) nodesByRole(readers bool) []*testNode {
	var out []*testNode
	for _, n := range w.nodes {
		if role, _ := n.process.m.role(w.now); (role == RoleReader) == readers {
			out = append(out, n)
		}
	}
	return out
}

var _ = Describe("Spread", func() {
	It("distributes a change to 200 nodes within 2 s", func() {
		w := newConvergedWorld(200, 4)
		for revision := uint64(11); revision < 21; revision++ {
			w.publishConfig(revision, testDocument{})
			Expect(w.settle(10 * time.Second)).To(BeNumerically("<=", 2*time.Second))
			w.run(3 * time.Second)
		}
	})

	It("restores all restarted nodes during a source outage if one node kept running", func() {
		w := newConvergedWorld(30, 3)
		w.source.unavailable = true
		w.startAllBut(w.nodes[7])
		Expect(w.settle(20 * time.Second)).To(BeNumerically("<=", 5*time.Second))
	})

	It("recovers from a restart of all nodes once the source is available", func() {
		w := newConvergedWorld(30, 3)
		w.source.unavailable = true
		w.startAll()
		w.run(time.Minute)
		Expect(w.behind()).To(HaveLen(30))
		w.source.unavailable = false
		w.settle(convergenceLimit)
	})

	It("makes few source reads when all nodes restart", func() {
		w := newConvergedWorld(60, 3)
		before := w.reads
		w.startAll()
		Expect(w.settle(20 * time.Second)).To(BeNumerically("<=", 5*time.Second))
		Expect(w.reads - before).To(BeNumerically("<", 40)) // 12 of them by readers
	})

	It("stays within the read rate limit during a source outage", func() {
		w := newConvergedWorld(60, 3)
		w.source.unavailable = true
		w.run(2 * time.Minute)
		before := w.reads
		w.run(2 * time.Minute)
		// 54 standbys read once per 10 s; the backoff of 6 readers is 10 s at most.
		Expect(w.reads - before).To(BeNumerically("<=", 54*12+6*2*60))
		Expect(w.reads - before).To(BeNumerically(">=", 54*10))
	})

	It("ignores a restored source until its epoch rises", func() {
		w := newConvergedWorld(12, 2)
		backup := w.source.folders
		w.publishConfig(20, testDocument{})
		w.settle(10 * time.Second)
		w.source.folders = backup
		w.run(20 * time.Second)
		Expect(w.behind()).To(BeEmpty())
		Expect(w.nodesByRole(true)[0].process.m.Status(w.now).Counters.StaleReads).NotTo(BeZero())
		w.publishConfig(11, testDocument{Epoch: 1})
		w.settle(10 * time.Second)
	})

	It("follows the host list of a restored source once the epoch rises", func() {
		w := newConvergedWorld(12, 2)
		w.publishHosts(20)
		w.settle(10 * time.Second)
		w.publishHosts(11)
		w.run(10 * time.Second)
		Expect(w.behind()).To(BeEmpty())
		w.publishConfig(11, testDocument{Epoch: 1})
		w.source.publish(1, w.source.folders[1])
		w.settle(10 * time.Second)
		Expect(w.source.newest[1]).To(Equal(config.Version{Epoch: 1, Revision: 11}))
	})

	It("starts with its peers' version when the source is stale at boot", func() {
		w := newConvergedWorld(12, 2)
		stale := w.source.folders
		w.publishConfig(20, testDocument{})
		w.settle(10 * time.Second)
		w.source.stale = &stale
		w.configure = func(c *Config, _ host.Listing) { c.BootJitter = 1 }
		for _, n := range w.nodes[1:] {
			w.start(n)
			w.run(time.Second)
		}
		w.settle(10 * time.Second)
	})

	It("selects new readers after the readers fail", func() {
		w := newConvergedWorld(20, 2)
		dead := w.nodesByRole(true)
		Expect(dead).To(HaveLen(4))
		for _, n := range dead {
			n.process = nil
		}
		w.run(20 * time.Second)
		watching := 0
		for _, n := range w.nodes {
			if n.process != nil && len(n.process.watches) > 0 {
				watching++
			}
		}
		Expect(watching).To(BeNumerically(">=", 4))
		w.publishConfig(11, testDocument{})
		Expect(w.settle(20 * time.Second)).To(BeNumerically("<=", 2*time.Second))
	})

	It("reads the source on both sides of a partition", func() {
		w := newConvergedWorld(20, 2)
		for _, n := range w.nodesByRole(false) {
			n.group = 1
		}
		w.publishConfig(11, testDocument{})
		w.settle(15 * time.Second)
	})

	It("converges after a partition heals, without the source", func() {
		w := newConvergedWorld(20, 2)
		for _, n := range w.nodesByRole(false) {
			n.group, n.sourceUnreachable = 1, true
		}
		w.publishConfig(11, testDocument{})
		w.run(3 * time.Second)
		Expect(w.behind()).To(HaveLen(16))
		w.source.unavailable = true
		w.healLinks()
		Expect(w.settle(20 * time.Second)).To(BeNumerically("<=", 5*time.Second))
	})

	It("does not revert to an older version that a paused reader read", func() {
		w := newConvergedWorld(20, 2)
		reader := w.nodesByRole(true)[0]
		w.publishConfig(11, testDocument{})
		w.run(30 * time.Millisecond) // the watch has ended, its response is in transit
		reader.pausedUntil = w.now.Add(time.Minute)
		w.publishConfig(12, testDocument{})
		w.run(65 * time.Second)
		Expect(w.behind()).To(BeEmpty())
		Expect(reader.process.m.Status(w.now).Counters.Pauses).To(Equal(uint64(1)))
	})
})

// singleMachine is a machine whose inputs are made by the test.
type singleMachine struct {
	*Machine
	now time.Time
}

func newSingleMachine(peers ...string) *singleMachine {
	now := time.Unix(1_700_000_000, 0)
	return &singleMachine{NewMachine(Config{BootPeers: peers}, host.Listing{ID: "me", Address: "me"}, testValidator{},
		rand.New(rand.NewPCG(1, 1)), now), now}
}

// gossipHolding returns the gossip of a peer that holds a bundle.
func gossipHolding(b *Bundle) *wire.Gossip {
	return &wire.Gossip{Host: "peer", SourceAgeMillis: neverContacted, Documents: []*wire.DocumentVersion{
		{Kind: b.Kind, Version: versionToWire(b.Version), ManifestHash: b.Hash[:]}}}
}

func testBundle(revision uint64) *Bundle {
	return newBundle(KindConfig, config.Version{Revision: revision},
		[]config.File{{Name: "a.json", Data: fmt.Appendf(nil, `{"text":"%d"}`, revision)}}, nil)
}

// answer returns the answer of a peer that holds the bundle to a pull.
func answer(b *Bundle, p SendPull) *wire.PullAnswer {
	holder := newSingleMachine()
	holder.documents[0].current = b
	return holder.HandlePullRequest(holder.now, p.Message)
}

// pullOf returns the only pull among effects.
func pullOf(effects []Effect) SendPull {
	var pulls []SendPull
	for _, e := range effects {
		if p, ok := e.(SendPull); ok {
			pulls = append(pulls, p)
		}
	}
	Expect(pulls).To(HaveLen(1))
	return pulls[0]
}

var _ = Describe("Machine", func() {
	It("starts with no version older than one announced by a peer that then failed", func() {
		m := newSingleMachine("newer", "older")
		m.Tick(m.now)
		m.GossipAnswered(m.now, "newer", gossipHolding(testBundle(11)))
		first := pullOf(m.GossipAnswered(m.now, "older", gossipHolding(testBundle(10))))
		Expect(first.Address).To(Equal("newer"))
		Expect(m.HandlePullFailure(m.now, first.ID)).To(BeEmpty())
		m.SourceRead(m.now, KindConfig, 10, testBundle(10).Files)
		Expect(m.Current(KindConfig)).To(BeNil())
		m.SourceRead(m.now, KindConfig, 11, testBundle(11).Files)
		Expect(m.Current(KindConfig).Version.Revision).To(Equal(uint64(11)))
	})

	It("applies reordered and duplicate updates once", func() {
		m := newSingleMachine("peer")
		m.Tick(m.now)
		manifest := pullOf(m.GossipAnswered(m.now, "peer", gossipHolding(testBundle(11))))
		files := pullOf(m.HandlePullAnswer(m.now, manifest.ID, answer(testBundle(11), manifest)))
		m.SourceRead(m.now, KindConfig, 12, testBundle(12).Files) // a newer version arrives during the pull
		for range 2 {
			m.HandlePullAnswer(m.now, files.ID, answer(testBundle(11), files))
			m.HandlePullAnswer(m.now, manifest.ID, answer(testBundle(11), manifest))
			m.GossipAnswered(m.now, "peer", gossipHolding(testBundle(11)))
			m.SourceRead(m.now, KindConfig, 11, testBundle(11).Files)
		}
		Expect(m.Current(KindConfig).Version.Revision).To(Equal(uint64(12)))
		Expect(m.Status(m.now).Counters.Applied).To(Equal(uint64(1)))
	})

	It("keeps the current version when a new one is invalid, and reports the reason", func() {
		m := newSingleMachine()
		m.Tick(m.now)
		m.SourceRead(m.now, KindConfig, 10, testBundle(10).Files)
		bad := []config.File{{Name: "a.json", Data: []byte(`{"bad":true}`)}}
		for range 3 {
			m.SourceRead(m.now, KindConfig, 11, bad)
		}
		status := m.Status(m.now)
		Expect(status.Config.Revision).To(Equal(uint64(10)))
		Expect(status.Rejected).To(HaveLen(1))
		Expect(status.Rejected[0].Reason).To(Equal("bad document"))
	})

	It("orders host lists across epochs by their revision alone", func() {
		before, _ := JoinHostList(config.Version{Revision: 7}, nil)
		after, _ := JoinHostList(config.Version{Epoch: 1, Revision: 7}, nil)
		Expect(before.Revision).To(Equal(uint64(7)))
		Expect(after.Revision).To(BeNumerically(">", uint64(1<<epochShift)))
	})

	It("splits a host list so that a change of one host changes one shard", func() {
		w := newWorld(specFailer{}, 1, 500, 4)
		before := config.ManifestOf(spreadFiles(1, w.source.folders[1]))
		w.nodes[77].listing.Leaving = true
		w.publishHosts(11)
		after := config.ManifestOf(spreadFiles(1, w.source.folders[1]))
		changed := 0
		for i := range after {
			if after[i] != before[i] {
				changed++
				Expect(after[i].Size).To(BeNumerically("<", 3000))
			}
		}
		Expect([]int{len(before), len(after), changed}).To(Equal([]int{hostListShards, hostListShards, 1}))
	})

	DescribeTable("rejects a malformed host list",
		func(data string) {
			_, err := SplitHostList(7, []config.File{{Name: "hosts.json", Data: []byte(data)}})
			Expect(errors.Is(err, ErrBadHostList)).To(BeTrue())
		},
		Entry("unknown field", `{"revision":7,"hosts":[{"id":"a","address":"10.0.0.1:1"}],"more":1}`),
		Entry("another revision", `{"revision":8,"hosts":[{"id":"a","address":"10.0.0.1:1"}]}`),
		Entry("bytes after the list", `{"revision":7,"hosts":[{"id":"a","address":"10.0.0.1:1"}]} {}`),
		Entry("no host", `{"revision":7,"hosts":[]}`),
		Entry("a host twice", `{"revision":7,"hosts":[{"id":"a","address":"10.0.0.1:1"},{"id":"a","address":"10.0.0.2:1"}]}`),
		Entry("a name for an address", `{"revision":7,"hosts":[{"id":"a","address":"example:1"}]}`),
	)
})

var _ = Describe("Budget", func() {
	It("limits control bytes to the rate, prefers urgent classes and starves no class", func() {
		now := time.Unix(0, 0)
		b := NewBudget(7000, 16000, now)
		const seconds = 100
		longest := [classCount]time.Duration{}
		last := [classCount]time.Time{now, now, now, now}
		for i := range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			for class := classCount; class > 0; {
				class-- // least urgent first, so that only the reserves limit it
				if class == ClassLeaving && i%10 != 0 {
					continue
				}
				for sent := 0; sent < 4 && b.Allow(now, class); sent++ {
					b.Charge(now, class, 420)
					longest[class] = max(longest[class], now.Sub(last[class]))
					last[class] = now
				}
			}
		}
		for class := range classCount {
			longest[class] = max(longest[class], now.Sub(last[class]))
		}
		total := uint64(0)
		for _, sent := range b.Sent {
			total += sent
		}
		Expect(total).To(BeNumerically("<=", 7000*seconds+16000+7000+1000))
		Expect(longest[ClassLeaving]).To(Equal(time.Second))
		Expect(longest[ClassVersions]).To(BeNumerically("<=", time.Second))
		Expect(longest[ClassAntiEntropy]).To(BeNumerically("<=", 2*starvationLimit))
		Expect(b.Sent[ClassAntiEntropy]).To(BeNumerically("<", b.Sent[ClassVersions]/2))
		Expect(b.Deferred[ClassAntiEntropy]).NotTo(BeZero())
	})
})
