package exchange_test

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

var _ = Describe("an answer over a link that is invalid or incomplete", func() {
	// Guards against passing on a status that is none, which a gate of an older build forwards.
	DescribeTable("with a status out of range is none",
		func(status int) {
			client, address := newClientAndServer(nil, func(head *wire.RequestHead, stream *link.Stream) {
				_ = stream.Send(&wire.AnswerHead{Id: head.GetId(), Status: uint32(status), Load: &wire.Load{}})
				_ = stream.Send(&wire.Chunk{End: true})
				_ = stream.Flush()
			})
			_, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
			Expect(err).To(HaveOccurred())
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
			Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
		},
		Entry("0", 0), Entry("99", 99), Entry("199", 199), Entry("600", 600), Entry("over 31 bits", 1<<32-1),
	)

	// The load is left out: it once ended the process.
	It("is truncated when the stream ends without a last chunk", func() {
		client, address := newClientAndServer(nil, func(head *wire.RequestHead, stream *link.Stream) {
			_ = stream.Send(&wire.AnswerHead{Id: head.GetId(), Status: 200, ContentLength: -1})
			_ = stream.Send(&wire.Chunk{Data: []byte("part")})
			_ = stream.Flush()
		})
		answer, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		Expect(err).To(MatchError(exchange.ErrTruncated))
		Expect(string(body)).To(Equal("part"))
	})

	// Guards against a peer whose body is kept whole although nothing asked for it.
	It("does not buffer a body that is sent unrequested and longer than such may be", func() {
		read := make(chan int, 1)
		server := exchange.NewServer(runnerFunc(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			data, err := io.ReadAll(r.Body)
			read <- len(data)
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, err)
		}), func() config.Version { return config.Version{} }, telemetry.Silent())
		client, address := newClientAndServer(nil, func(head *wire.RequestHead, stream *link.Stream) {
			head.AwaitGo = false
			_ = stream.Send(&wire.AnswerHead{Id: head.GetId(), GoOn: true})
			_ = stream.Flush()
			server.Serve(context.Background(), head, stream)
		})
		_, err := client.Do(context.Background(), address, newRequest(bytes.NewReader(make([]byte, 8<<20)), 8<<20))
		Expect(err).To(HaveOccurred())
		Expect(<-read).To(BeNumerically("<=", 16<<10+1))
	})

	// Guards against times that wrap: a refusal for ever said that the caller may return at once,
	// and a request without a time limit arrived after its deadline.
	DescribeTable("has times that stay long",
		func(micros int64) {
			const long = 24 * time.Hour
			server := exchange.NewServer(runnerFunc(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
				Expect(time.Until(r.Deadline)).To(BeNumerically(">", long))
				Expect(time.Until(r.Objective)).To(BeNumerically(">", long))
				return nil, verdict.Refuse(verdict.ReasonOverloaded, time.Second)
			}), func() config.Version { return config.Version{} }, telemetry.Silent())
			client, address := newClientAndServer(nil, func(head *wire.RequestHead, stream *link.Stream) {
				defer GinkgoRecover()
				head.BudgetMicros, head.ObjectiveMicros = micros, micros
				server.Serve(context.Background(), head, stream)
			})
			_, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
			Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonOverloaded))

			client, address = newClientAndServer(nil, func(head *wire.RequestHead, stream *link.Stream) {
				_ = stream.Send(&wire.AnswerHead{Id: head.GetId(), Refused: &wire.Refusal{
					Verdict: uint32(verdict.NotRun), Reason: uint32(verdict.ReasonOverloaded), RetryAfterMicros: micros,
				}})
				_ = stream.Flush()
			})
			_, err = client.Do(context.Background(), address, newRequest(http.NoBody, 0))
			Expect(verdict.FromError(err).RetryAfter).To(BeNumerically(">", long))
		},
		Entry("that wrap to 0", int64(1<<62)), Entry("that wrap below 0", int64(1e16)), Entry("the longest", int64(math.MaxInt64)),
	)
})
