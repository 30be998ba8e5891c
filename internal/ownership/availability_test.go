package ownership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
)

// failure is what befalls a service and the longest stall that it may cause.
type failure struct {
	name   string
	hosts  int
	befall func(w *world)
	// stall bounds the time until a fresh key of every owner runs.
	stall time.Duration
	// others bounds that of the keys whose owner is the same process as before.
	others time.Duration
}

// Bounds of stalls. A list takes up to a heartbeat to show, a lease and its
// margin must pass after that, and one more heartbeat reports its end; then
// fresh keys must be younger than the start of ownership by the key margin.
const (
	none    = 200 * time.Millisecond
	proved  = worldLease + settleMargin + 3*beat
	handed  = proved + 5*time.Second
	horizon = worldHorizon + proved
)

var failures = []failure{
	{"a single host starts", 1, func(w *world) { w.herd(1) }, handed, none},
	{"two hosts start", 2, func(w *world) { w.herd(2) }, handed, none},
	{"all of four hosts restart", 4, func(w *world) { w.herd(4) }, handed, none},
	{"one of four hosts restarts", 4, func(w *world) { w.herd(1) }, handed, none},
	{"three of five hosts restart", 5, func(w *world) { w.herd(3) }, handed, handed},
	{"one of two hosts restarts", 2, func(w *world) { w.herd(1) }, handed, handed},
	{"the list changes elsewhere", 3, func(w *world) { w.relist(0, 1, 2) }, none, none},
	{"a host is added to one", 1, func(w *world) { w.relist(0, 1) }, handed, proved},
	{"a host is added to three", 3, func(w *world) { w.relist(0, 1, 2, 3) }, handed, none},
	{"one of two live hosts leaves the list", 2, func(w *world) { w.relist(0) }, handed, none},
	{"two of four live hosts leave the list", 4, func(w *world) { w.relist(0, 1) }, handed, none},
	{"one of four hosts dies and leaves the list", 4, func(w *world) { w.kill(3); w.relist(0, 1, 2) }, handed, none},
	{"one of two hosts dies and leaves the list", 2, func(w *world) { w.kill(1); w.relist(0) }, horizon + handed, horizon + handed},
	{"three of five hosts die and leave the list", 5, func(w *world) { w.kill(2, 3, 4); w.relist(0, 1) }, horizon + handed, horizon + handed},
	{"all hosts are cut off for a while", 4, func(w *world) { w.isolate(3 * worldLease) }, handed, handed},
	{"all hosts are cut off while the list changes elsewhere", 4, func(w *world) { w.at(2*worldLease, func() { w.relist(0, 1, 2, 3) }); w.isolate(3 * worldLease) }, handed, handed},
}

// herd restarts the first n processes.
func (w *world) herd(n int) {
	for _, p := range w.procs[:n] {
		w.start(p, w.newest())
	}
}

func (w *world) kill(indexes ...int) {
	for _, i := range indexes {
		w.procs[i].alive = false
	}
}

// relist publishes the hosts of the given numbers and tells everybody.
func (w *world) relist(indexes ...int) {
	var ids []host.ID
	for _, i := range indexes {
		for len(w.procs) <= i {
			w.addProcess()
		}
		ids = append(ids, w.procs[i].id)
	}
	w.publish(ids)
	for _, p := range w.procs {
		w.refresh(p, w.newest())
		if p.incarnation == 0 {
			w.start(p, w.newest())
		}
	}
	w.entries[0].list = w.newest()
}

// isolate cuts every host off from all others for d.
func (w *world) isolate(d time.Duration) {
	for i, p := range w.procs {
		p.side = i
	}
	w.run(d)
	for _, p := range w.procs {
		p.side = 0
	}
}

// stalls sends a fresh key per owner each 200 ms and returns how long it took
// until none stalled, over all owners and over those that stood before.
func (w *world) stalls(limit time.Duration) (all, others time.Duration) {
	start, before, after := w.now, w.lists[0], w.lists[w.newest()]
	for w.now.Sub(start) < limit {
		sent := w.now
		pending := make(map[host.ID]*testKey)
		for i := 0; len(pending) < len(after.Hosts); i++ {
			k := &testKey{fenced: make(map[host.ID]time.Time), made: sent}
			k.Key = idempotency.Key{Value: fmt.Sprint(sent.UnixMilli(), "-", i), Time: sent}
			owner := Rank(k.Value, after.Hosts)[0]
			if pending[owner] != nil {
				continue
			}
			pending[owner] = k
			w.send(k, &w.entries[0])
		}
		w.run(none)
		for owner, k := range pending {
			if len(k.runs) > 0 {
				continue
			}
			all = sent.Sub(start) + none
			if Rank(k.Value, before.Hosts)[0] == owner && w.find(owner).incarnation == 1 {
				others = all
			}
		}
	}
	return all, others
}

func TestStallsPerFailure(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t.Fatalf, 1, f.hosts, quick, plant{})
			w.busy = false
			w.run(3 * worldLease)
			f.befall(w)
			all, others := w.stalls(f.stall + 10*time.Second)
			t.Logf("stall %s, of unchanged owners %s", all, others)
			g.Expect(all).To(BeNumerically("<=", f.stall))
			g.Expect(others).To(BeNumerically("<=", f.others))
		})
	}
}

func BenchmarkMayRun(b *testing.B) {
	w := newWorld(b.Fatalf, 1, 6, quick, plant{})
	w.run(3 * worldLease)
	p := w.procs[0]
	c := Claim{Scoped: "a key of ordinary length, a caller's name in front", Key: idempotency.Key{Value: "k", Time: w.now}}
	b.ReportAllocs()
	for b.Loop() {
		p.machine.MayRun(c, w.clock(p))
	}
}
