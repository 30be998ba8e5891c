package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/standin"
	"boragefall/internal/workload"
)

// outFor is how long something stays out: past the bound, and some more.
const outFor = workload.LeavingBound + 1500*time.Millisecond

const centre datacentre.ID = "thyboron"

func inCentre(l host.Listing) bool { return l.Place.DataCentre == centre }

var _ = Describe("what leaves", func() {
	It("is a data centre that operators take out and bring back", func() {
		awaitKeys()
		result := during(workload.LoadConfig{}, func() {
			from := time.Now()
			fleet.MarkDataCentre(centre, true)
			stayOut(from, inCentre)
			fleet.MarkDataCentre(centre, false)
			expectEverywhere(version())
		})
		expectIdempotentWhole(result)
		Expect(result.Refusals).NotTo(HaveKey("may-have-run"), "%v of %v", result.Reasons, result.Kinds)
		expectServing()
	})

	It("finds the keys of every service good once they were awaited", func() {
		logbook := serving("logbook")
		kill(logbook)
		start(logbook)
		awaitKeys()
		tally := workload.NewTally(fleet.Record)
		load := fleet.NewLoad(workload.LoadConfig{MaxTries: 1}, tally)
		for range keysTried {
			load.Perform(operation("log-upload"), true)
		}
		Expect(tally.Result().Refusals).To(BeEmpty())
	})

	It("is a host that the platform marks as leaving", func() {
		leaving := fleet.Members[0].Listing.ID
		is := func(l host.Listing) bool { return l.ID == leaving }
		DeferCleanup(func() { fleet.Platform.SetHosts(fleet.Listings()) })
		result := during(workload.LoadConfig{}, func() {
			from := time.Now()
			fleet.Platform.SetHosts(markLeaving(is))
			stayOut(from, is)
		})
		expectIdempotentWhole(result)
	})

	It("is a data centre in the host list, and then the source fails", func() {
		DeferCleanup(func() {
			fleet.Platform.SetOutage(false)
			fleet.Platform.SetHosts(fleet.Listings())
		})
		during(workload.LoadConfig{}, func() {
			list := newestHostList()
			from := time.Now()
			fleet.Platform.SetHosts(markLeaving(inCentre))
			Eventually(newestHostList, patience, "1ms").Should(BeNumerically(">", list))
			fleet.Platform.SetOutage(true) // the others hear of it from peers
			stayOut(from, inCentre)
		})
	})

	It("is a host marked by operators while the platform's list lags", func() {
		leaving := fleet.Members[1].Listing.ID
		is := func(l host.Listing) bool { return l.ID == leaving }
		const name = "90-leaving.json"
		DeferCleanup(func() {
			fleet.Platform.SetHostListLag(0)
			fleet.Platform.SetHosts(fleet.Listings())
			fleet.Platform.Put(name, []byte(`{}`))
			expectEverywhere(version())
		})
		during(workload.LoadConfig{}, func() {
			fleet.Platform.SetHostListLag(workload.LeavingBound + around)
			from := time.Now()
			fleet.Platform.SetHosts(markLeaving(is))
			fleet.Platform.Put(name, fmt.Appendf(nil, `{"hosts":{%q:{"leaving":true}}}`, leaving))
			stayOut(from, is)
		})
	})

	It("is a node that is stopped as planned, with requests in flight", func() {
		member := serving("logbook")[0]
		DeferCleanup(func() {
			kill([]*workload.Member{member})
			start([]*workload.Member{member})
			expectServing()
		})
		during(workload.LoadConfig{}, func() {
			const uploads = 3
			var all []*upload
			for i := range uploads {
				all = append(all, startUpload(member, fmt.Sprintf("slow-upload.%d", i)))
			}
			stopped := make(chan error, 1)
			go func() { stopped <- fleet.StopNode(context.Background(), member) }()
			Eventually(func() bool { return stopping(member) }, patience, "1ms").Should(BeTrue())
			for _, u := range all {
				u.finish()
			}
			Eventually(stopped, patience).Should(Receive(BeNil()))
		})
	})
})

// halfBody is, in bytes, more than an entry buffers before it sends a body on.
const halfBody = 1 << 20

// stayOut waits with hosts out and then expects that they got no new work past
// the bound, though they had work before.
func stayOut(from time.Time, leaving func(host.Listing) bool) {
	time.Sleep(time.Until(from.Add(outFor)))
	before, late := lateRuns(from, time.Now(), leaving)
	ExpectWithOffset(1, before).To(BeNumerically(">", 0))
	ExpectWithOffset(1, late).To(BeZero(), "new work at what leaves")
}

func markLeaving(leaving func(host.Listing) bool) []host.Listing {
	listings := fleet.Listings()
	for i, l := range listings {
		listings[i].Leaving = leaving(l)
	}
	return listings
}

// newestHostList returns the highest revision that a node has.
func newestHostList() uint64 {
	newest := uint64(0)
	for _, m := range fleet.Running() {
		newest = max(newest, m.Node().Status().HostList)
	}
	return newest
}

func stopping(m *workload.Member) bool {
	n := m.Node()
	return n == nil || n.Status().Leaving
}

// upload is a request whose second half waits for the test.
type upload struct {
	id   string
	body *io.PipeWriter
	done chan string
}

// startUpload sends the first half through a member's entry and waits until a
// server runs the request.
func startUpload(m *workload.Member, id string) *upload {
	reader, writer := io.Pipe()
	u := &upload{id: id, body: writer, done: make(chan string, 1)}
	request, err := http.NewRequest(http.MethodPost, "http://"+m.Node().CallersAddress()+"/logs/buoy-7", reader)
	Expect(err).NotTo(HaveOccurred())
	request.ContentLength = 2 * halfBody
	request.Header.Set(standin.HeaderOperation, id)
	request.Header.Set(contract.HeaderCaller, "service-boat")
	go func() { u.done <- answer(request) }()
	u.half()
	Eventually(func() int { return fleet.Record.Count(id) }, patience).Should(Equal(1))
	return u
}

func answer(request *http.Request) string {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return response.Status + " " + string(body)
}

func (u *upload) half() {
	_, err := io.WriteString(u.body, strings.Repeat("b", halfBody))
	Expect(err).NotTo(HaveOccurred())
}

// finish sends the rest and expects the whole answer to this very request.
func (u *upload) finish() {
	u.half()
	Expect(u.body.Close()).To(Succeed())
	Eventually(u.done, patience).Should(Receive(And(HavePrefix("200 OK "), HaveSuffix(" "+u.id+"\n"))))
}
