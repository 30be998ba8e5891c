package ownership

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plants are faults that the properties must find.
var plants = []plant{
	{name: "fence without a tombstone", falseFence: true},
	{name: "no lease", asked: func(r *rights) { r.until = time.Unix(1<<34, 0) }},
	{name: "answers count from their arrival", schedule: 257, receiptTime: true},
	{name: "boot not remembered", bootRule: true, asked: func(r *rights) { r.since = time.Time{} }},
	{name: "removed hosts forgotten", asked: func(r *rights) { r.removed = nil }},
	{name: "majority of the new view only", took: newMajorityOnly},
	{name: "restarted hosts count at once", schedule: 270, heard: func(h *Heartbeat) { h.Settled = true }},
	{name: "no wait for the others' leases", schedule: 175, took: noWait},
}

// newMajorityOnly raises the floor on the word of the newest view alone.
func newMajorityOnly(m *Machine, now time.Time) {
	current := m.current()
	if m.floor == 0 || current.first <= m.floor {
		return
	}
	if acks, _ := m.acks(current, current, current.first, now); acks >= current.majority() {
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
		if acks, _ := m.acks(view, current, current.first, now); acks < view.majority() || m.floor == 0 {
			return
		}
	}
	m.setFloor(current.first, now)
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
