package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/catalog"
	"boragefall/internal/link"
	"boragefall/internal/mesh"
	"boragefall/internal/quota"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

// quotaWorld is one entry and the ledgers of two other nodes.
type quotaWorld struct {
	Gomega
	guard     *quotaGuard
	workspace *mesh.Workspace
	ledgers   map[string]*quotaLedger
	stopping  map[string]*atomic.Bool

	mu sync.Mutex
	// failures holds the error of each node that can't be reached.
	failures map[string]error
	// delays holds the time that a node takes to answer.
	delays map[string]time.Duration
	roles  []quota.Role
}

// inQuotaWorld runs a test in a new world, in virtual time.
func inQuotaWorld(t *testing.T, test func(w *quotaWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(newQuotaWorld(t))
		time.Sleep(creditTimeout) // the last requests for credits end
	})
}

func newQuotaWorld(t *testing.T) *quotaWorld {
	w := &quotaWorld{
		Gomega: NewWithT(t), workspace: &mesh.Workspace{Name: "north", Quota: mesh.Quota{Rate: 10, Burst: 10}},
		ledgers: map[string]*quotaLedger{}, stopping: map[string]*atomic.Bool{}, failures: map[string]error{}, delays: map[string]time.Duration{},
	}
	members := []string{"10.0.0.1:7000", "10.0.0.2:7000"}
	homes := quota.NewHomes(members, nil, time.Now().Add(-time.Hour))
	ledgerOf := func(self string) *quotaLedger {
		w.stopping[self] = &atomic.Bool{}
		l := newQuotaLedger(self, "7000", quota.Tolerance{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}, func(name string) *mesh.Workspace {
			if name == w.workspace.Name {
				return w.workspace
			}
			return nil
		}, w.stopping[self])
		l.homes.Store(homes)
		return l
	}
	for _, m := range members {
		w.ledgers[m] = ledgerOf(m)
	}
	entry := ledgerOf("10.0.0.3:7000")
	w.guard = newQuotaGuard("10.0.0.3:7000", entry, w, telemetry.Silent())
	return w
}

// Credits answers as the node at an address.
func (w *quotaWorld) Credits(ctx context.Context, address string, m *wire.CreditRequest) (*wire.CreditAnswer, error) {
	select {
	case <-time.After(w.delays[address]):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.failures[address]; err != nil {
		return nil, err
	}
	w.roles = append(w.roles, quota.Role(m.GetRole()))
	return w.ledgers[address].answer(m), nil
}

func (w *quotaWorld) nodes() (first, second string) {
	return w.guard.local.rank(w.workspace.Name)
}

// admitted returns how many of a number of requests are admitted at once, and the last
// refusal.
func (w *quotaWorld) admitted(requests int) (int, *verdict.Error) {
	var last *verdict.Error
	count := 0
	for range requests {
		refusal := w.guard.Admit(context.Background(), w.workspace)
		if refusal == nil {
			count++
			continue
		}
		last = refusal
	}
	return count, last
}

func TestRequestsBeyondQuotaAreRefusedAsNotRun(t *testing.T) {
	inQuotaWorld(t, func(w *quotaWorld) {
		count, refusal := w.admitted(100)
		w.Expect(float64(count)).To(And(BeNumerically(">=", w.workspace.Quota.Burst), BeNumerically("<=", 1.5*w.workspace.Quota.Burst)))
		w.Expect(refusal.Reason).To(Equal(verdict.ReasonOverQuota))
		w.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
		w.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})
}

// The first node answers late again and again, as a slow host does. Its credits count
// nevertheless, so that the workspace is not left with the second node's reserve.
func TestLateCreditsOfSlowNodeAreUsed(t *testing.T) {
	inQuotaWorld(t, func(w *quotaWorld) {
		w.workspace.Quota = mesh.Quota{Rate: 40, Burst: 40}
		first, _ := w.nodes()
		w.delays[first] = 4 * secondAfter
		const requests, interval = 400, 40 * time.Millisecond // 25 of 40 per second
		var admitted atomic.Int64
		var work sync.WaitGroup
		for range requests {
			work.Go(func() {
				if w.guard.Admit(context.Background(), w.workspace) == nil {
					admitted.Add(1)
				}
			})
			time.Sleep(interval)
		}
		work.Wait()
		w.Expect(admitted.Load()).To(BeNumerically(">=", 0.95*requests))
	})
}

func TestRefundedRequestIsNotCharged(t *testing.T) {
	inQuotaWorld(t, func(w *quotaWorld) {
		for range 200 {
			w.Expect(w.guard.Admit(context.Background(), w.workspace)).To(BeNil())
			w.guard.Refund(w.workspace)
		}
	})
}

func TestWorkspaceWithoutQuotaIsNotLimited(t *testing.T) {
	inQuotaWorld(t, func(w *quotaWorld) {
		w.workspace.Quota = mesh.Quota{}
		count, _ := w.admitted(100)
		w.Expect(count).To(Equal(100))
		w.Expect(w.guard.Admit(context.Background(), nil)).To(BeNil(), "a public route has no workspace")
	})
}

// The home knows an older configuration, in which the workspace has no limit yet.
func TestHomeWithoutTheLimitDoesNotRefuse(t *testing.T) {
	inQuotaWorld(t, func(w *quotaWorld) {
		limited := *w.workspace
		w.workspace.Quota = mesh.Quota{}
		for range 20 {
			w.Expect(w.guard.Admit(context.Background(), &limited)).To(BeNil())
		}
	})
}

// A stopping node or a host without a process grants nothing, so the second node may
// grant the quota; beside a silent one it may grant only the tolerated excess.
func TestSecondNodeGrantsByWhatIsKnownOfTheFirst(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(w *quotaWorld, first string)
		want quota.Role
	}{
		{"stopping", func(w *quotaWorld, first string) { w.stopping[first].Store(true) }, quota.RoleSuccessor},
		{"no process", func(w *quotaWorld, first string) { w.failures[first] = link.ErrNoListener }, quota.RoleSuccessor},
		{"silent", func(w *quotaWorld, first string) { w.failures[first] = link.ErrUnreachable }, quota.RoleStandIn},
	} {
		t.Run(c.name, func(t *testing.T) {
			inQuotaWorld(t, func(w *quotaWorld) {
				first, _ := w.nodes()
				c.fail(w, first)
				_, _ = w.admitted(1)
				w.Expect(w.roles[len(w.roles)-1]).To(Equal(c.want))
			})
		})
	}
}

