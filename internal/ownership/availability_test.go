package ownership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
)

// failure is a fault of a service with the longest stall that it may cause.
type failure struct {
	name   string
	hosts  int
	inject func(w *simulation)
	// stall bounds the time until a new key of every owner runs.
	stall time.Duration
	// unchanged bounds the time for keys whose owner is the same process as before.
	unchanged time.Duration
}

// Bounds on stalls. A list takes up to one heartbeat to arrive, then the lease and
// its margin must pass, and one more heartbeat reports their end. After that, new
// keys must have been created later than the start of ownership by the key margin.
const (
	noStall       = 200 * time.Millisecond
	floorBound    = simLease + leaseMargin + 3*heartbeatInterval
	handoverBound = floorBound + 5*time.Second
	horizonBound  = simHorizon + floorBound
)

var failures = []failure{
	{"a single host starts", 1, func(w *simulation) { w.restartFirst(1) }, handoverBound, noStall},
	{"two hosts start", 2, func(w *simulation) { w.restartFirst(2) }, handoverBound, noStall},
	{"all of four hosts restart", 4, func(w *simulation) { w.restartFirst(4) }, handoverBound, noStall},
	{"one of four hosts restarts", 4, func(w *simulation) { w.restartFirst(1) }, handoverBound, noStall},
	{"three of five hosts restart", 5, func(w *simulation) { w.restartFirst(3) }, handoverBound, handoverBound},
	{"one of two hosts restarts", 2, func(w *simulation) { w.restartFirst(1) }, handoverBound, handoverBound},
	{"the list changes for other services", 3, func(w *simulation) { w.setHosts(0, 1, 2) }, noStall, noStall},
	{"a host is added to one host", 1, func(w *simulation) { w.setHosts(0, 1) }, handoverBound, floorBound},
	{"a host is added to three hosts", 3, func(w *simulation) { w.setHosts(0, 1, 2, 3) }, handoverBound, noStall},
	{"one of two live hosts leaves the list", 2, func(w *simulation) { w.setHosts(0) }, handoverBound, noStall},
	{"two of four live hosts leave the list", 4, func(w *simulation) { w.setHosts(0, 1) }, handoverBound, noStall},
	{"one of four hosts dies and leaves the list", 4, func(w *simulation) { w.kill(3); w.setHosts(0, 1, 2) }, handoverBound, noStall},
	{"one of two hosts dies and leaves the list", 2, func(w *simulation) { w.kill(1); w.setHosts(0) }, horizonBound + handoverBound, horizonBound + handoverBound},
	{"three of five hosts die and leave the list", 5, func(w *simulation) { w.kill(2, 3, 4); w.setHosts(0, 1) }, horizonBound + handoverBound, horizonBound + handoverBound},
	{"all hosts are partitioned for a while", 4, func(w *simulation) { w.isolate(3 * simLease) }, handoverBound, handoverBound},
	{"all hosts are partitioned while the list changes for other services", 4, func(w *simulation) { w.after(2*simLease, func() { w.setHosts(0, 1, 2, 3) }); w.isolate(3 * simLease) }, handoverBound, handoverBound},
}

// restartFirst restarts the first n processes.
func (w *simulation) restartFirst(n int) {
	for _, p := range w.procs[:n] {
		w.start(p, w.newest())
	}
}

func (w *simulation) kill(indexes ...int) {
	for _, i := range indexes {
		w.procs[i].alive = false
	}
}

// setHosts publishes a list of the hosts with the given indexes and delivers it to all
// processes.
func (w *simulation) setHosts(indexes ...int) {
	var ids []host.ID
	for _, i := range indexes {
		for len(w.procs) <= i {
			w.addProcess()
		}
		ids = append(ids, w.procs[i].id)
	}
	w.publish(ids)
	for _, p := range w.procs {
		w.deliverList(p, w.newest())
		if p.incarnation == 0 {
			w.start(p, w.newest())
		}
	}
	w.entries[0].list = w.newest()
}

// isolate partitions every host from all others for d.
func (w *simulation) isolate(d time.Duration) {
	for i, p := range w.procs {
		p.partition = i
	}
	w.advance(d)
	for _, p := range w.procs {
		p.partition = 0
	}
}

// measureStalls sends a new key per owner every 200 ms and returns how long it took
// until no key stalled, over all owners and over the unchanged ones.
func (w *simulation) measureStalls(limit time.Duration) (all, unchanged time.Duration) {
	start, before, after := w.now, w.lists[0], w.lists[w.newest()]
	for w.now.Sub(start) < limit {
		sent := w.now
		pending := make(map[host.ID]*testKey)
		for i := 0; len(pending) < len(after.Hosts); i++ {
			k := &testKey{fenced: make(map[host.ID]time.Time), created: sent}
			k.Key = idempotency.Key{Value: fmt.Sprint(sent.UnixMilli(), "-", i), Time: sent}
			owner := Rank(k.Value, after.Hosts)[0]
			if pending[owner] != nil {
				continue
			}
			pending[owner] = k
			w.send(k, &w.entries[0])
		}
		w.advance(noStall)
		for owner, k := range pending {
			if len(k.runs) > 0 {
				continue
			}
			all = sent.Sub(start) + noStall
			if Rank(k.Value, before.Hosts)[0] == owner && w.find(owner).incarnation == 1 {
				unchanged = all
			}
		}
	}
	return all, unchanged
}

func TestStallsPerFailure(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newSimulation(t.Fatalf, 1, f.hosts, defaultConfig, fault{})
			w.congested = false
			w.advance(3 * simLease)
			f.inject(w)
			all, unchanged := w.measureStalls(f.stall + 10*time.Second)
			t.Logf("stall of all owners %s, of unchanged owners %s", all, unchanged)
			g.Expect(all).To(BeNumerically("<=", f.stall))
			g.Expect(unchanged).To(BeNumerically("<=", f.unchanged))
		})
	}
}

func BenchmarkMayRun(b *testing.B) {
	w := newSimulation(b.Fatalf, 1, 6, defaultConfig, fault{})
	w.advance(3 * simLease)
	p := w.procs[0]
	c := Claim{ScopedKey: "a key of ordinary length, a caller's name in front", Key: idempotency.Key{Value: "k", Time: w.now}}
	b.ReportAllocs()
	for b.Loop() {
		p.machine.MayRun(c, w.clock(p))
	}
}
