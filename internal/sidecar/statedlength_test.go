package sidecar

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
)

// streamingServer states a length for each answer and sends some bytes of it.
type streamingServer struct {
	instantServer
	stated int64
	sent   int
	// end is the error after the bytes sent.
	end error
}

func (s streamingServer) Do(context.Context, serverconn.Request) (*serverconn.Answer, error) {
	answer := serverAnswer(http.StatusOK, protocol.ServerResponse{Signed: true})
	answer.Buffered, answer.ContentLength = false, s.stated
	answer.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", s.sent)), iotest.ErrReader(s.end)))
	return answer, nil
}

// Guards against a stated length that sizes what later requests reserve: after one answer of a
// faulty server that stated 1 TB and broke off, its gate refused all requests of the route.
func TestStatedLengthOfABrokenAnswerRefusesNoLaterRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		server streamingServer
		// estimate is what later requests may reserve.
		estimate int64
	}{
		{"broken answer", http.MethodGet, streamingServer{stated: 1e12, sent: 300_000, end: io.ErrUnexpectedEOF}, 300_000},
		{"broken answer, largest length", http.MethodGet, streamingServer{stated: math.MaxInt64, sent: 300_000, end: io.ErrUnexpectedEOF}, 300_000},
		{"answer to HEAD", http.MethodHead, streamingServer{stated: 1e12, end: io.EOF}, contract.LargeAnswerBytes},
		{"whole answer", http.MethodGet, streamingServer{stated: 300_000, sent: 300_000, end: io.EOF}, 300_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			hop := newTestHop(t, newTestView(1))
			hop.client = c.server
			r := requestTo("10.0.0.2", strings.NewReader(""), 0)
			r.Method = c.method
			r.Objective, r.Deadline = time.Now().Add(time.Second), time.Now().Add(2*time.Second)
			answer, err := hop.Run(t.Context(), r)
			g.Expect(err).NotTo(HaveOccurred())
			delay := hop.Load().AnswerQueueDelay
			_, err = io.Copy(io.Discard, answer.Body)
			g.Expect(err == nil).To(Equal(c.server.end == io.EOF))
			g.Expect(answer.Body.Close()).To(Succeed())

			r.Objective, r.Deadline = time.Now().Add(time.Second), time.Now().Add(2*time.Second)
			reservation, refusal := hop.answers.reserve(r, 0)
			g.Expect(refusal).To(BeNil())
			reservation.release()
			g.Expect(hop.answers.sizes.Estimate(r.Route)).To(BeNumerically("<=", c.estimate))
			g.Expect(delay).To(BeNumerically("<=", 2*time.Second), "no more than is sent until the deadline")
		})
	}
}

// Guards against answers whose size is never learned because none is read to its end: nothing
// would be reserved for them, and all would be late.
func TestSizeOfAnAnswerThatIsNotReadToItsEndIsLearned(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	hop.client = streamingServer{stated: 1_000_000, sent: 1_000_000, end: io.EOF}
	r := requestTo("10.0.0.2", strings.NewReader(""), 0)
	answer, err := hop.Run(t.Context(), r)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.CopyN(io.Discard, answer.Body, 400_000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Body.Close()).To(Succeed())
	g.Expect(hop.answers.sizes.Estimate(r.Route)).To(BeNumerically("~", 400_000, maxChunk))
}

// maxChunk is the most that a reader may have read beyond what was taken from it.
const maxChunk = 40_000
