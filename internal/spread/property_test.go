package spread

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// schedule does random things to a world.
type schedule struct {
	*world
	rt      *rapid.T
	epoch   uint64
	history [][len(kinds)]configservice.Folder
}

func (s *schedule) randomStep() {
	switch n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.rt, "node")]; rapid.SampledFrom([]string{
		"publish", "publish", "publish", "bad", "hosts", "outage", "stale", "restore", "loss", "kill", "start",
		"herd", "herd but one", "pause", "partition", "reach",
	}).Draw(s.rt, "step") {
	case "publish":
		s.publish(testDocument{Epoch: s.epoch})
	case "bad":
		s.publish(testDocument{Epoch: s.epoch, Bad: true})
	case "hosts":
		s.publishHosts(s.source.folders[1].Revision + 1)
	case "outage":
		s.source.unavailable = !s.source.unavailable
	case "stale":
		s.source.stale = nil
		if len(s.history) > 0 && s.flip() {
			s.source.stale = &s.history[rapid.IntRange(0, len(s.history)-1).Draw(s.rt, "age")]
		}
	case "restore":
		if len(s.history) > 0 {
			s.source.folders = s.history[rapid.IntRange(0, len(s.history)-1).Draw(s.rt, "backup")]
		}
	case "loss":
		s.loss = rapid.SampledFrom([]int{0, 10, 40}).Draw(s.rt, "percent")
	case "kill":
		n.process = nil
	case "start":
		s.start(n)
	case "herd":
		s.startAll()
	case "herd but one":
		s.startAllBut(n)
	case "pause":
		n.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(s.rt, "seconds")) * time.Second)
	case "partition":
		n.group = 1 - n.group
		n.sourceUnreachable = n.group == 1 && s.flip()
	case "reach":
		s.healLinks()
	}
}

func (s *schedule) flip() bool { return rapid.Bool().Draw(s.rt, "yes") }

func (s *schedule) publish(d testDocument) {
	s.publishConfig(s.source.folders[0].Revision+1, d)
	s.history = append(s.history, s.source.folders)
}

// startAllBut restarts all nodes but one.
func (w *world) startAllBut(one *testNode) {
	for _, n := range w.nodes {
		if n != one {
			w.start(n)
		}
	}
}

// healLinks ends all faults of links.
func (w *world) healLinks() {
	w.loss = 0
	for _, n := range w.nodes {
		n.group, n.sourceUnreachable = 0, false
	}
}

// healAll ends every fault, and starts the nodes that are down.
func (w *world) healAll() {
	w.healLinks()
	w.source.unavailable, w.source.stale = false, nil
	for _, n := range w.nodes {
		n.pausedUntil = w.now
		if n.process == nil {
			w.start(n)
		}
	}
}

// convergenceLimit is how long after the last fault all nodes have the newest
// version: the longest wait for a read (twice the back-off's cap) and a spread.
const convergenceLimit = 30 * time.Second

// TestVersionsUnderFaults runs random schedules. The world checks, at every
// apply and read, that no process goes back, that a restarted one starts with
// nothing older than its answering peers hold, that bytes are those of one
// accepted version, and that reads keep to their budget. At the end all nodes
// reach the newest version.
func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(5, 9).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "centres"))
		s := &schedule{world: w, rt: t}
		s.history = append(s.history, w.source.folders)
		s.startAll()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.randomStep()
			s.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		s.healAll()
		s.source.unavailable = s.flip()
		if s.flip() && s.newestIsHeld() {
			// No new version: what any node holds reaches the others, also
			// while the source is out.
			s.settleAt(convergenceLimit, s.newestHeld)
		}
		s.source.unavailable = false
		s.epoch++ // as operators do after a restore
		s.source.newest = [len(kinds)]config.Version{}
		s.publish(testDocument{Epoch: s.epoch})
		s.publishHosts(s.source.folders[1].Revision + 1)
		s.settle(convergenceLimit)
		for _, n := range s.nodes {
			if c := n.process.m.Current(KindConfig); c.Hash != config.ManifestOf(s.source.folders[0].Files).Hash() {
				t.Fatalf("%s ends with other bytes", n.listing.ID)
			}
		}
	})
}

// newestHeld is the newest version of each document that a live node applied
// or that the source has good and newer.
func (w *world) newestHeld() [len(kinds)]config.Version {
	var newest [len(kinds)]config.Version
	for i := range kinds {
		for _, n := range w.nodes {
			if newest[i].Less(n.process.applied[i]) {
				newest[i] = n.process.applied[i]
			}
		}
		if v, ok := w.source.version(i); ok && !w.source.unavailable && newest[i].Less(v) {
			newest[i] = v
		}
	}
	return newest
}

// newestIsHeld reports whether the newest version that a floor asks for is still
// held somewhere; else only a new epoch helps. A bad configuration at the source
// leaves the date of its host list open.
func (w *world) newestIsHeld() bool {
	held := w.newestHeld()
	if _, ok := w.source.version(0); !ok && !w.source.unavailable {
		return false
	}
	for _, n := range w.nodes {
		for i, d := range n.process.m.documents {
			if held[i].Less(d.floor) || held[i].IsZero() {
				return false
			}
		}
	}
	return true
}

// TestUnpackReversesPack also holds unpack to its limit.
func TestUnpackReversesPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 1, 2000).Draw(t, "data")
		if back, err := unpack(pack(data), len(data)); err != nil || !bytes.Equal(back, data) {
			t.Fatalf("%v, %d bytes became %d", err, len(data), len(back))
		}
		if len(pack(data)) > len(data)+packOverhead {
			t.Fatalf("%d bytes became %d", len(data), len(pack(data)))
		}
		if _, err := unpack(pack(data), len(data)-1); err == nil {
			t.Fatalf("%d bytes passed a limit of %d", len(data), len(data)-1)
		}
	})
}
