package routing

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

func outstanding(servers []Server) int {
	sum := 0
	for _, s := range servers {
		sum += s.Stats.Outstanding()
	}
	return sum
}

// TestSpillStartsAtThreshold fills two data centres: the distant one gets requests
// only once the near one has reached the spill threshold, and the near one stays
// at the threshold until the distant one has reached it too.
func TestSpillStartsAtThreshold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near := warmServers(rapid.IntRange(1, 5).Draw(t, "near"), 0)
		far := warmServers(rapid.IntRange(1, 5).Draw(t, "far"), rapid.IntRange(1, 2).Draw(t, "place"))
		otherSenders := rapid.IntRange(0, 5).Draw(t, "foreign") // at each near server
		for _, s := range near {
			s.Stats.Observe(Load{Running: otherSenders, Limit: 10, State: host.StateWarm}, start)
		}
		p := NewPool(localPlace, "me", append(near, far...), PoolConfig{})
		source := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)
		nearFull, farFull := 8*len(near)-otherSenders*len(near), 8*len(far)
		for n := 1; n <= nearFull+farFull; n++ {
			p.Choose(source, nil, start)
			if got := outstanding(near); got != min(n, nearFull) {
				t.Fatalf("%d of %d near, want %d", got, n, min(n, nearFull))
			}
		}
	})
}

// TestSubsetsAreBalancedAndStable compares the subsets of 300 senders over 60
// servers in three data centres before and after one server is removed.
func TestSubsetsAreBalancedAndStable(t *testing.T) {
	g := NewWithT(t)
	servers := warmServers(20, 0, 1, 2)
	uses := map[host.ID]int{}
	for i := range 300 {
		sender := host.ID(fmt.Sprint("entry", i))
		before := map[host.ID]bool{}
		far := 0
		for _, s := range NewPool(localPlace, sender, servers, PoolConfig{}).Servers() {
			before[s.Host] = true
			uses[s.Host]++
			if s.Place != localPlace {
				far++
			}
		}
		g.Expect(before).To(HaveLen(defaultSubsetSize))
		g.Expect(far).To(BeNumerically(">=", 1))
		added := 0
		for _, s := range NewPool(localPlace, sender, servers[1:], PoolConfig{}).Servers() {
			if !before[s.Host] {
				added++
			}
		}
		g.Expect(added).To(BeNumerically("<=", 1))
	}
	for d, mean := range []int{150, 105, 45} { // 10, 7 and 3 of 20 for each sender
		for i := range 20 {
			g.Expect(uses[host.ID(fmt.Sprintf("dc%d-%d", d, i))]).To(BeNumerically("~", mean, 40))
		}
	}
}

// TestSenderStaysWithinColdServerShare runs concurrent requests of one sender: it
// never exceeds its share of a cold server, which still gets requests in
// proportion to its capacity.
func TestSenderStaysWithinColdServerShare(t *testing.T) {
	g := NewWithT(t)
	servers := warmServers(3, 0)
	cold := &servers[0]
	cold.State, cold.Capacity = host.StateCold, 4
	p := NewPool(localPlace, "me", servers, PoolConfig{Senders: 2}) // a share of 2
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				s, _ := p.Choose(Random{}, nil, start)
				if s.Host == cold.Host && s.Stats.Outstanding() > 2 {
					t.Error("the cold server has more outstanding requests than the sender's share of 2")
				}
				s.Stats.Finish(Outcome{At: start})
			}
		})
	}
	wg.Wait()
	for _, admitted := range []bool{true, true, false} { // two requests may try to begin at the last free place
		g.Expect(cold.Stats.tryBegin(2)).To(Equal(admitted))
	}
	cold.Stats.outstanding.Store(0)
	source, coldRequests := rand.NewPCG(1, 2), 0
	for range 2400 {
		s, _ := p.Choose(source, nil, start)
		if s.Host == cold.Host {
			coldRequests++
		}
		s.Stats.Finish(Outcome{At: start})
	}
	g.Expect(coldRequests).To(BeNumerically("~", 400, 60)) // 4 of a capacity of 24
}

