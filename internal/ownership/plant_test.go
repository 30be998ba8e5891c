package ownership

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragefall/internal/host"
)

// plants are faults that the properties must find.
var plants = []plant{
	{name: "fence without a tombstone", falseFence: true},
	{name: "no lease", asked: func(r *rights) { r.until = time.Unix(1<<34, 0) }},
	{name: "answers count from their arrival", schedule: 257, receiptTime: true},
	{name: "boot not remembered", bootRule: true, asked: func(r *rights) { r.since = time.Time{} }},
	{name: "removed hosts forgotten", asked: func(r *rights) { r.removed = nil }},
	{name: "majority of the new view only", took: newMajorityOnly},
	{name: "restarted hosts count at once", schedule: 270, heard: func(h *Heartbeat) { h.Settled, h.Floor = true, max(h.Floor, 1) }},
	{name: "no wait for the others' leases", schedule: 175, took: noWait},
}

// newMajorityOnly raises the floor on the word of the newest view alone.
func newMajorityOnly(m *Machine, now time.Time) {
	current := m.current()
	if m.floor == 0 || current.first <= m.floor {
		return
	}
	if acks, _ := m.acks(current, current, current.first, true, now); acks >= current.majority() {
		m.setFloor(current.first, now)
	}
}

// noWait raises the floor as soon as every view's majority has the new list.
func noWait(m *Machine, now time.Time) {
	lease := m.cfg.Lease
	m.cfg.Lease = -settleMargin
	defer func() { m.cfg.Lease = lease }()
	current := m.current()
	for _, view := range m.views {
		if acks, _ := m.acks(view, current, current.first, true, now); acks < view.majority() || m.floor == 0 {
			return
		}
	}
	m.setFloor(current.first, now)
}

// TestSkippedView cuts host c off while the list goes from {a, b, c} over one
// that c never sees to {b, c}. Host b may have helped others to work under the
// list between, and they may still do so.
func TestSkippedView(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for gap, serves := range map[time.Duration]bool{time.Second: true, 20 * time.Second: false} {
		m := New(quick, "c", start)
		m.SetView(View{Revision: 10, Hosts: []host.ID{"a", "b", "c"}}, start)
		m.floor = 10
		last := newSpan(View{Revision: 30, Hosts: []host.ID{"b", "c"}}, start)
		b := Heartbeat{Host: "b", Boot: 1, Floor: 10, Settled: true, ViewRevision: 10, ViewHash: m.current().hash, ViewFirst: 10}
		m.HeartbeatReceived(b, start, start)
		now := start.Add(gap)
		m.SetView(View{Revision: 30, Hosts: []host.ID{"b", "c"}}, now)
		b.ViewRevision, b.ViewHash, b.ViewFirst = 30, last.hash, 30
		for range 10 {
			m.HeartbeatReceived(b, now, now)
			now = now.Add(time.Second)
		}
		if got := m.LeaseUntil().After(now); got != serves {
			t.Errorf("after a gap of %s the host serves: %v", gap, got)
		}
	}
}

// TestPlantedFaultsAreFound runs the schedules with each fault in place.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, p := range plants {
		t.Run(p.name, func(t *testing.T) {
			for seed := range 1000 {
				seed += p.schedule
				broken := planted(p, seed)
				if broken != "" && !strings.HasPrefix(broken, "after the faults") {
					t.Logf("schedule %d: %s", seed, broken)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}

// planted returns what the schedule of a seed breaks, or nothing.
func planted(p plant, seed int) string {
	return rapid.Custom(func(t *rapid.T) string { return schedule(t, strict, p) }).Example(seed)
}
