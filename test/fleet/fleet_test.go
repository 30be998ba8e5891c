package fleet

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/standin"
	"boragefall/internal/workload"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

const (
	patience = "90s"                  // of every look at a final state
	around   = 500 * time.Millisecond // load before and after a fault
	loadRate = 150                    // operations a second
)

// fleet is one Fyrnet mesh that all tests share, in turn. Each leaves it whole.
var (
	fleet *workload.Fleet
	epoch = uint64(1)
)

var _ = BeforeSuite(func(ctx context.Context) {
	deployment, err := workload.Named("fyrnet")
	Expect(err).NotTo(HaveOccurred())
	quiet := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	fleet, err = workload.StartFleet(ctx, deployment.WithWorkTime(10*time.Millisecond), workload.FleetConfig{Logger: quiet})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { fleet.Close() })
	Expect(fleet.WaitKeys(ctx)).To(Succeed())
})

// during puts callers' load on the fleet, lets a fault happen under it and
// checks the promises. It returns the results of the load.
func during(cfg workload.LoadConfig, fault func()) workload.Result {
	cold := fleet.Record.ColdOverloads()
	result, broken := loaded(cfg, fault)
	broken.ColdOverload -= cold
	ExpectWithOffset(1, broken).To(BeZero())
	return result
}

// loaded runs a fault under load and counts the broken promises.
func loaded(cfg workload.LoadConfig, fault func()) (workload.Result, workload.Broken) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := fleet.WatchVersions(ctx)
	tally := workload.NewTally(fleet.Record)
	cfg.Duration = time.Hour // until cancelled
	if cfg.Rate == 0 {
		cfg.Rate = loadRate
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		fleet.NewLoad(cfg, tally).Run(ctx)
	}()
	time.Sleep(around)
	fault()
	time.Sleep(around)
	cancel()
	Eventually(done, patience).Should(BeClosed())
	result := tally.Result()
	GinkgoWriter.Printf("%+v\n", result)
	return result, tally.Broken(fleet, nil, watch.Stop())
}

// version is the one that the platform holds.
func version() config.Version {
	return config.Version{Epoch: epoch, Revision: fleet.Platform.Revision()}
}

// expectEverywhere waits until every node runs, is ready and has a version in
// force, with one content.
func expectEverywhere(v config.Version) {
	EventuallyWithOffset(1, func(g Gomega) {
		hashes := map[string]bool{}
		for _, m := range fleet.Members {
			g.Expect(m.Node()).NotTo(BeNil())
			status := m.Node().Status()
			g.Expect(status.Version).To(Equal(v.String()), "%s", status.Host)
			g.Expect(status.Ready).To(BeTrue(), "%s", status.Host)
			hashes[status.Hash] = true
		}
		g.Expect(hashes).To(HaveLen(1))
	}, patience, "50ms").Should(Succeed())
}

// kill ends nodes at once; start brings nodes back, all at the same time.
func kill(members []*workload.Member) {
	each(members, fleet.KillNode)
}

func start(members []*workload.Member) {
	each(members, func(m *workload.Member) {
		// A connection may hold the port for a while.
		Eventually(func() error { return fleet.StartNode(context.Background(), m) }, patience, "100ms").Should(Succeed())
	})
}

func each(members []*workload.Member, act func(*workload.Member)) {
	var work sync.WaitGroup
	for _, m := range members {
		work.Go(func() {
			defer GinkgoRecover()
			act(m)
		})
	}
	work.Wait()
}

// half returns every second member.
func half() []*workload.Member {
	var members []*workload.Member
	for i := 0; i < len(fleet.Members); i += 2 {
		members = append(members, fleet.Members[i])
	}
	return members
}

// serving returns the members of a service.
func serving(service string) []*workload.Member {
	return slices.DeleteFunc(slices.Clone(fleet.Members), func(m *workload.Member) bool {
		return m.Listing.Service != service
	})
}

// lateRuns counts new work at leaving hosts past the bound, and all work there
// in the same time before, which shows that there was some to keep away.
func lateRuns(from, to time.Time, leaving func(host.Listing) bool) (before, late int) {
	hosts := map[host.ID]bool{}
	for _, m := range fleet.Members {
		hosts[m.Listing.ID] = leaving(m.Listing)
	}
	for _, run := range fleet.Record.Runs() {
		switch {
		case !hosts[run.Host] || run.At.After(to):
		case run.At.Before(from):
			before++
		case run.At.After(from.Add(workload.LeavingBound)):
			late++
		}
	}
	return before, late
}

// expectIdempotentWhole expects that no idempotent operation failed.
func expectIdempotentWhole(result workload.Result) {
	for name, kind := range result.Kinds {
		if kind.Idempotent {
			ExpectWithOffset(1, kind.Failed).To(BeEmpty(), name)
			ExpectWithOffset(1, kind.Good).To(BeNumerically(">", 0), name)
		}
	}
}

// keysTried is the number of fresh keys that are tried, so that each of a
// service's four owners gets some.
const keysTried = 40

// awaitKeys waits until fresh keys are good at every owner of every service: a
// restarted gate has a lease before it takes keys.
func awaitKeys() {
	EventuallyWithOffset(1, func() map[string]int {
		tally := workload.NewTally(fleet.Record)
		load := fleet.NewLoad(workload.LoadConfig{MaxTries: 1}, tally)
		for _, o := range fleet.Deployment.Operations {
			if o.Idempotent {
				continue
			}
			for range keysTried {
				load.Perform(o, true)
			}
		}
		return tally.Result().Refusals
	}, patience, "200ms").ShouldNot(HaveKey("may-have-run"))
}

// expectServing waits until an operation of every kind gets a good answer.
func expectServing() {
	EventuallyWithOffset(1, func(g Gomega) {
		tally := workload.NewTally(fleet.Record)
		load := fleet.NewLoad(workload.LoadConfig{Rate: 1, Duration: time.Second}, tally)
		for _, o := range fleet.Deployment.Operations {
			load.Perform(o, !o.Idempotent)
		}
		result := tally.Result()
		g.Expect(result.Good).To(Equal(result.Operations), "%+v", result)
	}, patience, "200ms").Should(Succeed())
}

// runs returns the runs of the operations of a kind.
func runs(name string) []standin.Run {
	return slices.DeleteFunc(fleet.Record.Runs(), func(r standin.Run) bool {
		return !strings.HasPrefix(r.Operation, name+".")
	})
}

// operation returns an operation of the deployment by its name.
func operation(name string) workload.Operation {
	i := slices.IndexFunc(fleet.Deployment.Operations, func(o workload.Operation) bool { return o.Name == name })
	return fleet.Deployment.Operations[i]
}

// failures returns the kinds of failure in a result.
func failures(result workload.Result) []string {
	seen := map[string]bool{}
	for _, kind := range result.Kinds {
		for text := range kind.Failed {
			seen[text] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
