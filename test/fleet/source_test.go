package fleet

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/workload"
)

var _ = Describe("the nodes' herd and their source", func() {
	It("dies whole and reconnects in a storm", func() {
		_, refused := fleet.Platform.Reads()
		before := version()
		during(workload.LoadConfig{}, func() {
			kill(fleet.Members)
			start(fleet.Members)
			expectEverywhere(before)
		})
		_, refusedAfter := fleet.Platform.Reads()
		Expect(refusedAfter).To(Equal(refused), "reads over the limit")
		expectServing()
	})

	It("dies by half while a newer version comes out", func() {
		during(workload.LoadConfig{}, func() {
			kill(half())
			fleet.Touch(2)
			start(half())
			expectEverywhere(version())
		})
	})

	It("loses the source, and restarted nodes get the version from peers", func() {
		DeferCleanup(fleet.Platform.SetOutage, false)
		result := during(workload.LoadConfig{}, func() {
			fleet.Platform.SetOutage(true)
			kill(half())
			start(half())
			expectEverywhere(version())
		})
		Expect(result.Good).To(BeNumerically(">", 0))
		fleet.Platform.SetOutage(false)
		fleet.Touch(3)
		expectEverywhere(version())
		expectServing()
	})

	It("meets a stale source, and nobody goes back, restarted nodes included", func() {
		old, oldFiles := fleet.Platform.Revision(), fleet.Platform.Files()
		fleet.Touch(4)
		newer, newerFiles := version(), fleet.Platform.Files()
		expectEverywhere(newer)
		stale := staleReads()
		during(workload.LoadConfig{}, func() {
			fleet.Platform.Restore(old, oldFiles)
			Eventually(staleReads, patience).Should(BeNumerically(">", stale))
			kill(half())
			start(half())
			expectEverywhere(newer)
		})
		fleet.Platform.Restore(newer.Revision, newerFiles)
	})

	It("meets an older revision of a higher epoch, and everybody follows", func() {
		during(workload.LoadConfig{}, func() {
			epoch++
			files := withEpoch(fleet.Platform.Files(), epoch)
			fleet.Platform.Restore(fleet.Platform.Revision()-1, files)
			expectEverywhere(version())
		})
	})

	It("meets a bad version and applies no part of it", func() {
		const name = "85-bad.json"
		DeferCleanup(fleet.Platform.Remove, name)
		good := version()
		during(workload.LoadConfig{}, func() {
			fleet.Platform.Put(name, []byte(`{"routes":{
				"a-good":{"match":{"path":"/good"},"service":"status"},
				"b-broken":{"match":{"path":"/bad"},"service":"nowhere"}}}`))
			// Only nodes that read the source meet the bad version: it does not spread.
			Eventually(func() string { return rejection(version()) }, patience).Should(ContainSubstring("nowhere"))
			expectEverywhere(good)
		})
		Expect(refusedPath("/good")).To(BeTrue(), "a part was applied")
		fleet.Platform.Remove(name)
		expectEverywhere(version())
	})

	It("meets crossed updates while nodes restart", func() {
		during(workload.LoadConfig{}, func() {
			for round := range 3 {
				kill(half())
				for n := range 10 {
					fleet.Touch(10*round + n)
				}
				start(half())
				fleet.Touch(round)
			}
			expectEverywhere(version())
		})
		expectServing()
	})

	It("loses a service and its routes in one version", func() {
		files := fleet.Platform.Files()
		DeferCleanup(func() {
			fleet.Platform.Publish(files)
			expectEverywhere(version())
			expectServing()
		})
		// An entry can't prove that no earlier try of a key ran, so it refuses
		// keyed requests as may-have-run; all others get not-run.
		result := during(workload.LoadConfig{UnkeyedPercent: 100}, func() {
			fleet.Platform.Publish(without(files, "logbook"))
			expectEverywhere(version())
		})
		Expect(failures(result)).To(Equal([]string{"not-run"}))
		Expect(result.Refusals).To(HaveLen(1))
		tally, ran := workload.NewTally(fleet.Record), len(runs("log-upload"))
		fleet.NewLoad(workload.LoadConfig{MaxTries: 1}, tally).Perform(operation("log-upload"), true)
		Expect(tally.Result().Refusals).To(Equal(map[string]int{"may-have-run": 1}))
		Expect(runs("log-upload")).To(HaveLen(ran))
	})
})

// staleReads sums the nodes' reads of a version older than theirs.
func staleReads() uint64 {
	var sum uint64
	for _, m := range fleet.Running() {
		sum += m.Node().Status().StaleReads
	}
	return sum
}

// rejection returns the reason for which the nodes refused a version.
func rejection(v config.Version) string {
	for _, m := range fleet.Running() {
		for _, r := range m.Node().Status().Rejected {
			if r.Version == v.String() {
				return r.Reason
			}
		}
	}
	return ""
}

// refusedPath reports whether every entry refuses a path as not run.
func refusedPath(path string) bool {
	tally := workload.NewTally(fleet.Record)
	o := workload.Operation{Name: "probe", Caller: "depot", Method: "GET", Path: path, Idempotent: true}
	for _, m := range fleet.Members {
		entry := func(other *workload.Member) bool { return other == m }
		fleet.NewLoad(workload.LoadConfig{Entry: entry, MaxTries: 1}, tally).Perform(o, false)
	}
	return tally.Result().Refusals["not-run"] == len(fleet.Members)
}

func withEpoch(files []config.File, epoch uint64) []config.File {
	for i, f := range files {
		if strings.Contains(string(f.Data), `"epoch"`) {
			files[i].Data = fmt.Appendf(nil, `{"epoch":%d}`, epoch)
		}
	}
	return files
}

// without leaves out a service's files.
func without(files []config.File, service string) []config.File {
	var rest []config.File
	for _, f := range files {
		if !strings.Contains(f.Name, service) {
			rest = append(rest, f)
		}
	}
	return rest
}
