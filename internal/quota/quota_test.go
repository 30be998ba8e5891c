package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/mesh"
	"boragefall/internal/quota"
)

// hot is a workspace that sends 7.5 times its usual from the fifth second on.
func hot(at time.Duration) float64 {
	if at > 5*time.Second {
		return 7.5 / 1.6
	}
	return steady(at)
}

// sizes are workspaces of 84 hosts: rate of the quota and number of clients.
var sizes = []struct {
	rate    float64
	clients int
}{{5, 3}, {15, 6}, {40, 20}, {124, 90}}

// TestWaysOfSharingQuota prints what each way gives, for docs/design/keys-and-quotas.md.
func TestWaysOfSharingQuota(t *testing.T) {
	for _, size := range sizes {
		for name, load := range map[string]func(time.Duration) float64{"steady": steady, "hot": hot} {
			for wayName, start := range map[string]func(*world) way{
				"even shares":    func(w *world) way { return newEvenShares(w) },
				"reported usage": func(w *world) way { return newReportedUsage(w) },
				"homes":          func(w *world) way { return newHomes(w) },
			} {
				w := newWorld(1, 84, size.clients, size.rate)
				w.load = load
				t.Logf("quota %v/s, %s, %s: %v", size.rate, name, wayName, w.play(start(w), 30*time.Second))
			}
		}
	}
}

// wantWithin fails unless a workspace stays within its bound and is rarely refused
// wrongly.
func wantWithin(g Gomega, o outcome, refusedWrongly float64) {
	g.ExpectWithOffset(1, o.worst).To(BeNumerically("<=", 1), o.String())
	g.ExpectWithOffset(1, o.refusedWrongly).To(BeNumerically("<=", refusedWrongly), o.String())
}

func eachSize(t *testing.T, test func(g Gomega, w *world, h *homes)) {
	t.Helper()
	for _, size := range sizes {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%v/s seed %d", size.rate, seed), func(t *testing.T) {
				w := newWorld(seed, 84, size.clients, size.rate)
				test(NewWithT(t), w, newHomes(w))
			})
		}
	}
}

func TestUsualLoadIsNotRefused(t *testing.T) {
	eachSize(t, func(g Gomega, w *world, h *homes) {
		// Long enough for a hundredth to be several requests of the smallest quota.
		wantWithin(g, w.play(h, 200*time.Second), 0.01)
	})
}

func TestHotWorkspaceStaysWithinItsBound(t *testing.T) {
	eachSize(t, func(g Gomega, w *world, h *homes) {
		w.load = hot
		o := w.play(h, 30*time.Second)
		wantWithin(g, o, 1)
		g.Expect(o.served).To(BeNumerically(">=", 0.95), o.String())
	})
}

// The process of the home is killed again and again and starts with nothing.
func TestHomeThatIsRestartedGrantsNoSecondBurst(t *testing.T) {
	eachSize(t, func(g Gomega, w *world, h *homes) {
		w.load = hot
		restarts := 0
		w.change = func(at time.Duration) {
			if cycle := int(at / (4 * time.Second)); cycle > restarts {
				restarts = cycle
				h.down[h.first()] = true
			}
			if h.down[h.first()] && at%(4*time.Second) > time.Second {
				h.restart(h.first(), epoch.Add(at))
			}
		}
		wantWithin(g, w.play(h, 40*time.Second), 1)
	})
}

// Some hosts reach the home, the others only the second node.
func TestTwoHomesAtOnceStayWithinTheBound(t *testing.T) {
	eachSize(t, func(g Gomega, w *world, h *homes) {
		w.load = hot
		w.change = func(at time.Duration) {
			h.cut[h.first()] = at > 8*time.Second && at < 16*time.Second
		}
		wantWithin(g, w.play(h, 30*time.Second), 1)
	})
}

