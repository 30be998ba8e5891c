package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

var (
	start      = time.Unix(1_800_000_000, 0)
	localPlace = datacentre.Place{Region: "west", DataCentre: "dc0"}
)

func placeOf(i int) datacentre.Place {
	return []datacentre.Place{localPlace, {Region: "west", DataCentre: "dc1"}, {Region: "east", DataCentre: "dc2"}}[i]
}

// warmServers returns n equal servers in each of the given places.
func warmServers(n int, places ...int) []Server {
	var out []Server
	for _, p := range places {
		for i := range n {
			id := host.ID(fmt.Sprintf("dc%d-%d", p, i))
			out = append(out, Server{Host: id, Place: placeOf(p), State: host.StateWarm, Capacity: 10, Stats: &Stats{}})
		}
	}
	return out
}

func drawServer(t *rapid.T, i int) Server {
	s := Server{
		Host:     host.ID(fmt.Sprint("h", i)),
		Place:    placeOf(rapid.IntRange(0, 2).Draw(t, "place")),
		State:    host.State(rapid.IntRange(0, 4).Draw(t, "state")),
		Capacity: rapid.IntRange(0, 3).Draw(t, "capacity"),
		Leaving:  rapid.Bool().Draw(t, "leaving"),
		Suspect:  rapid.Bool().Draw(t, "suspect"),
		Stats:    &Stats{},
	}
	for range rapid.IntRange(0, 3).Draw(t, "outstanding") {
		s.Stats.Begin()
	}
	if rapid.Bool().Draw(t, "reported") {
		s.Stats.Observe(Load{
			Running: rapid.IntRange(0, 9).Draw(t, "running"), Limit: rapid.IntRange(0, 3).Draw(t, "limit"),
			State: host.State(rapid.IntRange(1, 4).Draw(t, "said")),
		}, start.Add(-rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, 11 * time.Second}).Draw(t, "age")))
	}
	return s
}

// isEligible states independently of the code under test when a server may be
// chosen.
func isEligible(s Server) bool {
	if s.Leaving || s.State == host.StateLeaving || s.State == host.StateDown {
		return false
	}
	age := start.UnixNano() - s.Stats.reportAt.Load()
	reported := packedLoad(s.Stats.report.Load())
	if s.Stats.reportAt.Load() != 0 && age < int64(leavingReportTTL) && reported.state() >= host.StateLeaving {
		return false
	}
	isRecent := age < int64(loadReportTTL)
	capacity := s.Capacity
	if isRecent {
		capacity = reported.limit()
	}
	cold := s.State != host.StateWarm || isRecent && reported.state() == host.StateCold
	return !cold || s.Stats.Outstanding() < max(capacity, 1)
}

func TestChoosePicksOnlyEligibleServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "servers")
		servers := make([]Server, n)
		var exclude []host.ID
		var eligible, unsuspected []host.ID
		for i := range servers {
			servers[i] = drawServer(t, i)
			if rapid.IntRange(0, 3).Draw(t, "excluded") == 0 {
				exclude = append(exclude, servers[i].Host)
				continue
			}
			if isEligible(servers[i]) {
				eligible = append(eligible, servers[i].Host)
				if !servers[i].Suspect {
					unsuspected = append(unsuspected, servers[i].Host)
				}
			}
		}
		source := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)
		got, ok := NewPool(localPlace, "me", servers, PoolConfig{}).Choose(source, exclude, start)
		if ok != (len(eligible) > 0) {
			t.Fatalf("chose %v of eligible %v", got, eligible)
		}
		if !ok {
			return
		}
		want := eligible
		if len(unsuspected) > 0 {
			want = unsuspected
		}
		if !slices.Contains(want, got.Host) {
			t.Fatalf("chose %v, want one of %v", got.Host, want)
		}
	})
}

func TestChooseBalancesEqualServers(t *testing.T) {
	g := NewWithT(t)
	servers := warmServers(10, 0)
	p := NewPool(localPlace, "me", servers, PoolConfig{})
	source := rand.NewPCG(1, 2)
	for range 70 {
		_, ok := p.Choose(source, nil, start)
		g.Expect(ok).To(BeTrue())
	}
	// 70 outstanding on 10 servers: the choice of two keeps each within 2 of 7.
	for _, s := range servers {
		g.Expect(s.Stats.Outstanding()).To(BeNumerically("~", 7, 2))
	}
}

func TestRefusalReason(t *testing.T) {
	g := NewWithT(t)
	leaving := warmServers(1, 0)
	leaving[0].Leaving = true
	g.Expect(NewPool(localPlace, "me", nil, PoolConfig{}).Refusal().Reason).To(Equal(verdict.ReasonLacksResource))
	g.Expect(NewPool(localPlace, "me", leaving, PoolConfig{}).Refusal().Reason).To(Equal(verdict.ReasonLeaving))
	g.Expect(NewPool(localPlace, "me", warmServers(1, 0), PoolConfig{}).Refusal().Reason).To(Equal(verdict.ReasonCold))
}
