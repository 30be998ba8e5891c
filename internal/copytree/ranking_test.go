package copytree_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/copytree"
)

// fleet returns members that are distributed evenly over data centres.
func fleet(size, dataCentres int) []copytree.Member {
	members := make([]copytree.Member, size)
	for i := range members {
		members[i] = copytree.Member{Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), DataCentre: fmt.Sprint("dc", i%dataCentres)}
	}
	return members
}

func allUsable(string) bool { return true }

// Every copy is at most three hops from the store, whichever nodes are unusable, and no
// node follows itself or an unusable node.
func TestEveryCopyIsWithinThreeHops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(1, 300).Draw(t, "nodes"), rapid.IntRange(1, 6).Draw(t, "data centres"))
		down := map[string]bool{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(members)-1), 0, len(members)/2).Draw(t, "down") {
			down[members[i].Address] = true
		}
		usable := func(address string) bool { return !down[address] }
		ranking := copytree.NewRanking(members)
		reading := 0
		for _, m := range members {
			if down[m.Address] {
				continue
			}
			upstream, ok := ranking.Upstream(m, usable)
			if !ok {
				reading++
				continue
			}
			steps := 0
			for at := upstream.Address; ok; steps++ {
				if at == m.Address || down[at] {
					t.Fatalf("%s follows itself or an unusable node, via %s", m.Address, at)
				}
				var next copytree.Upstream
				next, ok = ranking.Upstream(memberAt(members, at), usable)
				at = next.Address
			}
			if steps > upstream.Hops {
				t.Fatalf("%s is %d hops from the store, but its upstream states %d", m.Address, steps, upstream.Hops)
			}
		}
		if reading > 2 {
			t.Fatalf("%d nodes read the store, want 2 at most", reading)
		}
	})
}

func memberAt(members []copytree.Member, address string) copytree.Member {
	for _, m := range members {
		if m.Address == address {
			return m
		}
	}
	panic("no member at " + address)
}

// The number of followers is limited because a relay's link may have only 10 Mbit/s and
// its host only a sixth of a core.
func TestFollowersPerNodeAreBounded(t *testing.T) {
	for _, size := range []int{14, 68, 194, 1839} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			members := fleet(size, 6)
			ranking := copytree.NewRanking(members)
			followers := map[string]int{}
			for _, m := range members {
				if upstream, ok := ranking.Upstream(m, allUsable); ok {
					followers[upstream.Address]++
				}
			}
			for _, m := range members {
				if _, ok := ranking.Upstream(m, allUsable); ok {
					// Twice the nominal number, since hashes do not distribute evenly.
					g.Expect(followers[m.Address]).To(BeNumerically("<=", 2*16))
				}
			}
		})
	}
}

func TestReadersAreInDifferentDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(2, 100).Draw(t, "nodes"), rapid.IntRange(2, 6).Draw(t, "data centres"))
		ranking := copytree.NewRanking(members)
		readersByDataCentre := map[string]int{}
		for _, m := range members {
			if _, ok := ranking.Upstream(m, allUsable); !ok {
				readersByDataCentre[m.DataCentre]++
			}
		}
		if len(readersByDataCentre) != 2 {
			t.Fatalf("readers by data centre: %v", readersByDataCentre)
		}
	})
}

func TestUnusableNodeFollowsAnother(t *testing.T) {
	g := NewWithT(t)
	members := fleet(3, 1)
	ranking := copytree.NewRanking(members)
	for _, m := range members {
		_, ok := ranking.Upstream(m, func(address string) bool { return address != m.Address })
		g.Expect(ok).To(BeTrue())
		_, ok = ranking.Upstream(m, func(string) bool { return false })
		g.Expect(ok).To(BeFalse())
	}
}
