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

// strict is a configuration in which nothing is assumed of a herd restart.
var strict = Config{Lease: worldLease, Horizon: worldHorizon, ResendWindow: worldWindow, BootstrapWait: worldHorizon}

// quick has the default bootstrap wait, which assumes that a service's listed
// processes are never all new while a gate off the list still works.
var quick = Config{Lease: worldLease, Horizon: worldHorizon, ResendWindow: worldWindow, BootstrapWait: worldLease}

// newKey makes a key with a caller's clock that may be a little off.
func (w *world) newKey(t *rapid.T) *testKey {
	k := &testKey{fenced: make(map[host.ID]time.Time), made: w.now}
	k.Value = fmt.Sprintf("k%d", len(w.keys))
	if rapid.IntRange(0, 4).Draw(t, "timed") > 0 {
		ahead := rapid.SampledFrom([]int{0, -1, -2, -3, 1, 2, 2, 4, 12}).Draw(t, "ahead")
		k.Time = w.now.Add(time.Duration(ahead) * time.Second)
	}
	w.keys = append(w.keys, k)
	return k
}

// burst makes keys and sends each through both entries, now and again.
func (w *world) burst(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "keys") {
		k := w.newKey(t)
		for i := range 6 {
			w.at(w.within(time.Duration(1+i)*3*time.Second), func() { w.send(k, &w.entries[w.rng.IntN(2)]) })
		}
	}
}

// changeList drops a drawn set of hosts, adds up to two new ones, and brings
// the new list to some hosts and entries at once.
func (w *world) changeList(t *rapid.T) {
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
	if !w.bears(kept) {
		return
	}
	w.publish(kept)
	for _, id := range kept {
		if p := w.find(id); p.incarnation == 0 {
			p.side = w.rng.IntN(2) * w.entries[1].side
			w.start(p, w.newest())
		}
	}
	w.tell()
}

// tell brings the newest list to drawn hosts and entries.
func (w *world) tell() {
	whom := w.rng.IntN(1 << 16)
	for i, p := range w.procs {
		if whom>>i&1 == 1 {
			w.refresh(p, w.newest())
		}
	}
	for i := range w.entries {
		if whom>>(14+i)&1 == 1 {
			w.entries[i].list = w.newest()
		}
	}
}

// cutAway cuts some hosts off together with an entry, drops some of them from
// the list, tells only the others, and sends keys to both sides for a while. A
// host may meanwhile restart on the other side, on the old list.
func (w *world) cutAway(t *rapid.T) {
	w.entries[1].side = 0
	w.split()
	all := w.rng.IntN(2) == 0
	var kept []host.ID
	for _, id := range w.lists[w.newest()].Hosts {
		if w.find(id).side == 0 || !all && w.rng.IntN(2) == 0 {
			kept = append(kept, id)
		}
	}
	for range w.rng.IntN(3) {
		if len(kept) < 6 && len(w.procs) < 14 {
			kept = append(kept, w.addProcess().id)
		}
	}
	if !w.bears(kept) {
		return
	}
	w.publish(kept)
	w.entries[0].list = w.newest()
	for _, p := range w.procs {
		switch {
		case p.incarnation == 0:
			w.start(p, w.newest())
		case p.side == 0:
			w.refresh(p, w.newest())
		}
	}
	for i := range rapid.SampledFrom([]int{6, 5, 4, 3, 2}).Draw(t, "bursts") {
		w.run(w.within(6 * time.Second))
		if p := w.find(kept[w.rng.IntN(len(kept))]); i == 2 && w.rng.IntN(2) == 0 {
			p.side = 1
			w.restart(p, w.newest()-1)
		}
		w.burst(t)
	}
}

// split cuts the network in two, with an entry on each side, or joins it.
func (w *world) split() {
	mask := w.rng.IntN(1 << 14)
	w.entries[1].side = 1 - w.entries[1].side
	if w.entries[1].side == 0 {
		mask = 0
	}
	for i, p := range w.procs {
		p.side = mask >> i & 1
	}
	w.notef("split %b", mask)
}