func TestNoRequestIsAdmittedWhenNoNodeKeepsTheQuota(t *testing.T) {
	inQuotaWorld(t, func(w *quotaWorld) {
		first, second := w.nodes()
		w.failures[first], w.failures[second] = link.ErrUnreachable, link.ErrUnreachable
		count, refusal := w.admitted(10)
		w.Expect(count).To(BeZero())
		w.Expect(refusal.Reason).To(Equal(verdict.ReasonQuotaUnknown))
		w.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
	})
}

func TestConcurrentRequestsShareRequestsForCredits(t *testing.T) {
	inQuotaWorld(t, func(w *quotaWorld) {
		first, _ := w.nodes()
		w.delays[first] = time.Millisecond
		const requests = 50
		var work sync.WaitGroup
		var admitted atomic.Int64
		for range requests {
			work.Go(func() {
				if w.guard.Admit(context.Background(), w.workspace) == nil {
					admitted.Add(1)
				}
			})
		}
		work.Wait()
		w.Expect(float64(admitted.Load())).To(And(BeNumerically(">=", w.workspace.Quota.Burst), BeNumerically("<=", 1.5*w.workspace.Quota.Burst)))
		w.Expect(len(w.roles)).To(BeNumerically("<=", requests/10), "requests for credits")
	})
}

// Guards against quotas that are kept by a node which ended, whose server a restored store
// still lists.
func TestQuotasHaveNoHomeBesideWithheldServer(t *testing.T) {
	g := NewWithT(t)
	l := newQuotaLedger("10.0.0.3:7000", "7000", quota.Tolerance{}, nil, &atomic.Bool{})
	l.update(&catalog.View{Servers: map[mesh.ServerID]*catalog.Listing{
		"a": {Server: &mesh.Server{ID: "a", Address: "10.0.0.1:1"}, Withheld: true},
		"b": {Server: &mesh.Server{ID: "b", Address: "10.0.0.2:1"}},
	}})
	for _, workspace := range []string{"north", "south", "east", "west"} {
		first, _ := l.rank(workspace)
		g.Expect(first).To(Equal("10.0.0.2:7000"))
	}
}
