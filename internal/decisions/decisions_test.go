package decisions

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const sampleLogs = `
  5.7 host-b {"time":"2026-06-20T21:25:14.900Z","level":"info","part":"entry","request":"51df","route":"release","service":"suelta","status":500,"took":41.2,"message":"the server's own failure passed on"}
  5.6 host-b {"time":"2026-06-20T21:25:14.850Z","level":"info","part":"entry","request":"51df.01","route":"lookup","status":503,"verdict":"not-run","reason":"overloaded","message":"answered by the node itself"}
  5.6 host-c {"time":"2026-06-20T21:25:14.849Z","level":"info","part":"gate","request":"51df.01","reason":"overloaded","running":6,"queued":9,"slots":6,"message":"refused"}
  5.5 host-b {"time":"2026-06-20T21:25:14.840Z","level":"info","part":"entry","request":"51df.02","status":200,"message":"answer passed on"}
  5.5 host-b {"time":"2026-06-20T21:25:14.830Z","level":"info","part":"entry","request":"51dfaa","status":503,"reason":"cold","message":"answered by the node itself"}
panic: 51df {"time":
  6.0 host-a {"time":"2026-06-20T21:25:15Z","part":"entry","request":"77aa","status":503,"reason":"cold","message":"answered by the node itself"}
`

func TestFindGroupsLinesByRequestAndCallID(t *testing.T) {
	g := NewWithT(t)
	r, err := Find("51df", Log{Reader: strings.NewReader(sampleLogs)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Lines).To(HaveLen(1))
	g.Expect(r.Calls).To(HaveLen(2))
	call := r.Calls["51df.01"]
	g.Expect(call).To(HaveLen(2))
	g.Expect(call[0].Part).To(Equal("gate"), "lines of a call are ordered by time")
	g.Expect(call[0].FormatFields()).To(Equal("queued=9 running=6 slots=6"))
	g.Expect(call[0].Source).To(Equal("5.6 host-c"))
}

func TestCauseOfServerFailureNamesItsFailedCalls(t *testing.T) {
	g := NewWithT(t)
	r, err := Find("51df", Log{Reader: strings.NewReader(sampleLogs)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Cause()).To(Equal("the server failed the request after its own calls failed: 51df.01: overloaded"))
}

func TestCauseOfRefusalIsItsReason(t *testing.T) {
	g := NewWithT(t)
	r, err := Find("77aa", Log{Reader: strings.NewReader(sampleLogs)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Cause()).To(Equal(Meaning("cold")))
	g.Expect(r.Cause()).NotTo(BeEmpty())
}

func TestReportOfUnknownRequestIsEmpty(t *testing.T) {
	g := NewWithT(t)
	r, err := Find("ffff", Log{Reader: strings.NewReader(sampleLogs)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Lines).To(BeEmpty())
	g.Expect(r.Cause()).To(BeEmpty())
}

func TestOperationsPageListsEveryReason(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for reason := range meaningByReason {
		g.Expect(string(page)).To(ContainSubstring("| `" + reason.String() + "` |"))
	}
}

func TestLineWithoutPrefixUsesTheLogNameAsSource(t *testing.T) {
	g := NewWithT(t)
	line := `{"time":"2026-06-20T21:25:15Z","part":"entry","request":"77aa","status":503,"message":"answered by the node itself"}`
	r, err := Find("77aa", Log{Name: "host-a.log", Reader: strings.NewReader(line)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Lines[0].Source).To(Equal("host-a.log"))
	g.Expect(r.Lines[0].FormatFields()).To(Equal("status=503"))
}
