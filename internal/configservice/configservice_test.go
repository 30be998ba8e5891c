package configservice

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/config"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if !setFlags[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// fakeService is an in-memory configuration service. Its hooks can change it between
// calls.
type fakeService struct {
	revision     uint64
	files        map[string]string
	calls        []string
	status       int                 // returned for every call unless 0
	beforeCall   func(path string)   // runs before each call
	corruptValue func(string) string // changes file contents in responses
}

func (s *fakeService) RoundTrip(r *http.Request) (*http.Response, error) {
	path := r.URL.Path
	if s.beforeCall != nil {
		s.beforeCall(path)
	}
	s.calls = append(s.calls, path)
	code, body := http.StatusOK, ""
	name, isValue := strings.CutPrefix(path, pathValue)
	switch {
	case s.status != 0:
		code = s.status
	case path == pathHosts || path == pathHostsWatch:
		body = fmt.Sprintf(`{"revision":%d,"hosts":[]}`, s.revision)
	case isValue && s.files[name] == "":
		code = http.StatusNotFound
	case isValue:
		body = s.files[name]
		if s.corruptValue != nil {
			body = s.corruptValue(body)
		}
	default:
		body = s.listing()
	}
	header := http.Header{RevisionHeader: {fmt.Sprint(s.revision)}}
	return &http.Response{StatusCode: code, Status: fmt.Sprint(code), Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func (s *fakeService) listing() string {
	l := listing{Revision: s.revision}
	for name, data := range s.files {
		hash := config.HashOf([]byte(data))
		l.Entries = append(l.Entries, listingEntry{Name: name, Revision: s.revision, SHA256: hex.EncodeToString(hash[:])})
	}
	raw, _ := json.Marshal(l)
	return string(raw)
}

var _ = Describe("Client", func() {
	var service *fakeService
	var client *Client
	BeforeEach(func() {
		service = &fakeService{revision: 7, files: map[string]string{"20-b.json": "b", "10-a.json": "a"}}
		client = NewClient(Config{BaseURL: "http://platform"}, service)
	})

	It("reads all files at one revision and does not fetch cached files again", func(ctx SpecContext) {
		folder, err := client.ReadConfig(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(*folder).To(Equal(Folder{Revision: 7, Files: []config.File{
			{Name: "10-a.json", Data: []byte("a")}, {Name: "20-b.json", Data: []byte("b")}}}))
		service.calls, service.files["20-b.json"] = nil, "c"
		changed, err := client.WatchConfig(ctx, 7, time.Second, folder.Files)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed.Files[1].Data).To(Equal([]byte("c")))
		Expect(service.calls).To(Equal([]string{pathWatch, pathValue + "20-b.json", pathList}))
	})

	DescribeTable("returns the newer revision when the folder changes during a read",
		func(ctx SpecContext, call int) {
			service.beforeCall = func(string) {
				if len(service.calls) == call {
					service.revision, service.files = 8, map[string]string{"10-a.json": "a2", "15-c.json": "c"}
				}
			}
			folder, err := client.ReadConfig(ctx, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(*folder).To(Equal(Folder{Revision: 8, Files: []config.File{
				{Name: "10-a.json", Data: []byte("a2")}, {Name: "15-c.json", Data: []byte("c")}}}))
		},
		Entry("before the listing", 0), Entry("before the first file", 1), Entry("before the second file", 2), Entry("before the second listing", 3),
	)

	DescribeTable("returns the cause of a failed read",
		func(ctx SpecContext, injectFault func(), want error) {
			injectFault()
			_, err := client.ReadConfig(ctx, nil)
			Expect(errors.Is(err, want)).To(BeTrue(), "%v", err)
		},
		Entry("rate limited by the service", func() { service.status = http.StatusTooManyRequests }, ErrRateLimited),
		Entry("outage", func() { service.status = http.StatusServiceUnavailable }, ErrUnavailable),
		Entry("unexpected status code", func() { service.status = http.StatusTeapot }, ErrMalformed),
		Entry("listing that keeps changing", func() { service.beforeCall = func(string) { service.revision++ } }, ErrInconsistent),
		Entry("file that does not match its hash", func() { service.corruptValue = func(s string) string { return s + "!" } }, ErrInconsistent),
		Entry("file over the size limit", func() {
			service.files["10-a.json"] = strings.Repeat("x", maxValueBytes+1)
		}, ErrTooLarge),
		Entry("read budget exhausted", func() {
			client = NewClient(Config{BaseURL: "http://platform", ReadsPerSecond: 0.001, ReadBurst: 2}, service)
		}, ErrReadBudgetExhausted),
	)

	It("returns nil from a watch that ends without a change", func(ctx SpecContext) {
		service.status = http.StatusNotModified
		folder, err := client.WatchConfig(ctx, 7, time.Second, nil)
		Expect([]any{folder, err}).To(Equal([]any{(*Folder)(nil), nil}))
		folder, err = client.WatchHosts(ctx, 7, time.Second)
		Expect([]any{folder, err}).To(Equal([]any{(*Folder)(nil), nil}))
	})

	It("returns the host list without changing its bytes", func(ctx SpecContext) {
		folder, err := client.ReadHosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(*folder).To(Equal(Folder{Revision: 7, Files: []config.File{{Name: HostListFile, Data: []byte(`{"revision":7,"hosts":[]}`)}}}))
	})
})

// TestBackoffStaysWithinItsBounds checks that no delay is less than Base, greater than
// Cap or greater than three times the previous delay.
func TestBackoffStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(1, 1000).Draw(t, "base"))
		b := Backoff{Base: base, Cap: base * time.Duration(rapid.IntRange(1, 50).Draw(t, "cap"))}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		last := base
		for range 50 {
			wait := b.Next(random)
			if wait < base || wait > b.Cap || wait > 3*last {
				t.Fatalf("delay %v after %v is out of bounds, base %v, cap %v", wait, last, base, b.Cap)
			}
			last = wait
		}
	})
}
