package link_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"boragefall/internal/link"
	"boragefall/internal/telemetry"
	"boragefall/internal/wire"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// manifestEcho answers each Pull with its Manifest flag, in the Held field.
type manifestEcho struct{}

func (manifestEcho) ServeStream(_ context.Context, _ link.Class, opening *wire.Opening, stream *link.Stream) {
	if stream.Send(&wire.PullAnswer{Held: opening.GetPull().GetManifest()}) == nil {
		_ = stream.Flush()
	}
}

func startListener(address string) *link.Listener {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	l := link.NewListener(link.Config{}, link.Identity{Host: "server"}, &link.Counter{}, listener, manifestEcho{}, telemetry.Silent())
	go l.Serve(context.Background())
	return l
}

func pull(d *link.Dialer, address string) (*wire.PullAnswer, error) {
	opening := &wire.Opening{Kind: &wire.Opening_Pull{Pull: &wire.Pull{Manifest: true}}}
	stream, err := d.Open(context.Background(), address, opening)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if err := stream.Flush(); err != nil {
		return nil, err
	}
	answer := &wire.PullAnswer{}
	return answer, stream.Receive(answer)
}

// rawSession opens a yamux session without a Dialer, so that a test can violate
// the protocol.
func rawSession(address string) *yamux.Session {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write([]byte{byte(link.ClassRequest)})
	Expect(err).NotTo(HaveOccurred())
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	session, err := yamux.Client(conn, cfg)
	Expect(err).NotTo(HaveOccurred())
	return session
}

var _ = Describe("Dialer and Listener", func() {
	var listener *link.Listener
	var dialer *link.Dialer
	var counter *link.Counter

	BeforeEach(func() {
		listener = startListener("127.0.0.1:0")
		counter = &link.Counter{}
		dialer = link.NewDialer(link.Config{}, link.ClassControl, link.Identity{Host: "client"}, counter)
		DeferCleanup(func() {
			dialer.Close()
			listener.Close()
		})
	})

	It("exchange messages and count the bytes of the class", func() {
		answer, err := pull(dialer, listener.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetHeld()).To(BeTrue())
		Expect(counter.Sent(link.ClassControl)).To(BeNumerically(">", 0))
		Expect(counter.Sent(link.ClassRequest)).To(BeZero())
	})

	It("redial after the peer restarts", func() {
		_, err := pull(dialer, listener.Address())
		Expect(err).NotTo(HaveOccurred())
		address := listener.Address()
		listener.Close()
		Eventually(func() error { _, err := pull(dialer, address); return err }).Should(HaveOccurred())
		listener = startListener(address)
		Eventually(func() error { _, err := pull(dialer, address); return err }, "20s").Should(Succeed())
	})

	It("return ErrUnreachable when no link can be made", func() {
		address := listener.Address()
		listener.Close()
		_, err := pull(dialer, address)
		Expect(err).To(MatchError(link.ErrUnreachable))
		_, err = pull(dialer, address)
		Expect(err).To(MatchError(ContainSubstring("waiting to redial")))
	})

	It("close idle links", func() {
		_, err := pull(dialer, listener.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(dialer.LinkCount()).To(Equal(1))
		Eventually(func() int {
			dialer.CloseIdle(time.Now().Add(time.Hour))
			return dialer.LinkCount()
		}, "20s").Should(BeZero())
	})

	DescribeTable("close only the link that violates the protocol",
		func(frame []byte) {
			_, err := pull(dialer, listener.Address())
			Expect(err).NotTo(HaveOccurred())
			malformed := rawSession(listener.Address())
			stream, err := malformed.OpenStream()
			Expect(err).NotTo(HaveOccurred())
			_, err = stream.Write(frame)
			// The listener may close the session before the write returns.
			Expect(err).To(Or(BeNil(), MatchError(yamux.ErrSessionShutdown)))
			Eventually(malformed.CloseChan(), "20s").Should(BeClosed())
			Expect(dialer.LinkCount()).To(Equal(1))
			_, err = pull(dialer, listener.Address())
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("a message that can't be decoded", []byte{3, 0xff, 0xff, 0xff}),
		Entry("an over-long message", binary.AppendUvarint(nil, link.MaxFrameBytes+1)),
	)

	It("accept a peer with a newer protocol version", func() {
		session := rawSession(listener.Address())
		defer func() { _ = session.Close() }()
		stream, err := session.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		hello := &wire.Hello{Protocol: link.ProtocolVersion + 7, Host: "future"}
		hello.ProtoReflect().SetUnknown([]byte{0xa0, 0x06, 0x01}) // field 100
		Expect(link.WriteFrame(stream, &wire.Opening{Kind: &wire.Opening_Hello{Hello: hello}})).To(Succeed())
		answer := &wire.Hello{}
		Expect(link.ReadFrame(bufio.NewReader(stream), answer)).To(Succeed())
		Expect(answer.GetProtocol()).To(Equal(uint32(link.ProtocolVersion)))
	})

	It("keep the link open after an opening of an unknown kind", func() {
		session := rawSession(listener.Address())
		defer func() { _ = session.Close() }()
		stream, err := session.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		opening := &wire.Opening{}
		opening.ProtoReflect().SetUnknown([]byte{0xa0, 0x06, 0x01})
		Expect(link.WriteFrame(stream, opening)).To(Succeed())
		Expect(proto.Equal(opening, &wire.Opening{})).To(BeFalse())
		Consistently(session.IsClosed).Should(BeFalse())
	})
})

var _ = Describe("a coalescing connection", func() {
	It("keeps the byte order and blocks writers while the peer does not read", func() {
		client, server := net.Pipe()
		DeferCleanup(server.Close)
		conn := link.NewCoalescingConn(client)
		DeferCleanup(conn.Close)
		written := make(chan struct{})
		go func() {
			defer close(written)
			for i := range 100_000 {
				if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, uint64(i))); err != nil {
					return
				}
			}
		}()
		Consistently(written, "50ms").ShouldNot(BeClosed())
		reader := bufio.NewReader(server)
		for i := range 100_000 {
			var got uint64
			Expect(binary.Read(reader, binary.BigEndian, &got)).To(Succeed())
			Expect(got).To(Equal(uint64(i)))
		}
		Eventually(written, "20s").Should(BeClosed())
	})

	It("sends pending bytes before it closes", func() {
		client, server := net.Pipe()
		DeferCleanup(server.Close)
		conn := link.NewCoalescingConn(client)
		payload := make([]byte, 1000)
		_, err := conn.Write(payload)
		Expect(err).NotTo(HaveOccurred())
		got := make(chan int, 1)
		go func() {
			data, _ := io.ReadAll(server)
			got <- len(data)
		}()
		Expect(conn.Close()).To(Succeed())
		Eventually(got, "20s").Should(Receive(Equal(len(payload))))
	})

	It("reports a broken connection on a later write and unblocks writers on close", func() {
		client, server := net.Pipe()
		conn := link.NewCoalescingConn(client)
		Expect(server.Close()).To(Succeed())
		Eventually(func() error { _, err := conn.Write([]byte("x")); return err }, "20s").Should(HaveOccurred())
		client, server = net.Pipe()
		DeferCleanup(server.Close)
		conn = link.NewCoalescingConn(client)
		writeErr := make(chan error)
		go func() {
			var err error
			for err == nil {
				_, err = conn.Write(make([]byte, 1<<16))
			}
			writeErr <- err
		}()
		Expect(conn.Close()).To(Succeed())
		Eventually(writeErr, "20s").Should(Receive(MatchError(net.ErrClosed)))
	})
})
