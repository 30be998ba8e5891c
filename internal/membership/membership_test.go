package membership

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if !explicit[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(math.Round(seconds*1000)) * time.Millisecond)
}

func ownRecord(id host.ID, boot int64) host.Record {
	return host.Record{ID: id, BootMillis: boot, Address: "10.0.0.1:1", Service: "light", State: host.StateCold,
		Place: datacentre.Place{Region: "west", DataCentre: "esbjerg"}}
}

func listOf(revision uint64, ids ...host.ID) *host.List {
	list := &host.List{Revision: revision}
	for _, id := range ids {
		rec := ownRecord(id, 0)
		list.Hosts = append(list.Hosts, host.Listing{ID: id, Address: rec.Address, Place: rec.Place, Service: rec.Service})
	}
	list.Sort()
	return list
}

type viewRecorder struct{ views []*View }

func (l *viewRecorder) ViewChanged(v *View) { l.views = append(l.views, v) }

var _ = Describe("Registry", func() {
	var r *Registry
	recorder := &viewRecorder{}
	receive := func(seconds float64, records ...host.Record) {
		in := &wire.Gossip{}
		for _, rec := range records {
			in.Records = append(in.Records, recordToWire(rec))
		}
		r.MergeGossip(at(seconds), in, nil)
	}
	member := func(id host.ID) Member {
		m, _ := r.View().Find(id)
		return m
	}
	BeforeEach(func() {
		recorder = &viewRecorder{}
		r = NewRegistry(Config{}, ownRecord("a", 1), start, recorder)
		r.ApplyHostList(start, listOf(1, "a", "b", "c"))
	})

	DescribeTable("marks a host as leaving if any source does",
		func(change func()) {
			Expect(member("b").Leaving).To(BeFalse())
			change()
			Expect(member("b").Leaving).To(BeTrue())
			Expect(member("b").ID).To(Equal(host.ID("b")))
		},
		Entry("configuration of the host", func() {
			r.ApplyConfig(at(1), &config.Snapshot{Document: &config.Document{Hosts: map[host.ID]config.HostMark{"b": {Leaving: true}}}})
		}),
		Entry("configuration of its data centre", func() {
			r.ApplyConfig(at(1), &config.Snapshot{Document: &config.Document{
				DataCentres: map[datacentre.ID]config.DataCentre{"esbjerg": {Leaving: true}}}})
		}),
		Entry("host list", func() {
			list := listOf(2, "a", "b")
			list.Hosts[1].Leaving = true
			r.ApplyHostList(at(1), list)
		}),
		Entry("record of the host", func() {
			rec := ownRecord("b", 5)
			rec.State = host.StateLeaving
			receive(1, rec)
		}),
	)

	It("clears the leaving state of a host's own record after its restart, but not that of the host list", func() {
		rec := ownRecord("b", 5)
		rec.State = host.StateLeaving
		receive(1, rec, ownRecord("b", 6))
		Expect(member("b").Leaving).To(BeFalse())
		list := listOf(2, "a", "b")
		list.Hosts[1].Leaving = true
		r.ApplyHostList(at(2), list)
		receive(3, ownRecord("b", 7))
		Expect(member("b").Leaving).To(BeTrue())
	})

	It("keeps a host that answered after its removal from the host list until the timeout", func() {
		receive(1, ownRecord("b", 5))
		r.ObserveContact("b", at(1))
		r.ApplyHostList(at(2), listOf(2, "a", "c"))
		Expect(member("b").ID).To(BeEmpty(), "an answer from before the list change must not keep the host")
		r.ObserveContact("b", at(3))
		Expect(member("b").Unlisted).To(BeTrue())
		r.Tick(at(13.5))
		Expect(member("b").ID).To(BeEmpty())
		r.Tick(at(40))
		Expect(r.records.byHost).NotTo(HaveKey(host.ID("b")))
	})

	It("marks an unreachable host as suspect until it answers or the timeout passes", func() {
		r.ObserveFailure("b", at(1))
		r.ObserveFailure("c", at(1))
		Expect([]bool{member("b").Suspect, member("c").Suspect}).To(Equal([]bool{true, true}))
		r.ObserveContact("b", at(2))
		Expect(member("b").Suspect).To(BeFalse())
		r.Tick(at(6.1))
		Expect(member("c").Suspect).To(BeFalse())
	})

	It("supersedes a record of an earlier process on its host whose clock was ahead", func() {
		receive(1, ownRecord("a", 99))
		Expect(r.Own().NewerThan(ownRecord("a", 99))).To(BeTrue())
	})

	It("notifies its listeners of each view once, and of merged records at the next tick", func() {
		before := len(recorder.views)
		receive(1, ownRecord("b", 5))
		Expect(recorder.views).To(HaveLen(before))
		r.Tick(at(1.1))
		r.Tick(at(1.2))
		Expect(recorder.views).To(HaveLen(before + 1))
		Expect(recorder.views[before].ForService("light")).To(HaveLen(3))
	})

	It("replies with only the eight-byte record hash when the records are equal", func() {
		other := NewRegistry(Config{}, ownRecord("b", 1), start)
		other.ApplyHostList(start, listOf(1, "a", "b", "c"))
		gossipExchange(r, other, at(30))
		gossipExchange(r, other, at(60))
		hashOnly := &wire.Gossip{RecordHash: r.records.hash()}
		reply := &wire.Gossip{}
		other.MergeGossip(at(61), hashOnly, reply)
		Expect(hashOnly.RecordHash).NotTo(BeZero())
		Expect(proto.Size(reply)).To(Equal(9))
	})
})