// Nodes learn at different times that the home has left.
func TestChangeOfMembersGrantsNoSecondQuota(t *testing.T) {
	eachSize(t, func(g Gomega, w *world, h *homes) {
		w.load = hot
		home := h.first()
		var members []string
		for i := range w.hosts {
			if i != home {
				members = append(members, address(i))
			}
		}
		w.change = func(at time.Duration) {
			if at < 10*time.Second || at > 13*time.Second {
				return
			}
			for host := range w.hosts {
				lag := quota.SettleTime * time.Duration(host) / time.Duration(w.hosts)
				if at > 10*time.Second+lag {
					h.views[host] = quota.NewHomes(members, h.views[host], epoch.Add(at))
				}
			}
		}
		wantWithin(g, w.play(h, 30*time.Second), 1)
	})
}

func TestLoweredLimitBindsWithinOneWindow(t *testing.T) {
	eachSize(t, func(g Gomega, w *world, h *homes) {
		const loweredAt = 10 * time.Second
		lowered := mesh.Quota{Rate: w.quota.Rate / 4, Burst: w.quota.Burst / 4}
		var late []time.Duration
		before := w.quota
		w.load = func(at time.Duration) float64 { return before.Rate / 1.6 / w.quota.Rate }
		w.change = func(at time.Duration) {
			if at > loweredAt {
				w.quota = lowered
			}
		}
		admitted := &recorded{homes: h}
		w.play(admitted, 30*time.Second)
		for _, at := range admitted.times {
			if at > loweredAt+tolerance.Window {
				late = append(late, at)
			}
		}
		for i, at := range late {
			in := 0
			for _, other := range late[i:] {
				if other-at < tolerance.Window {
					in++
				}
			}
			g.Expect(float64(in)).To(BeNumerically("<=", tolerance.Bound(lowered)))
		}
	})
}

// recorded keeps the times of the admitted requests.
type recorded struct {
	*homes
	times []time.Duration
}

func (r *recorded) admit(host int, now time.Time) bool {
	ok := r.homes.admit(host, now)
	if ok {
		r.times = append(r.times, now.Sub(epoch))
	}
	return ok
}

// While the home's process is down, its successor grants what the home granted.
func TestKilledHomeCostsFewRequests(t *testing.T) {
	eachSize(t, func(g Gomega, w *world, h *homes) {
		w.change = func(at time.Duration) {
			if home := h.first(); at > 10*time.Second && at < 13*time.Second {
				h.down[home] = true
			} else if h.down[home] {
				h.restart(home, epoch.Add(at))
			}
		}
		// Three seconds of thirty, in which some clients' own host is the one that is down.
		wantWithin(g, w.play(h, 30*time.Second), 0.15)
	})
}

func TestRefundedCreditIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	a := &quota.Account{}
	now := epoch
	a.Count(now)
	a.Add(quota.Grant{Credits: 1, RetryIn: time.Second}, now)
	g.Expect(a.Take(now)).To(BeTrue())
	g.Expect(a.Take(now)).To(BeFalse())
	a.Refund(now)
	g.Expect(a.Take(now)).To(BeTrue())
	g.Expect(a.RefusedFor(now)).To(Equal(time.Second))
}

// A limit of almost nothing must not keep an entry from asking again after it was raised.
func TestEntryAsksAgainWithinASecond(t *testing.T) {
	g := NewWithT(t)
	l := quota.NewLedger(quota.Tolerance{Window: time.Second})
	r := quota.Request{Workspace: workspace, Quota: mesh.Quota{Rate: 0.001, Burst: 1}, Wanted: 5, HomeSince: epoch.Add(-time.Hour)}
	g.Expect(l.Grant(r, epoch).RetryIn).To(Equal(time.Second))
	r.Role = quota.RoleStandIn
	g.Expect(l.Grant(r, epoch).RetryIn).To(Equal(time.Second))
}

func TestUnusedCreditsExpire(t *testing.T) {
	g := NewWithT(t)
	a := &quota.Account{}
	a.Add(quota.Grant{Credits: 3}, epoch)
	g.Expect(a.Take(epoch.Add(time.Minute))).To(BeFalse())
}

// BenchmarkGrant is the work of a home for one request for credits.
func BenchmarkGrant(b *testing.B) {
	l := quota.NewLedger(tolerance)
	q := mesh.Quota{Rate: 100, Burst: 100}
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		l.Grant(quota.Request{Workspace: workspace, Quota: q, Wanted: 1, HomeSince: epoch.Add(-time.Hour)}, now)
	}
}
