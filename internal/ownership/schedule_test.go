package ownership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
)

// strictConfig makes no assumption about a simultaneous restart of all processes.
var strictConfig = Config{Lease: simLease, Horizon: simHorizon, ResendWindow: simResendWindow, BootstrapWait: simHorizon}

// defaultConfig has the default bootstrap wait, which assumes that the listed
// processes of a service never all restart while a gate off the list still works.
var defaultConfig = Config{Lease: simLease, Horizon: simHorizon, ResendWindow: simResendWindow, BootstrapWait: simLease}

// newKey creates a key from a caller's clock that may be off by some seconds.
func (w *simulation) newKey(t *rapid.T) *testKey {
	k := &testKey{fenced: make(map[host.ID]time.Time), created: w.now}
	k.Value = fmt.Sprintf("k%d", len(w.keys))
	if rapid.IntRange(0, 4).Draw(t, "timed") > 0 {
		ahead := rapid.SampledFrom([]int{0, -1, -2, -3, 1, 2, 2, 4, 12}).Draw(t, "ahead")
		k.Time = w.now.Add(time.Duration(ahead) * time.Second)
	}
	w.keys = append(w.keys, k)
	return k
}

// sendKeys creates keys and sends each several times through random entries.
func (w *simulation) sendKeys(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "keys") {
		k := w.newKey(t)
		for i := range 6 {
			w.after(w.randomBelow(time.Duration(1+i)*3*time.Second), func() { w.send(k, &w.entries[w.rng.IntN(2)]) })
		}
	}
}

// changeList removes a random set of hosts, adds up to two new ones, and delivers the
// new list to some hosts and entries at once.
func (w *simulation) changeList(t *rapid.T) {
	ids := slices.Clone(w.lists[w.newest()].Hosts)
	drop := w.rng.IntN(64)
	kept := ids[:0]
	for i, id := range ids {
		if drop>>i&1 == 0 {
			kept = append(kept, id)
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "add") {
		if len(kept) < 6 && len(w.procs) < 14 {
			kept = append(kept, w.addProcess().id)
		}
	}
	if !w.canPublish(kept) {
		return
	}
	w.publish(kept)
	for _, id := range kept {
		if p := w.find(id); p.incarnation == 0 {
			p.partition = w.rng.IntN(2) * w.entries[1].partition
			w.start(p, w.newest())
		}
	}
	w.distributeList()
}

// distributeList delivers the newest list to random hosts and entries.
func (w *simulation) distributeList() {
	mask := w.rng.IntN(1 << 16)
	for i, p := range w.procs {
		if mask>>i&1 == 1 {
			w.deliverList(p, w.newest())
		}
	}
	for i := range w.entries {
		if mask>>(14+i)&1 == 1 {
			w.entries[i].list = w.newest()
		}
	}
}

// partitionAndRelist partitions some hosts together with an entry, removes some of
// them from the list, delivers the list to the other side only, and sends keys to both
// sides for a while. Meanwhile a host may restart on the other side with the old list.
func (w *simulation) partitionAndRelist(t *rapid.T) {
	w.entries[1].partition = 0
	w.togglePartition()
	all := w.rng.IntN(2) == 0
	var kept []host.ID
	for _, id := range w.lists[w.newest()].Hosts {
		if w.find(id).partition == 0 || !all && w.rng.IntN(2) == 0 {
			kept = append(kept, id)
		}
	}
	for range w.rng.IntN(3) {
		if len(kept) < 6 && len(w.procs) < 14 {
			kept = append(kept, w.addProcess().id)
		}
	}
	if !w.canPublish(kept) {
		return
	}
	w.publish(kept)
	w.entries[0].list = w.newest()
	for _, p := range w.procs {
		switch {
		case p.incarnation == 0:
			w.start(p, w.newest())
		case p.partition == 0:
			w.deliverList(p, w.newest())
		}
	}
	for i := range rapid.SampledFrom([]int{6, 5, 4, 3, 2}).Draw(t, "bursts") {
		w.advance(w.randomBelow(6 * time.Second))
		if p := w.find(kept[w.rng.IntN(len(kept))]); i == 2 && w.rng.IntN(2) == 0 {
			p.partition = 1
			w.restart(p, w.newest()-1)
		}
		w.sendKeys(t)
	}
}

// togglePartition partitions the network in two, with an entry on each side, or heals
// the partition.
func (w *simulation) togglePartition() {
	mask := w.rng.IntN(1 << 14)
	w.entries[1].partition = 1 - w.entries[1].partition
	if w.entries[1].partition == 0 {
		mask = 0
	}
	for i, p := range w.procs {
		p.partition = mask >> i & 1
	}
	w.logf("partition %b", mask)
}

// deliverList delivers a list to a live process.
func (w *simulation) deliverList(p *process, list int) {
	if p.alive {
		w.runOn(p, 0, func() { p.machine.SetView(w.lists[list], w.clock(p)) })
	}
}

// randomAction performs one random action on the simulation.
func (w *simulation) randomAction(t *rapid.T) {
	p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")]
	e := &w.entries[rapid.IntRange(0, 1).Draw(t, "entry")]
	list := rapid.IntRange(max(0, w.newest()-2), w.newest()).Draw(t, "list")
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0, 1, 2, 3:
		w.sendKeys(t)
	case 4:
		w.send(w.newKey(t), e)
	case 5, 6:
		if len(w.keys) > 0 {
			first := max(0, len(w.keys)-6)
			w.send(w.keys[rapid.IntRange(first, len(w.keys)-1).Draw(t, "key")], e)
		}
	case 7, 8:
		w.changeList(t)
	case 9:
		w.publish(w.lists[w.newest()].Hosts)
	case 10:
		w.distributeList()
	case 11:
		e.list = max(e.list, list)
		w.deliverList(p, list)
	case 12:
		w.logf("pause %s", p.id)
		p.paused = p.alive
	case 13:
		w.resume(p)
	case 14:
		w.restart(p, list)
	case 15:
		w.togglePartition()
	case 16, 17:
		w.partitionAndRelist(t)
	}
}

