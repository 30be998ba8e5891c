package hostile

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// status returns a value of the process's status file in MiB.
func (m *member) status(name string) float64 {
	GinkgoHelper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.node.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, name+": %f kB", &kilobytes); n == 1 { // other lines don't match
			return kilobytes / 1024
		}
	}
	Fail(name + " is missing")
	return 0
}

func (m *member) descriptors() int {
	GinkgoHelper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.node.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return len(entries)
}

// get sends one ordinary request and returns the status of its complete response, or 0.
func get(address, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host, request.Close = "mesh.example", true
	request.Header.Set("Deadline-Ms", "2000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// withstands lets a crowd connect to a node and checks that the process lives within its
// limits and that an ordinary request is answered afterwards.
func withstands(start func() []*member, connect func(m *member) *crowd, ordinary func(all []*member) int) {
	all := start()
	Eventually(ordinary).WithArguments(all).WithTimeout(patience).Should(Equal(http.StatusOK))
	m := all[0]
	before := m.status("VmHWM")
	c := connect(m)
	defer c.leave()
	Consistently(m.ended).WithTimeout(time.Second).ShouldNot(BeClosed(), "the process has ended")
	peak, anonymous, open := m.status("VmHWM"), m.status("RssAnon"), m.descriptors()
	AddReportEntry(fmt.Sprintf("peak %.0f MiB (%.0f before), anonymous %.0f MiB, %d descriptors", peak, before, anonymous, open))
	Expect(peak).To(BeNumerically("<=", memoryMB), "peak of resident memory in MiB")
	Expect(open).To(BeNumerically("<=", maxDescriptors), "open descriptors")
	c.leave()
	Eventually(ordinary).WithArguments(all).WithTimeout(patience).Should(Equal(http.StatusOK))
	Expect(m.ended).NotTo(BeClosed(), "the process has ended")
	Expect(m.status("VmHWM")).To(BeNumerically("<=", memoryMB), "peak of resident memory in MiB")
}

func own(all []*member) int { return get(all[0].callers, all[0].path) }

// overLink sends a request through the second node to the server beside the first.
func overLink(all []*member) int { return get(all[1].callers, all[0].path) }

func metrics(all []*member) int { return min(own(all), get(all[0].admin, "/metrics")) }

func ready(all []*member) int { return get(all[0].ready, "/ready") }

// One crowd at a time: peaks of memory depend on nothing else.
var _ = Describe("untrusted clients", Serial, func() {
	DescribeTable("don't exhaust the memory or the descriptors of a node",
		withstands,
		Entry("platform, callers", startPlatform, func(m *member) *crowd { return httpCrowd(m.callers) }, own),
		Entry("platform, readiness", startPlatform, func(m *member) *crowd { return httpCrowd(m.ready) }, ready),
		Entry("platform, metrics", startPlatform, func(m *member) *crowd { return httpCrowd(m.admin) }, metrics),
		Entry("platform, links", startPlatform, func(m *member) *crowd { return linkCrowd(m.links) }, overLink),
		Entry("plain, callers", startPlain, func(m *member) *crowd { return httpCrowd(m.callers) }, own),
		Entry("plain, metrics and status", startPlain, func(m *member) *crowd { return httpCrowd(m.admin) }, metrics),
		Entry("plain, links", startPlain, func(m *member) *crowd { return linkCrowd(m.links) }, overLink),
	)
})