var _ = Describe("PauseDetector", func() {
	It("reports a pause of the process, but no gap of a second or less", func() {
		var gaps []time.Duration
		d := NewPauseDetector(func(gap time.Duration) { gaps = append(gaps, gap) })
		for _, seconds := range []float64{0, 0.1, 1.1, 4.1, 4.2} {
			d.Tick(at(seconds))
		}
		Expect(gaps).To(Equal([]time.Duration{3 * time.Second}))
	})
})

// gossipExchange sends a gossip message from a to b, with the replies and follow-ups.
func gossipExchange(a, b *Registry, now time.Time) {
	out := &wire.Gossip{}
	a.AddRecordHash(out)
	a.AddPendingRecords(now, out)
	for out != nil {
		reply := &wire.Gossip{}
		b.MergeGossip(now, out, reply)
		out = a.MergeReply(now, reply)
	}
}

// TestRecordsConverge applies random message loss, delayed delivery, restarts and record
// changes. After that, lossless gossip must bring the newest record of each host to every
// registry.
func TestRecordsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var ids []host.ID
		for i := range rapid.IntRange(3, 9).Draw(t, "hosts") {
			ids = append(ids, host.ID(fmt.Sprint("h", i)))
		}
		now := start
		lastBoot := int64(0)
		newRegistry := func(id host.ID) *Registry {
			lastBoot++
			r := NewRegistry(Config{}, ownRecord(id, lastBoot), now)
			r.ApplyHostList(now, listOf(1, ids...))
			return r
		}
		registries := make([]*Registry, len(ids))
		for i, id := range ids {
			registries[i] = newRegistry(id)
		}
		gossipRound := func(lossPercent int) {
			now = now.Add(time.Second)
			for i, r := range registries {
				r.Tick(now)
				if j := random.IntN(len(registries)); j != i && random.IntN(100) >= lossPercent {
					gossipExchange(r, registries[j], now)
				}
			}
		}
		var delayed []*wire.Gossip
		deliver := func(to *Registry, message *wire.Gossip) {
			before := to.View()
			to.MergeGossip(now, message, &wire.Gossip{})
			to.Tick(now)
			for _, m := range before.Members {
				after, _ := to.View().Find(m.ID)
				g.Expect(m.Record.NewerThan(after.Record)).To(BeFalse(), "record of %s was replaced by an older one", m.ID)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(ids)-1).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				registries[i].UpdateOwn(now, host.StateWarm, random.Uint32(), nil)
			case 1:
				registries[i] = newRegistry(ids[i])
			case 2:
				gossipRound(rapid.IntRange(0, 100).Draw(t, "loss"))
			case 3:
				registries[i].UpdateOwn(now, host.StateLeaving, 0, []uint64{random.Uint64()})
			case 4:
				delayed = append(delayed, &wire.Gossip{Records: []*wire.HostRecord{recordToWire(registries[i].Own())}})
			case 5:
				if len(delayed) > 0 {
					deliver(registries[i], delayed[random.IntN(len(delayed))])
				}
			}
		}
		for range 60 {
			gossipRound(0)
		}
		for i, id := range ids {
			for _, r := range registries {
				g.Expect(r.records.byHost[id].record).To(Equal(registries[i].Own()), "newest record of %s", id)
				m, _ := r.View().Find(id)
				g.Expect(m.Leaving).To(Equal(registries[i].Own().State == host.StateLeaving))
			}
		}
	})
}