// canPublish reports whether a list of these hosts may be published. With the short
// bootstrap wait, at least one listed process must be settled.
func (w *simulation) canPublish(ids []host.ID) bool {
	if w.cfg.BootstrapWait == simHorizon {
		return len(ids) > 0
	}
	return slices.ContainsFunc(ids, func(id host.ID) bool { return w.settled(w.find(id)) })
}

func (w *simulation) settled(p *process) bool {
	return p.alive && p.machine.floor > 0
}

// restart restarts a process on a list that may be old. With the short bootstrap wait
// it uses the newest list, and never restarts the last settled process.
func (w *simulation) restart(p *process, list int) {
	ids := slices.Clone(w.lists[w.newest()].Hosts)
	if !slices.Contains(ids, p.id) {
		return
	}
	if w.cfg.BootstrapWait != simHorizon {
		list = w.newest()
		if !w.canPublish(slices.DeleteFunc(ids, func(id host.ID) bool { return id == p.id })) {
			return
		}
	}
	w.start(p, list)
}

// distributeOldLists delivers lists that are half a horizon old to all processes.
func (w *simulation) distributeOldLists() {
	newestOld := -1
	for i, at := range w.published {
		if w.now.Sub(at) >= simHorizon/2 {
			newestOld = i
		}
	}
	if newestOld < 0 {
		return
	}
	for _, p := range w.procs {
		w.deliverList(p, newestOld)
	}
}

// heal ends all faults.
func (w *simulation) heal() {
	w.logf("heal")
	w.congested = false
	for i := range w.entries {
		w.entries[i] = entryNode{list: w.newest()}
	}
	for _, p := range w.procs {
		p.partition = 0
		w.resume(p)
		if !p.alive && slices.Contains(w.lists[w.newest()].Hosts, p.id) {
			w.start(p, w.newest())
		}
		w.deliverList(p, w.newest())
	}
}

// runSchedule runs a random schedule and returns the first violation.
func runSchedule(t *rapid.T, cfg Config, f fault) (violation string) {
	var w *simulation
	fail := func(format string, args ...any) {
		if violation == "" {
			violation = fmt.Sprintf(format, args...) + "\n" + strings.Join(w.log, "\n")
		}
	}
	hosts := rapid.SampledFrom([]int{1, 2, 3, 4, 5, 6}).Draw(t, "hosts")
	w = newSimulation(fail, rapid.Uint64().Draw(t, "seed"), hosts, cfg, f)
	w.advance(3 * simLease)
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		if violation != "" {
			return violation
		}
		w.randomAction(t)
		w.advance(w.randomBelow(5 * time.Second))
		w.distributeOldLists()
	}
	w.heal()
	w.advance(2*simHorizon + 4*simLease)
	before := w.runTotal
	for i := range 5 {
		k := &testKey{fenced: make(map[host.ID]time.Time), created: w.now}
		k.Key = idempotency.Key{Value: fmt.Sprintf("live%d", i), Time: w.now}
		w.send(k, &w.entries[i%2])
	}
	w.advance(20 * time.Second)
	if w.runTotal != before+5 {
		fail("after the faults %d of 5 fresh keys ran", w.runTotal-before)
	}
	return violation
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	for _, cfg := range []Config{strictConfig, defaultConfig} {
		t.Run(fmt.Sprint("bootstrap wait ", cfg.BootstrapWait), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if violation := runSchedule(t, cfg, fault{}); violation != "" {
					t.Fatal(violation)
				}
			})
		})
	}
}