// refresh brings a process a list between its own and the newest.
func (w *world) refresh(p *process, list int) {
	if p.alive {
		w.on(p, 0, func() { p.machine.SetView(w.lists[list], w.clock(p)) })
	}
}

// act does one drawn thing to the world.
func (w *world) act(t *rapid.T) {
	p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")]
	e := &w.entries[rapid.IntRange(0, 1).Draw(t, "entry")]
	list := rapid.IntRange(max(0, w.newest()-2), w.newest()).Draw(t, "list")
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0, 1, 2, 3:
		w.burst(t)
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
		w.tell()
	case 11:
		e.list = max(e.list, list)
		w.refresh(p, list)
	case 12:
		w.notef("pause %s", p.id)
		p.paused = p.alive
	case 13:
		w.wake(p)
	case 14:
		w.restart(p, list)
	case 15:
		w.split()
	case 16, 17:
		w.cutAway(t)
	}
}

// bears reports whether the list may become so. Without the long bootstrap wait
// one listed process at least must know how far the views have come.
func (w *world) bears(ids []host.ID) bool {
	if w.cfg.BootstrapWait == worldHorizon {
		return len(ids) > 0
	}
	return slices.ContainsFunc(ids, func(id host.ID) bool { return w.settled(w.find(id)) })
}

func (w *world) settled(p *process) bool {
	return p.alive && p.machine.floor > 0
}

// restart starts a process anew on a list that may be old; without the long
// bootstrap wait on the newest, and not the last process that is settled.
func (w *world) restart(p *process, list int) {
	ids := slices.Clone(w.lists[w.newest()].Hosts)
	if !slices.Contains(ids, p.id) {
		return
	}
	if w.cfg.BootstrapWait != worldHorizon {
		list = w.newest()
		if !w.bears(slices.DeleteFunc(ids, func(id host.ID) bool { return id == p.id })) {
			return
		}
	}
	w.start(p, list)
}

// spread brings lists that are half a horizon old to everybody.
func (w *world) spread() {
	late := -1
	for i, at := range w.published {
		if w.now.Sub(at) >= worldHorizon/2 {
			late = i
		}
	}
	if late < 0 {
		return
	}
	for _, p := range w.procs {
		w.refresh(p, late)
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.notef("heal")
	w.busy = false
	for i := range w.entries {
		w.entries[i] = entryNode{list: w.newest()}
	}
	for _, p := range w.procs {
		p.side = 0
		w.wake(p)
		if !p.alive && slices.Contains(w.lists[w.newest()].Hosts, p.id) {
			w.start(p, w.newest())
		}
		w.refresh(p, w.newest())
	}
}

// schedule runs one drawn schedule and returns what it broke.
func schedule(t *rapid.T, cfg Config, p plant) (broken string) {
	var w *world
	fail := func(format string, args ...any) {
		if broken == "" {
			broken = fmt.Sprintf(format, args...) + "\n" + strings.Join(w.log, "\n")
		}
	}
	hosts := rapid.SampledFrom([]int{1, 2, 3, 4, 5, 6}).Draw(t, "hosts")
	w = newWorld(fail, rapid.Uint64().Draw(t, "seed"), hosts, cfg, p)
	w.run(3 * worldLease)
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		if broken != "" {
			return broken
		}
		w.act(t)
		w.run(w.within(5 * time.Second))
		w.spread()
	}
	w.heal()
	w.run(2*worldHorizon + 4*worldLease)
	before := w.ranTotal
	for i := range 5 {
		k := &testKey{fenced: make(map[host.ID]time.Time), made: w.now}
		k.Key = idempotency.Key{Value: fmt.Sprintf("live%d", i), Time: w.now}
		w.send(k, &w.entries[i%2])
	}
	w.run(20 * time.Second)
	if w.ranTotal != before+5 {
		fail("after the faults %d of 5 fresh keys ran", w.ranTotal-before)
	}
	return broken
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	for _, cfg := range []Config{strict, quick} {
		t.Run(fmt.Sprint("bootstrap wait ", cfg.BootstrapWait), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if broken := schedule(t, cfg, plant{}); broken != "" {
					t.Fatal(broken)
				}
			})
		})
	}
}