func TestLoadReportWeightDecays(t *testing.T) {
	g := NewWithT(t)
	servers := warmServers(2, 0)
	servers[0].Stats.Observe(Load{Running: 10, Limit: 10, State: host.StateWarm}, start)
	p := NewPool(localPlace, "me", servers, PoolConfig{})
	for age, load := range map[time.Duration]int64{0: 10, time.Second: 5, 2 * time.Second: 0} {
		var set candidateSet
		set.fill(p, []host.ID{"dc0-1"}, start.Add(age))
		g.Expect(set.candidates[0].load).To(Equal(load))
	}
}

func TestServerGetsOneTrialRequestAfterBackOff(t *testing.T) {
	g := NewWithT(t)
	servers := warmServers(1, 0, 1)
	failing := servers[0].Stats
	failing.Begin()
	failing.Finish(Outcome{At: start, Err: verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, nil)})
	p := NewPool(localPlace, "me", servers, PoolConfig{})
	choose := func(now time.Time) host.ID {
		s, _ := p.Choose(rand.NewPCG(1, 2), nil, now)
		return s.Host
	}
	g.Expect(choose(start)).To(Equal(servers[1].Host))
	g.Expect(choose(start.Add(backOffBase))).To(Equal(servers[0].Host))
	g.Expect(choose(start.Add(backOffBase))).To(Equal(servers[1].Host))
	failing.Finish(Outcome{At: start})
	g.Expect(choose(start)).To(Equal(servers[0].Host))
}

func TestLeavingHostKeepsOutstandingRequests(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory(DirectoryConfig{Place: localPlace, Host: "me"}, NewStatsRegistry())
	update := func(leaving bool) *Pool {
		servers := warmServers(2, 0)
		servers[0].Leaving = leaving
		d.Update([]ServiceServers{{Service: "s", Servers: servers}})
		p, _ := d.Pool("s")
		return p
	}
	before := update(false)
	running, _ := before.Choose(rand.NewPCG(1, 2), []host.ID{"dc0-1"}, start)
	g.Expect(update(false)).To(BeIdenticalTo(before))
	_, ok := update(true).Choose(rand.NewPCG(1, 2), []host.ID{"dc0-1"}, start)
	g.Expect(ok).To(BeFalse())
	listed, _ := d.Server("dc0-0")
	g.Expect(listed.Stats).To(BeIdenticalTo(running.Stats))
	g.Expect(listed.Stats.Outstanding()).To(Equal(1))
	d.Update(nil)
	_, ok = d.Pool("s")
	g.Expect(ok).To(BeFalse())
}

// TestReturningDataCentreGetsCapacityShare has only cold servers near the sender:
// they get requests in proportion to their share of the total capacity.
func TestReturningDataCentreGetsCapacityShare(t *testing.T) {
	g := NewWithT(t)
	servers := warmServers(2, 0, 1)
	for i := range 2 {
		servers[i].State, servers[i].Capacity = host.StateCold, 2
	}
	p := NewPool(localPlace, "me", servers, PoolConfig{})
	source, near := rand.NewPCG(1, 2), 0
	for range 2400 {
		s, _ := p.Choose(source, nil, start)
		if s.Place == placeOf(0) {
			near++
		}
		s.Stats.Finish(Outcome{At: start})
	}
	g.Expect(near).To(BeNumerically("~", 400, 60)) // 4 of a capacity of 24
	for i := range 2 {
		servers[i+2].State = host.StateCold
	}
	s, ok := NewPool(localPlace, "me", servers, PoolConfig{}).Choose(source, nil, start)
	g.Expect(ok).To(BeTrue())
	g.Expect(s.Place).To(Equal(placeOf(0)), "if all servers are cold, a near one is chosen")
}
