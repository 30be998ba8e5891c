package fleet

import (
	"net/http"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/host"
	"boragefall/internal/workload"
)

// maxPoisoned is the number of servers that one poison request may crash.
const maxPoisoned = 2

var _ = Describe("the backend servers", func() {
	// A gate learns that its server has turned cold from the first slow answer
	// or the first crash. Requests that the server took while it was warm may
	// therefore be too many at the moment it turns cold, and crash it once; the
	// next process is known to be cold and bears what it gets.
	It("turn cold without warning and crash once each at most", func() {
		members := serving("status")
		cold, crashes := fleet.Record.ColdOverloads(), fleet.Record.Crashes()
		// A server warms by answers. Its gate takes it for warm only after answers
		// at a full limit, which the last of several servers may never get, so
		// half of the gates have to have raised their limits.
		load := workload.LoadConfig{Rate: 4 * loadRate, Operations: []workload.Operation{operation("lookup")}}
		_, broken := loaded(load, func() {
			Eventually(serversWarm, patience).WithArguments(members).Should(BeTrue())
			Eventually(warmGates, patience).WithArguments(members).Should(BeNumerically(">=", len(members)/2))
			each(members, func(m *workload.Member) { m.Server.Cool() })
			Eventually(serversWarm, patience).WithArguments(members).Should(BeTrue())
		})
		Expect(fleet.Record.Crashes() - crashes).To(BeNumerically("<=", len(members)))
		slots := fleet.Deployment.Size("status").Slots
		Expect(fleet.Record.ColdOverloads() - cold).To(BeNumerically("<=", len(members)*slots))
		broken.ColdOverload = 0
		Expect(broken).To(BeZero())
		expectServing()
	})

	It("crash under load, one after the other", func() {
		during(workload.LoadConfig{}, func() {
			for _, m := range fleet.Members {
				m.Server.Crash()
			}
			expectServing()
		})
	})

	It("lie about their health and load, and crash", func() {
		lie := func(on bool) {
			for _, m := range fleet.Members {
				m.Server.SetLying(on)
			}
		}
		DeferCleanup(lie, false)
		during(workload.LoadConfig{}, func() {
			lie(true)
			each(serving("ordering"), func(m *workload.Member) { m.Server.Crash() })
			expectServing()
		})
	})

	It("crash while one caller sends again at once at ten times the load", func() {
		storm := operation("lookup")
		storm.Share = 9 * 100 // of the others' shares, which sum up to 100
		operations := append([]workload.Operation{storm}, fleet.Deployment.Operations...)
		during(workload.LoadConfig{Operations: operations, Rate: 5 * loadRate, MaxTries: 20}, func() {
			for _, m := range serving("status")[:2] {
				m.Server.Crash()
			}
			expectServing()
		})
	})

	It("crash in a herd with their nodes", func() {
		during(workload.LoadConfig{}, func() {
			each(half(), func(m *workload.Member) {
				fleet.KillNode(m)
				m.Server.Crash()
			})
			start(half())
			expectEverywhere(version())
			expectServing()
		})
	})

	for _, poison := range []workload.Operation{
		{Name: "poison-order", Service: "ordering", Caller: "depot", Method: http.MethodPost, Path: "/orders", Poison: true, BodyBytes: 77},
		{Name: "poison-lookup", Service: "status", Caller: "depot", Method: http.MethodGet, Path: "/status/poison", Poison: true, Idempotent: true},
	} {
		It("crash by a "+poison.Name+" that its caller sends again, two at most", func() {
			awaitKeys()
			result := during(workload.LoadConfig{}, func() {
				tally := workload.NewTally(fleet.Record)
				load := fleet.NewLoad(workload.LoadConfig{MaxTries: 20}, tally)
				load.Perform(poison, !poison.Idempotent)
				Expect(tally.Result().Good).To(BeZero())
			})
			Expect(result.Good).To(BeNumerically(">", 0))
			hosts := map[host.ID]bool{}
			for _, run := range runs(poison.Name) {
				hosts[run.Host] = true
			}
			Expect(len(hosts)).To(And(BeNumerically(">", 0), BeNumerically("<=", maxPoisoned)))
			expectServing()
		})
	}
})

// serversWarm reports whether all stand-in servers are past their cold start.
func serversWarm(members []*workload.Member) bool {
	return !slices.ContainsFunc(members, func(m *workload.Member) bool { return m.Server.Cold() })
}

// warmGates counts the gates that take their server for warm.
func warmGates(members []*workload.Member) int {
	count := 0
	for _, m := range members {
		if m.Node().Status().Gate.State == host.StateWarm.String() {
			count++
		}
	}
	return count
}
