package exchange_test

import (
	"context"
	"io"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

var _ = Describe("a stream that its gate ends without an answer", func() {
	// Guards against a link that is taken for broken with one of its streams.
	DescribeTable("says nothing of its link",
		func(end func(stream *link.Stream)) {
			started, finished := make(chan struct{}), make(chan struct{})
			finish := sync.OnceFunc(func() { close(finished) })
			defer finish()
			client, address := newClientAndServer(nil, func(head *wire.RequestHead, stream *link.Stream) {
				if head.GetId() == "broken" {
					end(stream)
					return
				}
				close(started)
				<-finished
				_ = stream.Send(&wire.AnswerHead{Id: head.GetId(), Status: 200, ContentLength: -1})
				_ = stream.Send(&wire.Chunk{End: true})
				_ = stream.Flush()
			})
			other := make(chan error, 1)
			go func() {
				answer, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
				if err == nil {
					_, err = io.ReadAll(answer.Body)
				}
				other <- err
			}()
			<-started
			broken := newRequest(http.NoBody, 0)
			broken.ID = "broken"
			_, err := client.Do(context.Background(), address, broken)
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
			Expect(verdict.FromError(err).Cause).To(MatchError(exchange.ErrStreamEnded))
			finish()
			Expect(<-other).To(Succeed())
		},
		Entry("at once", func(*link.Stream) {}),
		Entry("with what is no message", func(stream *link.Stream) {
			_ = stream.Send(&wire.RequestHead{Caller: "\xff"}) // the refusal of an answer has its number
			_ = stream.Flush()
		}),
	)
})
