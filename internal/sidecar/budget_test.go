package sidecar

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"boragefall/internal/catalog"
	"boragefall/internal/mesh"
)

// Guards against a node that keeps the share of the slack that it computed at startup,
// when few servers were listed: 194 such nodes together held thirty times the slack.
func TestRetrySlackPerNodeFollowsTheFleetSize(t *testing.T) {
	g := NewWithT(t)
	const slack, fleet = 430, 194
	view := &catalog.View{Servers: map[mesh.ServerID]*catalog.Listing{}}
	setFleetSize := func(size int) {
		next := &catalog.View{Servers: map[mesh.ServerID]*catalog.Listing{}}
		for i := range size {
			next.Servers[mesh.ServerID(fmt.Sprint(i))] = &catalog.Listing{}
		}
		view = next
	}
	d := &Dispatcher{view: func() *catalog.View { return view }, retryBudget: RetryBudget{Ratio: 0.2, Slack: slack}}
	setFleetSize(3)
	d.retryBudgetFor("service")
	setFleetSize(fleet)
	taken := 0
	for d.retryBudgetFor("service").TryWithdraw() {
		taken++
	}
	g.Expect(taken * fleet).To(BeNumerically("<=", slack))
}
