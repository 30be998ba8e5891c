package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"unicode/utf8"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/link"
	"boragefall/internal/telemetry"
	"boragefall/internal/wire"
)

const rawText = "N\xf8rre" // ISO 8859-1

// rawTextHandler answers each request with text that is not UTF-8.
type rawTextHandler struct{}

func (rawTextHandler) ServeStream(_ context.Context, _ link.Class, opening *wire.Opening, stream *link.Stream) {
	_ = stream.Send(&wire.AnswerHead{
		Id: opening.GetRequest().GetId(), Headers: []*wire.Header{{Name: "X", Value: rawText}}, Refused: &wire.Refusal{Detail: rawText},
	})
	_ = stream.Flush()
}

// listenAsOlderBuild accepts links and states in its Hello no more than an older build does.
func listenAsOlderBuild() (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 1)) // the class
		cfg := yamux.DefaultConfig()
		cfg.LogOutput = io.Discard
		session, err := yamux.Server(conn, cfg)
		if err != nil {
			return
		}
		for {
			stream, err := session.AcceptStream()
			if err != nil {
				return
			}
			opening := &wire.Opening{}
			_ = link.ReadFrame(bufio.NewReader(stream), opening)
			if opening.GetHello() != nil {
				_ = link.WriteFrame(stream, &wire.Hello{Protocol: link.ProtocolVersion})
			} else {
				_ = link.WriteFrame(stream, &wire.AnswerHead{Id: opening.GetRequest().GetId()})
			}
		}
	}()
	return listener.Addr().String()
}

// Guards against text that older builds can't read: they would close the link, and with it the
// requests of other callers.
var _ = Describe("text that is not UTF-8", func() {
	It("is not sent to a node of an older build", func() {
		address := listenAsOlderBuild()
		dialer := link.NewDialer(link.Config{}, link.ClassRequest, link.Identity{}, &link.Counter{})
		DeferCleanup(dialer.Close)
		request := func(uri string) error {
			opening := &wire.Opening{Kind: &wire.Opening_Request{Request: &wire.RequestHead{Id: "1", Uri: uri, Headers: []*wire.Header{{Name: "X", Value: uri}}}}}
			stream, err := dialer.Open(context.Background(), address, opening)
			if err != nil {
				return err
			}
			defer stream.Close()
			Expect(stream.Flush()).To(Succeed())
			return stream.Receive(&wire.AnswerHead{})
		}
		Expect(request("/ascii")).To(Succeed())
		Expect(request("/" + rawText)).To(MatchError(link.ErrRawText))
		Expect(dialer.LinkCount()).To(Equal(1))
		Expect(request("/ascii")).To(Succeed())
	})

	It("is replaced in answers to a node of an older build", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := link.NewListener(link.Config{}, link.Identity{}, &link.Counter{}, listener, rawTextHandler{}, telemetry.Silent())
		go l.Serve(context.Background())
		DeferCleanup(l.Close)
		session := rawSession(l.Address())
		DeferCleanup(session.Close)
		exchange := func(opening *wire.Opening) *wire.AnswerHead {
			stream, err := session.OpenStream()
			Expect(err).NotTo(HaveOccurred())
			Expect(link.WriteFrame(stream, opening)).To(Succeed())
			answer := &wire.AnswerHead{}
			if opening.GetHello() == nil {
				Expect(link.ReadFrame(bufio.NewReader(stream), answer)).To(Succeed())
			} else {
				Expect(link.ReadFrame(bufio.NewReader(stream), &wire.Hello{})).To(Succeed())
			}
			return answer
		}
		request := &wire.Opening{Kind: &wire.Opening_Request{Request: &wire.RequestHead{Id: "1"}}}
		exchange(&wire.Opening{Kind: &wire.Opening_Hello{Hello: &wire.Hello{Protocol: link.ProtocolVersion}}})
		answer := exchange(request)
		Expect(answer.GetHeaders()[0].GetValue()).To(Equal("N\uFFFDrre"))
		Expect(utf8.ValidString(answer.GetRefused().GetDetail())).To(BeTrue())

		exchange(&wire.Opening{Kind: &wire.Opening_Hello{Hello: &wire.Hello{Protocol: link.ProtocolVersion, RawText: true}}})
		answer = exchange(request)
		Expect(answer.GetHeaders()[0].GetValue()).To(Equal(rawText))
		Expect(answer.GetRefused().GetDetail()).To(Equal(rawText))
	})
})
