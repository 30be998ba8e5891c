package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

var _ = Describe("a burst of requests on one link", func() {
	// Guards against requests of an ordinary node that end without a verdict, and against the
	// end of a link whose requests run, when a gate has no place for another stream.
	It("is refused as not run beyond the places for streams", func() {
		const places, burst = 64, 190
		var ran atomic.Int64
		release := make(chan struct{})
		run := runnerFunc(func(context.Context, *contract.Request) (*contract.Answer, error) {
			ran.Add(1)
			<-release
			return &contract.Answer{
				Status: 200, Header: http.Header{}, Trailer: func() http.Header { return nil }, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok")),
			}, nil
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		handler := streamHandler{server: exchange.NewServer(run, func() config.Version { return config.Version{} }, telemetry.Silent())}
		server := link.NewListener(link.Config{Limits: link.Limits{Links: 4, Streams: places, Bytes: 64 << 20}}, link.Identity{}, &link.Counter{}, listener, handler, telemetry.Silent())
		go server.Serve(context.Background())
		dialer := link.NewDialer(link.Config{}, link.ClassRequest, link.Identity{}, &link.Counter{})
		DeferCleanup(func() {
			dialer.Close()
			server.Close()
		})
		client := exchange.NewClient(dialer)
		var answered, refused, other atomic.Int64
		var work sync.WaitGroup
		for range burst {
			work.Go(func() {
				answer, err := client.Do(context.Background(), server.Address(), newRequest(strings.NewReader("body"), 4))
				switch e := verdict.FromError(err); {
				case err == nil:
					_ = answer.Body.Close()
					answered.Add(1)
				case e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonOverloaded && e.RetryAfter > 0:
					refused.Add(1)
				default:
					other.Add(1)
				}
			})
		}
		Eventually(func() int64 { return refused.Load() + other.Load() + ran.Load() }).WithTimeout(20 * time.Second).Should(BeEquivalentTo(burst))
		close(release)
		work.Wait()
		Expect(other.Load()).To(BeZero(), "%d answered, %d refused", answered.Load(), refused.Load())
		Expect(answered.Load()).To(Equal(ran.Load()))
		Expect(ran.Load()).To(BeNumerically("<=", places))
	})
})
