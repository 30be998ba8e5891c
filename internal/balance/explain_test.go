package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/mesh"
)

// stateCopy returns copies of all states of servers.
func stateCopy(b *Balancer) map[mesh.ServerID]serverState {
	states := map[mesh.ServerID]serverState{}
	for id, s := range b.servers {
		copied := *s
		copied.full = maps.Clone(s.full)
		states[id] = copied
	}
	return states
}

// Guards against an explanation that names another server than the one that is chosen, and
// against one that changes a later choice: with the same random values both decide alike,
// over any history of load reports, marks and ejections.
func TestExplanationIsWhatChooseDecides(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		source := rand.NewPCG(seed, 1)
		b, servers, now := New("north", rand.New(source).Float64), listed("north", "south", "north", "south"), start
		for step := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 30, 400, 31000}).Draw(rt, "ms")) * time.Millisecond)
			l := servers[rapid.IntRange(0, 3).Draw(rt, "server")]
			l.ColdUntil = start.Add(time.Duration(rapid.IntRange(0, 2).Draw(rt, "cold")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				load := warmLoad(rapid.IntRange(0, 9).Draw(rt, "running"))
				load.State = rapid.SampledFrom([]host.State{host.StateWarm, host.StateCold, host.StateLeaving}).Draw(rt, "state")
				load.AnswerRate, load.AnswerQueueDelay = 1<<20, time.Duration(step)*20*time.Millisecond
				load.Slowdown = rapid.SampledFrom([]int{0, 100, 250}).Draw(rt, "slowdown")
				b.Finish(l.ID, load, time.Millisecond, now)
			case 1:
				b.MarkFull(l.ID, "lookup", now.Add(50*time.Millisecond), now)
			case 2:
				b.MarkClosed(l.ID, now.Add(time.Second), now)
			case 3:
				b.Eject(l.ID, now.Add(time.Second), now)
			}
			r := Request{Route: "lookup", Class: "lookup", Objective: 600 * time.Millisecond, AnswerBytes: int64(rapid.SampledFrom([]int{1000, 90_000}).Draw(rt, "bytes")), ColdRate: 8, Senders: 2}
			saved, err := source.MarshalBinary()
			g.Expect(err).NotTo(HaveOccurred())
			before, swept := stateCopy(b), b.sweptAt
			again := rand.NewPCG(0, 0)
			g.Expect(again.UnmarshalBinary(saved)).To(Succeed())
			e := b.Explain(servers, r, rand.New(again).Float64, now)
			g.Expect(stateCopy(b)).To(Equal(before), "explaining changes no state")
			g.Expect(b.sweptAt).To(Equal(swept))
			unchanged, err := source.MarshalBinary()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(unchanged).To(Equal(saved), "explaining draws no random value of the balancer")
			chosen, retryIn := b.Choose(servers, r, now)
			g.Expect(e.Choice).To(BeIdenticalTo(chosen))
			g.Expect(e.RetryIn).To(Equal(retryIn))
			if chosen != nil {
				g.Expect(e.Candidates[0].Server).To(Equal(chosen.ID))
			}
		}
	})
}

// Guards against parts of the cost that are not shown: an operator adds them up.
func TestPartsAddUpToTheCost(t *testing.T) {
	g := NewWithT(t)
	b, servers := newBalancer(), listed("north", "south")
	load := warmLoad(9)
	load.Queued, load.FailureRate, load.AnswerRate, load.AnswerQueueDelay = 4, 0.2, 1<<20, 100*time.Millisecond
	b.Finish(servers[1].ID, load, 3*time.Millisecond, start)
	b.MarkFull(servers[0].ID, "", start.Add(80*time.Millisecond), start)
	e := b.Explain(servers, Request{Objective: time.Second, AnswerBytes: 90_000}, func() float64 { return 0.8 }, start.Add(20*time.Millisecond))
	g.Expect(e.Choice).To(BeIdenticalTo(servers[1]))
	sum, names := 0.0, []string{}
	for _, part := range e.Candidates[0].Cost {
		sum += part.Ms
		names = append(names, part.Part)
	}
	g.Expect(sum).To(BeNumerically("~", *e.Candidates[0].CostMs, 1e-6))
	g.Expect(names).To(ContainElements("work", "queue", "answer", "network", "failures", "variation", "data centre"))
	g.Expect(*e.Candidates[0].ReportAgeMs).To(Equal(20.0))
	g.Expect(e.Candidates[1].Exclusions).To(Equal([]Exclusion{{Reason: "full", ForMs: 60}}))
}

// Guards against allocations of a choice: each request makes one over all servers of its
// service.
func TestChooseDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	b, dataCentres := newBalancer(), make([]string, 30)
	for i := range dataCentres {
		dataCentres[i] = fmt.Sprint("dc", i%3)
	}
	servers, load := listed(dataCentres...), &contract.Load{Running: 1, State: host.StateWarm}
	allocations := testing.AllocsPerRun(100, func() {
		l, _ := b.Choose(servers, Request{Objective: time.Second, Route: "lookup"}, start)
		b.Finish(l.ID, load, 0, start)
	})
	g.Expect(allocations).To(BeZero())
}
