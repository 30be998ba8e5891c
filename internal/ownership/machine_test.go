package ownership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
	"boragefall/internal/verdict"
)

// TestLeaseNeedsEveryViewInUse gives host g contact with more than half of the hosts
// in only one of two views.
func TestLeaseNeedsEveryViewInUse(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for name, views := range map[string][2][]host.ID{
		"no quorum of the old view": {{"g", "a", "b", "c", "d"}, {"g", "a", "b"}},
		"no quorum of the new view": {{"g", "a", "b"}, {"g", "a", "b", "c", "d", "e"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := New(defaultConfig, "g", start)
			m.SetView(View{Revision: 10, Hosts: views[0]}, start)
			m.floor = 10
			old := m.current().hash
			for _, revision := range []uint64{10, 20} {
				m.SetView(View{Revision: revision, Hosts: views[1]}, start)
				for _, id := range []host.ID{"a", "b"}[:min(2, len(views[1])-len(views[0])+3)] {
					b := Heartbeat{Host: id, Boot: 1, Floor: 10, HasFloor: true, ViewRevision: revision, ViewHash: old, SetSince: revision}
					if revision == 20 {
						b.ViewHash = m.current().hash
					}
					m.HeartbeatReceived(b, start.Add(time.Duration(revision)), start.Add(time.Duration(revision)))
				}
			}
			g.Expect(m.LeaseUntil().After(start)).To(BeFalse())
		})
	}
}

// TestMalformedHeartbeatIsIgnored sends a settled heartbeat without a floor, as from a
// peer whose message lacks the field.
func TestMalformedHeartbeatIsIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	m := New(defaultConfig, "a", now)
	m.SetView(View{Revision: 10, Hosts: []host.ID{"a", "b"}}, now)
	for range 20 {
		now = now.Add(time.Second)
		m.HeartbeatReceived(Heartbeat{Host: "b", Boot: 1, HasFloor: true, ViewRevision: 10, ViewHash: m.current().hash}, now, now)
	}
	g.Expect(m.Heartbeat(now).HasFloor).To(BeFalse())
}

// runFutureKeysAcrossOwners runs keys with timestamps in the future on a host that is
// partitioned and removed from the list, and resends them to its successors, whose
// clocks are behind. It returns the first violation.
func runFutureKeysAcrossOwners(f fault) (violation string) {
	fail := func(format string, args ...any) { violation = fmt.Sprintf(format, args...) }
	w := newSimulation(fail, 1, 3, defaultConfig, f)
	w.congested = false
	for i, p := range w.procs {
		p.offset = -time.Second
		if i == 0 {
			p.offset = time.Second
		}
	}
	w.advance(3 * simLease)
	w.procs[0].partition, w.entries[1].partition = 1, 1
	w.publish([]host.ID{w.procs[1].id, w.procs[2].id})
	w.entries[0].list = w.newest()
	w.deliverList(w.procs[1], w.newest())
	w.deliverList(w.procs[2], w.newest())
	for i := range 80 {
		k := &testKey{fenced: make(map[host.ID]time.Time), created: w.now}
		k.Key = idempotency.Key{Value: fmt.Sprint("k", i), Time: w.now.Add(3 * time.Second)}
		w.send(k, &w.entries[1])
		for retry := range 8 {
			w.after(time.Duration(retry+1)*time.Second, func() { w.send(k, &w.entries[0]) })
		}
		w.advance(100 * time.Millisecond)
	}
	w.advance(10 * time.Second)
	return violation
}

func TestFutureKeysAcrossOwners(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runFutureKeysAcrossOwners(fault{})).To(BeEmpty())
	noMargin := fault{beforeClaim: func(r *snapshot) { r.cfg.ClockBound = 0 }}
	g.Expect(runFutureKeysAcrossOwners(noMargin)).To(ContainSubstring("which ran on"))
}

func TestFailoverAdvancesOnlyAfterFence(t *testing.T) {
	g := NewWithT(t)
	hosts := []host.ID{"a", "b", "c"}
	ranked := Rank("key", hosts)
	w := NewFailover("key", View{Revision: 1, Hosts: hosts})
	next := func() host.ID { id, _ := w.Next(); return id }
	g.Expect(next()).To(Equal(ranked[0]))
	g.Expect(w.RecordRefusal(ranked[0], verdict.Refuse(verdict.ReasonOverloaded, 0))).To(BeFalse())
	g.Expect(next()).To(Equal(ranked[0]))
	fenced := verdict.Refuse(verdict.ReasonOverloaded, 0)
	fenced.Fenced = true
	g.Expect(w.RecordRefusal(ranked[0], fenced)).To(BeTrue())
	g.Expect(next()).To(Equal(ranked[1]))
	g.Expect(w.FencedHosts()).To(Equal(ranked[:1]))
	w.SetView(View{Revision: 2, Hosts: ranked[:1]})
	_, more := w.Next()
	g.Expect(more).To(BeFalse())
	g.Expect(w.UnreachableError(nil).Verdict).To(Equal(verdict.MayHaveRun))
}
