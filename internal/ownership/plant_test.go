package ownership

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragefall/internal/host"
)

// faults are the faults that the properties must detect.
var faults = []fault{
	{name: "fence without a tombstone", fenceWithoutTombstone: true},
	{name: "no lease", beforeClaim: func(r *snapshot) { r.until = time.Unix(1<<34, 0) }},
	{name: "lease counts from the arrival of answers", schedule: 257, leaseFromReceipt: true},
	{name: "boot time ignored", ignoreBoot: true, beforeClaim: func(r *snapshot) { r.completeSince = time.Time{} }},
	{name: "removed hosts ignored", beforeClaim: func(r *snapshot) { r.removed = nil }},
	{name: "quorum of the new view only", afterAnswer: newViewQuorumOnly},
	{name: "restarted hosts count as settled at once", schedule: 270, alterAnswer: func(h *Heartbeat) { h.HasFloor, h.Floor = true, max(h.Floor, 1) }},
	{name: "no wait for the leases of other hosts", schedule: 175, afterAnswer: skipLeaseWait},
}

// newViewQuorumOnly raises the floor on a quorum of the newest view alone.
func newViewQuorumOnly(m *StateMachine, now time.Time) {
	current := m.current()
	if m.floor == 0 || current.first <= m.floor {
		return
	}
	if acks, _ := m.acks(current, current, current.first, true, now); acks >= current.quorum() {
		m.setFloor(current.first, now)
	}
}

// skipLeaseWait raises the floor as soon as a quorum of every view has the new list.
func skipLeaseWait(m *StateMachine, now time.Time) {
	lease := m.cfg.Lease
	m.cfg.Lease = -leaseMargin
	defer func() { m.cfg.Lease = lease }()
	current := m.current()
	for _, view := range m.views {
		if acks, _ := m.acks(view, current, current.first, true, now); acks < view.quorum() || m.floor == 0 {
			return
		}
	}
	m.setFloor(current.first, now)
}

// TestSkippedView partitions host c while the list changes from {a, b, c} through one
// that c never gets to {b, c}. Host b may have been part of a quorum under the list in
// between, and gates may still work under it.
func TestSkippedView(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for gap, serves := range map[time.Duration]bool{time.Second: true, 20 * time.Second: false} {
		m := New(defaultConfig, "c", start)
		m.SetView(View{Revision: 10, Hosts: []host.ID{"a", "b", "c"}}, start)
		m.floor = 10
		last := newSpan(View{Revision: 30, Hosts: []host.ID{"b", "c"}}, start)
		b := Heartbeat{Host: "b", Boot: 1, Floor: 10, HasFloor: true, ViewRevision: 10, ViewHash: m.current().hash, SetSince: 10}
		m.HeartbeatReceived(b, start, start)
		now := start.Add(gap)
		m.SetView(View{Revision: 30, Hosts: []host.ID{"b", "c"}}, now)
		b.ViewRevision, b.ViewHash, b.SetSince = 30, last.hash, 30
		for range 10 {
			m.HeartbeatReceived(b, now, now)
			now = now.Add(time.Second)
		}
		if got := m.LeaseUntil().After(now); got != serves {
			t.Errorf("after a gap of %s, the host holds a lease: %v", gap, got)
		}
	}
}

// TestInjectedFaultsAreDetected runs the schedules with each fault injected.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range 1000 {
				seed += f.schedule
				violation := runWithFault(f, seed)
				if violation != "" && !strings.HasPrefix(violation, "after the faults") {
					t.Logf("schedule %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no schedule detected the fault")
		})
	}
}

// runWithFault returns the violation found by the schedule of a seed, or the empty
// string.
func runWithFault(f fault, seed int) string {
	return rapid.Custom(func(t *rapid.T) string { return runSchedule(t, strictConfig, f) }).Example(seed)
}
