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

// schedule applies random changes and faults to a world.
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

// startAllBut restarts all nodes except one.
func (w *world) startAllBut(one *testNode) {
	for _, n := range w.nodes {
		if n != one {
			w.start(n)
		}
	}
}

// healLinks ends all link faults and partitions.
func (w *world) healLinks() {
	w.loss = 0
	for _, n := range w.nodes {
		n.group, n.sourceUnreachable = 0, false
	}
}

// healAll ends all faults and starts the nodes that are down.
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

// convergenceLimit is the time after the last fault within which all nodes must have the
// newest version: the longest wait for a read, which is twice the backoff cap, and the
// time of the distribution.
const convergenceLimit = 30 * time.Second

// TestVersionsUnderFaults runs random schedules. At every apply and read the world checks
// that no process returns to an older version, that a restarted process starts with no
// version older than those of the peers that responded, that the applied bytes are those
// of one accepted version, and that reads stay within their rate limit. At the end all
// nodes must reach the newest version.
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
			// Without a new version, the newest version of any node must reach all other
			// nodes, even while the source is unavailable.
			s.settleAt(convergenceLimit, s.newestHeld)
		}
		s.source.unavailable = false
		s.epoch++ // operators raise the epoch after a restore
		s.source.newest = [len(kinds)]config.Version{}
		s.publish(testDocument{Epoch: s.epoch})
		s.publishHosts(s.source.folders[1].Revision + 1)
		s.settle(convergenceLimit)
		for _, n := range s.nodes {
			if c := n.process.m.Current(KindConfig); c.Hash != config.ManifestOf(s.source.folders[0].Files).Hash() {
				t.Fatalf("%s ended with a configuration other than that of the source", n.listing.ID)
			}
		}
	})
}

// newestHeld returns, for each document, the newest version that a live node applied or
// that the source holds and that is valid.
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

// newestIsHeld reports whether the newest version that any floor requires is still held
// by a node or the source; otherwise only a new epoch can restore convergence. With an
// invalid configuration at the source, the epoch of its host list is unknown.
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

// TestUnpackReversesPack also checks that unpack enforces its limit.
func TestUnpackReversesPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 1, 2000).Draw(t, "data")
		if back, err := unpack(pack(data), len(data)); err != nil || !bytes.Equal(back, data) {
			t.Fatalf("unpack(pack(data)): error %v, %d bytes became %d", err, len(data), len(back))
		}
		if len(pack(data)) > len(data)+packOverhead {
			t.Fatalf("pack made %d bytes into %d, which exceeds packOverhead", len(data), len(pack(data)))
		}
		if _, err := unpack(pack(data), len(data)-1); err == nil {
			t.Fatalf("unpack returned %d bytes despite a limit of %d", len(data), len(data)-1)
		}
	})
}
